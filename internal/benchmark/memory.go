package benchmark

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/tcp"
	"github.com/oriolefront/oriolefront/internal/testbed"
)

// Limits and parameters of the memory experiments.
const (
	slowReaderCount     = 1000
	maxMemoryPerReader  = 64 << 10 // bytes
	maxOthersSlowdown   = 1.1
	leakRequests        = 1000
	releaseTimeout      = 45 * time.Second
	socketsPerStream    = 2
	socketBytesPerSide  = 2 * tcp.BufferBytes // the kernel doubles the requested size
	slowReaderReadDelay = 2 * time.Second
)

// slowReaders measures the memory of many streams whose callers read slowly, and
// their effect on other requests.
func slowReaders(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	o.Engine.MaxRunning = 200
	o.Engine.KVTokens = 4_000_000
	o.Engine.ColdDuration = 0
	o.Engine.DecodeTokensPerSecond = 200
	fleet, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer fleet.Close()
	short := &firstTokenSamples{kind: kindShort}
	client := loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey)
	phase := e.duration(20 * time.Second)
	rate := rateFor(o, []loadgen.RequestKind{shortKind()}, 0.2)
	run := func(name string) (from, to time.Time) {
		from = time.Now()
		loadgen.Run(ctx, client, loadgen.Workload{
			Model: testbed.Model, Mix: []loadgen.RequestKind{shortKind()}, PerSecond: rate, Duration: phase, Seed: e.Seed, IDPrefix: name, OnResult: short.add,
		})
		return from, time.Now()
	}
	beforeFrom, beforeTo := run("before")
	viaEntry := openSlowStreams(ctx, fleet.CallerAddresses())
	besideFrom, besideTo := run("beside")
	viaEntryHeap := viaEntry.heap()
	viaEntry.close()

	direct := openSlowStreams(ctx, fleet.EngineAddresses())
	time.Sleep(phase / 2)
	directHeap := direct.heap()
	direct.close()

	heap := (float64(viaEntryHeap) - float64(directHeap)) / slowReaderCount
	perReader := heap + socketsPerStream*socketBytesPerSide
	e.add(Figure{"slow_readers_held", "oriolefront", perReader / 1024, "KiB", perReader <= maxMemoryPerReader,
		fmt.Sprintf("heap and stacks %.1f KiB more for each of %d streams than direct, plus at most %d KiB of socket buffers",
			heap/1024, slowReaderCount, socketsPerStream*socketBytesPerSide/1024)})
	a, n := short.percentile(besideFrom, besideTo, 0.95)
	b, m := short.percentile(beforeFrom, beforeTo, 0.95)
	e.add(Figure{"slow_readers_others_p95", "oriolefront", ratio(a, b), "ratio", ratio(a, b) <= maxOthersSlowdown,
		fmt.Sprintf("beside %s (%d) before %s (%d)", a, n, b, m)})
	return nil
}

// slowStreams are open streams whose callers read slowly.
type slowStreams struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

func openSlowStreams(ctx context.Context, addresses []string) *slowStreams {
	ctx, cancel := context.WithCancel(ctx)
	s := &slowStreams{cancel: cancel}
	client := loadgen.NewClient(addresses, testbed.AccountKey)
	for i := range slowReaderCount {
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			client.Do(ctx, loadgen.Request{
				ID: fmt.Sprintf("slow-%d", i), Model: testbed.Model, PromptTokens: 1_000, MaxTokens: 20_000,
				Timeout: 5 * time.Minute, ReadDelay: slowReaderReadDelay,
			})
		}()
		time.Sleep(2 * time.Millisecond)
	}
	return s
}

// heap returns the heap and stack memory in use by the whole process.
func (s *slowStreams) heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func (s *slowStreams) close() {
	s.cancel()
	s.running.Wait()
}

// memoryLeak ends requests by disconnects, timeouts, crashes and freezes, and
// counts the attempts and exports that are never released.
func memoryLeak(ctx context.Context, e *Env) error {
	o := testbed.Pilbara()
	o.Engine.DecodeTokensPerSecond = 100
	fleet, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer fleet.Close()
	r := rand.New(rand.NewPCG(e.Seed, 7))
	summary := loadgen.NewSummary()
	var wait sync.WaitGroup
	client := loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey)
	for i := range leakRequests {
		request := loadgen.Request{
			ID: fmt.Sprintf("leak-%d", i), Model: testbed.Model, PromptTokens: 1_000 + r.IntN(30_000), MaxTokens: 20 + r.IntN(200),
			Timeout: time.Duration(500+r.IntN(15_000)) * time.Millisecond,
		}
		if r.IntN(4) == 0 {
			request.DisconnectAfterEvents = 1 + r.IntN(20)
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			summary.Add(kindShort, client.Do(ctx, request))
		}()
		if err := injectFault(ctx, fleet, r, i); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	ended := time.Now()
	unreleased := 1
	for unreleased > 0 && time.Since(ended) < releaseTimeout {
		time.Sleep(500 * time.Millisecond)
		unreleased = fleet.AttemptsAndExports()
	}
	e.add(Figure{"memory_leak", "oriolefront", float64(unreleased), "attempts and exports", unreleased == 0,
		fmt.Sprintf("%s after the last of %d requests, at most %s allowed; %s", time.Since(ended).Round(time.Second), leakRequests, releaseTimeout, summary)})
	return nil
}

// injectFault kills and replaces an entry process once every 250 requests, and
// freezes and crashes an engine once every 100 requests.
func injectFault(ctx context.Context, fleet *testbed.Fleet, r *rand.Rand, i int) error {
	switch {
	case i%250 == 200:
		victim := fleet.Entries[r.IntN(len(fleet.Entries))]
		victim.Abort()
		_, err := fleet.AddEntry(r.IntN(len(fleet.Options.Zones)))
		return err
	case i%100 == 50:
		fleet.Engines[r.IntN(len(fleet.Engines))].Crash()
	case i%100 == 90:
		fleet.Engines[r.IntN(len(fleet.Engines))].Freeze(2 * time.Second)
	}
	return nil
}
