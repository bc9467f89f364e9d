package link

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/wait"
)

// States of a call. The writer and the caller change them by compare-and-swap, so
// that a call abandoned before its write is known not to have been sent.
const (
	callQueued int32 = iota
	callWriting
	callAbandoned
)

// call is one message on a connection.
type call struct {
	id     uint64
	data   []byte
	oneWay bool
	state  atomic.Int32
	// done has a buffer of one frame: the reply, or nil once a one-way message is
	// written.
	done chan *frame
}

// clientConn is a dialed connection.
type clientConn struct {
	client *Client
	raw    net.Conn
	conn   net.Conn
	queue  chan *call
	// unanswered runs since the first request was written after the last byte from the peer.
	unanswered wait.Stopwatch

	failOnce sync.Once
	failed   chan struct{} // closed after err is set
	err      error

	mu      sync.Mutex
	pending map[uint64]*call
}

func newClientConn(client *Client, raw, secured net.Conn) *clientConn {
	c := &clientConn{
		client:  client,
		raw:     raw,
		conn:    secured,
		queue:   make(chan *call, SendQueueLength),
		failed:  make(chan struct{}),
		pending: map[uint64]*call{},
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

// exchange queues a message and waits for its reply. If err is not nil, sent
// reports whether bytes of the message may have been sent.
func (c *clientConn) exchange(ctx context.Context, m *call) (reply *frame, sent bool, err error) {
	m.done = make(chan *frame, 1)
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	c.add(m)
	defer c.remove(m)
	select {
	case c.queue <- m:
	default:
		c.checkStalled()
		return nil, false, errQueueFull
	}
	select {
	case f := <-m.done:
		return f, true, nil
	case <-ctx.Done():
		c.checkStalled()
		return c.abandon(m, ctx.Err())
	case <-c.failed:
		return c.abandon(m, c.err)
	}
}

// abandon ends a call without further waiting. It still returns a reply that has
// already arrived.
func (c *clientConn) abandon(m *call, cause error) (*frame, bool, error) {
	select {
	case f := <-m.done:
		return f, true, nil
	default:
	}
	sent := !m.state.CompareAndSwap(callQueued, callAbandoned)
	return nil, sent, cause
}

func (c *clientConn) add(m *call) {
	if m.oneWay {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[m.id] = m
}

func (c *clientConn) remove(m *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, m.id)
}

// checkStalled closes the connection if requests were written and nothing was
// received for StallTimeout.
func (c *clientConn) checkStalled() {
	if silence, _ := c.unanswered.Elapsed(); silence > StallTimeout {
		c.fail(fmt.Errorf("peer sent nothing for %v", silence.Round(time.Millisecond)))
	}
}

func (c *clientConn) isClosed() bool {
	select {
	case <-c.failed:
		return true
	default:
		return false
	}
}

// fail closes the connection and fails its pending calls.
func (c *clientConn) fail(err error) {
	c.failOnce.Do(func() {
		c.err = err
		close(c.failed)
		c.raw.Close()
	})
}

func (c *clientConn) writeLoop() {
	for {
		select {
		case <-c.failed:
			return
		case m := <-c.queue:
			if err := c.write(m); err != nil {
				c.fail(err)
				return
			}
		}
	}
}

func (c *clientConn) write(m *call) error {
	if !m.state.CompareAndSwap(callQueued, callWriting) {
		return nil
	}
	if !m.oneWay {
		c.unanswered.StartUnlessRunning()
	}
	if err := c.conn.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return err
	}
	if _, err := c.conn.Write(m.data); err != nil {
		return err
	}
	c.client.messagesOut.Add(1)
	if m.oneWay {
		m.done <- nil
	}
	return nil
}

func (c *clientConn) readLoop() {
	r := bufio.NewReader(activityReader{c})
	for {
		f, err := readFrame(r, nil)
		if err == nil && f.Type != replyFrame {
			err = fmt.Errorf("%w: request on a connection that takes replies", ErrMalformed)
		}
		if err != nil {
			c.fail(err)
			return
		}
		c.client.messagesIn.Add(1)
		c.deliver(f)
	}
}

// deliver passes a reply to the call that waits for it. It drops replies to
// abandoned calls and duplicate replies.
func (c *clientConn) deliver(f *frame) {
	c.mu.Lock()
	m := c.pending[f.ID]
	delete(c.pending, f.ID)
	c.mu.Unlock()
	if m != nil {
		m.done <- f
	}
}

// activityReader records that bytes arrive from the peer.
type activityReader struct{ c *clientConn }

// Read implements io.Reader.
func (r activityReader) Read(p []byte) (int, error) {
	n, err := r.c.conn.Read(p)
	if n > 0 {
		r.c.unanswered.Stop()
	}
	return n, err
}
