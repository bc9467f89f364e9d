package scaling

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/load"
)

// cannedEngine responds to every request with a fixed body. It uses less
// processor time than an engine stand-in, so that the measured time is nearly
// that of the client alone.
type cannedEngine struct {
	listener net.Listener
	bodies   map[string][]byte // complete responses, by path
	requests atomic.Uint64
	bytes    atomic.Uint64 // both directions
}

// plannedAttemptsPerTarget is the number of concurrent attempts on a target at
// the planned size: 59,000 requests a second of 237 tokens with 42 ms each, on
// 12,000 targets.
const plannedAttemptsPerTarget = 49

func startCannedEngine(attempts int) (*cannedEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	load := engine.Load{StartNumber: 1, Running: plannedAttemptsPerTarget, PrefillBacklog: 20_000, KVUsed: 300_000, KVTokens: 400_000,
		Role: "both", Models: []engine.Model{{Name: modelName(0), Version: "1"}}}
	inventory := engine.Inventory{StartNumber: 1, Exports: []engine.Export{}}
	for i := range attempts {
		inventory.Attempts = append(inventory.Attempts, engine.Attempt{ID: fmt.Sprintf("%d.12.%d.1", 100+i, 100_000+i), KVTokens: 6_000, Attached: true})
	}
	c := &cannedEngine{listener: listener, bodies: map[string][]byte{
		"load":      cannedResponse(load),
		"cache":     cannedResponse(engine.CacheEvents{StartNumber: 1, Events: []engine.CacheEvent{}}),
		"inventory": cannedResponse(inventory),
	}}
	go c.accept()
	return c, nil
}

func cannedResponse(v any) []byte {
	body, _ := json.Marshal(v)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Start-Number: 1\r\nDate: Thu, 01 Jan 2026 00:00:00 GMT\r\nContent-Length: %d\r\n\r\n", len(body))
	return append([]byte(head), body...)
}

func (c *cannedEngine) address() string { return c.listener.Addr().String() }

func (c *cannedEngine) close() { c.listener.Close() }

func (c *cannedEngine) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serve(conn)
	}
}

// serve responds to the requests of one connection, which have no body.
func (c *cannedEngine) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	path, size := "", 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		size += len(line)
		if path == "" {
			path = line
		}
		if line != "\r\n" {
			continue
		}
		response := c.response(path)
		c.requests.Add(1)
		c.bytes.Add(uint64(size + len(response)))
		if _, err := conn.Write(response); err != nil {
			return
		}
		path, size = "", 0
	}
}

func (c *cannedEngine) response(request string) []byte {
	switch {
	case strings.Contains(request, "/load"):
		return c.bodies["load"]
	case strings.Contains(request, "cache"):
		return c.bodies["cache"]
	default:
		return c.bodies["inventory"]
	}
}

// startCollector runs a load collector that monitors a number of targets.
func startCollector(ctx context.Context, targets int, plain bool, address string) *load.Collector {
	cfg := syntheticConfig(targets, 0, func(i int) string { return fmt.Sprintf("%s/%d", address, i) })
	if plain {
		cfg.Services["lm"] = config.Service{Kind: config.PlainService}
	}
	cfg.Version = 1
	holder := &config.Holder{}
	holder.PublishIfNewer(cfg)
	ledger, _ := newLedgerOn(holder)
	transport := engine.NewTransport()
	client := engine.NewHTTPClient(address, transport)
	c := load.NewCollector(load.Options{
		Config: holder, Capacity: ledger, Zone: zoneName(0),
		Clients: func(string) engine.Client { return client },
	})
	go c.Run(ctx)
	return c
}

// polls measures the load and cache event polls of a running collector.
func polls(ctx context.Context) ([]Result, error) {
	bytes := &series{name: "poll_bytes", unit: "bytes/s of HTTP, in and out, per followed target", planX: plannedMonitoredTargets}
	requests := &series{name: "poll_requests", unit: "requests/s per followed target", planX: plannedMonitoredTargets}
	cpu := &series{name: "poll_cpu", unit: "cores per followed target, the other side and snapshots included", planX: plannedMonitoredTargets}
	for _, n := range []int{50, 100, 200, plannedMonitoredTargets} {
		if err := pollPoint(ctx, n, bytes, requests, cpu); err != nil {
			return nil, err
		}
	}
	return resultsOf(bytes, requests, cpu), nil
}

func pollPoint(ctx context.Context, n int, bytes, requests, cpu *series) error {
	const window, windows = 4 * time.Second, 3
	canned, err := startCannedEngine(plannedAttemptsPerTarget)
	if err != nil {
		return err
	}
	defer canned.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	startCollector(ctx, n, false, canned.address())
	time.Sleep(time.Second)
	beforeBytes, beforeRequests, begin := canned.bytes.Load(), canned.requests.Load(), time.Now()
	used := lowestCPU(windows, func() { time.Sleep(window) })
	took := time.Since(begin).Seconds()
	bytes.add(float64(n), float64(canned.bytes.Load()-beforeBytes)/took)
	requests.add(float64(n), float64(canned.requests.Load()-beforeRequests)/took)
	cpu.add(float64(n), used.Seconds()/window.Seconds())
	return nil
}

// inventory measures one read of a target's inventory, by number of attempts.
func inventory(ctx context.Context) ([]Result, error) {
	bytes := &series{name: "inventory_bytes", unit: "bytes of a read per attempt", planX: plannedAttemptsPerTarget}
	cpu := &series{name: "inventory_cpu", unit: "seconds of a read per attempt, the other side included", planX: plannedAttemptsPerTarget}
	for _, n := range []int{0, 20, plannedAttemptsPerTarget, 100} {
		canned, err := startCannedEngine(n)
		if err != nil {
			return nil, err
		}
		client := engine.NewHTTPClient(canned.address(), engine.NewTransport())
		ledger, _ := newLedger(syntheticConfig(1, 0, virtualAddress))
		read := func() error {
			list, err := client.Inventory(ctx)
			ledger.ApplyInventory(targetName(0), time.Now(), list)
			return err
		}
		if err := read(); err != nil {
			return nil, err
		}
		before := canned.bytes.Load()
		const reads, runs = 400, 5
		used := lowestCPU(runs, func() {
			for range reads {
				read()
			}
		})
		bytes.add(float64(n), float64(canned.bytes.Load()-before)/(reads*runs))
		cpu.add(float64(n), used.Seconds()/reads)
		canned.close()
	}
	return resultsOf(bytes, cpu), nil
}

// publish measures the cost of publishing one snapshot. The targets are plain
// ones, which are not polled, so that nothing else runs.
func publish(ctx context.Context) ([]Result, error) {
	cpu := &series{name: "publish_cpu", unit: "seconds of a snapshot per followed target", planX: plannedMonitoredTargets}
	alloc := &series{name: "publish_alloc", unit: "bytes allocated by a snapshot per followed target", planX: plannedMonitoredTargets}
	for _, n := range []int{1_000, 3_000, 6_000, plannedTargets} {
		run, cancel := context.WithCancel(ctx)
		c := startCollector(run, n, true, "127.0.0.1:1")
		time.Sleep(300 * time.Millisecond)
		lowest := time.Hour
		for range 4 {
			before := c.Snapshot().Version
			var bytes float64
			used := cpuOf(func() { bytes = allocated(func() { time.Sleep(1500 * time.Millisecond) }) })
			published := c.Snapshot().Version - before
			if perSnapshot := used / time.Duration(max(published, 1)); perSnapshot < lowest {
				lowest = perSnapshot
			}
			alloc.add(float64(n), bytes/float64(max(published, 1)))
		}
		cpu.add(float64(n), lowest.Seconds())
		cancel()
	}
	return resultsOf(cpu, alloc), nil
}
