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
)

const (
	dialTimeout       = 2 * time.Second
	maxResponseHeader = 32 << 10 // bytes
)

// hopByHop are the headers that concern one connection only, and those that
// are meant for this VM and not for the target.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// newPooledTransport keeps connections. It may repeat a request on its own, so
// it is for idempotent requests only.
func newPooledTransport() *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        90 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// newOnceTransport opens a connection for each request. http.Transport repeats
// a request that carries an Idempotency-Key when a kept connection breaks; on
// a new connection it repeats nothing. It also makes the first write of the
// connection the first byte of the request, where guard checks.
func newOnceTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	t := newPooledTransport()
	t.DisableKeepAlives = true
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		g, _ := ctx.Value(guardKey{}).(*sendGuard)
		return &guardedConn{Conn: conn, guard: g}, nil
	}
	return t
}

type guardKey struct{}

// guardState says how far a guarded request has come.
type guardState = int32

const (
	unsent guardState = iota
	sent              // a byte may have gone out
	sealed            // no byte went out and none can any more
)

// sendGuard stands before the first byte of a request.
type sendGuard struct {
	authorizeSend func() error
	refused       atomic.Pointer[error]
	state         atomic.Int32
}

// seal stops a request that failed. It reports whether no byte can have been
// sent. The transport may still be about to write when it returns an error, so
// reading the state alone would not be enough.
func (g *sendGuard) seal() bool {
	return g.state.CompareAndSwap(unsent, sealed) || g.state.Load() == sealed
}

// guardedConn asks its guard right before the first byte is written.
type guardedConn struct {
	net.Conn
	guard *sendGuard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	g := c.guard
	if g == nil {
		return 0, net.ErrClosed // no request may go out unguarded
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

// traceSent returns a context that sets flag once a connection is obtained: it
// may carry bytes of the request even if the write fails later.
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
	req.Header.Del("Authorization") // the caller's key is not for the target
	req.Header.Del("Expect")
	req.Header.Set(gateway.HeaderRequestID, c.id)
	req.Header.Set(gateway.HeaderTimeout, strconv.FormatInt(max(1, time.Until(c.deadline).Milliseconds()), 10))
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "") // send none of our own
	}
	return req, nil
}

// copyHeader copies all headers but those of one connection.
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

// copyResponseHeader copies the headers of a target's answer. Those by which this VM
// speaks of outcomes are not the target's to set.
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

// isNotRun reports whether a target's answer says that it did not run the
// request.
func isNotRun(resp *http.Response) bool {
	return resp.StatusCode >= 400 && resp.Header.Get(HeaderOutcome) == "not_run"
}

// relayWriter passes an answer on in small pieces as they arrive.
type relayWriter struct {
	w          http.ResponseWriter
	callerGone bool // the caller does not read any more
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

// readSome reads until at least one byte or the end has come.
func readSome(body io.Reader, buffer []byte) (n int, err error) {
	for n == 0 && err == nil {
		n, err = body.Read(buffer)
	}
	return n, err
}
