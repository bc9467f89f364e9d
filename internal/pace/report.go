package pace

import (
	"slices"
	"time"
)

// Entry is what a VM tells others about a target.
type Entry struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads this option
	Target   string
	Requests []Request
}

// Request is the evidence of one request.
type Request struct {
	_msgpack struct{} `msgpack:",as_array"` //lint:ignore U1000 the codec reads this option
	// Percent is the ratio of the observed to the expected time.
	Percent uint16
	AgeMs   uint32
}

// Report returns the evidence of this VM on the targets that may be slow, slow or not: those
// that a VM, this one included, has recently seen to be slow. It returns nil for none, and on a
// nil tracker.
func (t *Tracker) Report(now time.Time) []Entry {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	suspected := t.suspected(now)
	var entries []Entry
	for target, h := range t.own {
		if !suspected[target] && !h.suspicious(now) {
			continue
		}
		if requests := h.report(now); len(requests) > 0 {
			entries = append(entries, Entry{Target: target, Requests: requests})
		}
	}
	// The latest evidence comes first, so that the limit cuts off the oldest.
	slices.SortFunc(entries, func(a, b Entry) int { return int(a.Requests[0].AgeMs) - int(b.Requests[0].AgeMs) })
	return entries[:min(len(entries), maxReported)]
}

// suspected returns the targets of which other VMs have reported slow requests. The lock must be
// held.
func (t *Tracker) suspected(now time.Time) map[string]bool {
	targets := map[string]bool{}
	for _, reported := range t.peers {
		for target, evidence := range reported {
			if slices.ContainsFunc(evidence, func(e Evidence) bool { return e.Ratio >= clearlySlow && now.Sub(e.At) <= maxAge }) {
				targets[target] = true
			}
		}
	}
	return targets
}

// suspicious reports whether the evidence of this VM alone gives reason to ask the others.
func (h *history) suspicious(now time.Time) bool {
	if !h.single {
		return Estimate(h.evidence, now, maxHold) > 1
	}
	return slices.ContainsFunc(h.evidence, func(e Evidence) bool { return e.Ratio >= clearlySlow && now.Sub(e.At) <= maxAge })
}

// report returns the latest evidence, newest first.
func (h *history) report(now time.Time) []Request {
	var requests []Request
	for _, e := range slices.Backward(h.evidence) {
		if age := max(now.Sub(e.At), 0); age <= maxAge && len(requests) < reportedPerTarget {
			requests = append(requests, Request{Percent: uint16(e.Ratio * 100), AgeMs: uint32(age.Milliseconds())})
		}
	}
	return requests
}

// Merge replaces what another VM has reported.
func (t *Tracker) Merge(vm string, entries []Entry, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := map[string][]Evidence{}
	for _, entry := range entries[:min(len(entries), maxReported)] {
		if entry.Target == "" || len(entry.Target) > maxTargetID {
			continue
		}
		var evidence []Evidence
		for _, r := range entry.Requests[:min(len(entry.Requests), reportedPerTarget)] {
			age := min(time.Duration(r.AgeMs)*time.Millisecond, 2*maxAge)
			evidence = append(evidence, Evidence{Ratio: min(float64(r.Percent)/100, maxSlowdown), At: now.Add(-age)})
		}
		reported[entry.Target] = evidence
	}
	if len(reported) == 0 {
		delete(t.peers, vm)
		return
	}
	t.peers[vm] = reported
}
