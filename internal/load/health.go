package load

import (
	"math"
	"time"
)

const (
	// failuresToExclude is the number of consecutive failures after which a
	// target gets no new work. One lost packet must not exclude it.
	failuresToExclude = 2
	// failuresToBreak is the number of consecutive failures after which
	// attempts on the target are given up.
	failuresToBreak = 3

	backoffFirst = 500 * time.Millisecond
	backoffMax   = 8 * time.Second
	// failureHalfLife is how fast the count of recent failures decays.
	failureHalfLife = 5 * time.Second
)

// healthState is what a target may be used for.
type healthState int

const (
	healthy healthState = iota
	failed              // no new work until the backoff has passed and a poll succeeds
	probing             // one attempt at a time until one succeeds
)

// health is the outlier state of one target. Polls and attempts count apart:
// a target can answer polls while its attempts fail, and the other way round.
type health struct {
	state          healthState
	failedPolls    int
	failedAttempts int
	backoff        time.Duration
	retryAt        time.Duration
	recent         float64 // decayed number of failures
	recentAt       time.Duration
	broken         chan struct{}
	isBroken       bool
}

func newHealth() health { return health{broken: make(chan struct{})} }

// recentFailures returns the decayed number of failures.
func (h *health) recentFailures(now time.Duration) float64 {
	if h.recent < 0.01 {
		return 0
	}
	return h.recent * decay(now-h.recentAt)
}

func decay(d time.Duration) float64 {
	return math.Exp2(-max(0, d.Seconds()) / failureHalfLife.Seconds())
}

func (h *health) note(now time.Duration) {
	h.recent = h.recentFailures(now) + 1
	h.recentAt = now
}

// pollSucceeded takes the answer of a poll. After the backoff it lets one
// attempt through.
func (h *health) pollSucceeded(now time.Duration) {
	h.failedPolls = 0
	h.probe(now)
}

// probe ends the exclusion of a target whose backoff has passed.
func (h *health) probe(now time.Duration) {
	if h.state != failed || now < h.retryAt {
		return
	}
	h.state = probing
	h.failedAttempts = 0
	h.renew()
}

// renew opens a new channel for attempts that start from now on.
func (h *health) renew() {
	if h.isBroken {
		h.broken, h.isBroken = make(chan struct{}), false
	}
}

func (h *health) pollFailed(now time.Duration) {
	h.note(now)
	h.failedPolls++
	if h.failedPolls >= failuresToExclude {
		h.exclude(now)
	}
	if h.failedPolls >= failuresToBreak {
		h.giveUp()
	}
}

func (h *health) attemptSucceeded() {
	h.failedAttempts = 0
	if h.state == probing {
		h.state, h.backoff = healthy, 0
	}
}

func (h *health) attemptFailed(now time.Duration) {
	h.note(now)
	h.failedAttempts++
	if h.state == probing || h.failedAttempts >= failuresToExclude {
		h.exclude(now)
	}
}

// exclude keeps new work away. The backoff doubles with each exclusion that no
// success came between.
func (h *health) exclude(now time.Duration) {
	if h.state == failed && now < h.retryAt {
		return
	}
	h.state = failed
	h.backoff = min(max(2*h.backoff, backoffFirst), backoffMax)
	h.retryAt = now + h.backoff
}

// giveUp tells the attempts of this generation that the target is gone.
func (h *health) giveUp() {
	if !h.isBroken {
		close(h.broken)
		h.isBroken = true
	}
}

// restarted ends a generation: the target lost all attempts of its last life.
func (h *health) restarted() {
	h.giveUp()
	h.renew()
	h.failedAttempts = 0
}
