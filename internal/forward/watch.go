package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// Limits of a target's silence.
const (
	// firstEventGrace is added to twice the predicted time to the first event.
	firstEventGrace = 1500 * time.Millisecond
	// minEventGap and pauseFactor bound the pause between events after which a
	// stream goes on elsewhere, before its caller gives up.
	minEventGap    = 1200 * time.Millisecond
	eventGapFactor = 3
	// idempotentFactor is the number of objectives after which another target gets an
	// idempotent request.
	idempotentFactor = 2
	// probeAfter is the silence after which it is tried whether the target can
	// be reached at all, and suspectAgain the time between later tries.
	probeAfter    = 400 * time.Millisecond
	probeInterval = 800 * time.Millisecond
	// Bounds of the work that excuses a target's silence. Callers of short
	// streams give up after two seconds without an event.
	minPrefillGrace = 100 * time.Millisecond
	maxPrefillGrace = 2500 * time.Millisecond
)

var (
	errStalled     = errors.New("the target was silent for too long")
	errUnreachable = errors.New("the target cannot be reached")
)

// watchdog ends a try when its target is found dead, or silent for too long while
// another target could take the request.
type watchdog struct {
	h      *Handler
	target *topology.Target
	// hasAlternative reports whether another target could take the request.
	hasAlternative func() bool
	cancel         context.CancelCauseFunc

	mu        sync.Mutex
	timer     *time.Timer
	timeout   time.Duration // 0 when the try must not be ended
	remaining time.Duration // of the limit, when the timer fires next
	graceUsed bool
	stopped   bool
}

// newWatchdog returns a watch with a limit of silence; 0 means none.
func (h *Handler) newWatchdog(target *topology.Target, elsewhere func() bool, cancel context.CancelCauseFunc, limit time.Duration) *watchdog {
	w := &watchdog{h: h, target: target, hasAlternative: elsewhere, cancel: cancel}
	w.timer = time.AfterFunc(time.Hour, w.onTimer)
	h.watchdogs.add(w)
	w.reset(limit)
	return w
}

// reset starts the silence anew.
func (w *watchdog) reset(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timeout, w.graceUsed = limit, false
	if limit <= 0 {
		w.timer.Stop()
		return
	}
	next := min(probeAfter, limit)
	w.remaining = limit - next
	w.timer.Reset(next)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	w.mu.Unlock()
	w.h.watchdogs.remove(w)
}

// abort cancels the try unless it must not be ended.
func (w *watchdog) abort(cause error) {
	w.mu.Lock()
	ends := w.timeout > 0 && !w.stopped
	w.mu.Unlock()
	if ends {
		w.cancel(cause)
	}
}

// onTimer runs while the target is silent: it is tried whether the target can be
// reached, and at the limit the try ends unless the target's known work explains
// the silence.
func (w *watchdog) onTimer() {
	w.mu.Lock()
	if w.timeout <= 0 || w.stopped {
		w.mu.Unlock()
		return
	}
	left, excused := w.remaining, w.graceUsed
	next := min(probeInterval, left)
	w.remaining -= next
	if left <= 0 {
		w.graceUsed = true
	}
	w.mu.Unlock()
	if left > 0 {
		w.rearm(next)
		if !w.h.reachable(w.target) {
			w.h.abortUnreachable(w.target)
		}
		return
	}
	if more := w.h.prefillBacklog(w.target); more > minPrefillGrace && !excused {
		w.rearm(min(more, maxPrefillGrace))
		return
	}
	if !w.hasAlternative() {
		w.rearm(probeInterval)
		return
	}
	w.abort(errStalled)
}

func (w *watchdog) rearm(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(d)
	}
}

// watchdogSet holds the watches of all tries by target.
type watchdogSet struct {
	mu       sync.Mutex
	byTarget map[string]map[*watchdog]bool
}

func (s *watchdogSet) add(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTarget == nil {
		s.byTarget = map[string]map[*watchdog]bool{}
	}
	if s.byTarget[w.target.ID] == nil {
		s.byTarget[w.target.ID] = map[*watchdog]bool{}
	}
	s.byTarget[w.target.ID][w] = true
}

func (s *watchdogSet) remove(w *watchdog) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byTarget[w.target.ID], w)
	if len(s.byTarget[w.target.ID]) == 0 {
		delete(s.byTarget, w.target.ID)
	}
}

func (s *watchdogSet) forTarget(target string) []*watchdog {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*watchdog
	for w := range s.byTarget[target] {
		all = append(all, w)
	}
	return all
}

// reachable tries whether a target takes a connection. Two tries at once keep a
// lost packet from being taken for a dead target. Tries of one target are
// shared.
func (h *Handler) reachable(t *topology.Target) bool {
	if known, ok := h.Health.recentProbe(t.ID); ok {
		return known
	}
	const tries = 2
	answers := make(chan bool, tries)
	for range tries {
		go func() { answers <- h.Pool.CanConnect(t.Address) }()
	}
	ok := false
	for range tries {
		ok = <-answers || ok
	}
	h.Health.recordProbe(t.ID, ok)
	return ok
}

// abortUnreachable ends all tries at a target that cannot be reached.
func (h *Handler) abortUnreachable(t *topology.Target) {
	watches := h.watchdogs.forTarget(t.ID)
	h.Log.Warn("target cannot be reached", "target", t.ID, "zone", t.Zone, "tries", len(watches))
	h.Health.MarkUnreachable(t.ID)
	for _, w := range watches {
		w.abort(errUnreachable)
	}
}

// firstEventTimeout returns how long a target may take to begin its answer; 0
// when no other target may get the request afterwards.
func firstEventTimeout(c *call, d *destination) time.Duration {
	if !c.route.Retryable() || c.attemptsSent+1 >= c.route.MaxTargets {
		return 0
	}
	if c.route.Kind == topology.Idempotent {
		return min(idempotentFactor*c.route.Objective, c.remaining()/2)
	}
	return 2*d.firstEvent + firstEventGrace
}

// eventGapTimeout returns how long a stream may pause before it goes on elsewhere.
func eventGapTimeout(c *call) time.Duration {
	if !c.route.Retryable() || c.attemptsSent >= c.route.MaxTargets {
		return 0
	}
	return max(minEventGap, eventGapFactor*c.route.MaxEventGap)
}
