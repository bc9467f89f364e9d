package usage

import "time"

// Times of the decision.
const (
	// decideDelay is the time after the end of a window before which it is not decided. VMs
	// tell their counts at least each second.
	decideDelay = 1500 * time.Millisecond
	// maxDecideDelay is the time after which a window is decided without the counts of VMs
	// that have not told them: calls and another holder must still be in time.
	maxDecideDelay = 4 * time.Second
	// restoreTolerance is the part of decideDelay by which the clocks of two VMs may differ
	// when one asks whether the other can have decided a window.
	restoreTolerance = 500 * time.Millisecond
)

// situation is what the decision of the next windows rests on. Times are true ones.
type situation struct {
	now      time.Duration
	length   time.Duration // of a window
	deadline time.Duration // of a report, after the end of its window
	// last is the last window that was decided or skipped; 0 if there is none. first is the
	// first window in which a VM counted.
	last, first uint64
	// incomplete is true if windows after last may have been decided, but not after
	// completeAfter: the store was restored from an older copy.
	incomplete    bool
	completeAfter time.Duration
	// missing returns how many VMs that are expected to have not told their counts up to a
	// time.
	missing func(until time.Duration) int
	// known returns what another holder has decided for a window.
	known func(window uint64) (map[string]int64, bool)
}

// choice is the decision of a window.
type choice struct {
	window uint64
	// known holds the counts that another holder has decided.
	known map[string]int64
	// skipped is why no report is made; empty if one is.
	skipped string
}

// The reasons to make no report.
const (
	skippedLate     = "its deadline has passed"
	skippedRestored = "it may have been decided before the store was restored"
)

// decide returns the choices for the windows that can be decided, in order.
func decide(s situation) []choice {
	if s.first == 0 {
		return nil
	}
	var choices []choice
	for w := s.next(); ; w++ {
		c, ready := s.choose(w)
		if !ready {
			return choices
		}
		choices = append(choices, c)
	}
}

// next returns the first window that is not decided. Windows that are too late for a report are
// left out but for the last of them, which is skipped explicitly.
func (s situation) next() uint64 {
	next := max(s.last+1, s.first)
	if expired := s.now - s.deadline; expired > s.length {
		next = max(next, uint64(expired/s.length)-1)
	}
	return next
}

// choose decides a window. ready is false if it is too early.
func (s situation) choose(w uint64) (c choice, ready bool) {
	c.window = w
	end := s.end(w)
	counts, known := s.known(w)
	switch {
	case known && s.now >= end+decideDelay:
		c.known = counts
	case s.incomplete && s.completeAfter >= end+decideDelay-restoreTolerance:
		c.skipped = skippedRestored
	case s.now < end+decideDelay:
		return c, false
	case s.now >= end+s.deadline:
		c.skipped = skippedLate
	case s.now < end+min(maxDecideDelay, s.deadline/2) && s.missing(end) > 0:
		return c, false
	}
	return c, true
}

// end returns the end of a window.
func (s situation) end(w uint64) time.Duration { return time.Duration(w+1) * s.length }

// due returns the true time at which a window may be decided next.
func (s situation) due() time.Duration {
	if s.first == 0 {
		return s.now + decideDelay
	}
	return s.end(s.next()) + decideDelay
}
