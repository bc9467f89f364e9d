package pace

import (
	"hash/fnv"
	"log/slog"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// keptPerTarget is how much evidence of its own a VM keeps of a target.
	keptPerTarget = 8
	// maxReported and reportedPerTarget bound what a VM tells the others, and what it
	// takes from each of them.
	maxReported       = 16
	reportedPerTarget = 4
	maxTargetID       = 200 // bytes, as the store allows for a key
	// biasRequests is the number of requests by which a VM knows its own pace: a VM
	// without processor time sees all targets as slow. minBiasRequests is the least.
	biasRequests    = 32
	minBiasRequests = 8
	// serviceRequests is the number of response times by which the median of a plain
	// service is known; minServiceRequests is the least.
	serviceRequests    = 64
	minServiceRequests = 16
	// refreshInterval is the time for which estimates are kept.
	refreshInterval = 200 * time.Millisecond
)

// Tracker collects evidence of this VM and of the others.
type Tracker struct {
	self string
	log  *slog.Logger

	mu  sync.Mutex
	own map[string]*history // by target
	// peers holds the evidence that the other VMs last reported, by VM and target.
	peers map[string]map[string][]Evidence
	// engineRatios are the latest ratios of this VM's requests at any engine;
	// responseTimes the latest response times of each plain service, in seconds.
	engineRatios  recent
	responseTimes map[string]*recent
	slowdowns     map[string]float64
	refreshedAt   time.Time
	observed      int
}

// history is the evidence that this VM has of a target.
type history struct {
	evidence []Evidence
	// single is true if one request can show that the target may be slow. The response
	// times of plain services differ too much for that.
	single bool
}

// recent holds the latest values of a series.
type recent struct {
	values []float64
	next   int
}

func (r *recent) add(v float64, limit int) {
	if len(r.values) < limit {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next%limit] = v
	r.next++
}

// NewTracker returns a tracker of the VM with a name.
func NewTracker(self string, log *slog.Logger) *Tracker {
	return &Tracker{self: self, log: log, own: map[string]*history{}, peers: map[string]map[string][]Evidence{}, responseTimes: map[string]*recent{}}
}

// ObserveEngine records the ratio of observed to expected time between the events of one
// request at an engine.
func (t *Tracker) ObserveEngine(target string, ratio float64, now time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engineRatios.add(ratio, biasRequests)
	if len(t.engineRatios.values) >= minBiasRequests {
		ratio /= max(median(t.engineRatios.values), 1)
	}
	t.record(target, ratio, now, true)
}

// ObservePlain records the response time of one request at a target of a plain service.
func (t *Tracker) ObservePlain(service, target string, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	times := t.responseTimes[service]
	if times == nil {
		times = &recent{}
		t.responseTimes[service] = times
	}
	times.add(max(d.Seconds(), 1e-6), serviceRequests)
	if len(times.values) >= minServiceRequests {
		t.record(target, d.Seconds()/median(times.values), now, false)
	}
}

// record adds evidence. The lock must be held.
func (t *Tracker) record(target string, ratio float64, now time.Time, single bool) {
	t.observed++
	h := t.own[target]
	if h == nil {
		h = &history{}
		t.own[target] = h
	}
	h.single = single
	h.evidence = append(h.evidence, Evidence{Ratio: min(ratio, maxSlowdown), At: now})
	if len(h.evidence) > keptPerTarget {
		h.evidence = append(h.evidence[:0], h.evidence[1:]...)
	}
}

// Retain forgets the targets that are not known any more.
func (t *Tracker) Retain(known func(target string) bool) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for target := range t.own {
		if !known(target) {
			delete(t.own, target)
		}
	}
}

// Slowdowns returns the targets that are slower than expected, with the factor. The map must
// not be changed.
func (t *Tracker) Slowdowns(now time.Time) map[string]float64 {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.refreshedAt) >= refreshInterval || t.refreshedAt.IsZero() {
		t.refresh(now)
	}
	return t.slowdowns
}

// Observed returns the number of requests of this VM that gave evidence.
func (t *Tracker) Observed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.observed
}

// refresh estimates all targets and logs those that became slow or sound. The lock must be held.
func (t *Tracker) refresh(now time.Time) {
	slow := map[string]float64{}
	for target, evidence := range t.pooled() {
		if s := Estimate(evidence, now, t.hold(target)); s > 1 {
			slow[target] = s
		}
	}
	for vm, targets := range t.peers {
		if !anyRecent(targets, now) {
			delete(t.peers, vm)
		}
	}
	for target, s := range slow {
		if t.slowdowns[target] == 0 {
			t.log.Info("target slow", "target", target, "slowdown", math.Round(s*100)/100)
		}
	}
	for target := range t.slowdowns {
		if slow[target] == 0 {
			t.log.Info("target no longer slow", "target", target)
		}
	}
	t.slowdowns, t.refreshedAt = slow, now
}

// anyRecent reports whether any evidence still counts.
func anyRecent(targets map[string][]Evidence, now time.Time) bool {
	for _, evidence := range targets {
		if slices.ContainsFunc(evidence, func(e Evidence) bool { return now.Sub(e.At) <= maxAge }) {
			return true
		}
	}
	return false
}

// pooled returns the evidence of all VMs by target. The lock must be held.
func (t *Tracker) pooled() map[string][]Evidence {
	all := map[string][]Evidence{}
	for target, h := range t.own {
		all[target] = append(all[target], h.evidence...)
	}
	for _, targets := range t.peers {
		for target, evidence := range targets {
			all[target] = append(all[target], evidence...)
		}
	}
	return all
}

// hold returns for how long the latest evidence of a target counts in full at this VM.
func (t *Tracker) hold(target string) time.Duration {
	f := fnv.New64a()
	f.Write([]byte(t.self + "\x00" + target))
	part := float64(f.Sum64()%1024) / 1024
	return minHold + time.Duration(part*float64(maxHold-minHold))
}
