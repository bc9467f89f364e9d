package benchmark

import (
	"context"
	"fmt"
	"time"

	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/testbed"
)

const (
	kindSplit = "split"
	// splitRate is the arrival rate of split prompts per second. Each is
	// prefilled by three engines in sequence, for about 15 s in total.
	splitRate           = 1.0 / 6
	splitTimeout        = 5 * time.Minute
	splitReleaseTimeout = 45 * time.Second
	// splitShortShare is the share of the fleet's prefill capacity that short
	// requests use.
	splitShortShare = 0.4
)

// splitPrompt sends prompts that exceed the KV cache of one engine, together with
// short requests.
func splitPrompt(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	o.Engine.ColdDuration = 0
	fleet, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer fleet.Close()
	client := loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey)
	split := loadgen.RequestKind{Name: kindSplit, MinPromptTokens: 500_000, MaxPromptTokens: 1_000_000, OutputTokens: 64, Timeout: splitTimeout}
	short := shortKind()
	rate := rateFor(o, []loadgen.RequestKind{short}, splitShortShare)
	splitSummary := loadgen.NewSummary()
	onResult := func(kind string, r loadgen.Result) {
		if kind == kindSplit {
			splitSummary.Add(kind, r)
		}
	}
	run := func(name string, mix []loadgen.RequestKind, rate float64, d time.Duration) *loadgen.Summary {
		return loadgen.Run(ctx, client, loadgen.Workload{
			Model: testbed.Model, Mix: mix, PerSecond: rate, Duration: d, Seed: e.Seed, IDPrefix: name, OnResult: onResult,
		})
	}
	short.Weight = rate
	split.Weight = splitRate
	baseline := run("alone", []loadgen.RequestKind{short}, rate, e.duration(30*time.Second))
	mixed := run("beside", []loadgen.RequestKind{short, split}, rate+splitRate, e.duration(2*time.Minute))
	share := float64(splitSummary.Complete) / float64(max(1, splitSummary.Sent))
	e.add(Figure{"split_prompt_whole", "oriolefront", share, "share", splitSummary.Sent > 0 && share == 1, splitSummary.String()})
	a, b := mixed.TimeToFirstToken(kindShort, 95), baseline.TimeToFirstToken(kindShort, 95)
	e.add(Figure{"split_prompt_short_p95", "oriolefront", ratio(a, b), "ratio", b > 0 && ratio(a, b) <= maxShortSlowdown,
		fmt.Sprintf("p95 beside %s alone %s; split p50 %s; %s", a, b, splitSummary.TimeToFirstToken(kindSplit, 50), mixed)})
	return addUnreleased(ctx, e, fleet)
}

// addUnreleased waits until the engines have released the attempts and exports of
// all requests, and adds the number that remains.
func addUnreleased(ctx context.Context, e *Env, fleet *testbed.Fleet) error {
	ended := time.Now()
	unreleased := fleet.AttemptsAndExports()
	for unreleased > 0 && time.Since(ended) < splitReleaseTimeout && ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		unreleased = fleet.AttemptsAndExports()
	}
	crashes := 0
	for _, engine := range fleet.Engines {
		crashes += engine.Record().Summary().Overloads
	}
	e.add(Figure{"split_prompt_held", "oriolefront", float64(unreleased), "attempts and exports", unreleased == 0,
		fmt.Sprintf("%s after the last answer", time.Since(ended).Round(time.Second))})
	e.add(Figure{"split_prompt_overloads", "oriolefront", float64(crashes), "engines", crashes == 0, "engines that ran out of memory"})
	return ctx.Err()
}
