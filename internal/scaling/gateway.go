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

// pathLab returns one entry process in front of engines that hardly cost time.
func pathLab() testbed.Options {
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

// path sends the same load through the entry process and directly to the
// engines. The difference is the entry process.
type path struct {
	lab             *testbed.Fleet
	through, direct *loadgen.Client
	sent            int
}

func startPath(ctx context.Context) (*path, error) {
	l, err := testbed.Start(ctx, pathLab())
	if err != nil {
		return nil, err
	}
	var engines []string
	for _, e := range l.Engines {
		engines = append(engines, e.Address)
	}
	p := &path{lab: l, through: loadgen.NewClient(l.CallerAddresses(), testbed.AccountKey), direct: loadgen.NewClient(engines, testbed.AccountKey)}
	return p, l.WarmUp(ctx)
}

// callers is the number of requests at a time.
const callers = 8

// closedLoop sends n requests and returns the processor time.
func (p *path) closedLoop(ctx context.Context, c *loadgen.Client, n, promptTokens, output int) (time.Duration, error) {
	var (
		running sync.WaitGroup
		mu      sync.Mutex
		failed  error
	)
	p.sent++
	name := p.sent
	used := cpuOf(func() {
		for caller := range callers {
			running.Go(func() {
				for i := caller; i < n; i += callers {
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
// the lowest through it less the lowest without it.
func (p *path) cost(ctx context.Context, n, promptTokens, output int) (time.Duration, error) {
	const runs = 4
	lowest := [2]time.Duration{time.Hour, time.Hour}
	for range runs {
		for i, c := range []*loadgen.Client{p.through, p.direct} {
			used, err := p.closedLoop(ctx, c, n, promptTokens, output)
			if err != nil {
				return 0, err
			}
			lowest[i] = min(lowest[i], used)
		}
	}
	return lowest[0] - lowest[1], nil
}

// gatewayCPU measures processor time by requests, prompt bytes and tokens.
func gatewayCPU(ctx context.Context) ([]Result, error) {
	requests := &series{name: "gateway_request", unit: "seconds of processor per request of 1 token, by number of requests"}
	prompt := &series{name: "gateway_prompt", unit: "seconds of processor per MB of prompt"}
	tokens := &series{name: "gateway_token", unit: "seconds of processor per token relayed"}
	p, err := startPath(ctx)
	if err != nil {
		return nil, err
	}
	defer p.lab.Close()
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
	p, err := startPath(ctx)
	if err != nil {
		return nil, err
	}
	defer p.lab.Close()
	for _, n := range []int{100, 300, 600, 1000} {
		streams.add(float64(n), p.held(ctx, p.through, n, 200)-p.held(ctx, p.direct, n, 200))
	}
	for _, size := range []int{1_000, 40_000, 100_000, 200_000} {
		const n = 40
		more := p.held(ctx, p.through, n, size) - p.held(ctx, p.direct, n, size)
		prompts.add(float64(size*standin.BytesPerToken)/1e6, more/n)
	}
	return resultsOf(streams, prompts), nil
}

// held returns the memory that n open streams hold in callers, engines and,
// if c goes through it, the entry process.
func (p *path) held(ctx context.Context, c *loadgen.Client, n, promptTokens int) float64 {
	const output = 40_000 // 20 s of answer, longer than the measure
	ctx, cancel := context.WithCancel(ctx)
	before := heapBytes()
	p.sent++
	name := p.sent
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
	time.Sleep(1500 * time.Millisecond) // cancellations reach the engines
	return bytes
}
