// Package upstream sends requests to targets over pooled connections. Each failure states
// whether a byte of the request may have reached the target.
//
// A target may send a second copy of a response late, where the response to the next request on
// the connection is expected. The response to a request is therefore recognized by the id of the
// request, and by its position only on a connection that has carried nothing else. A connection
// on which any other response arrived is not used again.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/httpclient"
	"github.com/oriolefront/oriolefront/internal/tcp"
)

// Limits and timeouts of the pool.
const (
	// dialTimeout is far above a round trip within a region, and below the time after which
	// a lost SYN is retransmitted.
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long an idle connection is kept if the target does not announce a
	// timeout.
	idleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that a target announces.
	idleMargin = 500 * time.Millisecond
	maxIdle    = 32 // idle connections kept for one target
	// TCP keep-alive probes close connections whose remote end disappeared without a FIN or RST.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// maxStaleResponses bounds the skipped responses to earlier requests.
	maxStaleResponses = 2
	readBufferBytes   = 2 << 10 // bytes
	// maxHeadBytes bounds the status line and headers of a response, with the late and
	// interim responses before it: a broken target may send bytes without end.
	maxHeadBytes = 256 << 10
)

// Reuse is how the connection of a request may be shared with other requests.
type Reuse uint8

// Values of Reuse.
const (
	// ReuseIdle takes an idle connection if there is one, and keeps the connection afterwards.
	ReuseIdle Reuse = iota
	// DialThenKeep opens a connection, which is kept for other requests afterwards.
	DialThenKeep
	// DialThenClose opens a connection that carries nothing else. It is the only choice for a
	// request without an id.
	DialThenClose
)

// Request is a request to a target.
type Request struct {
	// ID is the id that the target repeats in its response; empty if it repeats none.
	ID     string
	Reuse  Reuse
	Method string
	// URI is the path and query as sent by the caller.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// BeforeSend is called before the first byte is written; after an error nothing is sent.
	// It may be nil.
	BeforeSend func() error
	// ResponseID returns the id of the request that a response header belongs to; empty if the
	// header has none.
	ResponseID func(http.Header) string
	// OnForeign is called for each response on the connection that does not belong to this
	// request. It may be nil.
	OnForeign func(ForeignResponse)
}

// ForeignResponse is a response that arrived where that to another request was expected.
type ForeignResponse struct {
	Status int
	// ID is the id of the request that the response belongs to, if it has one.
	ID string
	// Position is the number of requests that the connection has carried.
	Position int
}

func (r Request) reportForeign(f ForeignResponse) {
	if r.OnForeign != nil {
		r.OnForeign(f)
	}
}

func (r Request) reuse() Reuse {
	if r.ID == "" {
		return DialThenClose
	}
	return r.Reuse
}

func (r Request) beforeSend() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// Error is a failure to get a response.
type Error struct {
	Address string
	// MaybeSent is true if a byte of the request may have reached the target.
	MaybeSent bool
	// Invalid is true if the target sent something that is no response to the request.
	Invalid bool
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	state := "not sent"
	if e.MaybeSent {
		state = "sent, no response"
	}
	return fmt.Sprintf("request to %s: %s: %v", e.Address, state, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IsConnectionError reports whether reading a response failed because of its connection, and not
// because of what the target sent on it.
func IsConnectionError(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// Errors of exchanges.
var (
	errForeignResponse = errors.New("target sent only responses to other requests")
	// errUnidentifiedResponse is not skipped: the target may send no other response.
	errUnidentifiedResponse = errors.New("target sent a response without an id on a connection with earlier requests")
	errUnexpectedData       = errors.New("connection carries unexpected bytes")
)

// Pool is a pool of connections to targets.
type Pool struct {
	dialer *net.Dialer

	mu     sync.Mutex
	idle   map[string][]*conn // by target id
	kept   int                // idle connections to all targets
	limit  int                // of kept, 0 for none
	closed bool
	// onDial is called for each new connection, if set.
	onDial func()
}

// NewPool returns an empty pool. onDial is called for each new connection; it may be nil.
func NewPool(onDial func()) *Pool {
	dialer := tcp.Dialer()
	dialer.Timeout = dialTimeout
	dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
	return &Pool{dialer: dialer, idle: map[string][]*conn{}, onDial: onDial}
}

// LimitIdle bounds the idle connections to all targets together. It must be called before the pool
// is used.
func (p *Pool) LimitIdle(n int) { p.limit = n }

// Exchange is a response that is being read. Close must be called.
type Exchange struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool
	done bool
}

// Do sends a request and returns the response, of which only the header was read. The
// connection is closed when ctx is done before the exchange is complete.
func (p *Pool) Do(ctx context.Context, key, address string, r Request) (*Exchange, error) {
	c, err := p.connect(ctx, key, address, r)
	if err != nil {
		return nil, &Error{Address: address, Cause: err}
	}
	if err := errors.Join(ctx.Err(), r.beforeSend(), c.checkIdle()); err != nil {
		c.Close()
		return nil, &Error{Address: address, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	c.send(r)
	resp, err := c.readResponse(r)
	if err != nil {
		stop()
		c.Close()
		invalid := !IsConnectionError(err)
		if cause := context.Cause(ctx); cause != nil {
			err, invalid = cause, false
		}
		return nil, &Error{Address: address, MaybeSent: true, Invalid: invalid, Cause: err}
	}
	return &Exchange{Response: resp, pool: p, conn: c, stop: stop}, nil
}

// connect returns the connection for a request, which counts as carried by it from then on.
func (p *Pool) connect(ctx context.Context, key, address string, r Request) (*conn, error) {
	var c *conn
	if r.reuse() == ReuseIdle {
		c = p.takeIdle(key, address, r.ID)
	}
	if c == nil {
		var err error
		if c, err = p.dial(ctx, key, address); err != nil {
			return nil, err
		}
	}
	c.used++
	c.lastID = r.ID
	c.spoiled = r.reuse() == DialThenClose
	return c, nil
}

func (p *Pool) dial(ctx context.Context, key, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.onDial != nil {
		p.onDial()
	}
	limiter := &readLimiter{reader: raw}
	head := &headReader{reader: limiter}
	return &conn{Conn: raw, key: key, address: address, limiter: limiter, head: head, reader: bufio.NewReaderSize(head, readBufferBytes)}, nil
}

// CanConnect reports whether an address accepts a connection.
func (p *Pool) CanConnect(address string) bool {
	c, err := p.dialer.Dial("tcp", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// Complete ends the exchange after the complete response was read. The connection is returned
// to the pool if nothing else has arrived on it.
func (e *Exchange) Complete() {
	if e.done {
		return
	}
	e.done = true
	if !e.stop() || !e.reusable() {
		e.conn.Close()
		return
	}
	e.pool.keepIdle(e.conn, e.Response.Header)
}

func (e *Exchange) reusable() bool {
	select {
	case <-e.conn.written:
	default:
		return false
	}
	return e.conn.writeErr == nil && !e.conn.spoiled && !e.Response.Close && e.conn.reader.Buffered() == 0 && !e.EndsWithConnection()
}

// EndsWithConnection reports whether the response has neither a length nor chunks: only the end
// of its connection ends it.
func (e *Exchange) EndsWithConnection() bool { return httpclient.EndsWithConnection(e.Response) }

// Close ends the exchange. If it is not complete, the connection is closed, which makes the
// target cancel the request.
func (e *Exchange) Close() {
	if e.done {
		return
	}
	e.done = true
	e.stop()
	e.conn.Close()
}

func (p *Pool) keepIdle(c *conn, h http.Header) {
	keep := idleTimeout
	if announced, ok := keepAliveTimeout(h); ok {
		keep = min(keep, announced-idleMargin)
	}
	if keep <= 0 {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(keep)
	p.addIdle(c)
}

func (p *Pool) addIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.key]) >= maxIdle || p.limit > 0 && p.kept >= p.limit {
		c.Close()
		return
	}
	p.kept++
	p.idle[c.key] = append(p.idle[c.key], c)
}

// takeIdle returns the most recently used idle connection that is still healthy, or nil. It
// closes those to an earlier address of the target, and those whose latest request had the same
// id: a second copy of its response could not be told from the response to this one.
func (p *Pool) takeIdle(key, address, id string) *conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.kept--
		p.mu.Unlock()
		if c.address == address && c.lastID != id && time.Now().Before(c.idleUntil) && c.checkIdle() == nil {
			return c
		}
		c.Close()
	}
}

// CloseIdle closes the idle connections to a target.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		c.Close()
	}
	p.kept -= len(p.idle[key])
	delete(p.idle, key)
}

// Sweep closes idle connections that have expired or whose target is not in use any more.
func (p *Pool) Sweep(inUse func(key string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) && inUse(key) {
				kept = append(kept, c)
			} else {
				c.Close()
				p.kept--
			}
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.Sweep(func(string) bool { return false })
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
}

// keepAliveTimeout returns the timeout that a Keep-Alive header announces.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			n, err := strconv.Atoi(seconds)
			return time.Duration(n) * time.Second, err == nil
		}
	}
	return 0, false
}
