package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// Limits of a target's inactivity.
const (
	// firstEventGrace is added to twice the predicted time to the first event.
	firstEventGrace = 1500 * time.Millisecond
	// minEventGap and eventGapFactor, times the route's maximum event gap, bound the gap
	// between events after which a stream continues at another target, before its caller
	// gives up.
	minEventGap    = 1200 * time.Millisecond
	eventGapFactor = 3
	// idempotentFactor times the route's objective is the time after which an idempotent
	// request is sent to another target.
	idempotentFactor = 2
	// probeAfter is the inactivity after which a connection probe tests whether the target
	// is reachable at all, and probeInterval the time between later probes.
	probeAfter    = 400 * time.Millisecond
	probeInterval = 800 * time.Millisecond
	// Bounds of the prefill backlog that explains a target's inactivity. Callers of short
	// streams give up after two seconds without an event.
	minPrefillGrace = 100 * time.Millisecond
	maxPrefillGrace = 2500 * time.Millisecond
)

var (
	errStalled     = errors.New("target sent nothing for too long")
	errUnreachable = errors.New("target is unreachable")
)

// watchdog aborts an attempt when its target is found unreachable, or is inactive for too
// long while another target could take the request.
type watchdog struct {
	h      *Handler
	target *topology.Target
	// hasAlternative reports whether another target could take the request.
	hasAlternative func() bool
	cancel         context.CancelCauseFunc

	mu        sync.Mutex
	timer     *time.Timer
	timeout   time.Duration // 0 if the attempt must not be aborted
	remaining time.Duration // of the timeout, when the timer fires next
	graceUsed bool
	stopped   bool
}

// newWatchdog returns a watchdog with an inactivity timeout; 0 means none.
func (h *Handler) newWatchdog(target *topology.Target, hasAlternative func() bool, cancel context.CancelCauseFunc, timeout time.Duration) *watchdog {
	w := &watchdog{h: h, target: target, hasAlternative: hasAlternative, cancel: cancel}
	w.timer = time.AfterFunc(time.Hour, w.onTimer)
	h.watchdogs.add(w)
	w.reset(timeout)
	return w
}

// reset restarts the watchdog with an inactivity timeout.
func (w *watchdog) reset(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timeout, w.graceUsed = timeout, false
	if timeout <= 0 {
		w.timer.Stop()
		return
	}
	next := min(probeAfter, timeout)
	w.remaining = timeout - next
	w.timer.Reset(next)
}

func (w *watchdog) stop() {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	w.mu.Unlock()
	w.h.watchdogs.remove(w)
}

// abort cancels the attempt unless it must not be aborted.
func (w *watchdog) abort(cause error) {
	w.mu.Lock()
	active := w.timeout > 0 && !w.stopped
	w.mu.Unlock()
	if active {
		w.cancel(cause)
	}
}

// onTimer runs while the target is inactive. It probes whether the target is reachable. At
// the timeout it aborts the attempt, unless the target's known prefill backlog explains the
// inactivity, which is accepted once, or no other target could take the request.
func (w *watchdog) onTimer() {
	w.mu.Lock()
	if w.timeout <= 0 || w.stopped {
		w.mu.Unlock()
		return
	}
	remaining, graceUsed := w.remaining, w.graceUsed
	next := min(probeInterval, remaining)
	w.remaining -= next
	if remaining <= 0 {
		w.graceUsed = true
	}
	w.mu.Unlock()
	if remaining > 0 {
		w.rearm(next)
		if !w.h.reachable(w.target) {
			w.h.abortUnreachable(w.target)
		}
		return
	}
	if backlog := w.h.prefillBacklog(w.target); backlog > minPrefillGrace && !graceUsed {
		w.rearm(min(backlog, maxPrefillGrace))
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

// watchdogSet holds the watchdogs of all attempts by target.
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

// reachable probes whether a target accepts a connection. Two probes at once keep a lost
// packet from being taken for an unreachable target. Callers share the results of recent
// probes.
func (h *Handler) reachable(t *topology.Target) bool {
	if known, ok := h.Health.recentProbe(t.ID); ok {
		return known
	}
	const probes = 2
	results := make(chan bool, probes)
	for range probes {
		go func() { results <- h.Pool.CanConnect(t.Address) }()
	}
	ok := false
	for range probes {
		ok = <-results || ok
	}
	h.Health.recordProbe(t.ID, ok)
	return ok
}

// abortUnreachable aborts all attempts at a target that is unreachable.
func (h *Handler) abortUnreachable(t *topology.Target) {
	watchdogs := h.watchdogs.forTarget(t.ID)
	h.Log.Warn("target unreachable", "target", t.ID, "zone", t.Zone, "tries", len(watchdogs))
	h.Health.MarkUnreachable(t.ID)
	for _, w := range watchdogs {
		w.abort(errUnreachable)
	}
}

// firstEventTimeout returns how long a target may take to begin its response; 0 if no
// other target may get the request afterwards.
func firstEventTimeout(c *call, d *destination) time.Duration {
	if !c.route.Retryable() || c.attemptsSent+1 >= c.route.MaxTargets {
		return 0
	}
	if c.route.Kind == topology.Idempotent {
		return min(idempotentFactor*c.route.Objective, c.remaining()/2)
	}
	return 2*d.firstEvent + firstEventGrace
}

// eventGapTimeout returns how long a stream may pause before it continues at another
// target.
func eventGapTimeout(c *call) time.Duration {
	if !c.route.Retryable() || c.attemptsSent >= c.route.MaxTargets {
		return 0
	}
	return max(minEventGap, eventGapFactor*c.route.MaxEventGap)
}
