package scheduler

import (
	"fmt"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/config"
)

// Mode selects how candidates are compared.
type Mode int

// The modes. The last two are baselines for comparison.
const (
	ModeEstimate Mode = iota
	ModeRoundRobin
	ModeLeastInFlight
)

// Policy switches the parts of a decision.
type Policy struct {
	Name string
	Mode Mode
	// Sample is the number of candidates that are scored.
	Sample int
	// LongCap is the number of long prefill tokens allowed on one target
	// beside a new long prompt; 0 switches the filter off.
	LongCap int
	// LongFreeShare is the share of the candidates, the last in hash order,
	// that take no long prompt while another candidate can; 0 switches it off.
	LongFreeShare float64
	// PriorityByLength serves short prompts before long ones of their class.
	PriorityByLength bool
	// HeadroomShare is the share of this VM's slots on a target that batch and
	// long work leaves free; 0 switches it off.
	HeadroomShare float64
	// FailurePenalty is added for each recent failure.
	FailurePenalty time.Duration
	// IdleBonus is subtracted for a target without work.
	IdleBonus time.Duration
}

// DefaultPolicy returns the policy in use.
func DefaultPolicy() Policy {
	return Policy{
		Name:             "estimate",
		Sample:           8,
		LongCap:          200_000,
		LongFreeShare:    0.25,
		PriorityByLength: true,
		HeadroomShare:    0.125,
		FailurePenalty:   200 * time.Millisecond,
		IdleBonus:        2 * time.Millisecond,
	}
}

// RoundRobin returns the baseline that takes targets in turn.
func RoundRobin() Policy { return Policy{Name: "round-robin", Mode: ModeRoundRobin} }

// LeastInFlight returns the baseline that takes the target with the fewest
// attempts of this VM.
func LeastInFlight() Policy { return Policy{Name: "least-in-flight", Mode: ModeLeastInFlight} }

// PolicyNames lists the policies, the default first and then the baselines.
func PolicyNames() []string {
	return []string{DefaultPolicy().Name, LeastInFlight().Name, RoundRobin().Name}
}

// PolicyByName returns the policy of a name; "" is the default.
func PolicyByName(name string) (Policy, error) {
	for _, p := range []Policy{DefaultPolicy(), LeastInFlight(), RoundRobin()} {
		if p.Name == name || name == "" {
			return p, nil
		}
	}
	return Policy{}, fmt.Errorf("found %q, allowed: %s", name, strings.Join(PolicyNames(), ", "))
}

// LevelOf returns the priority level of a request under the policy.
func (p *Policy) LevelOf(class config.Class, promptTokens int) int {
	return Level(class, p.PriorityByLength && promptTokens >= LongPromptTokens)
}

// CapacityReader tells what this VM may still start on a target.
type CapacityReader interface {
	Available(target string) capacity.Resources
}

// PrefixIndex finds targets that hold a prompt's prefix in their cache.
type PrefixIndex interface {
	// Holders returns targets that hold leading blocks of the prompt. It must
	// not allocate.
	Holders(prefix []uint64) Holders
}

// Holders is a bounded list of targets that hold a prefix.
type Holders struct {
	List  [MaxHolders]Holder
	Count int
}

// MaxHolders bounds the holders of a prefix that one decision looks at.
const MaxHolders = 16

// Holder is a target that holds a prefix of Tokens tokens.
type Holder struct {
	ID     uint32
	Tokens int
}

// Request is what a decision needs to know of a request.
type Request struct {
	Service      string
	Model        string
	Class        config.Class
	PromptTokens int
	OutputTokens int
	Prefix       []uint64
	// Exclude lists ids that must not be chosen.
	Exclude []uint32
	// IgnoreCapacity skips the check of this VM's capacity share; it finds the
	// target for which a loan is worth asking.
	IgnoreCapacity bool
	// Now is the time on the clock of Now, and Seed selects the sample.
	Now  time.Duration
	Seed uint64
}

func (r *Request) long() bool { return r.PromptTokens >= LongPromptTokens }

// Filter names a reason why a candidate was left out.
type Filter int

// The filters in the order in which they are applied.
const (
	FilterExcluded Filter = iota
	FilterState
	FilterProbing
	FilterLongFree
	FilterLongCap
	FilterCapacity
	FilterHeadroom
	filterCount
	passed = filterCount
)

var filterNames = [filterCount]string{"excluded", "state", "probing", "long-free", "long-cap", "room", "headroom"}

// String returns the name of the filter.
func (f Filter) String() string { return filterNames[f] }

// rejects returns the first filter that leaves the candidate out, or passed.
func (k *decider) rejects(id uint32, position int, soft bool) Filter {
	t := &k.snapshot.Targets[id]
	switch {
	case isExcluded(k.request, id):
		return FilterExcluded
	case !t.Usable:
		return FilterState
	case t.Probing && t.Local.Running.Load() > 0:
		return FilterProbing
	case soft && keptFree(k.policy, k.request, position, len(k.list.ids)):
		return FilterLongFree
	case overLongCap(k.policy, t, k.request):
		return FilterLongCap
	case k.request.IgnoreCapacity:
		return passed
	}
	room := k.rooms.Available(t.Name)
	if room.Slots < 1 || room.Tokens < k.request.PromptTokens+k.request.OutputTokens {
		return FilterCapacity
	}
	if takesHeadroom(k.policy, t, k.request, room) {
		return FilterHeadroom
	}
	return passed
}

func isExcluded(r *Request, id uint32) bool {
	for _, x := range r.Exclude {
		if x == id {
			return true
		}
	}
	return false
}

// keptFree reports whether the candidate at a position of the hash order takes
// no long prompts.
func keptFree(p *Policy, r *Request, position, candidates int) bool {
	if p.LongFreeShare <= 0 || !r.long() {
		return false
	}
	free := int(p.LongFreeShare * float64(candidates))
	return position >= candidates-free
}

// overLongCap reports whether a further long prompt would exceed the cap. A
// target without long work takes a prompt of any length.
func overLongCap(p *Policy, t *Target, r *Request) bool {
	if p.LongCap <= 0 || !r.long() {
		return false
	}
	held := float64(t.Local.LongUnanswered.Load())
	if t.OtherBacklog >= LongPromptTokens {
		worked := t.PrefillRate * (r.Now - t.ReportedAt).Seconds()
		held += max(0, t.OtherBacklog-worked)
	}
	return held > 0 && held+float64(r.PromptTokens) > float64(p.LongCap)
}

// minHeadroomSlots is the share of slots from which headroom is kept. A smaller
// share, such as that of a cold target, is used whole.
const minHeadroomSlots = 4

// takesHeadroom reports whether batch or long work would take the slots kept
// for short interactive work.
func takesHeadroom(p *Policy, t *Target, r *Request, room capacity.Resources) bool {
	if p.HeadroomShare <= 0 || (r.Class != config.ClassBatch && !r.long()) {
		return false
	}
	total := room.Slots + int(t.Local.Running.Load())
	if total < minHeadroomSlots {
		return false
	}
	kept := max(1, int(p.HeadroomShare*float64(total)))
	return room.Slots <= kept
}
