package capacity

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"

	"github.com/oriolefront/oriolefront/internal/config"
)

// allocatablePercent is the part of kv-tokens that is divided into shares, in
// percent. Token counts are estimates until the engine has counted, so 5 % are
// held back.
const allocatablePercent = 95

func (r Resources) add(o Resources) Resources {
	return Resources{r.Tokens + o.Tokens, r.Slots + o.Slots}
}
func (r Resources) sub(o Resources) Resources {
	return Resources{r.Tokens - o.Tokens, r.Slots - o.Slots}
}

// clampToZero raises negative amounts to 0.
func (r Resources) clampToZero() Resources { return Resources{max(r.Tokens, 0), max(r.Slots, 0)} }

// componentMin returns the smaller amount of each resource.
func (r Resources) componentMin(o Resources) Resources {
	return Resources{min(r.Tokens, o.Tokens), min(r.Slots, o.Slots)}
}

// covers reports whether need fits into r.
func (r Resources) covers(need Resources) bool {
	return r.Tokens >= need.Tokens && r.Slots >= need.Slots
}

func (r Resources) isZero() bool { return r == Resources{} }

// seatOrder returns the first k of n seats in the hash order of the target.
func seatOrder(target string, n, k int) []int {
	type ranked struct {
		seat int
		rank uint64
	}
	h := fnv.New64a()
	h.Write([]byte(target))
	base := h.Sum64()
	all := make([]ranked, n)
	for i := range all {
		all[i] = ranked{i, splitmix64(base + uint64(i)*0x9e3779b97f4a7c15)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].rank != all[j].rank {
			return all[i].rank < all[j].rank
		}
		return all[i].seat < all[j].seat
	})
	order := make([]int, min(k, n))
	for i := range order {
		order[i] = all[i].seat
	}
	return order
}

// splitmix64 is the finalizer of the splitmix64 generator. It spreads
// consecutive seat numbers.
func splitmix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// splitEvenly returns the share of the seat at position of k seats. The share
// of a smaller bound is never larger than that of a larger bound.
func splitEvenly(bound, k, position int) int {
	if position < 0 || position >= k {
		return 0
	}
	share := bound / k
	if position < bound%k {
		share++
	}
	return share
}

// limits are the declared limits of a target and the seats that share it.
type limits struct {
	warm, cold Resources
	seatOrder  []int
	// plain is true for a target without KV memory and without an inventory of
	// running attempts.
	plain bool
}

// AllocatableTokens returns the part of a target's KV memory that is divided
// into shares.
func AllocatableTokens(kvTokens int) int {
	if kvTokens < 10_000 {
		return kvTokens * allocatablePercent / 100
	}
	return kvTokens / 100 * allocatablePercent
}

func newLimits(cfg *config.Config, id string, order []int) limits {
	t := cfg.Targets[id]
	warm := Resources{Tokens: AllocatableTokens(t.KVTokens), Slots: t.MaxRunning}
	cold := Resources{Tokens: t.ColdTokens, Slots: t.ColdRunning}
	return limits{
		warm:      warm,
		cold:      cold.componentMin(warm),
		seatOrder: order,
		plain:     cfg.Services[t.Service].Kind == config.PlainService,
	}
}

// limitAt returns the target's limit after a number of doublings.
func (l *limits) limitAt(doublings int) Resources {
	d := min(doublings, maxDoublings)
	return Resources{l.cold.Tokens << d, l.cold.Slots << d}.componentMin(l.warm)
}

// isWarm reports whether the limit has stopped growing.
func (l *limits) isWarm(doublings int) bool { return l.limitAt(doublings) == l.limitAt(maxDoublings) }

func (l *limits) position(seat int) int {
	for i, s := range l.seatOrder {
		if s == seat {
			return i
		}
	}
	return -1
}

// share returns the share of a seat after a number of doublings.
func (l *limits) share(position, doublings int) Resources {
	return l.shareOfResources(position, l.limitAt(doublings))
}

// shareOfResources returns a seat's share of an amount.
func (l *limits) shareOfResources(position int, b Resources) Resources {
	k := len(l.seatOrder)
	return Resources{splitEvenly(b.Tokens, k, position), splitEvenly(b.Slots, k, position)}
}

func (l *limits) equal(o *limits) bool {
	if l.warm != o.warm || l.cold != o.cold || len(l.seatOrder) != len(o.seatOrder) {
		return false
	}
	for i, s := range l.seatOrder {
		if o.seatOrder[i] != s {
			return false
		}
	}
	return true
}

// sortBudgets returns the budgets ordered by target id.
func sortBudgets(budgets map[string]*targetBudget) []*targetBudget {
	sorted := make([]*targetBudget, 0, len(budgets))
	for _, b := range budgets {
		sorted = append(sorted, b)
	}
	slices.SortFunc(sorted, func(a, b *targetBudget) int { return strings.Compare(a.id, b.id) })
	return sorted
}
