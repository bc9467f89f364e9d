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

// Targets of the memory measures.
const (
	slowReaderCount     = 1000
	maxHeldPerReader    = 64 << 10 // bytes
	maxOthersSlowdown   = 1.1
	leakRequests        = 1000
	leakSettleTime      = 45 * time.Second
	socketsPerStream    = 2
	socketBytesPerSide  = 2 * tcp.BufferBytes // the kernel doubles the size asked for
	slowReaderReadDelay = 2 * time.Second
)

// slowReaders opens many streams whose callers hardly read.
func slowReaders(ctx context.Context, e *Env) error {
	o := testbed.Bibliobuz()
	o.Engine.MaxRunning = 200
	o.Engine.KVTokens = 4_000_000
	o.Engine.ColdDuration = 0
	o.Engine.DecodeTokensPerSecond = 200
	l, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer l.Close()
	short := &samples{kind: kindShort}
	client := loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey)
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
	through := openSlowReaders(ctx, l.CallerAddresses())
	besideFrom, besideTo := run("beside")
	throughHeap := through.heap()
	through.close()

	direct := openSlowReaders(ctx, l.EngineAddresses())
	time.Sleep(phase / 2)
	directHeap := direct.heap()
	direct.close()

	heap := (float64(throughHeap) - float64(directHeap)) / slowReaderCount
	held := heap + socketsPerStream*socketBytesPerSide
	e.add(Figure{"slow_readers_held", "oriolefront", held / 1024, "KiB", held <= maxHeldPerReader,
		fmt.Sprintf("heap and stacks %.1f KiB more for each of %d streams than direct, plus at most %d KiB of socket buffers",
			heap/1024, slowReaderCount, socketsPerStream*socketBytesPerSide/1024)})
	a, n := short.percentile(besideFrom, besideTo, 0.95)
	b, m := short.percentile(beforeFrom, beforeTo, 0.95)
	e.add(Figure{"slow_readers_others_p95", "oriolefront", ratio(a, b), "ratio", ratio(a, b) <= maxOthersSlowdown,
		fmt.Sprintf("beside %s (%d) before %s (%d)", a, n, b, m)})
	return nil
}

// readers are open slow streams.
type readers struct {
	cancel context.CancelFunc
	wait   sync.WaitGroup
}

func openSlowReaders(ctx context.Context, addresses []string) *readers {
	ctx, cancel := context.WithCancel(ctx)
	r := &readers{cancel: cancel}
	client := loadgen.NewClient(addresses, testbed.AccountKey)
	for i := range slowReaderCount {
		r.wait.Add(1)
		go func() {
			defer r.wait.Done()
			client.Do(ctx, loadgen.Request{
				ID: fmt.Sprintf("slow-%d", i), Model: testbed.Model, PromptTokens: 1_000, MaxTokens: 20_000,
				Timeout: 5 * time.Minute, ReadDelay: slowReaderReadDelay,
			})
		}()
		time.Sleep(2 * time.Millisecond)
	}
	return r
}

// heap returns the memory in use by heap and stacks of the whole process.
func (r *readers) heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func (r *readers) close() {
	r.cancel()
	r.wait.Wait()
}

// memoryLeak ends requests in every rough way and looks for what stays.
func memoryLeak(ctx context.Context, e *Env) error {
	o := testbed.Pilbara()
	o.Engine.DecodeTokensPerSecond = 100
	l, err := e.startWarm(ctx, o)
	if err != nil {
		return err
	}
	defer l.Close()
	r := rand.New(rand.NewPCG(e.Seed, 7))
	summary := loadgen.NewSummary()
	var wait sync.WaitGroup
	client := loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey)
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
		if err := disturb(ctx, l, r, i); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	ended := time.Now()
	left := 1
	for left > 0 && time.Since(ended) < leakSettleTime {
		time.Sleep(500 * time.Millisecond)
		left = l.AttemptsAndExports()
	}
	e.add(Figure{"memory_leak", "oriolefront", float64(left), "attempts and exports", left == 0,
		fmt.Sprintf("%s after the last of %d requests, at most %s allowed; %s", time.Since(ended).Round(time.Second), leakRequests, leakSettleTime, summary)})
	return nil
}

// disturb kills an entry process each 250 requests and starts another one, and
// freezes or kills an engine each 100.
func disturb(ctx context.Context, l *testbed.Fleet, r *rand.Rand, i int) error {
	switch {
	case i%250 == 200:
		victim := l.Entries[r.IntN(len(l.Entries))]
		victim.Abort()
		_, err := l.AddEntry(r.IntN(len(l.Options.Zones)))
		return err
	case i%100 == 50:
		l.Engines[r.IntN(len(l.Engines))].Crash()
	case i%100 == 90:
		l.Engines[r.IntN(len(l.Engines))].Freeze(2 * time.Second)
	}
	return nil
}
