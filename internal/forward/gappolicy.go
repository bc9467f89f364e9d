package forward

import "sync/atomic"

// gapPolicy decides which gaps between the ids of two events are taken for those of a stream. A call
// has one, and each run of its stream gets a copy. The copies share the steps that were confirmed;
// the gap that an earlier run left unconfirmed is, for each run, that of its start.
type gapPolicy struct {
	// largestStep is the largest confirmed difference of the ids of two events; 0 if none was
	// confirmed. A run beside a standby attempt may confirm a step at the same time.
	largestStep *atomic.Int64
	// A gap before the last event of a run cannot be confirmed by a later event.
	// repeatable is true if another run can show whether the event is there, too.
	repeatable bool
	// seen is the id of the event behind such a gap in an earlier run; "" without one.
	seen string
}

// newGapPolicy returns the policy of a call before its first run.
func newGapPolicy(repeatable bool) gapPolicy {
	return gapPolicy{largestStep: new(atomic.Int64), repeatable: repeatable}
}

// isConfirmed reports whether a difference of the ids of two events needs no later event to show
// that it is no fault.
func (p gapPolicy) isConfirmed(step int64) bool { return step <= max(p.largestStep.Load(), 1) }

// confirm records a difference that a later event has shown to be that of the stream. If another run
// confirms a larger one at the same time, the larger one remains.
func (p gapPolicy) confirm(step int64) {
	for {
		largest := p.largestStep.Load()
		if step <= largest || p.largestStep.CompareAndSwap(largest, step) {
			return
		}
	}
}

// acceptsAtEnd reports whether a run may end after an event behind a gap that is not confirmed:
// no other run can show more, or an earlier one has ended with the same event.
func (p gapPolicy) acceptsAtEnd(id string) bool { return !p.repeatable || id == p.seen }

// recordUnconfirmed records the event behind a gap with which a run has ended, for later runs.
func (p *gapPolicy) recordUnconfirmed(id string) { p.seen = id }
