package capacity

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"

	"github.com/oriolefront/oriolefront/internal/config"
)

// memoryShare is the part of kv-tokens that is shared out, in percent. Token
// counts are estimates until the engine has counted, so 5 % stay in reserve.
const memoryShare = 95

func (r Resources) add(o Resources) Resources {
	return Resources{r.Tokens + o.Tokens, r.Slots + o.Slots}
}
func (r Resources) sub(o Resources) Resources {
	return Resources{r.Tokens - o.Tokens, r.Slots - o.Slots}
}

// atLeastZero raises negative amounts to 0.
func (r Resources) atLeastZero() Resources { return Resources{max(r.Tokens, 0), max(r.Slots, 0)} }

// lesser returns the smaller amount of each resource.
func (r Resources) lesser(o Resources) Resources {
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
		all[i] = ranked{i, mix(base + uint64(i)*0x9e3779b97f4a7c15)}
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

// mix is the finalizer of splitmix64. It spreads consecutive seat numbers.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// shareOf returns the share of the seat at position of k seats. The shares of
// a smaller bound are never larger than those of a larger bound.
func shareOf(bound, k, position int) int {
	if position < 0 || position >= k {
		return 0
	}
	share := bound / k
	if position < bound%k {
		share++
	}
	return share
}

// limits are the declared bounds of a target and the seats that share it.
type limits struct {
	warm, cold Resources
	order      []int
	// plain is true for a target without KV memory and without a list of
	// running attempts.
	plain bool
}

// AllocatableTokens returns the part of a target's KV memory that is shared out.
func AllocatableTokens(kvTokens int) int {
	if kvTokens < 10_000 {
		return kvTokens * memoryShare / 100
	}
	return kvTokens / 100 * memoryShare
}

func newLimits(cfg *config.Config, id string, order []int) limits {
	t := cfg.Targets[id]
	warm := Resources{Tokens: AllocatableTokens(t.KVTokens), Slots: t.MaxRunning}
	cold := Resources{Tokens: t.ColdTokens, Slots: t.ColdRunning}
	return limits{
		warm:  warm,
		cold:  cold.lesser(warm),
		order: order,
		plain: cfg.Services[t.Service].Kind == config.PlainService,
	}
}

// bound returns what the target bears after some doublings.
func (l *limits) bound(doublings int) Resources {
	d := min(doublings, maxDoublings)
	return Resources{l.cold.Tokens << d, l.cold.Slots << d}.lesser(l.warm)
}

// isWarm reports whether the bound no longer grows.
func (l *limits) isWarm(doublings int) bool { return l.bound(doublings) == l.bound(maxDoublings) }

func (l *limits) position(seat int) int {
	for i, s := range l.order {
		if s == seat {
			return i
		}
	}
	return -1
}

// share returns the share of a seat after some doublings.
func (l *limits) share(position, doublings int) Resources {
	return l.shareOfRoom(position, l.bound(doublings))
}

// shareOfRoom returns the share of a seat of an amount.
func (l *limits) shareOfRoom(position int, b Resources) Resources {
	k := len(l.order)
	return Resources{shareOf(b.Tokens, k, position), shareOf(b.Slots, k, position)}
}

func (l *limits) equal(o *limits) bool {
	if l.warm != o.warm || l.cold != o.cold || len(l.order) != len(o.order) {
		return false
	}
	for i, s := range l.order {
		if o.order[i] != s {
			return false
		}
	}
	return true
}

// sortBooks returns the books in order of their targets.
func sortBooks(books map[string]*book) []*book {
	sorted := make([]*book, 0, len(books))
	for _, b := range books {
		sorted = append(sorted, b)
	}
	slices.SortFunc(sorted, func(a, b *book) int { return strings.Compare(a.id, b.id) })
	return sorted
}
