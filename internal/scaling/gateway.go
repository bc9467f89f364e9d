package scaling

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/internal/testbed"
)

// singleEntryOptions returns the options of a fleet with one entry process and
// with engines that use little processor time.
func singleEntryOptions() testbed.Options {
	o := testbed.Bibliobuz()
	o.Entries = 1
	o.Engines = 2
	o.PlainTargets = 0
	o.Engine.KVTokens = 400_000_000
	o.Engine.PrefillTokensPerSecond = 1e9
	o.Engine.DecodeTokensPerSecond = 2_000
	o.Engine.MaxRunning = 2_000
	o.Engine.MaxRunningCold = 2_000
	o.Engine.MaxTokensCold = o.Engine.KVTokens
	o.Engine.ColdDuration = 0
	return o
}

// requestPath sends the same load through the entry process and directly to the
// engines. The difference is the cost of the entry process.
type requestPath struct {
	fleet            *testbed.Fleet
	viaEntry, direct *loadgen.Client
	runs             int
}

func startRequestPath(ctx context.Context) (*requestPath, error) {
	fleet, err := testbed.Start(ctx, singleEntryOptions())
	if err != nil {
		return nil, err
	}
	var engines []string
	for _, e := range fleet.Engines {
		engines = append(engines, e.Address)
	}
	p := &requestPath{fleet: fleet, viaEntry: loadgen.NewClient(fleet.CallerAddresses(), testbed.AccountKey), direct: loadgen.NewClient(engines, testbed.AccountKey)}
	return p, fleet.WarmUp(ctx)
}

// closedLoopCallers is the number of concurrent requests of the closed loop.
const closedLoopCallers = 8

// closedLoop sends n requests and returns the processor time used.
func (p *requestPath) closedLoop(ctx context.Context, c *loadgen.Client, n, promptTokens, output int) (time.Duration, error) {
	var (
		running sync.WaitGroup
		mu      sync.Mutex
		failed  error
	)
	p.runs++
	name := p.runs
	used := cpuOf(func() {
		for caller := range closedLoopCallers {
			running.Go(func() {
				for i := caller; i < n; i += closedLoopCallers {
					r := c.Do(ctx, loadgen.Request{
						ID: fmt.Sprintf("slope-%d-%d", name, i), Model: testbed.Model, PromptTokens: promptTokens, MaxTokens: output, Timeout: time.Minute,
					})
					if !r.Complete {
						mu.Lock()
						failed = fmt.Errorf("request failed: status %d %s", r.Status, r.Error)
						mu.Unlock()
					}
				}
			})
		}
		running.Wait()
	})
	return used, failed
}

// cost returns the processor time that n requests take in the entry process:
// the lowest time through it minus the lowest time direct to the engines.
func (p *requestPath) cost(ctx context.Context, n, promptTokens, output int) (time.Duration, error) {
	const runs = 4
	lowest := [2]time.Duration{time.Hour, time.Hour}
	for range runs {
		for i, c := range []*loadgen.Client{p.viaEntry, p.direct} {
			used, err := p.closedLoop(ctx, c, n, promptTokens, output)
			if err != nil {
				return 0, err
			}
			lowest[i] = min(lowest[i], used)
		}
	}
	return lowest[0] - lowest[1], nil
}

// gatewayCPU measures the processor time per request, prompt byte and relayed
// token.
func gatewayCPU(ctx context.Context) ([]Result, error) {
	requests := &series{name: "gateway_request", unit: "seconds of processor per request of 1 token, by number of requests"}
	prompt := &series{name: "gateway_prompt", unit: "seconds of processor per MB of prompt"}
	tokens := &series{name: "gateway_token", unit: "seconds of processor per token relayed"}
	p, err := startRequestPath(ctx)
	if err != nil {
		return nil, err
	}
	defer p.fleet.Close()
	for _, n := range []int{200, 500, 1000, 2000} {
		used, err := p.cost(ctx, n, 20, 1)
		if err != nil {
			return nil, err
		}
		requests.add(float64(n), used.Seconds())
	}
	for _, size := range []int{1_000, 50_000, 100_000, 200_000} {
		const n = 40
		used, err := p.cost(ctx, n, size, 1)
		if err != nil {
			return nil, err
		}
		prompt.add(float64(size*standin.BytesPerToken)/1e6, used.Seconds()/n)
	}
	for _, output := range []int{10, 100, 300, 600} {
		const n = 64
		used, err := p.cost(ctx, n, 20, output)
		if err != nil {
			return nil, err
		}
		tokens.add(float64(output), used.Seconds()/n)
	}
	return resultsOf(requests, prompt, tokens), nil
}

// streamHeap measures the memory of open streams.
func streamHeap(ctx context.Context) ([]Result, error) {
	streams := &series{name: "stream_heap", unit: "bytes of heap and stacks per open stream of a short prompt"}
	prompts := &series{name: "stream_prompt_heap", unit: "bytes of heap per open stream and MB of prompt"}
	p, err := startRequestPath(ctx)
	if err != nil {
		return nil, err
	}
	defer p.fleet.Close()
	for _, n := range []int{100, 300, 600, 1000} {
		streams.add(float64(n), p.openStreamMemory(ctx, p.viaEntry, n, 200)-p.openStreamMemory(ctx, p.direct, n, 200))
	}
	for _, size := range []int{1_000, 40_000, 100_000, 200_000} {
		const n = 40
		extra := p.openStreamMemory(ctx, p.viaEntry, n, size) - p.openStreamMemory(ctx, p.direct, n, size)
		prompts.add(float64(size*standin.BytesPerToken)/1e6, extra/n)
	}
	return resultsOf(streams, prompts), nil
}

// openStreamMemory returns the memory that n open streams use in callers,
// engines and, if c sends through it, the entry process.
func (p *requestPath) openStreamMemory(ctx context.Context, c *loadgen.Client, n, promptTokens int) float64 {
	const output = 40_000 // 20 s of decoding, longer than the measurement
	ctx, cancel := context.WithCancel(ctx)
	before := heapBytes()
	p.runs++
	name := p.runs
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			c.Do(ctx, loadgen.Request{
				ID: fmt.Sprintf("held-%d-%d", name, i), Model: testbed.Model, PromptTokens: promptTokens, MaxTokens: output,
				Timeout: time.Minute, ReadDelay: 100 * time.Millisecond,
			})
		})
		time.Sleep(time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	bytes := heapBytes() - before
	cancel()
	running.Wait()
	time.Sleep(1500 * time.Millisecond) // until cancellations have reached the engines
	return bytes
}
