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
	// splitRate is one split prompt in so many seconds. Three engines in turn
	// prefill each for about 15 s in all.
	splitRate       = 1.0 / 6
	splitTimeout    = 5 * time.Minute
	splitSettleTime = 45 * time.Second
	// splitShortShare is the share of the fleet's prefill for short requests.
	splitShortShare = 0.4
)

// splitPrompt sends prompts larger than one engine beside short requests.
func splitPrompt(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	o.Engine.ColdDuration = 0
	l, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer l.Close()
	client := loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey)
	split := loadgen.RequestKind{Name: kindSplit, MinPromptTokens: 500_000, MaxPromptTokens: 1_000_000, OutputTokens: 64, Timeout: splitTimeout}
	short := shortKind()
	rate := rateFor(o, []loadgen.RequestKind{short}, splitShortShare)
	whole := loadgen.NewSummary()
	each := func(kind string, r loadgen.Result) {
		if kind == kindSplit {
			whole.Add(kind, r)
		}
	}
	run := func(name string, mix []loadgen.RequestKind, rate float64, d time.Duration) *loadgen.Summary {
		return loadgen.Run(ctx, client, loadgen.Workload{
			Model: testbed.Model, Mix: mix, PerSecond: rate, Duration: d, Seed: e.Seed, IDPrefix: name, OnResult: each,
		})
	}
	short.Weight = rate
	split.Weight = splitRate
	alone := run("alone", []loadgen.RequestKind{short}, rate, e.duration(30*time.Second))
	beside := run("beside", []loadgen.RequestKind{short, split}, rate+splitRate, e.duration(2*time.Minute))
	share := float64(whole.Complete) / float64(max(1, whole.Sent))
	e.add(Figure{"split_prompt_whole", "oriolefront", share, "share", whole.Sent > 0 && share == 1, whole.String()})
	a, b := beside.TimeToFirstToken(kindShort, 95), alone.TimeToFirstToken(kindShort, 95)
	e.add(Figure{"split_prompt_short_p95", "oriolefront", ratio(a, b), "ratio", b > 0 && ratio(a, b) <= maxShortSlowdown,
		fmt.Sprintf("p95 beside %s alone %s; split p50 %s; %s", a, b, whole.TimeToFirstToken(kindSplit, 50), beside)})
	return splitHeld(ctx, e, l)
}

// splitHeld waits for what the requests left in the engines.
func splitHeld(ctx context.Context, e *Env, l *testbed.Fleet) error {
	ended := time.Now()
	left := l.AttemptsAndExports()
	for left > 0 && time.Since(ended) < splitSettleTime && ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		left = l.AttemptsAndExports()
	}
	crashes := 0
	for _, engine := range l.Engines {
		crashes += engine.Record().Summary().Overloads
	}
	e.add(Figure{"split_prompt_held", "oriolefront", float64(left), "attempts and exports", left == 0,
		fmt.Sprintf("%s after the last answer", time.Since(ended).Round(time.Second))})
	e.add(Figure{"split_prompt_overloads", "oriolefront", float64(crashes), "engines", crashes == 0, "engines that ran out of memory"})
	return ctx.Err()
}
