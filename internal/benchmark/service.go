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

// Targets of the service measures.
const (
	maxLastNewWork    = 3 * time.Second
	maxLeaveSlowdown  = 1.5
	maxReturnSlowdown = 1.25
	minGoodput        = 0.9
	maxOutageSlowdown = 1.1
	fleetReads        = 2000
	fleetWrites       = 300
)

// zoneLeave takes a zone out under load and brings it back with cold engines.
func zoneLeave(ctx context.Context, e *Env) error {
	o := testbed.Pilbara()
	phase := e.duration(20 * time.Second)
	// Engines that restart while their zone is out are still cold when it
	// returns.
	o.Engine.ColdDuration = phase + maxLastNewWork
	l, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer l.Close()
	short := &samples{kind: kindShort}
	begin := time.Now()
	done := make(chan *loadgen.Summary, 1)
	go func() {
		done <- loadgen.Run(ctx, loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey), loadgen.Workload{
			Model: testbed.Model, Mix: mix(), PerSecond: rateFor(o, mix(), 0.4), Duration: 3 * phase,
			Seed: e.Seed, IDPrefix: "zone", OnResult: short.add,
		})
	}()
	zone := o.Zones[0]
	time.Sleep(time.Until(begin.Add(phase)))
	if err := l.SetZoneOutOfService(ctx, zone, true); err != nil {
		return err
	}
	out := time.Now()
	time.Sleep(phase - maxLastNewWork)
	lastWork := l.LastAttemptStart(zone, out)
	for _, engine := range l.Engines {
		if engine.Zone == zone && len(engine.Inventory().Attempts) == 0 {
			engine.Crash() // it comes back cold
		}
	}
	time.Sleep(time.Until(out.Add(phase)))
	if err := l.SetZoneOutOfService(ctx, zone, false); err != nil {
		return err
	}
	back := time.Now()
	summary := <-done

	before, n := short.percentile(begin, out, 0.95)
	away, m := short.percentile(out, back, 0.95)
	after, k := short.percentile(back, back.Add(phase), 0.95)
	cut := summary.Failed + summary.Interrupted + summary.Unknown + summary.Incorrect
	e.add(Figure{"zone_leave_cut", "oriolefront", float64(cut), "requests", cut == 0, summary.String()})
	e.add(Figure{"zone_leave_last_work", "oriolefront", lastWork.Seconds(), "s", lastWork <= maxLastNewWork, "after acceptance"})
	e.add(Figure{"zone_leave_short_p95", "oriolefront", ratio(away, before), "ratio", ratio(away, before) <= maxLeaveSlowdown,
		fmt.Sprintf("before %s (%d) away %s (%d)", before, n, away, m)})
	e.add(Figure{"zone_return_short_p95", "oriolefront", ratio(after, before), "ratio", ratio(after, before) <= maxReturnSlowdown,
		fmt.Sprintf("after %s (%d)", after, k)})
	addCold(e, "zone_return_cold", l)
	return nil
}

// addCold compares what cold engines had to bear with their bound.
func addCold(e *Env, name string, l *testbed.Fleet) {
	running, held, fell := 0, 0, 0
	for _, engine := range l.Engines {
		s := engine.Record().Summary()
		running = max(running, s.MaxRunningCold)
		held = max(held, s.MaxKVTokensCold)
		fell += s.Overloads
	}
	bound := l.Options.Engine
	ok := running <= bound.MaxRunningCold && held <= bound.MaxTokensCold && fell == 0
	e.add(Figure{name, "oriolefront", float64(running), "requests", ok,
		fmt.Sprintf("bound %d requests and %d tokens; most tokens %d; engines that fell over %d", bound.MaxRunningCold, bound.MaxTokensCold, held, fell)})
}

// coldBound sends to a fleet that stays cold, with the store up and down.
func coldBound(ctx context.Context, e *Env) error {
	for _, storeDown := range []bool{false, true} {
		o := testbed.Pilbara()
		o.Engine.StartCold = true
		o.Engine.ColdDuration = time.Hour
		l, err := e.start(ctx, o)
		if err != nil {
			return err
		}
		name := "cold_bound_store_up"
		if storeDown {
			name = "cold_bound_store_down"
			l.SetStoreDown(true)
		}
		summary := loadgen.Run(ctx, loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey), loadgen.Workload{
			Model: testbed.Model, Mix: []loadgen.RequestKind{shortKind()}, PerSecond: 150, Duration: e.duration(15 * time.Second),
			Seed: e.Seed, IDPrefix: name,
		})
		addCold(e, name, l)
		fmt.Fprintf(e.Out, "# %s: %s\n", name, summary)
		l.Close()
	}
	return nil
}

// overload sends twice what the fleet can serve.
func overload(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	l, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer l.Close()
	kinds := []loadgen.RequestKind{shortKind(), mediumKind()}
	for i := range kinds {
		kinds[i].Timeout = 10 * time.Second
	}
	var mu sync.Mutex
	refused := map[uint64]string{}
	served := 0
	length := e.duration(40 * time.Second)
	begin := time.Now()
	// Work is counted while load arrives and after the queues have filled.
	from, to := begin.Add(length/4), begin.Add(length)
	summary := loadgen.Run(ctx, loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey), loadgen.Workload{
		Model: testbed.Model, Mix: kinds, PerSecond: rateFor(o, kinds, 2), Duration: length, Seed: e.Seed, IDPrefix: "overload",
		OnResult: func(_ string, r loadgen.Result) {
			mu.Lock()
			defer mu.Unlock()
			ended := r.Sent.Add(r.Total)
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
	falseRefusals, fell := 0, 0
	for _, engine := range l.Engines {
		fell += engine.Record().Summary().Overloads
		for _, entry := range engine.Record().Entries() {
			if entry.Event == "start" && refused[entry.Prompt] != "" {
				falseRefusals++
			}
		}
	}
	e.add(Figure{"overload_fell_over", "oriolefront", float64(fell), "engines", fell == 0, ""})
	e.add(Figure{"overload_false_not_run", "oriolefront", float64(falseRefusals), "requests", falseRefusals == 0,
		fmt.Sprintf("%d refusals checked against the engines' records", len(refused))})
	late := summary.Interrupted + summary.Incorrect
	e.add(Figure{"overload_untruthful_ends", "oriolefront", float64(late), "requests", late == 0, ""})
	return nil
}

// storeOutage takes the store away under load.
func storeOutage(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	l, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer l.Close()
	before, outage, after := e.duration(20*time.Second), e.duration(60*time.Second), e.duration(15*time.Second)
	short := &samples{kind: kindShort}
	done := make(chan *loadgen.Summary, 1)
	begin := time.Now()
	go func() {
		done <- loadgen.Run(ctx, loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey), loadgen.Workload{
			Model: testbed.Model, Mix: mix(), PerSecond: rateFor(o, mix(), 0.5), Duration: before + outage + after,
			Seed: e.Seed, IDPrefix: "outage", OnResult: short.add,
		})
	}()
	time.Sleep(before)
	l.SetStoreDown(true)
	down := time.Now()
	time.Sleep(outage)
	l.SetStoreDown(false)
	up := time.Now()
	summary := <-done
	a, n := short.percentile(down, up, 0.95)
	b, m := short.percentile(begin, down, 0.95)
	e.add(Figure{"store_outage_short_p95", "oriolefront", ratio(a, b), "ratio", ratio(a, b) <= maxOutageSlowdown,
		fmt.Sprintf("during %s (%d) before %s (%d) for %s; %s", a, n, b, m, outage, summary)})
	reads, writes := l.PeakStoreCalls(up)
	e.add(Figure{"store_outage_reads_after", "oriolefront", float64(reads), "reads/s", reads <= fleetReads, "most in one second after the outage"})
	e.add(Figure{"store_outage_writes_after", "oriolefront", float64(writes), "writes/s", writes <= fleetWrites, ""})
	return nil
}
