package load

import (
	"math"
	"time"
)

const (
	// failuresToEject is the number of consecutive failures after which a target
	// is ejected, that is, gets no new requests. One lost packet must not eject it.
	failuresToEject = 2
	// failuresToAbort is the number of consecutive polls without an answer after which
	// the attempts on the target are aborted.
	failuresToAbort = 3

	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// failureHalfLife is the half-life of the decayed failure count.
	failureHalfLife = 5 * time.Second
)

// healthState is the state of a target's circuit breaker.
type healthState int

const (
	healthy healthState = iota
	ejected             // open: no new requests until the back-off has passed and a poll succeeds
	probing             // half-open: one attempt at a time until one succeeds
)

// health is the circuit breaker of one target. Failures of polls and attempts are
// counted separately, because a target may respond to polls while its attempts
// fail, and vice versa.
type health struct {
	state           healthState
	failedPolls     int
	unansweredPolls int // failed polls in a row without an answer
	failedAttempts  int
	backoff         time.Duration
	retryAt         time.Duration
	decayedFailures float64 // exponentially decayed number of failures
	decayedAt       time.Duration
	abort           chan struct{}
	abortClosed     bool
}

func newHealth() health { return health{abort: make(chan struct{})} }

// recentFailures returns the exponentially decayed number of failures.
func (h *health) recentFailures(now time.Duration) float64 {
	if h.decayedFailures < 0.01 {
		return 0
	}
	return h.decayedFailures * decay(now-h.decayedAt)
}

func decay(d time.Duration) float64 {
	return math.Exp2(-max(0, d.Seconds()) / failureHalfLife.Seconds())
}

func (h *health) recordFailure(now time.Duration) {
	h.decayedFailures = h.recentFailures(now) + 1
	h.decayedAt = now
}

// pollSucceeded records a successful poll. If the back-off has passed, it changes an
// ejected target to probing.
func (h *health) pollSucceeded(now time.Duration) {
	h.failedPolls, h.unansweredPolls = 0, 0
	h.probe(now)
}

// probe changes an ejected target to probing if its back-off has passed.
func (h *health) probe(now time.Duration) {
	if h.state != ejected || now < h.retryAt {
		return
	}
	h.state = probing
	h.failedAttempts = 0
	h.renewAbort()
}

// renewAbort replaces a closed abort channel for attempts that start from now on.
func (h *health) renewAbort() {
	if h.abortClosed {
		h.abort, h.abortClosed = make(chan struct{}), false
	}
}

// pollFailed records a failed poll. One that the target answered, but not with its load, stops new
// requests like any other, but says that the target is running.
func (h *health) pollFailed(now time.Duration, answered bool) {
	h.recordFailure(now)
	h.failedPolls++
	h.unansweredPolls++
	if answered {
		h.unansweredPolls = 0
	}
	if h.failedPolls >= failuresToEject {
		h.eject(now)
	}
	if h.unansweredPolls >= failuresToAbort {
		h.abortAttempts()
	}
}

// failing reports whether polls fail but the attempts on the target have not been aborted
// yet. The back-off must not delay the polls that decide that.
func (h *health) failing() bool {
	return h.unansweredPolls > 0 && h.unansweredPolls < failuresToAbort
}

func (h *health) attemptSucceeded() {
	h.failedAttempts = 0
	if h.state == probing {
		h.state, h.backoff = healthy, 0
	}
}

func (h *health) attemptFailed(now time.Duration) {
	h.recordFailure(now)
	h.failedAttempts++
	if h.state == probing || h.failedAttempts >= failuresToEject {
		h.eject(now)
	}
}

// eject stops new requests to the target. The back-off doubles with each ejection
// without a successful attempt in between.
func (h *health) eject(now time.Duration) {
	if h.state == ejected && now < h.retryAt {
		return
	}
	h.state = ejected
	h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
	h.retryAt = now + h.backoff
}

// abortAttempts signals the current attempts that the target has failed.
func (h *health) abortAttempts() {
	if !h.abortClosed {
		close(h.abort)
		h.abortClosed = true
	}
}

// targetRestarted aborts the current attempts, because the target lost them in its
// restart.
func (h *health) targetRestarted() {
	h.abortAttempts()
	h.renewAbort()
	h.failedAttempts = 0
}
