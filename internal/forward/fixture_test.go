package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/quarantine"
	"github.com/oriolefront/oriolefront/internal/tcp"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
)

// testProtocol is a Protocol with headers of its own.
type testProtocol struct{}

func (testProtocol) ParseRequest(h http.Header) (RequestInfo, error) {
	ms, err := strconv.Atoi(h.Get("Timeout-Ms"))
	return RequestInfo{ID: h.Get("Id"), Timeout: time.Duration(ms) * time.Millisecond}, err
}

func (testProtocol) ForwardHeader(from http.Header, info ForwardInfo) http.Header {
	return http.Header{"Id": from["Id"], "Last": {info.LastEventID}}
}

func (testProtocol) ParseResponse(status int, h http.Header) ResponseInfo {
	return ResponseInfo{Status: status, ID: h.Get("Id"), Signed: true, NotRun: h.Get("Not-Run") != ""}
}

func (testProtocol) ResponseHeader(from http.Header) http.Header {
	return http.Header{"Id": from["Id"]}
}
func (testProtocol) SetRequestID(http.Header, string)      {}
func (testProtocol) FormatHelper(address, _ string) string { return address }
func (testProtocol) ReserveCommand(string, string, int, time.Duration) Command {
	return Command{}
}
func (testProtocol) ReleaseCommand(string, string) Command { return Command{} }

// connection is a target's side of one request.
type connection struct {
	net.Conn
	last int
	id   string
}

// head writes the head of a stream.
func (c *connection) head() {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.id)
}

// raw writes one chunk of a stream.
func (c *connection) raw(text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// events writes a range of events; the first call also writes the header.
func (c *connection) events(from, to int) {
	if from == c.last+1 {
		c.head()
	}
	for id := from; id <= to; id++ {
		c.raw(testEvent(id))
	}
}

func (c *connection) finish() { io.WriteString(c, "0\r\n\r\n") }

func (c *connection) respond(status int, header, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, c.id, header, len(body), body)
}

// spoil writes an event that cannot belong to the stream, and then goes on as if nothing had
// happened.
func (c *connection) spoil(next int) {
	c.raw("data: x\n\n")
	c.events(next, next+2)
	c.finish()
}

// waitForClose waits until the VM closes the connection.
func (c *connection) waitForClose() { c.Read(make([]byte, 1)) }

// continuing answers with the rest of a stream of six events.
func continuing(c *connection) {
	c.events(c.last+1, 6)
	c.finish()
}

func testEvent(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

func testEvents(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += testEvent(id)
	}
	return text
}

// testTarget is a target that runs a script for each request.
type testTarget struct {
	address  string
	listener net.Listener
	arrivals atomic.Int32
	script   func(c *connection)

	mu       sync.Mutex
	received []string // method, path and id of each request
}

func (t *testTarget) record(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received = append(t.received, fmt.Sprintf("%s %s %q", r.Method, r.URL.Path, r.Header.Get("Id")))
	t.arrivals.Add(1)
}

func (t *testTarget) requests() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.received)
}

func (t *testTarget) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	io.Copy(io.Discard, r.Body)
	t.record(r)
	last, _ := strconv.Atoi(r.Header.Get("Last"))
	t.script(&connection{Conn: c, last: last, id: r.Header.Get("Id")})
}

func newTestTarget(t *testing.T, script func(c *connection)) *testTarget {
	l, err := tcp.ListenReserved()
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	target := &testTarget{address: l.Addr().String(), listener: l, script: script}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go target.serve(c)
		}
	}()
	return target
}

// testVM is a handler behind a server, with one route of each kind.
type testVM struct {
	*Handler
	t       *testing.T
	server  *httptest.Server
	view    *topology.View
	targets []*topology.Target
	timeout time.Duration // of requests
}

// newTestVM returns a VM that knows the first target only; reveal adds the others.
func newTestVM(t *testing.T, maxTargets int, targets ...*testTarget) *testVM {
	v := &testVM{t: t, timeout: 3 * time.Second}
	for i, target := range targets {
		v.targets = append(v.targets, &topology.Target{ID: fmt.Sprint("t", i+1), Service: "s", Address: target.address, Slots: 1000})
	}
	config := &topology.Config{Services: []topology.Service{{Name: "s"}}}
	for _, r := range []topology.Route{{Name: "safe", Kind: topology.Idempotent}, {Name: "once", Kind: topology.AtMostOnce}, {Name: "stream", Kind: topology.Stream, Resumable: true}, {Name: "volatile", Kind: topology.Stream}} {
		r.Host, r.PathPrefix, r.MaxTargets, r.Shares = "127.0.0.1", "/"+r.Name+"/", maxTargets, []topology.Share{{Service: "s", Weight: 1}}
		r.Objective, r.MaxEventGap = 100*time.Millisecond, 100*time.Millisecond
		config.Routes = append(config.Routes, r)
	}
	v.view = topology.NewView(config, v.targets[:1], nil)
	views := topology.NewHolder()
	views.Set(v.view)
	v.Handler = &Handler{
		Views: views, Protocol: testProtocol{}, Pool: upstream.NewPool(nil), Registry: inflight.New(), Health: NewHealth(), Quarantine: quarantine.New(slog.New(slog.DiscardHandler)),
		RetryBudget: NewRetryBudget(func() RetryLimits { return RetryLimits{Slack: 1000, Window: time.Minute} }, func() int { return 1 }),
		Log:         slog.New(slog.NewTextHandler(t.Output(), nil)), Metrics: NewMetrics(metrics.NewSet()),
		VMCount: func() int { return 1 }, Isolated: func() bool { return false }, KeysUnconfirmed: func() bool { return false },
	}
	v.Init()
	v.server = httptest.NewServer(v.Handler)
	t.Cleanup(v.server.Close)
	return v
}

// reveal makes all targets known.
func (v *testVM) reveal() { v.Views.Set(v.view.With(v.targets, nil)) }

// fillSecond makes the second target known, which is cold and gets all the requests that it can
// take for a while.
func (v *testVM) fillSecond(full time.Duration) {
	const coldRate = 2
	config := *v.view.Config
	config.Services = []topology.Service{{Name: "s", ColdRate: coldRate}}
	cold := *v.targets[1]
	cold.ColdUntil = time.Now().Add(time.Minute)
	fill := func() {
		for range coldRate {
			v.Registry.Start(inflight.Request{Target: cold.ID}).Done()
		}
	}
	fill()
	v.Views.Set(topology.NewView(&config, []*topology.Target{v.targets[0], &cold}, nil))
	go func() {
		for ; full > time.Second; full -= 500 * time.Millisecond {
			time.Sleep(500 * time.Millisecond)
			fill()
		}
	}()
}

// send sends a request and returns the status and the body. An interrupted response is an error.
func (v *testVM) send(ctx context.Context, path, id string) (int, string, error) {
	return v.exchange(ctx, http.MethodGet, path, id, nil)
}

// exchange is like send, for a request with any method and body.
func (v *testVM) exchange(ctx context.Context, method, path, id string, body []byte) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, method, v.server.URL+path, bytes.NewReader(body))
	assert.NilError(v.t, err)
	r.Header.Set("Id", id)
	r.Header.Set("Timeout-Ms", fmt.Sprint(v.timeout.Milliseconds()))
	// Its own connection: tests that run in parallel close the idle ones of the default client.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// assertReleased checks that nothing is held for calls that have ended, and how many retries
// were counted.
func (v *testVM) assertReleased(retries int) {
	v.t.Helper()
	for end := time.Now().Add(2 * time.Second); v.Active() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(v.t, v.Active(), int64(0))
	for _, t := range v.targets {
		assert.Equal(v.t, v.Registry.Count(t.ID), 0, t.ID)
		assert.Equal(v.t, len(v.watchdogs.forTarget(t.ID)), 0, t.ID)
	}
	assert.Equal(v.t, len(v.queue.waiters), 0)
	assert.Equal(v.t, v.countedRetries(), retries)
}

func (v *testVM) countedRetries() int {
	v.RetryBudget.mu.Lock()
	defer v.RetryBudget.mu.Unlock()
	sum := 0
	for _, n := range v.RetryBudget.currentWindow("s").retries {
		sum += n
	}
	return sum
}

func assertSoon(t *testing.T, closed chan struct{}, what string) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Errorf("not within a second: %s", what)
	}
}

// assertWithin waits until a condition holds.
func assertWithin(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("not within %s: %s", limit, what)
			return
		}
	}
}
