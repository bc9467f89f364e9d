package forward

import (
	"context"
	"errors"
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
)

var errSilent = errors.New("the target was silent for too long")

// watch ends a try when its target is silent for too long.
type watch struct {
	timer *time.Timer
}

// newWatch returns a watch that calls cancel after a silence; a limit of 0 means
// none. excuse returns the time by which known work of the target explains the
// silence; the watch waits for it once.
func newWatch(cancel context.CancelCauseFunc, limit time.Duration, excuse func() time.Duration) *watch {
	w := &watch{}
	if limit <= 0 {
		return w
	}
	excused := false
	w.timer = time.AfterFunc(limit, func() {
		if more := excuse(); more > minExcuse && !excused {
			excused = true
			w.timer.Reset(min(more, maxExcuse))
			return
		}
		cancel(errSilent)
	})
	return w
}

// Bounds of the work that excuses a target's silence. Callers of short streams
// give up after two seconds without an event.
const (
	minExcuse = 100 * time.Millisecond
	maxExcuse = 2500 * time.Millisecond
)

func (w *watch) reset(limit time.Duration) {
	if w.timer == nil {
		return
	}
	if limit <= 0 {
		w.timer.Stop()
		return
	}
	w.timer.Reset(limit)
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// firstEventLimit returns how long a target may take to begin its answer; 0
// when no other target may get the request afterwards.
func firstEventLimit(c *call, d *destination) time.Duration {
	if !c.route.Repeatable() || c.sent+1 >= c.route.MaxTargets {
		return 0
	}
	if c.route.Kind == topology.Idempotent {
		return min(plainFactor*c.route.Objective, c.left()/2)
	}
	return 2*d.firstEvent + firstEventGrace
}

// pauseLimit returns how long a stream may pause before it goes on elsewhere.
func pauseLimit(c *call) time.Duration {
	if !c.route.Repeatable() || c.sent >= c.route.MaxTargets {
		return 0
	}
	return max(minSilence, pauseFactor*c.route.PauseLimit)
}
