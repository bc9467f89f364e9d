// Package benchmark runs the experiments of docs/design.md, section 10, and
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

// Figure is a measured value. OK reports whether it is within its limit.
type Figure struct {
	Name   string
	Policy string
	Value  float64
	Unit   string
	OK     bool
	Note   string
}

// String formats the figure as one line of output.
func (f Figure) String() string {
	text := fmt.Sprintf("measure=%s policy=%s value=%.4g unit=%s ok=%t", f.Name, f.Policy, f.Value, f.Unit, f.OK)
	if f.Note != "" {
		text += " note=" + fmt.Sprintf("%q", f.Note)
	}
	return text
}

// Env holds the parameters and collects the figures of a run of experiments.
type Env struct {
	Seed uint64
	// Short cuts the duration of runs to a third, for a quick check.
	Short bool
	Out   io.Writer
	// Log receives the log of all entry processes; nil discards it.
	Log     *slog.Logger
	figures []Figure
}

// add prints a figure and records it.
func (e *Env) add(f Figure) {
	e.figures = append(e.figures, f)
	fmt.Fprintln(e.Out, f)
}

// start starts a fleet that logs to e.Log.
func (e *Env) start(ctx context.Context, o testbed.Options) (*testbed.Fleet, error) {
	if e.Log != nil {
		o.Log = e.Log
	}
	return testbed.Start(ctx, o)
}

// startWarm starts a fleet and returns once all its engines are warm.
func (e *Env) startWarm(ctx context.Context, o testbed.Options) (*testbed.Fleet, error) {
	fleet, err := e.start(ctx, o)
	if err != nil {
		return nil, err
	}
	if err := fleet.WarmUp(ctx); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

// duration returns the duration of a run, shortened if e.Short is set.
func (e *Env) duration(d time.Duration) time.Duration {
	if e.Short {
		return d / 3
	}
	return d
}

// Experiment is a named function that adds figures to an Env.
type Experiment struct {
	Name string
	Run  func(ctx context.Context, e *Env) error
}

// Experiments lists the experiments in the order in which they run.
func Experiments() []Experiment {
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

// Run runs the named experiments, or all if names is empty, and reports whether
// every figure is within its limit.
func Run(ctx context.Context, e *Env, names []string) (bool, error) {
	for _, m := range Experiments() {
		if len(names) > 0 && !slices.Contains(names, m.Name) {
			continue
		}
		begin := time.Now()
		if err := m.Run(ctx, e); err != nil {
			return false, fmt.Errorf("%s: %w", m.Name, err)
		}
		fmt.Fprintf(e.Out, "# %s took %s\n", m.Name, time.Since(begin).Round(time.Second))
	}
	ok := len(e.figures) > 0
	for _, l := range e.figures {
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

// meanTokens returns the mean prompt length of a mix with log-uniform lengths.
func meanTokens(kinds []loadgen.RequestKind) float64 {
	sum, weight := 0.0, 0.0
	for _, k := range kinds {
		sum += k.Weight * logUniformMean(float64(k.MinPromptTokens), float64(k.MaxPromptTokens))
		weight += k.Weight
	}
	return sum / weight
}

// rateFor returns the arrival rate that uses a share of the fleet's prefill
// capacity.
func rateFor(o testbed.Options, kinds []loadgen.RequestKind, share float64) float64 {
	return share * float64(o.Engines) * o.Engine.PrefillTokensPerSecond / meanTokens(kinds)
}

// firstTokenSample is the time to first token of one request.
type firstTokenSample struct {
	sentAt           time.Time
	timeToFirstToken time.Duration
}

// firstTokenSamples collects the times to first token of one kind of request.
type firstTokenSamples struct {
	mu   sync.Mutex
	kind string
	all  []firstTokenSample
}

func (s *firstTokenSamples) add(kind string, r loadgen.Result) {
	if kind != s.kind || r.TimeToFirstToken == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, firstTokenSample{sentAt: r.SentAt, timeToFirstToken: r.TimeToFirstToken})
}

// percentile returns a percentile of the time to first token of the requests
// that were sent in a time window, and their number.
func (s *firstTokenSamples) percentile(from, to time.Time, q float64) (time.Duration, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var times []time.Duration
	for _, x := range s.all {
		if !x.sentAt.Before(from) && x.sentAt.Before(to) {
			times = append(times, x.timeToFirstToken)
		}
	}
	if len(times) == 0 {
		return 0, 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[min(len(times)-1, int(q*float64(len(times))))], len(times)
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
