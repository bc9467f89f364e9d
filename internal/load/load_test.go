package load

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/scheduler"
	"github.com/oriolefront/oriolefront/internal/standin"
)

// observer is a capacity that records evidence.
type observer struct {
	capacity.Allocator
	mu   sync.Mutex
	last capacity.Observation
	gap  time.Duration // largest time between two pieces of evidence
}

func (o *observer) Observe(_ string, x capacity.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.last.At.IsZero() {
		o.gap = max(o.gap, x.At.Sub(o.last.At))
	}
	o.last = x
}

func (o *observer) read() (capacity.Observation, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last, o.gap
}

type rig struct {
	engine    *standin.Engine
	client    engine.Client
	holder    *config.Holder
	observer  *observer
	collector *Collector
}

// declare returns a configuration with one target.
func declare(version uint64, address string, zoneOut bool) *config.Config {
	return &config.Config{
		Version:  version,
		Zones:    map[string]config.Zone{"iasi": {OutOfService: zoneOut}, "bacau": {}},
		Links:    map[string]config.Link{"l": {From: "iasi", To: "bacau", OneWay: config.Duration(1500 * time.Microsecond)}},
		Services: map[string]config.Service{"lm": {Kind: config.ModelService}},
		Targets: map[string]config.Target{"e0": {
			Service: "lm", Zone: "iasi", Address: address, Models: []string{"m", "unloaded"}, KVTokens: 400_000,
			PrefillTokensPerSecond: 100_000, DecodeTokensPerSecond: 200, MaxRunning: 8, ColdRunning: 1,
		}},
	}
}

func startRig(t *testing.T) *rig {
	e := standin.NewEngine(standin.EngineOptions{
		Name: "e0", KVTokens: 400_000, PrefillTokensPerSecond: 100_000, DecodeTokensPerSecond: 200,
		MaxRunning: 8, ColdRunning: 1, RestartAfter: 50 * time.Millisecond, Models: []engine.Model{{Name: "m"}},
	})
	server := httptest.NewServer(e.Handler())
	ctx, cancel := context.WithCancel(t.Context())
	address := strings.TrimPrefix(server.URL, "http://")
	r := &rig{engine: e, holder: &config.Holder{}, observer: &observer{}}
	r.holder.PublishIfNewer(declare(1, address, false))
	transport := engine.NewTransport()
	r.client = engine.NewHTTPClient(address, transport)
	r.collector = NewCollector(Options{
		Config: r.holder, Capacity: r.observer, Zone: "bacau",
		Clients:      func(string) engine.Client { return r.client },
		PollInterval: 40 * time.Millisecond, PollTimeout: 80 * time.Millisecond, CacheInterval: 20 * time.Millisecond,
	})
	var running sync.WaitGroup
	running.Go(func() { e.Run(ctx) })
	running.Go(func() { r.collector.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		transport.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	r.await(t, "the first report", func(x scheduler.Target) bool { return x.ReportedAt > 0 })
	return r
}

func (r *rig) await(t *testing.T, what string, ok func(scheduler.Target) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok(r.collector.Snapshot().Targets[0]) {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(3*time.Second))
}

func (r *rig) begin(t *testing.T, promptTokens int) *Attempt {
	t.Helper()
	s := r.collector.Snapshot()
	a := r.collector.BeginAttempt(&scheduler.Decision{OK: true, Target: &s.Targets[0], Level: 2}, "m", promptTokens)
	assert.Assert(t, a != nil)
	return a
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against work for a target that drains or whose zone is out of service,
// against a model that is not loaded, and against wrong zone distances.
func TestSnapshotFollowsReportAndConfiguration(t *testing.T) {
	r := startRig(t)
	s := r.collector.Snapshot()
	assert.Equal(t, s.Candidates("lm", "m"), 1)
	assert.Equal(t, s.Targets[0].Distance, 0.003)
	r.await(t, "the unloaded model to go", func(scheduler.Target) bool {
		return r.collector.Snapshot().Candidates("lm", "unloaded") == 0
	})
	r.engine.Drain(true)
	r.await(t, "the drain", func(x scheduler.Target) bool { return !x.Usable })
	r.engine.Drain(false)
	r.await(t, "the end of the drain", func(x scheduler.Target) bool { return x.Usable })
	r.holder.PublishIfNewer(declare(2, s.Targets[0].Declared.Address, true))
	r.await(t, "the zone to leave", func(x scheduler.Target) bool { return !x.Usable })
	r.holder.PublishIfNewer(&config.Config{Version: 3})
	r.await(t, "the target to go", func(x scheduler.Target) bool { return x.Name == "" })
}

// Guards against evidence that is too old for warm shares although the target
// answers.
func TestEvidenceIsFresh(t *testing.T) {
	r := startRig(t)
	time.Sleep(500 * time.Millisecond)
	last, gap := r.observer.read()
	assert.Equal(t, last.StartNumber, uint64(1))
	assert.Assert(t, gap < time.Second, "%s", gap)
}

// Guards against attempts that wait for a frozen engine until its connection
// times out, and against exclusion of an engine that is back.
func TestFrozenTargetIsGivenUp(t *testing.T) {
	r := startRig(t)
	a := r.begin(t, 100)
	assert.Assert(t, !isClosed(a.TargetFailed()))
	broken := a.TargetFailed()
	r.engine.Freeze(900 * time.Millisecond)
	r.await(t, "exclusion", func(x scheduler.Target) bool { return !x.Usable })
	select {
	case <-broken:
	case <-time.After(2 * time.Second):
		t.Fatal("the attempt was not given up")
	}
	a.Done(AttemptResult{Failed: true})
	r.await(t, "probing", func(x scheduler.Target) bool { return x.Usable && x.Probing })
	b := r.begin(t, 100)
	assert.Assert(t, !isClosed(b.TargetFailed()))
	b.Done(AttemptResult{ReceivedEvent: true, StartNumber: 1})
	r.await(t, "health", func(x scheduler.Target) bool { return x.Usable && !x.Probing })
}

// Guards against attempts that wait for an engine that lost them in a restart.
func TestRestartBreaksAttempts(t *testing.T) {
	r := startRig(t)
	a := r.begin(t, 100)
	broken := a.TargetFailed()
	r.engine.Crash()
	select {
	case <-broken:
	case <-time.After(2 * time.Second):
		t.Fatal("the attempt was not given up")
	}
	a.Done(AttemptResult{Failed: true})
}

// Guards against prefix entries that are not learned, or survive the loss of
// the engine's cache.
func TestPrefixIndexFollowsEngine(t *testing.T) {
	r := startRig(t)
	prompt := `"` + strings.Repeat("x", 3000) + `"`
	stream, err := r.client.Start(t.Context(), engine.StartRequest{
		Attempt: "0.1.1.1", Path: "/v1/completions",
		Body: []byte(`{"model":"m","prompt":` + prompt + `,"max_tokens":1,"request_id":"0.1.1.1","stream":true}`),
	})
	assert.NilError(t, err)
	for err == nil {
		_, err = stream.Next()
	}
	stream.Close()
	hashes := engine.AppendPrefixHashes(nil, []byte(prompt), standin.BytesPerToken)
	r.await(t, "the prefix", func(scheduler.Target) bool {
		h := r.collector.Prefixes().Holders(hashes)
		return h.Count == 1 && h.List[0].Tokens == 2*engine.PrefixBlockTokens
	})
	r.engine.TurnCold()
	r.await(t, "the index to be dropped", func(scheduler.Target) bool {
		return r.collector.Prefixes().Holders(hashes).Count == 0
	})
}

// Guards against an index that grows without bound, and against entries that
// survive a lost removal.
func TestPrefixIndexProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bound = 64
		x := newPrefixIndex(bound)
		r := cacheReader{index: x, id: 3, startNumber: 1}
		truth := map[uint64]bool{}
		sequence := uint64(0)
		lost := false
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			sequence++
			e := engine.CacheEvent{Sequence: sequence, Prefix: rapid.Uint64Range(1, 200).Draw(t, "prefix")}
			e.Removed = truth[e.Prefix]
			truth[e.Prefix] = !e.Removed
			if lost = rapid.IntRange(0, 9).Draw(t, "lost") == 0; lost {
				continue
			}
			r.apply(engine.CacheEvents{StartNumber: 1, Events: []engine.CacheEvent{e}})
		}
		if lost {
			return // the gap shows with the next event only
		}
		size := 0
		for i := range x.shards {
			size += len(x.shards[i].entries)
		}
		assert.Assert(t, size <= bound, "%d", size)
		for prefix, held := range truth {
			found := x.Holders([]uint64{prefix}).Count > 0
			assert.Assert(t, held || !found, "prefix %d is in the index and not in the engine", prefix)
		}
	})
}

// Each case guards against a lagging report that hides or repeats this VM's
// own work.
func TestReportIsCorrectedByOwnWork(t *testing.T) {
	const lag = 100 * time.Millisecond
	for _, c := range []struct {
		name     string
		sentAgo  time.Duration
		answered bool
		reported int
		want     [scheduler.Levels]float64 // reported backlog by level
		since    int64                     // own tokens counted beside it
	}{
		{"sent long before, own lower level", time.Second, false, 5000, [scheduler.Levels]float64{1000, 1000, 1000, 5000, 5000, 5000}, 0},
		{"sent within the lag", lag / 2, false, 0, [scheduler.Levels]float64{}, 4000},
		{"answered", time.Second, true, 5000, [scheduler.Levels]float64{5000, 5000, 5000, 5000, 5000, 5000}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := scheduler.Now() + time.Minute
			f := &followed{live: &scheduler.LocalCounters{}, health: newHealth(), attempts: map[*Attempt]struct{}{}}
			a := &Attempt{target: f, level: 3, tokens: 4000, sentAt: now - c.sentAgo}
			f.attempts[a] = struct{}{}
			f.live.Sent[3].Store(4000)
			f.live.Unanswered[3].Store(4000)
			if c.answered {
				a.answerLocked()
			}
			f.takeReport(engine.Load{StartNumber: 1, PrefillBacklog: c.reported}, now, lag, countersOf(f.live))
			v := f.view(now)
			assert.Equal(t, v.Backlog, c.want)
			assert.Equal(t, v.Local.Sent[3].Load()-v.SentAtReport[3], c.since)
		})
	}
}

// Guards against a rate or a size of tokens that is not learned, and against
// false evidence that a shared target is slow.
func TestLearning(t *testing.T) {
	r := startRig(t)
	for range 30 {
		a := r.begin(t, 10_000)
		a.FirstEvent()
		a.Done(AttemptResult{ReceivedEvent: true, StartNumber: 1, TimeToFirstEvent: 53 * time.Millisecond, PromptBytes: 30_000, PromptTokens: 10_000})
	}
	r.await(t, "the rate", func(x scheduler.Target) bool { return x.PrefillRate > 180_000 })
	assert.Assert(t, r.collector.BytesPerToken("m") < 4)
	a, b := r.begin(t, 10_000), r.begin(t, 10_000)
	a.Done(AttemptResult{ReceivedEvent: true, StartNumber: 1, TimeToFirstEvent: time.Second, Duration: time.Second})
	last, _ := r.observer.read()
	assert.Equal(t, last.SpeedRatio, 0.0)
	b.Done(AttemptResult{})
	c := r.begin(t, 10_000)
	c.Done(AttemptResult{ReceivedEvent: true, StartNumber: 1, TimeToFirstEvent: time.Second, Duration: time.Second})
	last, _ = r.observer.read()
	assert.Assert(t, last.SpeedRatio > 0.05 && last.SpeedRatio < 0.15, "%v", last.SpeedRatio)
	assert.Equal(t, r.collector.Snapshot().Targets[0].Local.Running.Load(), int64(0))
}

// Guards against exclusion after one failure, and against a backoff that does
// not grow or never ends.
func TestHealthBackoff(t *testing.T) {
	h, now := newHealth(), time.Duration(0)
	h.attemptFailed(now)
	assert.Equal(t, h.state, healthy)
	h.attemptFailed(now)
	assert.Equal(t, h.state, failed)
	previous := time.Duration(0)
	for range 8 {
		assert.Assert(t, h.backoff >= previous && h.backoff <= backoffMax)
		previous = h.backoff
		h.pollSucceeded(now + h.backoff - 1)
		assert.Equal(t, h.state, failed)
		now += h.backoff
		h.pollSucceeded(now)
		assert.Equal(t, h.state, probing)
		h.attemptFailed(now)
		assert.Equal(t, h.state, failed)
	}
	assert.Equal(t, h.backoff, backoffMax)
	now += h.backoff
	h.pollSucceeded(now)
	h.attemptSucceeded()
	assert.Equal(t, h.state, healthy)
	assert.Assert(t, h.recentFailures(now+time.Minute) < 0.1)
}
