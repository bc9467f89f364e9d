package forward

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
)

// plainProtocol is a protocol without headers of its own.
type plainProtocol struct{ Protocol }

func (plainProtocol) ForwardHeader(http.Header, ForwardInfo) http.Header { return http.Header{} }
func (plainProtocol) ParseResponse(status int, h http.Header) ResponseInfo {
	return ResponseInfo{Status: status, Signed: true, Leaving: h.Get("Leaving") != ""}
}
func (plainProtocol) ResponseHeader(from http.Header) http.Header { return from }
func (plainProtocol) FormatHelper(address, _ string) string       { return address }
func (plainProtocol) ReserveCommand(string, string, int, time.Duration) Command {
	return Command{URI: "/reserve", Header: http.Header{}}
}
func (plainProtocol) ReleaseCommand(string, string) Command {
	return Command{URI: "/release", Header: http.Header{}}
}

// testEngine is the model of the engines of the service "engines".
var testEngine = &topology.EngineModel{Slots: 4, KVTokens: 20_000, StepsPerIteration: 43, Step: time.Microsecond, PrefillRate: 1e6, ChunkTokens: 2048}

// newNoticesHandler returns a handler with the given targets.
func newNoticesHandler(targets ...*topology.Target) *Handler {
	config := &topology.Config{Services: []topology.Service{{Name: "plain"}, {Name: "engines", Engine: testEngine}}}
	h := &Handler{
		Views: topology.NewHolder(), Protocol: plainProtocol{}, Pool: upstream.NewPool(nil), Registry: inflight.New(), Health: NewHealth(),
		Log: slog.New(slog.DiscardHandler), Metrics: NewMetrics(metrics.NewSet()), VMCount: func() int { return 1 },
		KeysUnconfirmed: func() bool { return false },
	}
	h.RetryBudget = NewRetryBudget(func() RetryLimits { return RetryLimits{Ratio: 1, Slack: 100, Window: time.Second} }, h.VMCount)
	h.Views.Set(topology.NewView(config, targets, nil))
	return h
}

// newNoticesCall returns a call to a service that was not tried at a target yet.
func newNoticesCall(service string, promptTokens int) *call {
	route := &topology.Route{Objective: time.Second, MaxEventGap: time.Second, MaxTargets: 2, Kind: topology.Idempotent}
	now := time.Now()
	return &call{
		route: route, service: service, tried: map[string]bool{}, arrived: now, deadline: now.Add(3 * time.Second),
		meta: RequestInfo{ID: "r", PromptTokens: promptTokens, OutputTokens: 1}, request: httptest.NewRequest("GET", "/x", nil),
		caller: newCallerWriter(httptest.NewRecorder()),
	}
}

// targetsNamed returns targets of a service, born at 1.
func targetsNamed(service string, ids ...string) []*topology.Target {
	var targets []*topology.Target
	for _, id := range ids {
		targets = append(targets, &topology.Target{ID: id, Service: service, Zone: "z", Address: "127.0.0.1:1", Slots: 4, Born: 1})
	}
	return targets
}

// Guards against a target that is used again although it is leaving, because its row was
// written again or had vanished, and against one that stays unused after a restart.
func TestLeavingLastsUntilTheTargetIsRestarted(t *testing.T) {
	at := func(born int64) *topology.Target { return &topology.Target{ID: "a", Born: born} }
	none := func(string) bool { return false }
	h := NewHealth()
	assert.Assert(t, !h.Leaving(at(5)))
	assert.Assert(t, h.MarkLeaving(at(5)))
	assert.Assert(t, !h.MarkLeaving(at(5)), "told once")
	assert.Assert(t, h.Leaving(at(5)))
	assert.Assert(t, h.Leaving(at(0)), "a row without a start names no other incarnation")
	assert.Assert(t, !h.Leaving(at(6)))
	assert.Assert(t, !h.Leaving(&topology.Target{ID: "b", Born: 5}))
	h.Retain(none)
	assert.Assert(t, h.Leaving(at(5)), "the row vanished")
	assert.Assert(t, h.MarkLeaving(at(7)))
	assert.Assert(t, !h.MarkLeaving(at(5)), "a late response of an earlier incarnation")
	assert.Assert(t, h.Leaving(at(7)) && !h.Leaving(at(8)))

	unknown := NewHealth()
	assert.Assert(t, unknown.MarkLeaving(at(0)))
	assert.Assert(t, unknown.Leaving(at(0)) && !unknown.Leaving(at(1)))
	unknown.notices["a"].listedAt = time.Now().Add(-noticeRetention - time.Second)
	unknown.Retain(func(string) bool { return true })
	assert.Assert(t, unknown.Leaving(at(0)), "dropped while it is listed")
	unknown.notices["a"].listedAt = time.Now().Add(-noticeRetention - time.Second)
	unknown.Retain(none)
	assert.Equal(t, len(unknown.notices), 0, "kept forever")
}

// Guards against a leaving target that is chosen on any path: first and repeated attempts,
// the check for alternatives, a service whose other targets are unreachable or tried.
func TestLeavingTargetIsNoCandidate(t *testing.T) {
	targets := targetsNamed("plain", "leaving", "staying")
	h := newNoticesHandler(targets...)
	leaving, staying := targets[0], targets[1]
	h.Health.MarkLeaving(leaving)
	c := newNoticesCall("plain", 0)
	assert.DeepEqual(t, h.candidates(h.Views.Get(), c), []*topology.Target{staying})
	assert.Assert(t, h.alternativeCheck(c, leaving)())
	assert.Assert(t, !h.alternativeCheck(c, staying)())
	h.Health.MarkUnreachable("staying")
	for range 20 {
		d, f := h.tryPlace(c)
		assert.Assert(t, d != nil, "%v", f)
		assert.Equal(t, d.target.ID, "staying", "the last reachable one is leaving")
		d.running.Done()
	}
	c.tried["staying"] = true
	_, f := h.tryPlace(c)
	assert.Equal(t, f, refuseNoTarget)
	h.Health.MarkLeaving(staying)
	_, f = h.place(t.Context(), c)
	assert.Equal(t, f, refuseAllLeaving)
	assert.Assert(t, f.retryAfter > 0)

	h.Views.Set(topology.NewView(h.Views.Get().Config, []*topology.Target{{ID: "leaving", Service: "plain", Slots: 1, Born: 2}}, nil))
	d, f := h.tryPlace(c)
	assert.Assert(t, d != nil, "a new incarnation: %v", f)
}

// Guards against a leaving engine that is chosen, as target or as helper, and against a
// prompt that is queued for the memory of an engine that is leaving.
func TestLeavingEngineIsNeitherTargetNorHelper(t *testing.T) {
	targets := targetsNamed("engines", "a", "b", "c")
	h := newNoticesHandler(targets...)
	helped := func() bool {
		d, f := h.tryPlace(newNoticesCall("engines", 30_000))
		assert.Assert(t, d != nil, "%v", f)
		defer d.running.Done()
		return slices.Contains(d.targets(), targets[2])
	}
	before := false
	for range 50 {
		before = before || helped()
	}
	assert.Assert(t, before, "never chosen before it leaves")
	h.Health.MarkLeaving(targets[2])
	for range 50 {
		assert.Assert(t, !helped())
	}
	_, f := h.place(t.Context(), newNoticesCall("engines", 50_000))
	assert.Equal(t, f, refusePromptTooLarge)
}

// Guards against a queued call that is sent to a target which says that it is leaving while
// the call waits.
func TestQueuedCallIsNotSentToLeavingTarget(t *testing.T) {
	targets := targetsNamed("engines", "a")
	h := newNoticesHandler(targets...)
	for range testEngine.Slots + 1 {
		h.Registry.Start(inflight.Request{Target: "a", PromptTokens: 4000, OutputTokens: 100_000})
	}
	c := newNoticesCall("engines", 10)
	refusals := make(chan *refusal, 1)
	go func() {
		_, f := h.place(t.Context(), c)
		refusals <- f
	}()
	time.Sleep(100 * time.Millisecond)
	h.queue.mu.Lock()
	waiting := len(h.queue.waiters)
	h.queue.mu.Unlock()
	assert.Equal(t, waiting, 1)
	h.Health.MarkLeaving(targets[0])
	select {
	case f := <-refusals:
		assert.Equal(t, f, refuseAllLeaving)
	case <-time.After(300 * time.Millisecond):
		t.Fatal("still queued")
	}
}

// recordingTarget responds to requests with the given header lines and the body "ok". paths
// returns the paths of those that it has received.
func recordingTarget(t *testing.T, headers ...string) (address string, paths func() []string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	var received []string
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					mu.Lock()
					received = append(received, request.URL.Path)
					mu.Unlock()
					io.WriteString(c, "HTTP/1.1 200 OK\r\n")
					for _, line := range headers {
						io.WriteString(c, line+"\r\n")
					}
					io.WriteString(c, "\r\nok")
				}
			}()
		}
	}()
	return l.Addr().String(), func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(received)
	}
}

// Guards against a request, or a reservation, that is sent although one of its engines has
// begun to leave since it was placed, and against an engine that counts as unreachable then.
func TestPlacedRequestIsNotSentToLeavingTarget(t *testing.T) {
	for name, marked := range map[string]int{"target": 0, "helper": 1} {
		t.Run(name, func(t *testing.T) {
			targets := targetsNamed("engines", "a", "b")
			var paths []func() []string
			for _, target := range targets {
				address, received := recordingTarget(t, "Content-Length: 2")
				target.Address = address
				paths = append(paths, received)
			}
			h := newNoticesHandler(targets...)
			c := newNoticesCall("engines", 30_000)
			d, f := h.tryPlace(c)
			assert.Assert(t, d != nil && len(d.targets()) == 2, "%v", f)
			h.Health.MarkLeaving(d.targets()[marked])
			o, err := h.attempt(t.Context(), c, d)
			assert.Equal(t, o, noCapacity, "%v", err)
			c.meta.PromptTokens = 10
			d.plan.ReserveTokens = 0 // the helper is named without a reservation
			d.running = h.Registry.Start(c.inflightRequest(d))
			o, err = h.attempt(t.Context(), c, d)
			assert.Equal(t, o, notAdmitted, "%v", err)
			assert.Equal(t, c.attemptsSent, 0)
			for i, received := range paths {
				for _, path := range received() {
					assert.Equal(t, path, "/release", "at %s", targets[i].ID)
				}
				assert.Assert(t, !h.Health.Status(targets[i].ID, time.Now()).Unreachable)
			}
		})
	}
}

// Guards against a target's announcement that counts only once the body has arrived, and
// against idle connections to a leaving target that are kept.
func TestAnnouncementCountsFromTheHead(t *testing.T) {
	address, _ := recordingTarget(t, "Leaving: 1", "Content-Length: 9") // of which 2 are sent
	target := &topology.Target{ID: "a", Service: "plain", Address: address, Slots: 1}
	h := newNoticesHandler(target)
	dials := 0
	h.Pool = upstream.NewPool(func() { dials++ })
	idle, _ := recordingTarget(t, "Content-Length: 2")
	get := func() {
		e, err := h.Pool.Do(t.Context(), "a", idle, upstream.Request{Method: "GET", URI: "/x", Host: "h"}, false, func(http.Header) bool { return true })
		assert.NilError(t, err)
		io.Copy(io.Discard, e.Body)
		e.Complete()
	}
	get()
	get()
	assert.Equal(t, dials, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan outcome, 1)
	go func() {
		c := newNoticesCall("plain", 0)
		c.route.Kind = topology.AtMostOnce // on a new connection
		d, _ := h.tryPlace(c)
		o, _ := h.attempt(ctx, c, d)
		ended <- o
	}()
	for end := time.Now().Add(2 * time.Second); !h.Health.Leaving(target) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, h.Health.Leaving(target))
	select {
	case o := <-ended:
		t.Fatalf("ended before its body: %v", o)
	default:
	}
	get()
	assert.Equal(t, dials, 3, "the idle connection was kept")
	cancel()
	<-ended
}
