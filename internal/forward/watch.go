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
	// minSilence and pauseFactor bound the pause between events after which a
	// stream goes on elsewhere, before its caller gives up.
	minSilence  = 1200 * time.Millisecond
	pauseFactor = 3
	// plainFactor is the number of objectives after which another target gets an
	// idempotent request.
	plainFactor = 2
	// suspectAfter is the silence after which it is tried whether the target can
	// be reached at all, and suspectAgain the time between later tries.
	suspectAfter = 400 * time.Millisecond
	suspectAgain = 800 * time.Millisecond
	// Bounds of the work that excuses a target's silence. Callers of short
	// streams give up after two seconds without an event.
	minExcuse = 100 * time.Millisecond
	maxExcuse = 2500 * time.Millisecond
)

var (
	errSilent = errors.New("the target was silent for too long")
	errDead   = errors.New("the target cannot be reached")
)

// watch ends a try when its target is found dead, or silent for too long while
// another target could take the request.
type watch struct {
	h      *Handler
	target *topology.Target
	// elsewhere reports whether another target could take the request.
	elsewhere func() bool
	cancel    context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	limit   time.Duration // 0 when the try must not be ended
	left    time.Duration // of the limit, when the timer fires next
	excused bool
	stopped bool
}

// newWatch returns a watch with a limit of silence; 0 means none.
func (h *Handler) newWatch(target *topology.Target, elsewhere func() bool, cancel context.CancelCauseFunc, limit time.Duration) *watch {
	w := &watch{h: h, target: target, elsewhere: elsewhere, cancel: cancel}
	w.timer = time.AfterFunc(time.Hour, w.fire)
	h.watches.add(w)
	w.reset(limit)
	return w
}

// reset starts the silence anew.
func (w *watch) reset(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.limit, w.excused = limit, false
	if limit <= 0 {
		w.timer.Stop()
		return
	}
	next := min(suspectAfter, limit)
	w.left = limit - next
	w.timer.Reset(next)
}

func (w *watch) stop() {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	w.mu.Unlock()
	w.h.watches.remove(w)
}

// end cancels the try unless it must not be ended.
func (w *watch) end(cause error) {
	w.mu.Lock()
	ends := w.limit > 0 && !w.stopped
	w.mu.Unlock()
	if ends {
		w.cancel(cause)
	}
}

// fire runs while the target is silent: it is tried whether the target can be
// reached, and at the limit the try ends unless the target's known work explains
// the silence.
func (w *watch) fire() {
	w.mu.Lock()
	if w.limit <= 0 || w.stopped {
		w.mu.Unlock()
		return
	}
	left, excused := w.left, w.excused
	next := min(suspectAgain, left)
	w.left -= next
	if left <= 0 {
		w.excused = true
	}
	w.mu.Unlock()
	if left > 0 {
		w.rearm(next)
		if !w.h.reachable(w.target) {
			w.h.dead(w.target)
		}
		return
	}
	if more := w.h.reading(w.target); more > minExcuse && !excused {
		w.rearm(min(more, maxExcuse))
		return
	}
	if !w.elsewhere() {
		w.rearm(suspectAgain)
		return
	}
	w.end(errSilent)
}

func (w *watch) rearm(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(d)
	}
}

// watches holds the watches of all tries by target.
type watches struct {
	mu       sync.Mutex
	byTarget map[string]map[*watch]bool
}

func (s *watches) add(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTarget == nil {
		s.byTarget = map[string]map[*watch]bool{}
	}
	if s.byTarget[w.target.ID] == nil {
		s.byTarget[w.target.ID] = map[*watch]bool{}
	}
	s.byTarget[w.target.ID][w] = true
}

func (s *watches) remove(w *watch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byTarget[w.target.ID], w)
	if len(s.byTarget[w.target.ID]) == 0 {
		delete(s.byTarget, w.target.ID)
	}
}

func (s *watches) of(target string) []*watch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*watch
	for w := range s.byTarget[target] {
		all = append(all, w)
	}
	return all
}

// reachable tries whether a target takes a connection. Two tries at once keep a
// lost packet from being taken for a dead target. Tries of one target are
// shared.
func (h *Handler) reachable(t *topology.Target) bool {
	if known, ok := h.Health.reached(t.ID); ok {
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
	h.Health.noteReached(t.ID, ok)
	return ok
}

// dead ends all tries at a target that cannot be reached.
func (h *Handler) dead(t *topology.Target) {
	watches := h.watches.of(t.ID)
	h.Log.Warn("target cannot be reached", "target", t.ID, "zone", t.Zone, "tries", len(watches))
	h.Health.MarkUnreachable(t.ID)
	for _, w := range watches {
		w.end(errDead)
	}
}

// firstEventLimit returns how long a target may take to begin its answer; 0
// when no other target may get the request afterwards.
func firstEventLimit(c *call, d *destination) time.Duration {
	if !c.route.Retryable() || c.sent+1 >= c.route.MaxTargets {
		return 0
	}
	if c.route.Kind == topology.Idempotent {
		return min(plainFactor*c.route.Objective, c.left()/2)
	}
	return 2*d.firstEvent + firstEventGrace
}

// pauseLimit returns how long a stream may pause before it goes on elsewhere.
func pauseLimit(c *call) time.Duration {
	if !c.route.Retryable() || c.sent >= c.route.MaxTargets {
		return 0
	}
	return max(minSilence, pauseFactor*c.route.MaxEventGap)
}
