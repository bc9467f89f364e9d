package forward

import (
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// Parameters of the health of targets.
const (
	// failureWeight is the weight of the latest outcome in the moving average of failures.
	failureWeight = 0.25
	// unreachableMin and unreachableMax bound the time for which a target counts as
	// unreachable; it doubles with each consecutive failure.
	unreachableMin = 300 * time.Millisecond
	unreachableMax = 4 * time.Second
	// failureHalfLife is the time after which the failure rate halves without new outcomes.
	failureHalfLife = 3 * time.Second
)

// Health tracks the health of targets from the outcomes of requests, connection probes and
// reports of other VMs.
type Health struct {
	mu      sync.Mutex
	targets map[string]*targetHealth
	notices map[string]*notice // by target
}

type targetHealth struct {
	failureRate         float64
	updatedAt           time.Time
	consecutiveFailures int
	unreachableUntil    time.Time
	// invalidResponses is true if the latest failure was an invalid response: the target can be
	// reached, which says nothing about others in its zone.
	invalidResponses bool
	// probeSucceeded is the result of the last connection probe, at probedAt.
	probeSucceeded bool
	probedAt       time.Time
	// suspectUntil is the time until which another VM's report that it cannot reach the
	// target is valid.
	suspectUntil time.Time
	// unknownRequests is the number of requests at the target that this VM did not know
	// of when the target reported its load.
	unknownRequests int
	loadReportedAt  time.Time
}

// NewHealth returns a Health without recorded failures.
func NewHealth() *Health {
	return &Health{targets: map[string]*targetHealth{}, notices: map[string]*notice{}}
}

// RecordOutcome records the outcome of an attempt.
func (h *Health) RecordOutcome(target string, o outcome) {
	if o == callerDisconnected || o == noCapacity || o == notAdmitted {
		return
	}
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.entry(target, now)
	failure := 0.0
	if o == outcomeUnknown || o == invalidResponse || o == superseded || o == failed {
		failure = 1
	}
	t.failureRate = t.decayedFailureRate(now)*(1-failureWeight) + failure*failureWeight
	t.updatedAt = now
	switch o {
	case delivered:
		t.consecutiveFailures = 0
		t.unreachableUntil = time.Time{}
		t.invalidResponses = false
	case notSent, outcomeUnknown, superseded:
		t.backOff(now)
		t.invalidResponses = false
	case invalidResponse:
		if now.After(t.unreachableUntil) { // the others were sent before the first one failed
			t.backOff(now)
			t.invalidResponses = true
		}
	}
}

// backOff lets a target count as unreachable for a time that doubles with each failure.
func (t *targetHealth) backOff(now time.Time) {
	backoff := unreachableMin << min(t.consecutiveFailures, 4)
	t.consecutiveFailures++
	t.unreachableUntil = now.Add(min(backoff, unreachableMax))
}

// entry returns the entry of a target, which it creates if needed. h.mu must be held.
func (h *Health) entry(target string, now time.Time) *targetHealth {
	t := h.targets[target]
	if t == nil {
		t = &targetHealth{updatedAt: now}
		h.targets[target] = t
	}
	return t
}

// probeResultTTL is how long the result of a connection probe is reused.
const probeResultTTL = 300 * time.Millisecond

// recentProbe returns the result of a recent connection probe, if there is one.
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

// MarkUnreachable records that a target accepts no connection.
func (h *Health) MarkUnreachable(target string) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.entry(target, now)
	t.consecutiveFailures = max(t.consecutiveFailures, 1)
	t.invalidResponses = false
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

// peerReportTTL is how long another VM's report of an unreachable target is valid.
const peerReportTTL = 600 * time.Millisecond

// MarkSuspect records the targets that another VM reports as unreachable.
func (h *Health) MarkSuspect(targets []string) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range targets {
		h.entry(id, now).suspectUntil = now.Add(peerReportTTL)
	}
}

// RecordUnknownRequests records how many requests a target has that this VM does not know.
func (h *Health) RecordUnknownRequests(target string, n int, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.entry(target, now)
	t.unknownRequests, t.loadReportedAt = n, now
}

func (t *targetHealth) decayedFailureRate(now time.Time) float64 {
	halfLives := now.Sub(t.updatedAt).Seconds() / failureHalfLife.Seconds()
	return t.failureRate / (1 + halfLives)
}

// HealthStatus is the health of a target at one moment.
type HealthStatus struct {
	// FailureRate estimates the fraction of requests that fail.
	FailureRate float64
	// Unreachable is true for a target that recently failed to respond, or responded with
	// something else.
	Unreachable bool
	// Suspect is true for a target that another VM reports as unreachable.
	Suspect bool
	// UnknownRequests is the number of requests of the target beyond those that are
	// known here, by its own recent report.
	UnknownRequests int
}

// Status returns the health of a target at the given time.
func (h *Health) Status(target string, now time.Time) HealthStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.targets[target]
	if t == nil {
		return HealthStatus{}
	}
	status := HealthStatus{FailureRate: t.decayedFailureRate(now), Unreachable: now.Before(t.unreachableUntil), Suspect: now.Before(t.suspectUntil)}
	if now.Sub(t.loadReportedAt) < loadReportTTL {
		status.UnknownRequests = t.unknownRequests
	}
	return status
}

// A zone is suspect when at least suspectZoneMinTargets of its targets, and at least the
// fraction suspectZoneMinShare of them, are unreachable: the others have probably failed
// too, and each attempt at one costs the caller time.
const (
	suspectZoneMinTargets = 2
	suspectZoneMinShare   = 0.3
)

// suspectZones returns the suspect zones; nil if there are none.
func (h *Health) suspectZones(targets []*topology.Target, now time.Time) map[string]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, unreachable := map[string]int{}, map[string]int{}
	for _, t := range targets {
		all[t.Zone]++
		if known := h.targets[t.ID]; known != nil && !known.invalidResponses && now.Before(known.unreachableUntil) {
			unreachable[t.Zone]++
		}
	}
	var suspect map[string]bool
	for zone, n := range unreachable {
		if n < suspectZoneMinTargets || float64(n) < suspectZoneMinShare*float64(all[zone]) {
			continue
		}
		if suspect == nil {
			suspect = map[string]bool{}
		}
		suspect[zone] = true
	}
	return suspect
}

// Retain drops the entries of targets that are not in use any more. What a target said about
// further requests is kept for noticeRetention.
func (h *Health) Retain(inUse func(target string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.targets {
		if !inUse(id) {
			delete(h.targets, id)
		}
	}
	h.retainNotices(inUse, time.Now())
}
