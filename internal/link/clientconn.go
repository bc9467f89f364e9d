package link

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// State of a call, changed by compare-and-swap between the writer and the
// caller, so that a call given up before its write is known as not sent.
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
	// done has room for one frame: the reply, or nil when a one-way message
	// was written.
	done chan *frame
}

// clientConn is one dialled connection.
type clientConn struct {
	client *Client
	raw    net.Conn
	conn   net.Conn
	queue  chan *call
	// unanswered is when the first request since the last byte from the peer
	// was written, in Unix nanoseconds; 0 when there is none.
	unanswered atomic.Int64

	failOnce sync.Once
	failed   chan struct{} // closed after err is set
	err      error

	mu      sync.Mutex
	waiting map[uint64]*call
}

func newClientConn(client *Client, raw, secured net.Conn) *clientConn {
	c := &clientConn{
		client:  client,
		raw:     raw,
		conn:    secured,
		queue:   make(chan *call, SendQueueLength),
		failed:  make(chan struct{}),
		waiting: map[uint64]*call{},
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

// exchange queues a message and waits for its reply. sent tells whether bytes
// of it may have left when err is not nil.
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
		return c.giveUp(m, ctx.Err())
	case <-c.failed:
		return c.giveUp(m, c.err)
	}
}

// giveUp ends a call without waiting longer. A reply that has arrived counts.
func (c *clientConn) giveUp(m *call, cause error) (*frame, bool, error) {
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
	c.waiting[m.id] = m
}

func (c *clientConn) remove(m *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, m.id)
}

// checkStalled closes a connection on which requests were written and nothing
// has come back for StallTimeout.
func (c *clientConn) checkStalled() {
	since := c.unanswered.Load()
	if quiet := time.Since(time.Unix(0, since)); since != 0 && quiet > StallTimeout {
		c.fail(fmt.Errorf("peer sent nothing for %v", quiet.Round(time.Millisecond)))
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

// fail closes the connection and ends its calls.
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
	now := time.Now()
	if !m.oneWay {
		c.unanswered.CompareAndSwap(0, now.UnixNano())
	}
	if err := c.conn.SetWriteDeadline(now.Add(WriteTimeout)); err != nil {
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
	r := bufio.NewReader(readMarker{c})
	for {
		f, err := readFrame(r)
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

// deliver gives a reply to its call. A reply that nobody waits for any more, or
// a second reply with the same id, is dropped.
func (c *clientConn) deliver(f *frame) {
	c.mu.Lock()
	m := c.waiting[f.ID]
	delete(c.waiting, f.ID)
	c.mu.Unlock()
	if m != nil {
		m.done <- f
	}
}

// readMarker notes that bytes arrive.
type readMarker struct{ c *clientConn }

// Read implements io.Reader.
func (r readMarker) Read(p []byte) (int, error) {
	n, err := r.c.conn.Read(p)
	if n > 0 {
		r.c.unanswered.Store(0)
	}
	return n, err
}
