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

// Limits of the latency figures.
const (
	maxOverheadMedian     = 0.3 // ms
	maxOverheadP99        = 2.0 // ms
	maxShortSlowdown      = 1.25
	maxLongPromptSlowdown = 1.25
	firstTokenLimit       = 520 * time.Millisecond
	minFirstTokenShare    = 0.95
	timePerTokenLimit     = 42 * time.Millisecond
)

// overhead compares the time to first token through one entry process with the
// time direct to the engines. Both sides run alternately, so that both see the
// same load of the machine.
func overhead(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	o.Entries, o.Engines, o.PlainTargets = 1, 4, 0
	o.Engine.PrefillTokensPerSecond = 2_000_000
	o.Engine.ColdDuration = 0
	fleet, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer fleet.Close()
	viaEntry := loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey)
	direct := loadgen.NewClient(fleet.EngineAddresses(), testbed.AccountKey)
	kind := shortKind()
	kind.MaxPromptTokens = 1_000
	viaEntrySummary, directSummary := loadgen.NewSummary(), loadgen.NewSummary()
	for round := range 4 {
		for _, side := range []struct {
			name   string
			client *loadgen.Client
			sum    *loadgen.Summary
		}{{"through", viaEntry, viaEntrySummary}, {"direct", direct, directSummary}} {
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
		a, b := viaEntrySummary.TimeToFirstToken(kindShort, q.p), directSummary.TimeToFirstToken(kindShort, q.p)
		value := (a - b).Seconds() * 1000
		e.add(Figure{q.name, "oriolefront", value, "ms", value <= q.limit, fmt.Sprintf("through %s direct %s at 200 requests/s", a, b)})
	}
	return nil
}

// withoutWaitRules is the suffix of a baseline policy that also runs without wait
// rules, so that all requests are served in order of arrival.
const withoutWaitRules = "-without-rules"

// shortSlowdown measures how much long requests slow down short ones, for each
// policy.
func shortSlowdown(ctx context.Context, e *Env) error {
	policies := scheduler.PolicyNames()
	for _, baseline := range scheduler.PolicyNames()[1:] {
		policies = append(policies, baseline+withoutWaitRules)
	}
	for _, policy := range policies {
		if err := shortSlowdownWith(ctx, e, policy); err != nil {
			return err
		}
	}
	return nil
}

func withPolicy(o testbed.Options, policy string) testbed.Options {
	schedulerPolicy, noWaitRules := strings.CutSuffix(policy, withoutWaitRules)
	o.ModifySettings = func(_ int, s *testbed.EntrySettings) { s.Scheduler.Policy = schedulerPolicy }
	if noWaitRules {
		o.ModifyConfig = func(c *config.Config) { c.WaitRules = nil }
	}
	return o
}

func shortSlowdownWith(ctx context.Context, e *Env, policy string) error {
	o := withPolicy(testbed.Bibliobuz(), policy)
	rate := rateFor(o, mix(), 0.7)
	baseline, err := runMix(ctx, e, o, loadgen.Workload{
		Mix: []loadgen.RequestKind{shortKind()}, PerSecond: rate * shortWeight / (shortWeight + mediumWeight + longWeight),
		Duration: e.duration(20 * time.Second), Seed: e.Seed, IDPrefix: "alone",
	})
	if err != nil {
		return err
	}
	mixed, err := runMix(ctx, e, o, loadgen.Workload{
		Mix: mix(), PerSecond: rate, Duration: e.duration(45 * time.Second), Seed: e.Seed, IDPrefix: "beside",
	})
	if err != nil {
		return err
	}
	a, b := mixed.TimeToFirstToken(kindShort, 95), baseline.TimeToFirstToken(kindShort, 95)
	value := ratio(a, b)
	isBaseline := policy != scheduler.PolicyNames()[0]
	e.add(Figure{"short_slowdown", policy, value, "ratio", isBaseline || value <= maxShortSlowdown, fmt.Sprintf("p95 beside %s alone %s; %s", a, b, mixed)})
	if !isBaseline {
		addLatencyByLength(e, policy, mixed)
	}
	return nil
}

// addLatencyByLength adds the time to first token by prompt length, and the
// limits for short requests.
func addLatencyByLength(e *Env, policy string, s *loadgen.Summary) {
	for _, tokens := range []int{2_000, 10_000, 32_000, 100_000, 400_000, 1_000_000} {
		bucket := gateway.PromptLengthBucket(tokens)
		p95, n := s.TimeToFirstTokenByLength(bucket, 95)
		if n == 0 {
			continue
		}
		e.add(Figure{"ttft_p95_" + bucket, policy, p95.Seconds() * 1000, "ms", true, fmt.Sprintf("%d requests; no target of its own", n)})
	}
	share := s.FirstTokenWithin(kindShort, firstTokenLimit)
	e.add(Figure{"ttft_share_under_520ms", policy, share, "share", share >= minFirstTokenShare, "short requests"})
	timePerToken := s.TimePerOutputToken(95)
	e.add(Figure{"between_tokens_p95", policy, timePerToken.Seconds() * 1000, "ms", timePerToken <= timePerTokenLimit, "mean of each answer"})
}

// runMix runs one workload on a new fleet.
func runMix(ctx context.Context, e *Env, o testbed.Options, workload loadgen.Workload) (*loadgen.Summary, error) {
	fleet, err := e.startWarm(ctx, o)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	workload.Model = testbed.Model
	return loadgen.Run(ctx, loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey), workload), nil
}

// longPrompt measures how a sequence of prompts of a million tokens affects short
// requests on the same entry process.
func longPrompt(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	o.Entries = 1
	o.Engine.PrefillTokensPerSecond = 1_000_000
	o.Engine.KVTokens = 1_200_000
	o.Engine.ColdDuration = 0
	fleet, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer fleet.Close()
	client := loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey)
	run := func(name string, mix []loadgen.RequestKind, rate float64) *loadgen.Summary {
		return loadgen.Run(ctx, client, loadgen.Workload{
			Model: testbed.Model, Mix: mix, PerSecond: rate, Duration: e.duration(15 * time.Second), Seed: e.Seed, IDPrefix: name,
		})
	}
	const shortRate, longRate = 100.0, 0.5
	short, long := shortKind(), longKind()
	short.Weight, long.Weight = shortRate, longRate
	long.MinPromptTokens, long.MaxPromptTokens = 1_000_000, 1_000_000
	baseline := run("alone", []loadgen.RequestKind{short}, shortRate)
	mixed := run("beside", []loadgen.RequestKind{short, long}, shortRate+longRate)
	a, b := mixed.TimeToFirstToken(kindShort, 99), baseline.TimeToFirstToken(kindShort, 99)
	value := ratio(a, b)
	e.add(Figure{"long_prompt_short_p99", "oriolefront", value, "ratio", value <= maxLongPromptSlowdown,
		fmt.Sprintf("p99 beside %s alone %s; %s", a, b, mixed)})
	return nil
}
