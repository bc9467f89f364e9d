package benchmark

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/gateway"
	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/scheduler"
	"github.com/oriolefront/oriolefront/internal/testbed"
)

func logUniformMean(low, high float64) float64 {
	if high <= low {
		return low
	}
	return (high - low) / (math.Log(high) - math.Log(low))
}

// Targets of the latency measures.
const (
	maxOverheadMedian = 0.3 // ms
	maxOverheadP99    = 2.0 // ms
	maxShortSlowdown  = 1.25
	maxLongPromptRise = 1.25
	firstTokenTarget  = 520 * time.Millisecond
	firstTokenShare   = 0.95
	betweenTarget     = 42 * time.Millisecond
)

// overhead compares the time to first token through one entry process with
// the time direct to the engines, in turns so that both see the same machine.
func overhead(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	o.Entries, o.Engines, o.PlainTargets = 1, 4, 0
	o.Engine.PrefillTokensPerSecond = 2_000_000
	o.Engine.ColdDuration = 0
	l, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer l.Close()
	through := loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey)
	direct := loadgen.NewClient(l.EngineAddresses(), testbed.AccountKey)
	kind := shortKind()
	kind.MaxPromptTokens = 1_000
	throughSum, directSum := loadgen.NewSummary(), loadgen.NewSummary()
	for round := range 4 {
		for _, side := range []struct {
			name   string
			client *loadgen.Client
			sum    *loadgen.Summary
		}{{"through", through, throughSum}, {"direct", direct, directSum}} {
			loadgen.Run(ctx, side.client, loadgen.Workload{
				Model: testbed.Model, Mix: []loadgen.RequestKind{kind}, PerSecond: 200, Duration: e.duration(6 * time.Second),
				Seed: e.Seed + uint64(round), IDPrefix: fmt.Sprintf("%s%d", side.name, round), OnResult: side.sum.Add,
			})
		}
	}
	for _, q := range []struct {
		name  string
		p     float64
		limit float64
	}{{"overhead_median", 50, maxOverheadMedian}, {"overhead_p99", 99, maxOverheadP99}} {
		a, b := throughSum.TimeToFirstToken(kindShort, q.p), directSum.TimeToFirstToken(kindShort, q.p)
		value := (a - b).Seconds() * 1000
		e.add(Figure{q.name, "oriolefront", value, "ms", value <= q.limit, fmt.Sprintf("through %s direct %s at 200 requests/s", a, b)})
	}
	return nil
}

// withoutRules marks a baseline that has no wait rules either, so that engines
// serve all requests in the order in which they arrive.
const withoutRules = "-without-rules"

// shortSlowdown measures short requests beside long ones, for each policy.
func shortSlowdown(ctx context.Context, e *Env) error {
	policies := scheduler.PolicyNames()
	for _, baseline := range scheduler.PolicyNames()[1:] {
		policies = append(policies, baseline+withoutRules)
	}
	for _, policy := range policies {
		if err := shortSlowdownWith(ctx, e, policy); err != nil {
			return err
		}
	}
	return nil
}

func withPolicy(o testbed.Options, policy string) testbed.Options {
	name, plain := strings.CutSuffix(policy, withoutRules)
	o.ModifySettings = func(_ int, s *testbed.EntrySettings) { s.Scheduler.Policy = name }
	if plain {
		o.ModifyConfig = func(c *config.Config) { c.WaitRules = nil }
	}
	return o
}

func shortSlowdownWith(ctx context.Context, e *Env, policy string) error {
	o := withPolicy(testbed.Bibliobuz(), policy)
	rate := rateFor(o, mix(), 0.7)
	alone, err := runMix(ctx, e, o, loadgen.Workload{
		Mix: []loadgen.RequestKind{shortKind()}, PerSecond: rate * shortWeight / (shortWeight + mediumWeight + longWeight),
		Duration: e.duration(20 * time.Second), Seed: e.Seed, IDPrefix: "alone",
	})
	if err != nil {
		return err
	}
	beside, err := runMix(ctx, e, o, loadgen.Workload{
		Mix: mix(), PerSecond: rate, Duration: e.duration(45 * time.Second), Seed: e.Seed, IDPrefix: "beside",
	})
	if err != nil {
		return err
	}
	a, b := beside.TimeToFirstToken(kindShort, 95), alone.TimeToFirstToken(kindShort, 95)
	value := ratio(a, b)
	isBaseline := policy != scheduler.PolicyNames()[0]
	e.add(Figure{"short_slowdown", policy, value, "ratio", isBaseline || value <= maxShortSlowdown, fmt.Sprintf("p95 beside %s alone %s; %s", a, b, beside)})
	if !isBaseline {
		addBands(e, policy, beside)
	}
	return nil
}

// addBands prints the time to first token by prompt length.
func addBands(e *Env, policy string, s *loadgen.Summary) {
	for _, tokens := range []int{2_000, 10_000, 32_000, 100_000, 400_000, 1_000_000} {
		band := gateway.PromptLengthBucket(tokens)
		p95, n := s.TimeToFirstTokenByLength(band, 95)
		if n == 0 {
			continue
		}
		e.add(Figure{"ttft_p95_" + band, policy, p95.Seconds() * 1000, "ms", true, fmt.Sprintf("%d requests; no target of its own", n)})
	}
	share := s.FirstTokenWithin(kindShort, firstTokenTarget)
	e.add(Figure{"ttft_share_under_520ms", policy, share, "share", share >= firstTokenShare, "short requests"})
	between := s.TimePerOutputToken(95)
	e.add(Figure{"between_tokens_p95", policy, between.Seconds() * 1000, "ms", between <= betweenTarget, "mean of each answer"})
}

// runMix runs one load in a fresh lab.
func runMix(ctx context.Context, e *Env, o testbed.Options, load loadgen.Workload) (*loadgen.Summary, error) {
	l, err := e.startWarm(ctx, o)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	load.Model = testbed.Model
	return loadgen.Run(ctx, loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey), load), nil
}

// longPrompt measures what one prompt of a million tokens after the other
// does to short requests on the same entry process.
func longPrompt(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	o.Entries = 1
	o.Engine.PrefillTokensPerSecond = 1_000_000
	o.Engine.KVTokens = 1_200_000
	o.Engine.ColdDuration = 0
	l, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer l.Close()
	client := loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey)
	run := func(name string, mix []loadgen.RequestKind, rate float64) *loadgen.Summary {
		return loadgen.Run(ctx, client, loadgen.Workload{
			Model: testbed.Model, Mix: mix, PerSecond: rate, Duration: e.duration(15 * time.Second), Seed: e.Seed, IDPrefix: name,
		})
	}
	const shortRate, longRate = 100.0, 0.5
	short, long := shortKind(), longKind()
	short.Weight, long.Weight = shortRate, longRate
	long.MinPromptTokens, long.MaxPromptTokens = 1_000_000, 1_000_000
	alone := run("alone", []loadgen.RequestKind{short}, shortRate)
	beside := run("beside", []loadgen.RequestKind{short, long}, shortRate+longRate)
	a, b := beside.TimeToFirstToken(kindShort, 99), alone.TimeToFirstToken(kindShort, 99)
	value := ratio(a, b)
	e.add(Figure{"long_prompt_short_p99", "oriolefront", value, "ratio", value <= maxLongPromptRise,
		fmt.Sprintf("p99 beside %s alone %s; %s", a, b, beside)})
	return nil
}
