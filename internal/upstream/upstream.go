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
	"net"
	"sync"
	"time"

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
