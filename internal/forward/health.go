package forward

import (
	"sync"
	"time"
)

// Figures of the judgement of targets by their answers.
const (
	// failWeight is the weight of the latest answer in the failure rate.
	failWeight = 0.25
	// unreachableFirst and unreachableMax bound the time for which a target
	// that could not be reached is avoided; it doubles with each failure.
	unreachableFirst = 300 * time.Millisecond
	unreachableMax   = 4 * time.Second
	// failureFade is the time in which the failure rate halves by itself.
	failureFade = 3 * time.Second
)

// Health judges targets by what became of the requests sent to them.
type Health struct {
	mu      sync.Mutex
	targets map[string]*targetHealth
}

type targetHealth struct {
	failRate  float64
	at        time.Time
	lapses    int
	avoidTill time.Time
	gone      bool
}

// NewHealth returns a Health that knows no failures.
func NewHealth() *Health { return &Health{targets: map[string]*targetHealth{}} }

// Note takes the outcome of a try.
func (h *Health) Note(target string, o outcome, _ time.Duration) {
	if o == callerGone || o == noRoom {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[target]
	if t == nil {
		t = &targetHealth{at: now}
		h.targets[target] = t
	}
	bad := 0.0
	if o == lost || o == failed {
		bad = 1
	}
	t.failRate = t.rate(now)*(1-failWeight) + bad*failWeight
	t.at = now
	switch o {
	case delivered:
		t.lapses = 0
		t.avoidTill = time.Time{}
	case notSent, lost:
		wait := unreachableFirst << min(t.lapses, 4)
		t.lapses++
		t.avoidTill = now.Add(min(wait, unreachableMax))
	}
}

// Gone marks a target whose address belongs to another one.
func (h *Health) Gone(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[target]
	if t == nil {
		t = &targetHealth{}
		h.targets[target] = t
	}
	t.gone = true
}

func (t *targetHealth) rate(now time.Time) float64 {
	faded := now.Sub(t.at).Seconds() / failureFade.Seconds()
	return t.failRate / (1 + faded)
}

// Verdict is the judgement of a target.
type Verdict struct {
	// FailRate estimates the share of requests that fail.
	FailRate float64
	// Avoid is true for a target that did not answer lately.
	Avoid bool
	// Gone is true for a target that exists no more.
	Gone bool
	// Pace is the factor by which the target is slower than usual.
	Pace float64
}

// Verdict returns the judgement of a target at a moment.
func (h *Health) Verdict(target string, now time.Time) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[target]
	if t == nil {
		return Verdict{Pace: 1}
	}
	return Verdict{FailRate: t.rate(now), Avoid: now.Before(t.avoidTill), Gone: t.gone, Pace: 1}
}

// Retain forgets the targets that are not in use any more.
func (h *Health) Retain(inUse func(target string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.targets {
		if !inUse(id) {
			delete(h.targets, id)
		}
	}
}
