// Package benchmark runs the experiments of section 10 of docs/design.md and
// prints one line for each figure.
package benchmark

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/testbed"
)

// Figure is one figure with its target.
type Figure struct {
	Name   string
	Policy string
	Value  float64
	Unit   string
	OK     bool
	Note   string
}

// String returns the line in the documented form.
func (l Figure) String() string {
	text := fmt.Sprintf("measure=%s policy=%s value=%.4g unit=%s ok=%t", l.Name, l.Policy, l.Value, l.Unit, l.OK)
	if l.Note != "" {
		text += " note=" + fmt.Sprintf("%q", l.Note)
	}
	return text
}

// Env is what a measure runs with.
type Env struct {
	Seed uint64
	// Short cuts the length of runs to a third, for a quick look.
	Short bool
	Out   io.Writer
	// Log takes the log of all entry processes; nil discards it.
	Log   *slog.Logger
	lines []Figure
}

// add prints a figure and keeps it.
func (e *Env) add(l Figure) {
	e.lines = append(e.lines, l)
	fmt.Fprintln(e.Out, l)
}

// start starts a lab that logs to e.Log.
func (e *Env) start(ctx context.Context, o testbed.Options) (*testbed.Fleet, error) {
	if e.Log != nil {
		o.Log = e.Log
	}
	return testbed.Start(ctx, o)
}

// startWarm starts a lab whose engines are used as warm ones.
func (e *Env) startWarm(ctx context.Context, o testbed.Options) (*testbed.Fleet, error) {
	l, err := e.start(ctx, o)
	if err != nil {
		return nil, err
	}
	if err := l.WarmUp(ctx); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// duration scales the length of a run.
func (e *Env) duration(d time.Duration) time.Duration {
	if e.Short {
		return d / 3
	}
	return d
}

// Experiment is one experiment.
type Experiment struct {
	Name string
	Run  func(ctx context.Context, e *Env) error
}

// All lists the experiments in the order in which they run.
func All() []Experiment {
	return []Experiment{
		{"overhead", overhead},
		{"short_slowdown", shortSlowdown},
		{"long_prompt", longPrompt},
		{"split_prompt", splitPrompt},
		{"zone_leave", zoneLeave},
		{"cold_bound", coldBound},
		{"overload", overload},
		{"slow_readers", slowReaders},
		{"memory_leak", memoryLeak},
		{"store_outage", storeOutage},
	}
}

// Run runs the named experiments, or all, and reports whether every figure
// met its target.
func Run(ctx context.Context, e *Env, names []string) (bool, error) {
	for _, m := range All() {
		if len(names) > 0 && !slices.Contains(names, m.Name) {
			continue
		}
		begin := time.Now()
		if err := m.Run(ctx, e); err != nil {
			return false, fmt.Errorf("%s: %w", m.Name, err)
		}
		fmt.Fprintf(e.Out, "# %s took %s\n", m.Name, time.Since(begin).Round(time.Second))
	}
	ok := len(e.lines) > 0
	for _, l := range e.lines {
		ok = ok && l.OK
	}
	return ok, nil
}

// Kinds of requests in the mixes.
const (
	kindShort  = "short"
	kindMedium = "medium"
	kindLong   = "long"
)

// Weights of the mix: one request in fifty is over 100,000 tokens.
const (
	shortWeight  = 80
	mediumWeight = 18
	longWeight   = 2
)

const requestTimeout = 60 * time.Second

func shortKind() loadgen.RequestKind {
	return loadgen.RequestKind{Name: kindShort, Weight: shortWeight, MinPromptTokens: 1_000, MaxPromptTokens: 4_000, OutputTokens: 16, Timeout: requestTimeout}
}

func mediumKind() loadgen.RequestKind {
	return loadgen.RequestKind{Name: kindMedium, Weight: mediumWeight, MinPromptTokens: 4_000, MaxPromptTokens: 32_000, OutputTokens: 32, Timeout: requestTimeout}
}

func longKind() loadgen.RequestKind {
	return loadgen.RequestKind{Name: kindLong, Weight: longWeight, MinPromptTokens: 100_001, MaxPromptTokens: 340_000, OutputTokens: 64, Timeout: 2 * requestTimeout}
}

func mix() []loadgen.RequestKind { return []loadgen.RequestKind{shortKind(), mediumKind(), longKind()} }

// meanTokens is the mean prompt of a mix of log-uniform lengths.
func meanTokens(kinds []loadgen.RequestKind) float64 {
	sum, weight := 0.0, 0.0
	for _, k := range kinds {
		sum += k.Weight * logUniformMean(float64(k.MinPromptTokens), float64(k.MaxPromptTokens))
		weight += k.Weight
	}
	return sum / weight
}

// rateFor returns the arrival rate that uses a share of a fleet's prefill.
func rateFor(o testbed.Options, kinds []loadgen.RequestKind, share float64) float64 {
	return share * float64(o.Engines) * o.Engine.PrefillTokensPerSecond / meanTokens(kinds)
}

// sample is one first token.
type sample struct {
	at   time.Time
	took time.Duration
}

// samples collects the first tokens of one kind of request.
type samples struct {
	mu   sync.Mutex
	kind string
	all  []sample
}

func (s *samples) add(kind string, r loadgen.Result) {
	if kind != s.kind || r.TimeToFirstToken == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, sample{at: r.Sent, took: r.TimeToFirstToken})
}

// percentile returns a percentile of the requests sent in a window, and their
// number.
func (s *samples) percentile(from, to time.Time, q float64) (time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var took []time.Duration
	for _, x := range s.all {
		if !x.at.Before(from) && x.at.Before(to) {
			took = append(took, x.took)
		}
	}
	if len(took) == 0 {
		return 0, 0
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	return took[min(len(took)-1, int(q*float64(len(took))))], len(took)
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
