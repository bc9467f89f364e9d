package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/gateway"
	"github.com/oriolefront/oriolefront/internal/httpclient"
	"github.com/oriolefront/oriolefront/internal/logging"
)

const (
	dialTimeout       = 2 * time.Second
	maxResponseHeader = 32 << 10 // bytes
)

// hopByHop are the headers that apply to a single connection, and those that are meant for
// this VM and not for the target.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// newPooledTransport returns a transport that keeps connections. It may retry a request by
// itself, so it is for idempotent requests only.
func newPooledTransport() *httpclient.Transport {
	t := baseTransport()
	t.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	return httpclient.New(t)
}

// newUnpooledTransport returns a transport that opens a connection for each request.
// http.Transport retries a request with an Idempotency-Key when a kept connection breaks,
// but never on a new connection. A new connection also makes the first write the first byte
// of the request, where sendGuard checks.
func newUnpooledTransport() *httpclient.Transport {
	t := baseTransport()
	t.DisableKeepAlives = true
	t.DialContext = dialGuarded
	return httpclient.New(t)
}

func baseTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        90 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// dialGuarded opens a connection with the guard of ctx.
func dialGuarded(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	g, _ := ctx.Value(guardKey{}).(*sendGuard)
	return &guardedConn{Conn: conn, guard: g}, nil
}

type guardKey struct{}

// guardState is the state of a guarded request.
type guardState = int32

const (
	unsent guardState = iota
	sent              // a byte may have been sent
	sealed            // no byte was sent and none can be any more
)

// sendGuard authorizes the sending of a request right before its first byte.
type sendGuard struct {
	authorizeSend func() error
	refused       atomic.Pointer[error]
	state         atomic.Int32
}

// seal stops a request that failed, and reports whether no byte can have been sent. Reading
// the state alone would not be enough: the transport may still be about to write when it
// returns an error.
func (g *sendGuard) seal() bool {
	return g.state.CompareAndSwap(unsent, sealed) || g.state.Load() == sealed
}

// guardedConn consults its guard right before the first byte is written.
type guardedConn struct {
	net.Conn
	guard *sendGuard
}

// NetConn returns the connection below, see package tcp.
func (c *guardedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	g := c.guard
	if g == nil {
		return 0, net.ErrClosed // no request may be sent without a guard
	}
	if g.state.Load() == unsent {
		if err := g.authorizeSend(); err != nil {
			g.refused.Store(&err)
			g.state.CompareAndSwap(unsent, sealed)
			return 0, err
		}
		g.state.CompareAndSwap(unsent, sent)
	}
	if g.state.Load() == sealed {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// traceSent returns a context that sets flag once a connection is obtained: from then on
// bytes of the request may be sent, even if the write fails later.
func traceSent(ctx context.Context, flag *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { flag.Store(true) },
	})
}

// request builds the request for a target.
func (c *call) request(ctx context.Context, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, invalid("the path cannot be forwarded: %v", err)
	}
	copyHeader(req.Header, c.header)
	req.Header.Del("Authorization") // the caller's API key must not reach the target
	req.Header.Del("Expect")
	req.Header.Set(gateway.HeaderRequestID, c.id)
	req.Header.Set(gateway.HeaderTimeout, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "") // keeps net/http from sending its own
	}
	return req, nil
}

// copyHeader copies all headers except those in hopByHop or named by Connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, line := range from.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
}

// copyResponseHeader copies the headers of a target's response, except those with which this
// VM reports outcomes.
func copyResponseHeader(to, from http.Header) {
	id := to.Get(gateway.HeaderRequestID)
	idempotency := to.Get(HeaderIdempotency)
	copyHeader(to, from)
	to.Del(HeaderOutcome)
	to.Del(HeaderAnswer)
	to.Del(HeaderIdempotency)
	to.Set(gateway.HeaderRequestID, id)
	if idempotency != "" {
		to.Set(HeaderIdempotency, idempotency)
	}
}

// roundTrip is like RoundTripper.RoundTrip, but its error is short, whatever the target sent.
func roundTrip(transport http.RoundTripper, req *http.Request) (*http.Response, error) {
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, logging.BoundError(err)
	}
	return resp, nil
}

// isNotRun reports whether a target's response says that it did not run the request.
func isNotRun(resp *http.Response) bool {
	return resp.StatusCode >= 400 && resp.Header.Get(HeaderOutcome) == "not_run"
}

// relayWriter writes a response to the caller and flushes each piece as it arrives.
type relayWriter struct {
	w          http.ResponseWriter
	callerGone bool // a write failed: the caller disconnected or does not read
}

func (r *relayWriter) write(p []byte) {
	if r.callerGone || len(p) == 0 {
		return
	}
	_, err := r.w.Write(p)
	if err == nil {
		err = http.NewResponseController(r.w).Flush()
	}
	r.callerGone = err != nil
}

// readSome reads at least one byte, or up to the end or an error.
func readSome(body io.Reader, buffer []byte) (n int, err error) {
	for n == 0 && err == nil {
		n, err = body.Read(buffer)
	}
	return n, err
}
