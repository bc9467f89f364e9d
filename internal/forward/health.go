package forward

import (
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// Figures of the judgement of targets by their answers.
const (
	// failureWeight is the weight of the latest answer in the failure rate.
	failureWeight = 0.25
	// unreachableMin and unreachableMax bound the time for which a target
	// that could not be reached is avoided; it doubles with each failure.
	unreachableMin = 300 * time.Millisecond
	unreachableMax = 4 * time.Second
	// failureHalfLife is the time in which the failure rate halves by itself.
	failureHalfLife = 3 * time.Second
)

// Health judges targets by what became of the requests sent to them.
type Health struct {
	mu      sync.Mutex
	targets map[string]*targetHealth
}

type targetHealth struct {
	failureRate         float64
	updatedAt           time.Time
	consecutiveFailures int
	unreachableUntil    time.Time
	replaced            bool
	// probeSucceeded tells the result of the last try of a connection, at reachedAt.
	probeSucceeded bool
	probedAt       time.Time
	// suspectUntil is the time until which another VM's word counts that it cannot
	// reach the target.
	suspectUntil time.Time
}

// NewHealth returns a Health that knows no failures.
func NewHealth() *Health { return &Health{targets: map[string]*targetHealth{}} }

// RecordOutcome takes the outcome of a try.
func (h *Health) RecordOutcome(target string, o outcome) {
	if o == callerDisconnected || o == noCapacity {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.entry(target, now)
	bad := 0.0
	if o == outcomeUnknown || o == failed {
		bad = 1
	}
	t.failureRate = t.decayedFailureRate(now)*(1-failureWeight) + bad*failureWeight
	t.updatedAt = now
	switch o {
	case delivered:
		t.consecutiveFailures = 0
		t.unreachableUntil = time.Time{}
	case notSent, outcomeUnknown:
		wait := unreachableMin << min(t.consecutiveFailures, 4)
		t.consecutiveFailures++
		t.unreachableUntil = now.Add(min(wait, unreachableMax))
	}
}

// entry returns the entry of a target. The lock must be held.
func (h *Health) entry(target string, now time.Time) *targetHealth {
	t := h.targets[target]
	if t == nil {
		t = &targetHealth{updatedAt: now}
		h.targets[target] = t
	}
	return t
}

// probeResultTTL is how long the result of a try of a connection holds.
const probeResultTTL = 300 * time.Millisecond

// recentProbe returns the result of a recent try of a connection, if there is one.
func (h *Health) recentProbe(target string) (result, known bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.entry(target, now)
	return t.probeSucceeded, !t.probedAt.IsZero() && now.Sub(t.probedAt) < probeResultTTL
}

func (h *Health) recordProbe(target string, ok bool) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.entry(target, now)
	t.probeSucceeded, t.probedAt = ok, now
}

// MarkUnreachable notes that a target takes no connection.
func (h *Health) MarkUnreachable(target string) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.entry(target, now)
	t.consecutiveFailures = max(t.consecutiveFailures, 1)
	t.unreachableUntil = now.Add(min(unreachableMin<<min(t.consecutiveFailures+1, 4), unreachableMax))
}

// UnreachableTargets returns the targets that this VM itself found unreachable.
func (h *Health) UnreachableTargets() []string {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for id, t := range h.targets {
		if now.Before(t.unreachableUntil) {
			ids = append(ids, id)
		}
	}
	return ids
}

// peerReportTTL is how long another VM's word counts.
const peerReportTTL = 600 * time.Millisecond

// MarkSuspect takes the targets that another VM finds unreachable.
func (h *Health) MarkSuspect(targets []string) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range targets {
		h.entry(id, now).suspectUntil = now.Add(peerReportTTL)
	}
}

// MarkReplaced marks a target whose address belongs to another one.
func (h *Health) MarkReplaced(target string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entry(target, time.Now()).replaced = true
}

func (t *targetHealth) decayedFailureRate(now time.Time) float64 {
	faded := now.Sub(t.updatedAt).Seconds() / failureHalfLife.Seconds()
	return t.failureRate / (1 + faded)
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
	return HealthStatus{FailureRate: t.decayedFailureRate(now), Unreachable: now.Before(t.unreachableUntil), Suspect: now.Before(t.suspectUntil), Replaced: t.replaced}
}

// A zone is doubted when at least doubtedMin of its targets and doubtedShare of
// them are avoided: the others were probably lost with them, and each try at one
// costs the caller time.
const (
	suspectZoneMinTargets = 2
	suspectZoneMinShare   = 0.3
)

// suspectZones returns the zones in which several of the targets are avoided; nil
// if there are none.
func (h *Health) suspectZones(targets []*topology.Target, now time.Time) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, avoided := map[string]int{}, map[string]int{}
	for _, t := range targets {
		all[t.Zone]++
		if known := h.targets[t.ID]; known != nil && now.Before(known.unreachableUntil) {
			avoided[t.Zone]++
		}
	}
	var doubted map[string]bool
	for zone, n := range avoided {
		if n < suspectZoneMinTargets || float64(n) < suspectZoneMinShare*float64(all[zone]) {
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
