package load

import (
	"context"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

const (
	// rateWeight is the weight of a new sample in the moving average of a rate.
	rateWeight = 0.1
	// minPrefillSampleTime is the expected prefill time from which on the time to
	// first token is a sample of the prefill rate; below it the network dominates.
	minPrefillSampleTime = 50 * time.Millisecond
	// minSlowDelay is the delay from which on a slow response counts against the
	// target; pauses of this VM or of the network are shorter.
	minSlowDelay = 250 * time.Millisecond
	// Estimated rates are clamped to these factors of the declared ones, so that a
	// few outliers cannot make a target look unusable or unlimited.
	minRateFactor = 0.125
	maxRateFactor = 2.0
	// minDecodeEvents is the minimum number of events of a response that is used as
	// a sample of the decode rate.
	minDecodeEvents = 8
)

// monitoredTarget is a target that the collector monitors. Its mutable fields are
// guarded by mu; those of local are atomic.
type monitoredTarget struct {
	id         uint32
	name       string
	local      *scheduler.LocalCounters
	client     engine.Client
	ctx        context.Context // of the poller; nil before it is started
	stopPoller func()
	// cacheReader and wasCold are used only by the poller.
	cacheReader cacheReader
	wasCold     bool

	mu               sync.Mutex
	declared         config.Target
	polled           bool // the target reports its load
	zoneOutOfService bool
	roundTripSeconds float64
	health           health
	startNumber      uint64
	prefillRate      float64
	decodeRate       float64
	report           engine.Load
	reportedAt       time.Duration
	countersAtReport counters
	backlog          [scheduler.Levels]float64
	otherBacklog     float64
	attempts         map[*Attempt]struct{}
}

// counters holds the values of the LocalCounters at the request of a report.
type counters struct {
	sent    [scheduler.Levels]int64
	started int64
	ended   int64
}

func countersOf(l *scheduler.LocalCounters) (c counters) {
	for i := range c.sent {
		c.sent[i] = l.Sent[i].Load()
	}
	c.started, c.ended = l.Started.Load(), l.Ended.Load()
	return c
}

// setDeclaration applies the target's declaration in the active configuration.
func (f *monitoredTarget) setDeclaration(t config.Target, zoneOutOfService bool, roundTrip time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.PrefillTokensPerSecond != f.declared.PrefillTokensPerSecond {
		f.prefillRate = t.PrefillTokensPerSecond
	}
	if t.DecodeTokensPerSecond != f.declared.DecodeTokensPerSecond {
		f.decodeRate = t.DecodeTokensPerSecond
	}
	f.declared, f.zoneOutOfService, f.roundTripSeconds = t, zoneOutOfService, roundTrip.Seconds()
}

func (f *monitoredTarget) setPolled(polled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polled = polled
}

// applyReport replaces the load report. Attempts sent less than lag before the
// request of the report may be missing from it, so they are added to it. Some may
// be counted twice, which only overestimates the load.
func (f *monitoredTarget) applyReport(r engine.Load, requestedAt, lag time.Duration, at counters) (restarted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	restarted = f.startNumber != 0 && r.StartNumber != f.startNumber
	if restarted {
		f.health.targetRestarted()
	}
	f.startNumber = r.StartNumber
	f.health.pollSucceeded(requestedAt)
	f.report, f.reportedAt, f.countersAtReport = r, requestedAt, at
	var ownBacklog [scheduler.Levels]int64
	otherWork := r.Running > len(f.attempts) || len(f.attempts) > 1
	for a := range f.attempts {
		a.alone = a.alone && !otherWork
		switch {
		case a.firstEventReceived || a.sentAt > requestedAt: // prefill is done, or sent after the counters were read
		case a.sentAt > requestedAt-lag:
			f.countersAtReport.sent[a.level] -= int64(a.uncachedTokens)
			f.countersAtReport.started--
		default:
			ownBacklog[a.level] += int64(a.uncachedTokens)
		}
	}
	f.splitBacklog(float64(r.PrefillBacklog), ownBacklog)
	return restarted
}

// splitBacklog divides the reported backlog among the priority levels. The part
// that other VMs sent is treated as served before everything else, because its
// priorities are unknown.
func (f *monitoredTarget) splitBacklog(reported float64, own [scheduler.Levels]int64) {
	lowerPriority := 0.0
	for l := scheduler.Levels - 1; l >= 0; l-- {
		f.backlog[l] = max(0, reported-lowerPriority)
		lowerPriority += float64(own[l])
	}
	f.otherBacklog = max(0, reported-lowerPriority)
}

// schedulerTarget returns the target's entry in a snapshot.
func (f *monitoredTarget) schedulerTarget(now time.Duration) scheduler.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.polled {
		f.health.probe(now)
	}
	return scheduler.Target{
		Name:            f.name,
		Declared:        f.declared,
		Local:           f.local,
		Usable:          !f.declared.Leaving && !f.zoneOutOfService && !f.report.Draining && f.health.state != ejected,
		Probing:         f.health.state == probing,
		Failures:        f.health.recentFailures(now),
		PrefillRate:     f.prefillRate,
		DecodeRate:      f.decodeRate,
		Distance:        f.roundTripSeconds,
		ReportedAt:      f.reportedAt,
		Backlog:         f.backlog,
		OtherBacklog:    f.otherBacklog,
		Running:         f.report.Running,
		KVUsed:          f.report.KVUsed,
		SentAtReport:    f.countersAtReport.sent,
		StartedAtReport: f.countersAtReport.started,
		EndedAtReport:   f.countersAtReport.ended,
	}
}

// models returns the models that the target can serve: the declared ones, and of
// these only the loaded ones if the target reports its loaded models.
func (f *monitoredTarget) models() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for i, m := range f.declared.Models {
		if !contains(f.declared.Models[:i], m) && m != "" && (len(f.report.Models) == 0 || loaded(f.report.Models, m)) {
			out = append(out, m)
		}
	}
	return out
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func loaded(models []engine.Model, name string) bool {
	for _, m := range models {
		if m.Name == name {
			return true
		}
	}
	return false
}

// updatePrefillRate updates the prefill rate from the time between the send and the
// first event of an attempt. It returns the measured speed divided by the declared
// one, or 0 if the attempt is no valid sample.
func (f *monitoredTarget) updatePrefillRate(a *Attempt, timeToFirstEvent time.Duration) float64 {
	tokens := float64(a.uncachedTokens)
	declared := f.declared.PrefillTokensPerSecond
	if declared <= 0 || timeToFirstEvent <= 0 || tokens/declared < minPrefillSampleTime.Seconds() {
		return 0
	}
	seconds := max(timeToFirstEvent.Seconds()-f.roundTripSeconds, 1e-4)
	// Later requests with a higher priority make a sample too low, so only an
	// attempt that was alone on the target can lower the rate.
	rate := (a.backlogAtSend + tokens) / seconds
	if rate > f.prefillRate || a.alone {
		f.prefillRate = smoothRate(f.prefillRate, rate, declared)
	}
	return tokens / seconds / declared
}

// updateDecodeRate updates the decode rate from the time between the first event
// and the end of an attempt. A caller that reads slowly makes that time longer, so
// samples of less than half the current rate are ignored. It returns the measured
// speed divided by the declared one, or 0 if the attempt is no valid sample.
func (f *monitoredTarget) updateDecodeRate(events int, duration time.Duration) float64 {
	declared := f.declared.DecodeTokensPerSecond
	if events < minDecodeEvents || declared <= 0 || duration <= 0 {
		return 0
	}
	rate := float64(events-1) / duration.Seconds()
	if rate > f.decodeRate/2 {
		f.decodeRate = smoothRate(f.decodeRate, rate, declared)
	}
	return rate / declared
}

func smoothRate(old, sample, declared float64) float64 {
	next := old + rateWeight*(sample-old)
	return min(max(next, declared*minRateFactor), declared*maxRateFactor)
}
