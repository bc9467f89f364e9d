package overload

import (
	"cmp"
	"slices"
	"time"
)

// Engine is what is known of the room on an engine.
type Engine struct {
	ID   string
	Zone string
	// Free is the number of requests that the engine can begin at once. It may be negative.
	Free int
	// FreedFor is the time since a request there ended, bounded.
	FreedFor time.Duration
	// Prefilling is true while the engine reads long prompts, which make others late.
	Prefilling bool
}

const (
	// reserveTime times the rate of arrivals is the number of free slots that late calls, and those
	// of lower ranks, leave to the others: what arrives until VMs know of each other's decisions,
	// twice.
	reserveTime = 2 * ReportLag
	// spreadTime times the rate of arrivals is the number of free slots beyond which a call is sent
	// before the other VMs know of it. Of the calls that arrive within a lag of some 12 ms, few
	// then choose the same slot.
	spreadTime = 2 * ReportLag
)

// Snapshot is what a VM knows of the load of a service.
type Snapshot struct {
	// Calls are the waiting calls. Those that some VMs may not have heard of yet get no slot.
	Calls   []Call
	Engines []Engine
	// StartsPerSecond is the rate at which requests were sent to engines lately, OnTimePerSecond
	// that of those that could be on time, and EndsPerSecond the rate at which slots became free.
	StartsPerSecond, OnTimePerSecond, EndsPerSecond float64
	// TopRank is the highest rank of the calls of the service.
	TopRank int
}

// scarceShare is the share of all slots below which free ones are scarce. With more, calls seldom
// choose the same slot, and the cost of each engine matters more than the order.
const scarceShare = 0.2

// Scarce reports whether calls have to be served in order: some wait, or few slots are free.
// slotsPerEngine is the number of slots that each engine has.
func (s *Snapshot) Scarce(slotsPerEngine int) bool {
	free := 0
	for _, e := range s.Engines {
		free += max(e.Free, 0)
	}
	return len(s.Calls) > 0 || float64(free) < scarceShare*float64(len(s.Engines)*slotsPerEngine)
}

func (s *Snapshot) within(d time.Duration) int { return int(s.StartsPerSecond * d.Seconds()) }

// prefers reports whether a call may use the reserve.
func (s *Snapshot) prefers(c Call) bool { return !c.Late() && c.Rank <= s.TopRank }

// slot is room for one call on an engine.
type slot struct {
	engine, zone string
	// level counts the slots of an engine from 0, in the order in which they are taken.
	level      int
	freedFor   time.Duration
	prefilling bool
	hash       uint64
	taken      bool
}

// Plan assigns slots to waiting calls.
type Plan struct {
	snapshot Snapshot
	// calls are the waiting calls in order, and engines those assigned to them; "" for none.
	calls   []Call
	engines []string
	slots   []slot
	// free is the number of slots that are not assigned, without those of engines that read long
	// prompts, reserve that of those which late calls and
	// lower ranks must leave.
	free, reserve int
}

// Assign assigns free slots to waiting calls: each call, in order, takes the first free slot, in
// its own zone if there is one. Late calls, and those of lower ranks, take free slots only beyond
// the reserve. The slots of engines that read long prompts are for late calls only.
func Assign(s Snapshot) Plan {
	known := make([]Call, 0, len(s.Calls))
	for _, c := range s.Calls {
		if c.known() {
			known = append(known, c)
		}
	}
	p := Plan{snapshot: s, calls: Order(known), slots: slots(s.Engines)}
	p.engines = make([]string, len(p.calls))
	for _, s := range p.slots {
		if !s.prefilling {
			p.free++
		}
	}
	p.reserve = s.within(reserveTime)
	for i, c := range p.calls {
		if c.Late() {
			p.engines[i] = p.take(c, true)
		}
		if p.engines[i] == "" && p.free > 0 && (s.prefers(c) || p.free > p.reserve) {
			p.engines[i] = p.take(c, false)
		}
	}
	return p
}

// settledAfter is the time after which a slot that is still free was probably not taken by a call
// that some VM does not know.
const settledAfter = 2 * ReportLag

// mayTake reports whether a call may take a slot. When the slot became free it was assigned among
// the calls that all VMs knew then. A call that they know only since may go before those in the
// order, but the slot is probably taken already, and the VM of the call has not heard of it.
func (c Call) mayTake(s slot) bool {
	return !s.taken && (s.freedFor <= c.Age-ReportLag || s.freedFor >= settledAfter)
}

// take returns the engine of the slot that a call gets, among those that read long prompts or among
// the others; "" if there is none for it.
func (p *Plan) take(c Call, prefilling bool) string {
	fits := func(s slot) bool { return s.prefilling == prefilling && c.mayTake(s) }
	i := slices.IndexFunc(p.slots, func(s slot) bool { return fits(s) && (c.Zone == "" || s.zone == c.Zone) })
	if i < 0 {
		i = slices.IndexFunc(p.slots, fits)
	}
	if i < 0 {
		return ""
	}
	p.slots[i].taken = true
	if !prefilling {
		p.free--
	}
	return p.slots[i].engine
}

// slots returns the free slots of all engines in the order in which they are taken, which is the
// same at all VMs: one slot of each engine before the next,
// and those that are free for longer first. A slot that becomes free later, which some VMs have
// not heard of, so does not change which slot the first calls take.
func slots(engines []Engine) []slot {
	var all []slot
	for _, e := range engines {
		s := slot{engine: e.ID, zone: e.Zone, freedFor: e.FreedFor, prefilling: e.Prefilling, hash: hashString(e.ID)}
		for s.level = 0; s.level < e.Free; s.level++ {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(b.freedFor, a.freedFor), cmp.Compare(a.hash, b.hash), cmp.Compare(a.engine, b.engine))
	})
	return all
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Engine returns the engine assigned to a waiting call; "" if it has to go on waiting.
func (p *Plan) Engine(vm string, id uint64) string {
	for i, c := range p.calls {
		if c.VM == vm && c.ID == id {
			return p.engines[i]
		}
	}
	return ""
}

// Open returns the engines among which a call that the other VMs do not know yet may choose, at
// random because they may send other such calls at the same time. It returns none, and the call
// has to wait, unless many more slots are free than the known calls take.
func (p *Plan) Open(c Call) []string {
	margin := p.snapshot.within(spreadTime)
	if !p.snapshot.prefers(c) {
		margin += p.reserve
	}
	if p.free <= margin {
		return nil
	}
	var open []string
	for _, s := range p.slots {
		if !s.taken && !s.prefilling {
			open = append(open, s.engine)
		}
	}
	return open
}
