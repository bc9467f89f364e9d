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
	o.Engine.ColdFor = 0
	l, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer l.Close()
	client := loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey)
	split := loadgen.Kind{Name: kindSplit, MinTokens: 500_000, MaxTokens: 1_000_000, Output: 64, Timeout: splitTimeout}
	short := shortKind()
	rate := rateFor(o, []loadgen.Kind{short}, splitShortShare)
	whole := loadgen.NewSummary()
	each := func(kind string, r loadgen.Result) {
		if kind == kindSplit {
			whole.Add(kind, r)
		}
	}
	run := func(name string, mix []loadgen.Kind, rate float64, d time.Duration) *loadgen.Summary {
		return loadgen.Run(ctx, client, loadgen.Load{
			Model: testbed.Model, Mix: mix, PerSecond: rate, Duration: d, Seed: e.Seed, Name: name, Each: each,
		})
	}
	short.Weight = rate
	split.Weight = splitRate
	alone := run("alone", []loadgen.Kind{short}, rate, e.duration(30*time.Second))
	beside := run("beside", []loadgen.Kind{short, split}, rate+splitRate, e.duration(2*time.Minute))
	share := float64(whole.Whole) / float64(max(1, whole.Sent))
	e.add(Line{"split_prompt_whole", "oriolefront", share, "share", whole.Sent > 0 && share == 1, whole.String()})
	a, b := beside.FirstToken(kindShort, 95), alone.FirstToken(kindShort, 95)
	e.add(Line{"split_prompt_short_p95", "oriolefront", ratio(a, b), "ratio", b > 0 && ratio(a, b) <= maxShortSlowdown,
		fmt.Sprintf("p95 beside %s alone %s; split p50 %s; %s", a, b, whole.FirstToken(kindSplit, 50), beside)})
	return splitHeld(ctx, e, l)
}

// splitHeld waits for what the requests left in the engines.
func splitHeld(ctx context.Context, e *Env, l *testbed.Lab) error {
	ended := time.Now()
	left := l.HeldByEngines()
	for left > 0 && time.Since(ended) < splitSettleTime && ctx.Err() == nil {
		time.Sleep(200 * time.Millisecond)
		left = l.HeldByEngines()
	}
	crashes := 0
	for _, engine := range l.Engines {
		crashes += engine.Record().Summary().Overloads
	}
	e.add(Line{"split_prompt_held", "oriolefront", float64(left), "attempts and exports", left == 0,
		fmt.Sprintf("%s after the last answer", time.Since(ended).Round(time.Second))})
	e.add(Line{"split_prompt_overloads", "oriolefront", float64(crashes), "engines", crashes == 0, "engines that ran out of memory"})
	return ctx.Err()
}
