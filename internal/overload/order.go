// Package overload decides in which order the calls that wait for the engines of a service are
// served while there is too little room. All VMs compute the same order and the same assignment
// of calls to free slots from the calls and requests that they report to each other, so that
// nobody asks anybody. The decisions are pure functions.
package overload

import (
	"cmp"
	"slices"
	"time"
)

// ReportLag is how long VMs take to hear of each other's calls and requests: they batch, send and
// process the reports with a small share of a core.
const ReportLag = 25 * time.Millisecond

// OwnLag is subtracted from the age of the own calls of a VM, so that it counts them at about the
// time at which the others do.
const OwnLag = ReportLag / 2

// Call is a call that waits for an engine.
type Call struct {
	// VM and ID identify the call. VM has the same name at all VMs.
	VM string
	ID uint64
	// Zone is that of the VM; "" if it is not known.
	Zone    string
	Account string
	// Rank is the priority; 0 is the highest.
	Rank int
	// Age is the time since the call began to wait, and LateAfter the age from which it can no
	// longer be on time.
	Age       time.Duration
	LateAfter time.Duration
	// Returned is true if the caller was refused before under overload.
	Returned bool
}

// Late reports whether the call can no longer be on time.
func (c Call) Late() bool { return c.Age >= c.LateAfter }

// known reports whether all VMs have heard of the call.
func (c Call) known() bool { return c.Age >= ReportLag }

// pressedShare is the share of the time until a call is late after which calls with more time go
// first: a call that is sent at the last moment is late if anything takes longer than expected.
const pressedShare = 0.6

func (c Call) pressed() bool { return float64(c.Age) > pressedShare*float64(c.LateAfter) }

// hash returns a number that is the same at all VMs and does not depend on when a call arrived.
func (c Call) hash() uint64 {
	h := hashString(c.VM)
	for id := c.ID; id > 0; id >>= 8 {
		h = (h ^ id&0xff) * fnvPrime
	}
	// Without these steps of MurmurHash3 the upper bits would depend little on the ID, and the calls
	// of some VMs would always go first.
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Parameters of the hash FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// hashString returns the FNV-1a hash of a string; unlike hash/fnv it allocates nothing.
func hashString(s string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// class is what goes before the shares of the accounts.
type class struct {
	late  bool
	rank  int
	fresh bool
}

func (c Call) class() class { return class{c.Late(), c.Rank, !c.Returned} }

func (a class) compare(b class) int {
	return cmp.Or(compareBool(a.late, b.late), cmp.Compare(a.rank, b.rank), compareBool(a.fresh, b.fresh))
}

// Order returns the calls in the order in which they are served. It is a total order that does
// not depend on the order of the input:
//
//  1. calls that can still be on time before late ones;
//  2. by rank, and those whose callers were refused before, which are late in any case, before
//     others;
//  3. the calls of accounts with no more than twice the calls that half of the accounts have waiting
//     before those of accounts with more, and the first calls of each account before its next
//     ones: an account with many calls, repeated ones included, waits behind itself;
//  4. of those on time, the ones with most of their time left, in a random order that is the same
//     at all VMs; the oldest first of the late ones;
//  5. by VM and ID.
//
// With the oldest first among those on time, all would be served just too late under overload.
// With the newest first, the head of the order would change with each arrival, before the VMs
// have heard of each other's decisions: in a replay at 1.5 times the capacity up to 9 calls met at
// one slot, and a quarter of the capacity was served on time. A random order seldom changes at
// its head.
func Order(calls []Call) []Call {
	all := make([]rankedCall, len(calls))
	for i := range calls {
		c := &calls[i]
		all[i] = rankedCall{call: c, class: c.class(), pressed: c.pressed(), hash: c.hash()}
	}
	slices.SortFunc(all, func(a, b rankedCall) int {
		return cmp.Or(a.class.compare(b.class), a.compareTime(b))
	})
	for start := 0; start < len(all); {
		end := start + 1
		for end < len(all) && all[end].class == all[start].class {
			end++
		}
		orderAccounts(all[start:end])
		start = end
	}
	ordered := make([]Call, len(all))
	for i, r := range all {
		ordered[i] = *r.call
	}
	return ordered
}

func (c *Call) compareIdentity(other *Call) int {
	return cmp.Or(cmp.Compare(c.VM, other.VM), cmp.Compare(c.ID, other.ID))
}

// excess times the calls that half of the accounts have waiting is what an account may have without
// going behind the others. Equal accounts differ by chance.
const excess = 2

// orderAccounts orders the calls of one class, which are given by time, by the shares of accounts.
func orderAccounts(calls []rankedCall) {
	counts := map[string]int{}
	for _, c := range calls {
		counts[c.call.Account]++
	}
	if len(counts) == 1 {
		return
	}
	quota := median(counts)
	before := map[string]int{}
	for i := range calls {
		account := calls[i].call.Account
		calls[i].level = before[account] / quota
		if counts[account] > excess*quota {
			calls[i].level++
		}
		before[account]++
	}
	slices.SortStableFunc(calls, func(a, b rankedCall) int { return cmp.Compare(a.level, b.level) })
}

// rankedCall is a call with what orders it.
type rankedCall struct {
	call    *Call
	class   class
	pressed bool
	// level counts the quotas that calls of its account which go before it use up, and one more for
	// an account with excess.
	level int
	hash  uint64
}

// compareTime orders calls of a class without regard to accounts.
func (a rankedCall) compareTime(b rankedCall) int {
	if a.class.late {
		return cmp.Or(cmp.Compare(b.call.Age, a.call.Age), a.call.compareIdentity(b.call))
	}
	return cmp.Or(compareBool(a.pressed, b.pressed), cmp.Compare(a.hash, b.hash), a.call.compareIdentity(b.call))
}

// median returns the lower median of some counts, which must not be empty.
func median(counts map[string]int) int {
	sorted := make([]int, 0, len(counts))
	for _, n := range counts {
		sorted = append(sorted, n)
	}
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/2]
}
