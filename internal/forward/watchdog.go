package forward

import (
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
	// between events after which a standby attempt starts, before the caller gives up.
	minEventGap    = 1200 * time.Millisecond
	eventGapFactor = 3
	// idempotentFactor times the route's objective is the time after which an idempotent
	// request is sent to another target, too.
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
	errUnreachable = errors.New("target accepts no connection")
)

// watchdog reports that the target of an attempt is silent: that it sent nothing for too
// long, or accepts no connection. A sound target may be silent for a while, so the attempt
// goes on.
type watchdog struct {
	h      *Handler
	target *topology.Target
	// onSilent is called with the cause and the time since the last sign of the target, again
	// and again while the target is silent.
	onSilent func(cause error, silence time.Duration)

	mu        sync.Mutex
	timer     *time.Timer
	timeout   time.Duration // 0 if no other target could take the request
	remaining time.Duration // of the timeout, when the timer fires next
	resetAt   time.Time
	graceUsed bool
	stopped   bool
}

// newWatchdog returns a watchdog with an inactivity timeout; 0 means none.
func (h *Handler) newWatchdog(target *topology.Target, onSilent func(error, time.Duration), timeout time.Duration) *watchdog {
	w := &watchdog{h: h, target: target, onSilent: onSilent}
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
	w.timeout, w.graceUsed, w.resetAt = timeout, false, time.Now()
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

// restart restarts the watchdog with the same timeout.
func (w *watchdog) restart() {
	w.mu.Lock()
	timeout := w.timeout
	w.mu.Unlock()
	w.reset(timeout)
}

// report calls onSilent unless no other target could take the request, or the target has
// gone on since the timer fired.
func (w *watchdog) report(cause error) {
	w.mu.Lock()
	silence := time.Since(w.resetAt)
	active := w.timeout > 0 && !w.stopped
	wentOn := errors.Is(cause, errStalled) && silence < w.timeout
	w.mu.Unlock()
	if active && !wentOn {
		w.onSilent(cause, silence)
	}
}

// onTimer runs while the target is inactive. It probes whether the target is reachable. After
// the timeout it reports the silence, unless the target's known prefill backlog explains it,
// which is accepted once.
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
			w.h.reportUnreachable(w.target)
		}
		return
	}
	if backlog := w.h.prefillBacklog(w.target); backlog > minPrefillGrace && !graceUsed {
		w.rearm(min(backlog, maxPrefillGrace))
		return
	}
	w.rearm(probeInterval)
	w.report(errStalled)
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

// reportUnreachable records that a target accepts no connection, and reports it to all
// attempts at the target.
func (h *Handler) reportUnreachable(t *topology.Target) {
	watchdogs := h.watchdogs.forTarget(t.ID)
	h.Log.Warn("target unreachable", "target", t.ID, "zone", t.Zone, "tries", len(watchdogs))
	h.Health.MarkUnreachable(t.ID)
	for _, w := range watchdogs {
		w.report(errUnreachable)
	}
}

// firstEventTimeout returns how long a target may take to begin its response before it counts
// as silent; 0 if no other target may get the request.
func firstEventTimeout(c *call, d *destination) time.Duration {
	if !c.route.Retryable() || c.attemptsSent >= c.route.MaxTargets {
		return 0
	}
	if c.route.Kind == topology.Idempotent {
		return min(idempotentFactor*c.route.Objective, c.remaining()/2)
	}
	return 2*d.firstEvent + firstEventGrace
}

// eventGapTimeout returns how long a stream may pause before its target counts as silent; 0 if
// no other target may get the request.
func eventGapTimeout(route *topology.Route, repeatable bool) time.Duration {
	if !route.Retryable() || !repeatable {
		return 0
	}
	return max(minEventGap, eventGapFactor*route.MaxEventGap)
}
