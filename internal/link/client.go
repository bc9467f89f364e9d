package link

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits and timeouts of a Client.
const (
	// DialTimeout limits a dial, without the TLS handshake.
	DialTimeout = 2 * time.Second
	// SendQueueLength is the maximum number of messages queued on a connection.
	SendQueueLength = 256
	// MinBackoff and MaxBackoff bound the delay after a failed dial. MaxBackoff is
	// below the 3 s after which a peer without heartbeats is suspect.
	MinBackoff = 50 * time.Millisecond
	MaxBackoff = time.Second
	// StallTimeout is the time without any byte from the peer after which a call
	// that ends without a reply closes the connection. The next call then dials
	// again instead of waiting for TCP to time out.
	StallTimeout = 2 * time.Second
)

var (
	errClosed    = errors.New("link is closed")
	errQueueFull = errors.New("send queue is full; the peer reads too slowly")
)

var _ Caller = (*Client)(nil)

// Client sends messages to other VMs over one connection per peer.
type Client struct {
	counters
	security Security
	log      *slog.Logger
	ids      atomic.Uint64

	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// NewClient returns a client without connections.
func NewClient(security Security, log *slog.Logger) *Client {
	return &Client{security: security, log: log, peers: map[string]*peer{}}
}

// Call implements Caller. It returns a *SendError, a *RemoteError, or an error from
// encoding the request or decoding the reply.
func (c *Client) Call(ctx context.Context, address, kind string, request, reply any) error {
	f := &frame{Type: requestFrame, Kind: kind}
	answer, err := c.send(ctx, address, f, request)
	if err != nil {
		return err
	}
	if answer.Code != "" {
		return &RemoteError{Address: address, Kind: kind, Code: answer.Code, Message: answer.Message}
	}
	if reply == nil {
		return nil
	}
	if err := msgpack.Unmarshal(answer.Payload, reply); err != nil {
		return fmt.Errorf("%s to %s: decode reply: %w", kind, address, err)
	}
	return nil
}

// Send sends a one-way message and returns once it is written to the connection.
// This does not mean that the peer has received it.
func (c *Client) Send(ctx context.Context, address, kind string, message any) error {
	_, err := c.send(ctx, address, &frame{Type: oneWayFrame, Kind: kind}, message)
	return err
}

// Disconnect closes the connection to a peer that no longer exists.
func (c *Client) Disconnect(address string) {
	c.mu.Lock()
	p := c.peers[address]
	delete(c.peers, address)
	c.mu.Unlock()
	if p != nil {
		p.close()
	}
}

// Close closes all connections. Calls in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = map[string]*peer{}
	c.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}

func (c *Client) send(ctx context.Context, address string, f *frame, message any) (*frame, error) {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("%s to %s: encode: %w", f.Kind, address, err)
	}
	f.Payload = payload
	f.ID = c.ids.Add(1)
	f.TimeoutMs = timeoutMs(ctx)
	data, err := encodeFrame(f)
	if err != nil {
		return nil, &SendError{Address: address, Kind: f.Kind, Cause: err}
	}
	conn, err := c.connection(ctx, address)
	if err != nil {
		return nil, &SendError{Address: address, Kind: f.Kind, Cause: err}
	}
	answer, sent, err := conn.exchange(ctx, &call{id: f.ID, data: data, oneWay: f.Type == oneWayFrame})
	if err != nil {
		return nil, &SendError{Address: address, Kind: f.Kind, Sent: sent, Cause: err}
	}
	return answer, nil
}

// timeoutMs returns the time until the deadline of ctx, or 0 if it has none.
func timeoutMs(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	remaining := min(time.Until(deadline), DefaultHandlerTimeout)
	return uint32(max(remaining.Milliseconds(), 1))
}

func (c *Client) connection(ctx context.Context, address string) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errClosed
	}
	p, ok := c.peers[address]
	if !ok {
		p = &peer{client: c, address: address}
		c.peers[address] = p
	}
	c.mu.Unlock()
	return p.connection(ctx)
}

// peer manages the connection to one VM.
type peer struct {
	client  *Client
	address string

	mu       sync.Mutex
	conn     *clientConn
	dialing  chan struct{} // closed when the dial in progress has ended
	failures int
	retryAt  time.Time
	dialErr  error
	closed   bool
}

// connection returns the open connection or waits for a dial. During the
// back-off after a failed dial it fails immediately.
func (p *peer) connection(ctx context.Context) (*clientConn, error) {
	waited := false
	for {
		p.mu.Lock()
		if p.closed {
			p.mu.Unlock()
			return nil, errClosed
		}
		if p.conn != nil && !p.conn.isClosed() {
			defer p.mu.Unlock()
			return p.conn, nil
		}
		if p.dialing == nil && (waited || time.Now().Before(p.retryAt)) && p.dialErr != nil {
			defer p.mu.Unlock()
			return nil, fmt.Errorf("peer is not reachable, next dial within %v: %w", MaxBackoff, p.dialErr)
		}
		if p.dialing == nil {
			p.dialing = make(chan struct{})
			go p.dial(p.dialing)
		}
		dialing := p.dialing
		p.mu.Unlock()
		select {
		case <-dialing:
			waited = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// dial opens a connection. It does not use the context of the call that started it,
// because other calls wait for the same dial.
func (p *peer) dial(done chan struct{}) {
	conn, err := p.open()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(done)
	p.dialing, p.dialErr = nil, err
	if err != nil {
		p.failures++
		p.retryAt = time.Now().Add(backoff(p.failures))
		return
	}
	p.failures = 0
	if p.closed {
		conn.fail(errClosed)
		return
	}
	p.conn = conn
}

func (p *peer) open() (*clientConn, error) {
	if err := p.client.security.check(p.address); err != nil {
		return nil, err
	}
	raw, err := net.DialTimeout("tcp", p.address, DialTimeout)
	if err != nil {
		return nil, err
	}
	counted := &countingConn{Conn: raw, counters: &p.client.counters}
	secured := p.client.security.client(counted, p.address)
	if err := handshake(context.Background(), secured); err != nil {
		raw.Close()
		return nil, err
	}
	return newClientConn(p.client, raw, secured), nil
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		p.conn.fail(errClosed)
	}
}

// backoff returns the delay after a number of failed dials. It doubles from
// MinBackoff to MaxBackoff, and half of it is jitter, so that the VMs do not all
// dial a restarted peer at the same time.
func backoff(failures int) time.Duration {
	wait := MinBackoff
	for i := 1; i < failures && wait < MaxBackoff; i++ {
		wait *= 2
	}
	wait = min(wait, MaxBackoff)
	return wait/2 + rand.N(wait/2)
}
