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

// The modes. ModeRoundRobin and ModeLeastInFlight are baselines for comparison.
const (
	ModeEstimate Mode = iota
	ModeRoundRobin
	ModeLeastInFlight
)

// Policy configures the filters and the score of a decision.
type Policy struct {
	Name string
	Mode Mode
	// Sample is the number of candidates that are scored.
	Sample int
	// LongCap is the limit on the prefill tokens of unanswered long prompts on
	// one target, including a new long prompt; 0 turns the filter off.
	LongCap int
	// LongFreeShare is the share of the candidates, the last in hash order, that
	// get no long prompt while another candidate can take it; 0 turns the filter
	// off.
	LongFreeShare float64
	// PriorityByLength serves short prompts before long ones of the same class.
	PriorityByLength bool
	// HeadroomShare is the share of this VM's slots on a target that batch
	// requests and long prompts leave free; 0 turns the filter off.
	HeadroomShare float64
	// FailurePenalty is added for each recent failure.
	FailurePenalty time.Duration
	// IdleBonus is subtracted for an idle target.
	IdleBonus time.Duration
}

// DefaultPolicy returns the default policy.
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

// RoundRobin returns the baseline that uses targets in turn.
func RoundRobin() Policy { return Policy{Name: "round-robin", Mode: ModeRoundRobin} }

// LeastInFlight returns the baseline that uses the target with the fewest
// attempts of this VM.
func LeastInFlight() Policy { return Policy{Name: "least-in-flight", Mode: ModeLeastInFlight} }

// PolicyNames returns the names of the policies, first the default, then the
// baselines.
func PolicyNames() []string {
	return []string{DefaultPolicy().Name, LeastInFlight().Name, RoundRobin().Name}
}

// PolicyByName returns the policy with the given name; "" selects the default.
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

// CapacityReader reports the available capacity that this VM may use on a target.
type CapacityReader interface {
	Available(target string) capacity.Resources
}

// PrefixIndex finds targets that have a prompt's prefix in their cache.
type PrefixIndex interface {
	// Holders returns targets that hold leading blocks of the prompt. It must not
	// allocate.
	Holders(prefix []uint64) Holders
}

// Holders is a bounded list of targets that hold a prefix.
type Holders struct {
	List  [MaxHolders]Holder
	Count int
}

// MaxHolders limits the prefix holders that one decision considers.
const MaxHolders = 16

// Holder is a target that holds a prefix of Tokens tokens.
type Holder struct {
	ID     uint32
	Tokens int
}

// Request describes a request to the scheduler.
type Request struct {
	Service      string
	Model        string
	Class        config.Class
	PromptTokens int
	OutputTokens int
	Prefix       []uint64
	// Exclude lists the ids of targets that must not be chosen.
	Exclude []uint32
	// IgnoreCapacity skips the check of this VM's available capacity, to find the
	// target for which to request a loan.
	IgnoreCapacity bool
	// Now is the current time as returned by the function Now. Seed determines
	// the sample.
	Now  time.Duration
	Seed uint64
}

func (r *Request) long() bool { return r.PromptTokens >= LongPromptTokens }

// Filter is a reason to reject a candidate.
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

// rejectedBy returns the first filter that rejects the candidate, or passed.
func (k *decider) rejectedBy(id uint32, position int, soft bool) Filter {
	t := &k.snapshot.Targets[id]
	switch {
	case isExcluded(k.request, id):
		return FilterExcluded
	case !t.Usable:
		return FilterState
	case t.Probing && t.Local.Running.Load() > 0:
		return FilterProbing
	case soft && reservedForShort(k.policy, k.request, position, len(k.list.ids)):
		return FilterLongFree
	case overLongCap(k.policy, t, k.request):
		return FilterLongCap
	case k.request.IgnoreCapacity:
		return passed
	}
	available := k.capacity.Available(t.Name)
	if available.Slots < 1 || available.Tokens < k.request.PromptTokens+k.request.OutputTokens {
		return FilterCapacity
	}
	if takesHeadroom(k.policy, t, k.request, available) {
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

// reservedForShort reports whether the candidate at a position in hash order
// takes no long prompts.
func reservedForShort(p *Policy, r *Request, position, candidates int) bool {
	if p.LongFreeShare <= 0 || !r.long() {
		return false
	}
	free := int(p.LongFreeShare * float64(candidates))
	return position >= candidates-free
}

// overLongCap reports whether a further long prompt would exceed the cap. A
// target without long prompts takes a prompt of any length.
func overLongCap(p *Policy, t *Target, r *Request) bool {
	if p.LongCap <= 0 || !r.long() {
		return false
	}
	longTokens := float64(t.Local.LongUnanswered.Load())
	if t.OtherBacklog >= LongPromptTokens {
		processed := t.PrefillRate * (r.Now - t.ReportedAt).Seconds()
		longTokens += max(0, t.OtherBacklog-processed)
	}
	return longTokens > 0 && longTokens+float64(r.PromptTokens) > float64(p.LongCap)
}

// minHeadroomSlots is the smallest share of slots that keeps headroom. A smaller
// share, such as that of a cold target, is used completely.
const minHeadroomSlots = 4

// takesHeadroom reports whether a batch request or a long prompt would use the
// slots that are reserved for short interactive requests.
func takesHeadroom(p *Policy, t *Target, r *Request, available capacity.Resources) bool {
	if p.HeadroomShare <= 0 || (r.Class != config.ClassBatch && !r.long()) {
		return false
	}
	total := available.Slots + int(t.Local.Running.Load())
	if total < minHeadroomSlots {
		return false
	}
	kept := max(1, int(p.HeadroomShare*float64(total)))
	return available.Slots <= kept
}
