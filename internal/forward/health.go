package forward

import (
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
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
	// reached tells the result of the last try of a connection, at reachedAt.
	reached   bool
	reachedAt time.Time
	// peerTill is the time until which another VM's word counts that it cannot
	// reach the target.
	peerTill time.Time
}

// NewHealth returns a Health that knows no failures.
func NewHealth() *Health { return &Health{targets: map[string]*targetHealth{}} }

// RecordOutcome takes the outcome of a try.
func (h *Health) RecordOutcome(target string, o outcome) {
	if o == callerGone || o == noRoom {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.of(target, now)
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

// of returns the entry of a target. The lock must be held.
func (h *Health) of(target string, now time.Time) *targetHealth {
	t := h.targets[target]
	if t == nil {
		t = &targetHealth{at: now}
		h.targets[target] = t
	}
	return t
}

// reachedFor is how long the result of a try of a connection holds.
const reachedFor = 300 * time.Millisecond

// reached returns the result of a recent try of a connection, if there is one.
func (h *Health) reached(target string) (result, known bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.of(target, now)
	return t.reached, !t.reachedAt.IsZero() && now.Sub(t.reachedAt) < reachedFor
}

func (h *Health) noteReached(target string, ok bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.of(target, now)
	t.reached, t.reachedAt = ok, now
}

// MarkUnreachable notes that a target takes no connection.
func (h *Health) MarkUnreachable(target string) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.of(target, now)
	t.lapses = max(t.lapses, 1)
	t.avoidTill = now.Add(min(unreachableFirst<<min(t.lapses+1, 4), unreachableMax))
}

// UnreachableTargets returns the targets that this VM itself found unreachable.
func (h *Health) UnreachableTargets() []string {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for id, t := range h.targets {
		if now.Before(t.avoidTill) {
			ids = append(ids, id)
		}
	}
	return ids
}

// peerWord is how long another VM's word counts.
const peerWord = 600 * time.Millisecond

// MarkSuspect takes the targets that another VM finds unreachable.
func (h *Health) MarkSuspect(targets []string) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range targets {
		h.of(id, now).peerTill = now.Add(peerWord)
	}
}

// MarkReplaced marks a target whose address belongs to another one.
func (h *Health) MarkReplaced(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.of(target, time.Now()).gone = true
}

func (t *targetHealth) rate(now time.Time) float64 {
	faded := now.Sub(t.at).Seconds() / failureFade.Seconds()
	return t.failRate / (1 + faded)
}

// HealthStatus is the judgement of a target.
type HealthStatus struct {
	// FailureRate estimates the share of requests that fail.
	FailureRate float64
	// Unreachable is true for a target that did not answer lately.
	Unreachable bool
	// Suspect is true for a target that another VM cannot reach.
	Suspect bool
	// Replaced is true for a target that exists no more.
	Replaced bool
}

// Status returns the judgement of a target at a moment.
func (h *Health) Status(target string, now time.Time) HealthStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[target]
	if t == nil {
		return HealthStatus{}
	}
	return HealthStatus{FailureRate: t.rate(now), Unreachable: now.Before(t.avoidTill), Suspect: now.Before(t.peerTill), Replaced: t.gone}
}

// A zone is doubted when at least doubtedMin of its targets and doubtedShare of
// them are avoided: the others were probably lost with them, and each try at one
// costs the caller time.
const (
	doubtedMin   = 2
	doubtedShare = 0.3
)

// doubtedZones returns the zones in which several of the targets are avoided; nil
// if there are none.
func (h *Health) doubtedZones(targets []*topology.Target, now time.Time) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, avoided := map[string]int{}, map[string]int{}
	for _, t := range targets {
		all[t.Zone]++
		if known := h.targets[t.ID]; known != nil && now.Before(known.avoidTill) {
			avoided[t.Zone]++
		}
	}
	var doubted map[string]bool
	for zone, n := range avoided {
		if n < doubtedMin || float64(n) < doubtedShare*float64(all[zone]) {
			continue
		}
		if doubted == nil {
			doubted = map[string]bool{}
		}
		doubted[zone] = true
	}
	return doubted
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
