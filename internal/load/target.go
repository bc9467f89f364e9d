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
	// rateStep is the weight of one sample in a learned rate.
	rateStep = 0.1
	// minRateTime is the expected prefill from which the time to first token
	// shows the prefill rate; below it the network dominates.
	minRateTime = 50 * time.Millisecond
	// minSlowTime is the delay from which a slow answer is evidence against
	// the target; pauses of this VM or of the network are shorter.
	minSlowTime = 250 * time.Millisecond
	// Learned rates stay within these factors of the declared ones, so that a
	// few odd samples cannot make a target look useless or unlimited.
	minRateFactor = 0.125
	maxRateFactor = 2.0
	// minDecodeEvents is the length of an answer that shows the decode rate.
	minDecodeEvents = 8
)

// followed is a target that the collector follows. Its mutable fields are
// guarded by mu; live is atomic.
type followed struct {
	id     uint32
	name   string
	live   *scheduler.LocalCounters
	client engine.Client
	ctx    context.Context // of the poller, nil before it runs
	stop   func()          // ends the poller
	// reader and wasCold are used by the poller only.
	reader  cacheReader
	wasCold bool

	mu          sync.Mutex
	declared    config.Target
	polled      bool // the target reports its load
	zoneOut     bool
	distance    float64
	health      health
	startNumber uint64
	prefillRate float64
	decodeRate  float64
	report      engine.Load
	reportedAt  time.Duration
	atReport    counters
	backlog     [scheduler.Levels]float64
	other       float64
	attempts    map[*Attempt]struct{}
}

// counters is what the counters of Live were when a report was asked for.
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

// declare takes the declaration in force.
func (f *followed) declare(t config.Target, zoneOut bool, distance time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.PrefillTokensPerSecond != f.declared.PrefillTokensPerSecond {
		f.prefillRate = t.PrefillTokensPerSecond
	}
	if t.DecodeTokensPerSecond != f.declared.DecodeTokensPerSecond {
		f.decodeRate = t.DecodeTokensPerSecond
	}
	f.declared, f.zoneOut, f.distance = t, zoneOut, distance.Seconds()
}

func (f *followed) setPolled(polled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polled = polled
}

// takeReport replaces the report. Attempts sent less than lag before the
// report was asked for may be missing from it, so they are added; counting
// some of them twice is the safe error.
func (f *followed) takeReport(r engine.Load, asked, lag time.Duration, at counters) (restarted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	restarted = f.startNumber != 0 && r.StartNumber != f.startNumber
	if restarted {
		f.health.restarted()
	}
	f.startNumber = r.StartNumber
	f.health.pollSucceeded(asked)
	f.report, f.reportedAt, f.atReport = r, asked, at
	var known [scheduler.Levels]int64
	others := r.Running > len(f.attempts) || len(f.attempts) > 1
	for a := range f.attempts {
		a.alone = a.alone && !others
		switch {
		case a.answered || a.sentAt > asked: // done with its prefill, or counted after at
		case a.sentAt > asked-lag:
			f.atReport.sent[a.level] -= int64(a.tokens)
			f.atReport.started--
		default:
			known[a.level] += int64(a.tokens)
		}
	}
	f.splitBacklog(float64(r.PrefillBacklog), known)
	return restarted
}

// splitBacklog divides the reported backlog among the levels. The part that is
// not this VM's counts as served before everything else, because its
// priorities are not known.
func (f *followed) splitBacklog(reported float64, own [scheduler.Levels]int64) {
	below := 0.0
	for l := scheduler.Levels - 1; l >= 0; l-- {
		f.backlog[l] = max(0, reported-below)
		below += float64(own[l])
	}
	f.other = max(0, reported-below)
}

// view returns the target as the scheduler sees it.
func (f *followed) view(now time.Duration) scheduler.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.polled {
		f.health.probe(now)
	}
	return scheduler.Target{
		Name:            f.name,
		Declared:        f.declared,
		Local:           f.live,
		Usable:          !f.declared.Leaving && !f.zoneOut && !f.report.Draining && f.health.state != failed,
		Probing:         f.health.state == probing,
		Failures:        f.health.recentFailures(now),
		PrefillRate:     f.prefillRate,
		DecodeRate:      f.decodeRate,
		Distance:        f.distance,
		ReportedAt:      f.reportedAt,
		Backlog:         f.backlog,
		OtherBacklog:    f.other,
		Running:         f.report.Running,
		KVUsed:          f.report.KVUsed,
		SentAtReport:    f.atReport.sent,
		StartedAtReport: f.atReport.started,
		EndedAtReport:   f.atReport.ended,
	}
}

// models returns the models that the target can serve: those declared, less
// those that it reports not to have loaded.
func (f *followed) models() []string {
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

// learnPrefill takes the time from the send to the first event of an attempt.
// It returns the measured speed divided by the declared one, 0 if the sample
// does not show it.
func (f *followed) learnPrefill(a *Attempt, firstEvent time.Duration) float64 {
	own := float64(a.tokens)
	declared := f.declared.PrefillTokensPerSecond
	if declared <= 0 || firstEvent <= 0 || own/declared < minRateTime.Seconds() {
		return 0
	}
	seconds := max(firstEvent.Seconds()-f.distance, 1e-4)
	// Work that came later with a higher priority makes a sample too low, so
	// only an attempt that was alone on the target lowers the rate.
	rate := (a.backlog + own) / seconds
	if rate > f.prefillRate || a.alone {
		f.prefillRate = step(f.prefillRate, rate, declared)
	}
	return own / seconds / declared
}

// learnDecode takes the time from the first event to the end. A caller that
// reads slowly makes it longer, so only a sample that is faster than the rate
// so far, or not much slower, counts.
func (f *followed) learnDecode(events int, took time.Duration) float64 {
	declared := f.declared.DecodeTokensPerSecond
	if events < minDecodeEvents || declared <= 0 || took <= 0 {
		return 0
	}
	rate := float64(events-1) / took.Seconds()
	if rate > f.decodeRate/2 {
		f.decodeRate = step(f.decodeRate, rate, declared)
	}
	return rate / declared
}

func step(old, sample, declared float64) float64 {
	next := old + rateStep*(sample-old)
	return min(max(next, declared*minRateFactor), declared*maxRateFactor)
}
