package benchmark

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/internal/testbed"
)

// Limits of the service experiments.
const (
	maxLastAttemptStart     = 3 * time.Second
	maxLeaveSlowdown        = 1.5
	maxReturnSlowdown       = 1.25
	minGoodput              = 0.9
	maxOutageSlowdown       = 1.1
	maxFleetReadsPerSecond  = 2000
	maxFleetWritesPerSecond = 300
)

// zoneLeave takes a zone out of service under load and brings it back with cold
// engines.
func zoneLeave(ctx context.Context, e *Env) error {
	o := testbed.Pilbara()
	phase := e.duration(20 * time.Second)
	// Engines that restart while their zone is out of service are still cold
	// when it returns.
	o.Engine.ColdDuration = phase + maxLastAttemptStart
	fleet, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer fleet.Close()
	short := &firstTokenSamples{kind: kindShort}
	begin := time.Now()
	done := make(chan *loadgen.Summary, 1)
	go func() {
		done <- loadgen.Run(ctx, loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey), loadgen.Workload{
			Model: testbed.Model, Mix: mix(), PerSecond: rateFor(o, mix(), 0.4), Duration: 3 * phase,
			Seed: e.Seed, IDPrefix: "zone", OnResult: short.add,
		})
	}()
	zone := o.Zones[0]
	time.Sleep(time.Until(begin.Add(phase)))
	if err := fleet.SetZoneOutOfService(ctx, zone, true); err != nil {
		return err
	}
	out := time.Now()
	time.Sleep(phase - maxLastAttemptStart)
	lastStart := fleet.LastAttemptStart(zone, out)
	for _, engine := range fleet.Engines {
		if engine.Zone == zone && len(engine.Inventory().Attempts) == 0 {
			engine.Crash() // it restarts cold
		}
	}
	time.Sleep(time.Until(out.Add(phase)))
	if err := fleet.SetZoneOutOfService(ctx, zone, false); err != nil {
		return err
	}
	back := time.Now()
	summary := <-done

	before, n := short.percentile(begin, out, 0.95)
	during, m := short.percentile(out, back, 0.95)
	after, k := short.percentile(back, back.Add(phase), 0.95)
	interrupted := summary.Failed + summary.Interrupted + summary.Unknown + summary.Incorrect
	e.add(Figure{"zone_leave_cut", "oriolefront", float64(interrupted), "requests", interrupted == 0, summary.String()})
	e.add(Figure{"zone_leave_last_work", "oriolefront", lastStart.Seconds(), "s", lastStart <= maxLastAttemptStart, "after acceptance"})
	e.add(Figure{"zone_leave_short_p95", "oriolefront", ratio(during, before), "ratio", ratio(during, before) <= maxLeaveSlowdown,
		fmt.Sprintf("before %s (%d) away %s (%d)", before, n, during, m)})
	e.add(Figure{"zone_return_short_p95", "oriolefront", ratio(after, before), "ratio", ratio(after, before) <= maxReturnSlowdown,
		fmt.Sprintf("after %s (%d)", after, k)})
	addColdLoad(e, "zone_return_cold", fleet)
	return nil
}

// addColdLoad compares the highest load on cold engines with the cold limits.
func addColdLoad(e *Env, name string, fleet *testbed.Fleet) {
	running, tokens, crashed := 0, 0, 0
	for _, engine := range fleet.Engines {
		s := engine.Record().Summary()
		running = max(running, s.MaxRunningCold)
		tokens = max(tokens, s.MaxKVTokensCold)
		crashed += s.Overloads
	}
	bound := fleet.Options.Engine
	ok := running <= bound.MaxRunningCold && tokens <= bound.MaxTokensCold && crashed == 0
	e.add(Figure{name, "oriolefront", float64(running), "requests", ok,
		fmt.Sprintf("bound %d requests and %d tokens; most tokens %d; engines that fell over %d", bound.MaxRunningCold, bound.MaxTokensCold, tokens, crashed)})
}

// coldBound sends load to a fleet that stays cold, with the store up and down.
func coldBound(ctx context.Context, e *Env) error {
	for _, storeDown := range []bool{false, true} {
		o := testbed.Pilbara()
		o.Engine.StartCold = true
		o.Engine.ColdDuration = time.Hour
		fleet, err := e.start(ctx, o)
		if err != nil {
			return err
		}
		name := "cold_bound_store_up"
		if storeDown {
			name = "cold_bound_store_down"
			fleet.SetStoreDown(true)
		}
		summary := loadgen.Run(ctx, loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey), loadgen.Workload{
			Model: testbed.Model, Mix: []loadgen.RequestKind{shortKind()}, PerSecond: 150, Duration: e.duration(15 * time.Second),
			Seed: e.Seed, IDPrefix: name,
		})
		addColdLoad(e, name, fleet)
		fmt.Fprintf(e.Out, "# %s: %s\n", name, summary)
		fleet.Close()
	}
	return nil
}

// overload sends requests at twice the rate that the fleet can serve.
func overload(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	fleet, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer fleet.Close()
	kinds := []loadgen.RequestKind{shortKind(), mediumKind()}
	for i := range kinds {
		kinds[i].Timeout = 10 * time.Second
	}
	var mu sync.Mutex
	refused := map[uint64]string{}
	served := 0
	length := e.duration(40 * time.Second)
	begin := time.Now()
	// Work is counted after the queues have filled and while load still arrives.
	from, to := begin.Add(length/4), begin.Add(length)
	summary := loadgen.Run(ctx, loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey), loadgen.Workload{
		Model: testbed.Model, Mix: kinds, PerSecond: rateFor(o, kinds, 2), Duration: length, Seed: e.Seed, IDPrefix: "overload",
		OnResult: func(_ string, r loadgen.Result) {
			mu.Lock()
			defer mu.Unlock()
			ended := r.SentAt.Add(r.Duration)
			if r.Complete && ended.After(from) && ended.Before(to) {
				served += r.Request.PromptTokens
			}
			if r.Outcome == apierror.NotRun {
				refused[standin.PromptHash([]byte(`"`+loadgen.Prompt(r.Request)+`"`))] = r.Request.ID
			}
		},
	})
	capacity := float64(o.Engines) * o.Engine.PrefillTokensPerSecond * to.Sub(from).Seconds()
	goodput := float64(served) / capacity
	e.add(Figure{"overload_goodput", "oriolefront", goodput, "share", goodput >= minGoodput,
		fmt.Sprintf("prompt tokens of whole answers over prefill capacity in %s; %s", to.Sub(from).Round(time.Second), summary)})
	falseRefusals, crashed := 0, 0
	for _, engine := range fleet.Engines {
		crashed += engine.Record().Summary().Overloads
		for _, entry := range engine.Record().Entries() {
			if entry.Event == "start" && refused[entry.Prompt] != "" {
				falseRefusals++
			}
		}
	}
	e.add(Figure{"overload_fell_over", "oriolefront", float64(crashed), "engines", crashed == 0, ""})
	e.add(Figure{"overload_false_not_run", "oriolefront", float64(falseRefusals), "requests", falseRefusals == 0,
		fmt.Sprintf("%d refusals checked against the engines' records", len(refused))})
	untruthful := summary.Interrupted + summary.Incorrect
	e.add(Figure{"overload_untruthful_ends", "oriolefront", float64(untruthful), "requests", untruthful == 0, ""})
	return nil
}

// storeOutage measures the effect of a store outage under load, and the store
// calls after its end.
func storeOutage(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	fleet, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer fleet.Close()
	before, outage, after := e.duration(20*time.Second), e.duration(60*time.Second), e.duration(15*time.Second)
	short := &firstTokenSamples{kind: kindShort}
	done := make(chan *loadgen.Summary, 1)
	begin := time.Now()
	go func() {
		done <- loadgen.Run(ctx, loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey), loadgen.Workload{
			Model: testbed.Model, Mix: mix(), PerSecond: rateFor(o, mix(), 0.5), Duration: before + outage + after,
			Seed: e.Seed, IDPrefix: "outage", OnResult: short.add,
		})
	}()
	time.Sleep(before)
	fleet.SetStoreDown(true)
	down := time.Now()
	time.Sleep(outage)
	fleet.SetStoreDown(false)
	up := time.Now()
	summary := <-done
	a, n := short.percentile(down, up, 0.95)
	b, m := short.percentile(begin, down, 0.95)
	e.add(Figure{"store_outage_short_p95", "oriolefront", ratio(a, b), "ratio", ratio(a, b) <= maxOutageSlowdown,
		fmt.Sprintf("during %s (%d) before %s (%d) for %s; %s", a, n, b, m, outage, summary)})
	reads, writes := fleet.PeakStoreCalls(up)
	e.add(Figure{"store_outage_reads_after", "oriolefront", float64(reads), "reads/s", reads <= maxFleetReadsPerSecond, "most in one second after the outage"})
	e.add(Figure{"store_outage_writes_after", "oriolefront", float64(writes), "writes/s", writes <= maxFleetWritesPerSecond, ""})
	return nil
}
