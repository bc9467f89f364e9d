package usage

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/duty"
)

// Name is the name of the duty in settings, logs and the row of the lease.
const Name = "usage_report"

// Times of the reporter.
const (
	// publishTime is how long the holder tells the others what it has decided, so that they
	// know it if the store loses it.
	publishTime = 6 * time.Second
	// reportInterval is the least time between two reports of the same window to the others.
	reportInterval = 900 * time.Millisecond
	// pollInterval is how often a window is looked at whose counts are not complete.
	pollInterval = 100 * time.Millisecond
	// minCallGrant is the remaining time of a grant under which a call is still made without
	// a renewal.
	minCallGrant = 1500 * time.Millisecond
	backoffMin   = 200 * time.Millisecond
	backoffMax   = 1600 * time.Millisecond
)

// Control sends reports to the platform.
type Control interface {
	ReportUsage(ctx context.Context, g duty.Grant, window uint64, counts map[string]int64) error
}

// Reporter counts the requests of this VM, exchanges the counts with the other VMs, and
// reports each window while this VM holds the duty. It implements duty.RenewingTask.
type Reporter struct {
	Control Control
	Clock   *Clock
	Log     *slog.Logger
	Metrics *metrics.Set
	// Window is the length of a window, Deadline the time after its end at which its report
	// is due.
	Window   time.Duration
	Deadline time.Duration
	// State returns the state in the row of the lease.
	State func() duty.TaskState
	// Expected returns the instances of the other VMs whose counts are to be waited for.
	Expected func() []uint64
	// Changed is called when there is something to tell the other VMs. It must not block.
	Changed func()

	id    uint64 // of this instance, in the table
	table *Table
	first uint64

	mu sync.Mutex
	// known holds the windows that this VM knows to be decided, by itself or another.
	known   map[uint64]*decided
	backoff time.Duration
	retryAt time.Duration // uptime before which no call is made
	// lastState is the last state, decoded from lastStateData.
	lastState     state
	lastStateData []byte
	stateErr      error
	// reportedAt is the uptime of the last report to the others, in reportedWindow.
	reportedAt     time.Duration
	reportedWindow uint64
}

// decided is a window whose report is final.
type decided struct {
	counts map[string]int64
	// own is true if this VM decided it; at is the uptime of that.
	own bool
	at  time.Duration
	// done is true if no call is needed any more: sent, refused, or in contradiction.
	done, sent bool
}

var _ duty.RenewingTask = (*Reporter)(nil)

// Init must be called before the reporter is used.
func (r *Reporter) Init() {
	r.Clock.Refresh()
	r.id, r.table, r.known, r.backoff = rand.Uint64(), NewTable(), map[uint64]*decided{}, backoffMin
	r.first = r.window(r.Clock.Now())
	r.table.Advance(r.first)
	r.table.Begin(r.first)
}

// Tick keeps the estimate of the true time up to date. It is to be called several times per
// second.
func (r *Reporter) Tick() {
	r.Clock.Refresh()
	r.table.Advance(r.window(r.Clock.Now()))
}

// window returns the window of a true time.
func (r *Reporter) window(at time.Duration) uint64 { return uint64(at / r.Window) }

// Count counts a request that has begun to run now.
func (r *Reporter) Count(account string) {
	if account == "" || len(account) > maxAccountName {
		return
	}
	r.table.Add(r.id, r.window(r.Clock.Now()), account)
}

// Report returns what is to be told to the other VMs, or nil if that was told lately.
func (r *Reporter) Report() *Report {
	now := r.Clock.Now()
	window := r.window(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	uptime := r.Clock.Uptime()
	published := r.published(uptime)
	if r.reportedAt != 0 && uptime-r.reportedAt < reportInterval && window == r.reportedWindow && len(published) == 0 {
		return nil
	}
	r.reportedAt, r.reportedWindow = uptime, window
	report := &Report{NowMs: now.Milliseconds(), First: r.first, Decided: published}
	for _, w := range r.table.Of(r.id) {
		if d := r.known[w.Window]; d == nil {
			report.Windows = append(report.Windows, w)
		}
	}
	if epoch, offset, ok := r.Clock.Own(); ok {
		report.HasOffset, report.Epoch, report.OffsetMs = true, epoch, offset.Milliseconds()
	}
	return report
}

// published returns the windows that this VM has decided lately. The caller must hold mu.
func (r *Reporter) published(uptime time.Duration) []Decision {
	var all []Decision
	for _, window := range slices.Sorted(maps.Keys(r.known)) {
		if d := r.known[window]; d.own && uptime-d.at < publishTime {
			all = append(all, Decision{Window: window, Counts: d.counts, Sent: d.sent})
		}
	}
	return all
}

// Merge records what another instance of a VM has told.
func (r *Reporter) Merge(id uint64, report *Report) {
	current := r.window(r.Clock.Now())
	if report.HasOffset {
		r.Clock.Observe(id, report.Epoch, time.Duration(report.OffsetMs)*time.Millisecond)
	}
	if report.First > 0 && report.First <= current+1 {
		r.table.Begin(report.First)
	}
	r.table.Merge(id, time.Duration(report.NowMs)*time.Millisecond, report.Windows)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range report.Decided {
		if d.Window+keptWindows >= current && d.Window <= current {
			r.learn(d)
		}
	}
}

// learn records a decision of another VM. The caller must hold mu.
func (r *Reporter) learn(d Decision) {
	known := r.known[d.Window]
	if known == nil {
		if len(d.Counts) > maxAccounts {
			return
		}
		known = &decided{counts: map[string]int64{}}
		maps.Copy(known.counts, d.Counts)
		r.known[d.Window] = known
	}
	if d.Sent {
		// With other counts, the platform must not get those that this VM knows.
		known.done = true
		known.sent = known.sent || equalCounts(known.counts, d.Counts)
	}
}

// Name implements duty.Task.
func (r *Reporter) Name() string { return Name }

// Next implements duty.Task.
func (r *Reporter) Next(now time.Time) time.Time {
	st, kept, err := r.state()
	if err != nil {
		return now
	}
	s := r.situation(st, kept)
	uptime := r.Clock.Uptime()
	r.mu.Lock()
	wait := r.retryAt - uptime
	pending := len(r.unsent(st, kept.Epoch, s.now)) > 0
	r.mu.Unlock()
	switch {
	case wait > 0:
		return now.Add(wait)
	case pending || len(decide(s)) > 0:
		return now
	}
	return now.Add(max(s.due()-s.now, pollInterval))
}

// state returns the state in the row of the lease, decoded and as it is kept.
func (r *Reporter) state() (state, duty.TaskState, error) {
	kept := r.State()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !bytes.Equal(kept.Data, r.lastStateData) {
		r.lastStateData = kept.Data
		r.lastState, r.stateErr = parseState(kept.Data)
	}
	return r.lastState, kept, r.stateErr
}

// situation returns what the decision of the next windows rests on.
func (r *Reporter) situation(st state, kept duty.TaskState) situation {
	s := situation{now: r.Clock.Now(), length: r.Window, deadline: r.Deadline, last: st.Last, first: r.table.First()}
	s.incomplete = st.Epoch != kept.Epoch && kept.Epoch > 1 // of the first epoch, nothing was ever lost
	s.completeAfter = s.now - (r.Clock.Uptime() - kept.SeenAt)
	s.missing = func(until time.Duration) int { return r.table.Missing(r.Expected(), until) }
	s.known = func(window uint64) (map[string]int64, bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		d := r.known[window]
		if d == nil {
			return nil, false
		}
		return d.counts, true
	}
	return s
}

// Run implements duty.Task. It is not called, because the reporter renews the lease by itself.
func (r *Reporter) Run(context.Context, duty.Grant) error { return nil }

// RunRenewing implements duty.RenewingTask. It decides the windows that are due by the write
// that renews the lease, and sends those that were not sent yet.
func (r *Reporter) RunRenewing(ctx context.Context, lease duty.Renewal) error {
	st, kept, stateErr := r.state()
	s := r.situation(st, kept)
	choices := decide(s)
	if stateErr != nil {
		choices = r.skipAll(s)
	}
	g := lease.Grant()
	if len(choices) > 0 || g.Remaining() < minCallGrant {
		var err error
		g, err = lease.Renew(ctx, func(old json.RawMessage) (json.RawMessage, error) {
			st, err := parseState(old)
			if err != nil && stateErr == nil {
				return nil, err
			}
			return st.with(kept.Epoch, choices, r.table.Sum).encode()
		})
		if err != nil {
			return err
		}
		if st, kept, err = r.state(); err != nil {
			return err
		}
		r.recordChoices(choices, st)
		r.Changed()
	}
	return r.send(ctx, g, st, kept.Epoch)
}

// skipAll skips all windows up to the current one, because what was decided for them is not
// known.
func (r *Reporter) skipAll(s situation) []choice {
	return []choice{{window: r.window(s.now), skipped: "the decided windows in the store cannot be read"}}
}

// recordChoices logs the windows that were decided and tells them to the other VMs.
func (r *Reporter) recordChoices(choices []choice, st state) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range choices {
		if c.skipped != "" {
			r.count("skipped")
			r.Log.Warn("usage window skipped", "window", c.window, "reason", c.skipped)
			continue
		}
		counts, ok := st.report(c.window)
		if !ok {
			continue
		}
		r.count("decided")
		r.Log.Info("usage window decided", "window", c.window, "accounts", len(counts), "requests", total(counts), "decided_before", c.known != nil)
		if d := r.known[c.window]; d == nil {
			r.known[c.window] = &decided{counts: counts, own: true, at: r.Clock.Uptime()}
		} else if !d.own {
			d.own, d.at = true, r.Clock.Uptime()
		}
	}
	current := r.window(r.Clock.Now())
	maps.DeleteFunc(r.known, func(w uint64, _ *decided) bool { return w+2*keptWindows < current })
}

// unsent returns the decided windows that are to be sent, in order. One of another epoch is sent
// only if this VM knows by itself, or from its holder, that it is the one that was decided. The
// caller must hold mu.
func (r *Reporter) unsent(st state, epoch uint64, now time.Duration) []finalReport {
	var all []finalReport
	for _, w := range st.Reports {
		d := r.known[w.Window]
		late := now >= time.Duration(w.Window+1)*r.Window+r.Deadline
		if !late && (d == nil && w.Epoch == epoch || d != nil && !d.done) {
			all = append(all, w)
		}
	}
	return all
}

// send sends the decided windows. It ends at the first that the platform did not take.
func (r *Reporter) send(ctx context.Context, g duty.Grant, st state, epoch uint64) error {
	r.mu.Lock()
	pending := r.unsent(st, epoch, r.Clock.Now())
	r.mu.Unlock()
	for _, w := range pending {
		if err := r.sendWindow(ctx, g, w); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reporter) sendWindow(ctx context.Context, g duty.Grant, w finalReport) error {
	if !r.admit(w) {
		return nil
	}
	err := r.Control.ReportUsage(ctx, g, w.Window, w.Counts)
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.known[w.Window]
	var refused *duty.RefusedError
	switch {
	case err == nil:
		d.done, d.sent = true, true
		r.backoff, r.retryAt = backoffMin, 0
		r.count("sent")
		r.Log.Info("usage reported", "window", w.Window, "requests", total(w.Counts), "token", g.Token,
			"after_end", (r.Clock.Now() - time.Duration(w.Window+1)*r.Window).Round(time.Millisecond))
		return nil
	case errors.As(err, &refused):
		d.done = true
		r.count("refused")
	case errors.Is(err, duty.ErrGrantEnded):
	default:
		r.retryAt = r.Clock.Uptime() + r.backoff/2 + rand.N(r.backoff)
		r.backoff = min(2*r.backoff, backoffMax)
	}
	return fmt.Errorf("report usage of window %d: %w", w.Window, err)
}

// admit reports whether a window may be sent. It may not if this VM knows another report of
// it, which can have been sent before the store lost it.
func (r *Reporter) admit(w finalReport) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.known[w.Window]
	if d == nil {
		r.known[w.Window] = &decided{counts: w.Counts, own: true, at: r.Clock.Uptime()}
		return true
	}
	if equalCounts(d.counts, w.Counts) {
		return true
	}
	d.done = true
	r.count("contradictory")
	r.Log.Error("usage window not sent: another report of it is known", "window", w.Window)
	return false
}

// count counts a window by what became of it.
func (r *Reporter) count(result string) {
	r.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriole_usage_windows_total{result=%q}`, result)).Inc()
}

func total(counts map[string]int64) int64 {
	sum := int64(0)
	for _, n := range counts {
		sum += n
	}
	return sum
}
