package connlimit

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of the connections of a guard.
var (
	// ErrRefused ends a connection whose request was refused.
	ErrRefused = errors.New("the request was refused by the limits for clients")
	// errUnknownEnd ends a connection on which the start of the next request is unknown.
	errUnknownEnd = errors.New("the end of the previous request is unknown")
)

// conn is a connection of a guard. net/http reads from it in one goroutine at a time; only evict
// is called by others.
type conn struct {
	*net.TCPConn
	guard *Guard

	framer framer
	// held are bytes of a head that net/http hasn't got yet; taken of them it has got. ahead are
	// bytes that were received after the end of a request and that the framer hasn't seen.
	held  *[]byte
	taken int
	ahead []byte
	// serving is true from the end of a head until the end of its request, also while the body
	// arrives.
	serving bool
	// upload is true while parts of a body have been passed on and others are missing. discarding
	// is true when the handler doesn't keep them.
	upload, discarding atomic.Bool
	// writeBound is true while net/http or a handler has set a write deadline.
	writeBound atomic.Bool
	// stop is true when the start of the next request is unknown.
	stop bool

	// The fields below are guarded by guard.budget.mu.
	charge         int64
	counted        bool // among guard.serving
	closed         bool
	since          time.Time
	in             *list
	previous, next *conn
}

// smallHead is the size of the first buffer for a head that doesn't fit into the buffer of net/http.
// The second and last one has the size of the largest head.
const smallHead = 16 << 10

var smallHeads = sync.Pool{New: func() any { b := make([]byte, 0, smallHead); return &b }}

// Read implements net.Conn. It returns bytes of a head only after the head has arrived as a whole
// and was charged.
func (c *conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.stop:
		return 0, errUnknownEnd
	case c.held != nil:
		return c.readHeld(p), nil
	case c.framer.phase != phaseHead:
		return c.readBody(p)
	case c.serving:
		return c.readWhileServing(p)
	}
	return c.readHead(p)
}

// receive reads bytes that the framer hasn't seen.
func (c *conn) receive(p []byte) (int, error) {
	if len(c.ahead) == 0 {
		return c.TCPConn.Read(p)
	}
	n := copy(p, c.ahead)
	if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n, nil
}

// putBack keeps bytes that follow the end of a request.
func (c *conn) putBack(b []byte) {
	if len(b) > 0 {
		c.ahead = append(append(make([]byte, 0, len(b)+len(c.ahead)), b...), c.ahead...)
	}
}

// readBody passes on bytes up to the end of the body, so that net/http buffers no part of the next
// head.
func (c *conn) readBody(p []byte) (int, error) {
	n, err := c.receive(p)
	used := c.framer.body(p[:n])
	c.putBack(p[used:n])
	if c.framer.phase == phaseHead {
		c.endBody()
	} else if !c.upload.Load() {
		c.upload.Store(true)
	}
	return used, err
}

// DiscardBody records that the handler doesn't keep what it reads of the body from now on, so that
// closing the connection would free no memory for bodies.
func (c *conn) DiscardBody() { c.discarding.Store(true) }

// endBody records that a request has arrived as a whole.
func (c *conn) endBody() {
	b := c.guard.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return
	}
	c.remove()
	c.count(1)
}

// count adds the request of the connection to those in service, or removes it.
// guard.budget.mu must be held.
func (c *conn) count(n int) {
	if c.counted != (n > 0) {
		c.counted = n > 0
		c.guard.serving += n
	}
}

// readWhileServing is called by net/http to notice that the client closes the connection. One byte
// of a further request is enough to answer it; the others stay in the socket.
func (c *conn) readWhileServing(p []byte) (int, error) {
	n, err := c.receive(p[:1])
	c.framer.head(p[:n])
	return n, err
}

// readHead receives a head. Its first bytes wait in p, which belongs to the connection in net/http
// anyway, the others in a buffer of the guard.
func (c *conn) readHead(p []byte) (int, error) {
	for n := 0; n < len(p); {
		m, err := c.receive(p[n:])
		used, complete := c.framer.head(p[n : n+m])
		if complete {
			used += c.framer.body(p[n+used : n+m])
			c.putBack(p[n+used : n+m])
			return c.pass(n+used, p)
		}
		if n == 0 && m > 0 && !c.startHead() {
			return 0, net.ErrClosed
		}
		n += m
		if err != nil {
			return n, err
		}
	}
	if err := c.holdHead(); err != nil {
		c.drop()
		return c.fail(err, p)
	}
	return c.pass(len(p), p)
}

// pass lets net/http have a head of which n bytes are in p.
func (c *conn) pass(n int, p []byte) (int, error) {
	if r := c.begin(); r != "" {
		c.drop()
		return c.fail(refusalError{r}, p)
	}
	return n, nil
}

// holdHead receives the rest of a head into a buffer of the guard.
func (c *conn) holdHead() error {
	for {
		if err := c.grow(); err != nil {
			return err
		}
		b := *c.held
		m, err := c.receive(b[len(b):cap(b)])
		used, complete := c.framer.head(b[len(b) : len(b)+m])
		if complete {
			used += c.framer.body(b[len(b)+used : len(b)+m])
			c.putBack(b[len(b)+used : len(b)+m])
			*c.held = b[:len(b)+used]
			return nil
		}
		*c.held = b[:len(b)+m]
		if err != nil {
			return err
		}
	}
}

// grow makes room for more bytes of a head.
func (c *conn) grow() error {
	size := 0
	if c.held != nil {
		if len(*c.held) < cap(*c.held) {
			return nil
		}
		size = cap(*c.held)
	}
	if c.framer.bytes >= c.guard.options.HeadBytes {
		return refusalError{reasonHeadBytes}
	}
	grown := smallHead
	if size > 0 {
		grown = max(2*smallHead, c.guard.options.HeadBytes)
	}
	if !c.acquire(int64(grown - size)) {
		return refusalError{reasonMemory}
	}
	if size == 0 {
		c.held = smallHeads.Get().(*[]byte)
		return nil
	}
	b := append(make([]byte, 0, grown), *c.held...)
	c.recycle()
	c.held = &b
	return nil
}

// recycle gives a small buffer back for other connections.
func (c *conn) recycle() {
	if cap(*c.held) == smallHead {
		*c.held = (*c.held)[:0]
		smallHeads.Put(c.held)
	}
	c.held = nil
}

// drop discards the held bytes.
func (c *conn) drop() {
	if c.held != nil {
		c.recycle()
	}
	c.taken = 0
}

// readHeld passes on held bytes. Their buffer stays charged until the request ends.
func (c *conn) readHeld(p []byte) int {
	n := copy(p, (*c.held)[c.taken:])
	if c.taken += n; c.taken == len(*c.held) {
		c.drop()
	}
	return n
}

// writeTimeout bounds a write for which no deadline is set. Handlers set none for short answers, such
// as refusals, which a client can nevertheless hold up by not reading the answers to a pipeline of
// requests.
const writeTimeout = 10 * time.Second

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.writeBound.Load() {
		c.TCPConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return c.TCPConn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeBound.Store(!t.IsZero())
	return c.TCPConn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.writeBound.Store(!t.IsZero())
	return c.TCPConn.SetDeadline(t)
}

// acquire charges bytes to the connection.
func (c *conn) acquire(n int64) bool {
	b := c.guard.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return !c.closed && b.acquire(c, n, time.Now())
}

// startHead records that a head has begun to arrive that isn't complete. On a connection that was
// idle, the time for it starts.
func (c *conn) startHead() bool {
	b := c.guard.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return false
	}
	if c.in == &c.guard.idle {
		now := time.Now()
		c.wait(now)
		c.SetReadDeadline(now.Add(c.guard.options.HeaderTimeout))
	}
	return true
}

// begin charges a whole head and marks its request as in service, unless its body has yet to
// arrive: then the connection goes on waiting. It returns the reason of a refusal.
func (c *conn) begin() reason {
	o, f := &c.guard.options, &c.framer
	bytes, fields := f.headBytes, f.headFields
	switch {
	case bytes > o.HeadBytes:
		return reasonHeadBytes
	case fields > o.HeadFields:
		return reasonHeadFields
	}
	b := c.guard.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.Requests > 0 && c.guard.serving >= o.Requests {
		return reasonRequests
	}
	if c.closed || !b.acquire(c, headCost(bytes, fields), time.Now()) {
		return reasonMemory
	}
	c.serving = true
	if f.phase == phaseHead || f.phase == phaseUnknown {
		c.remove()
		c.count(1)
	} else {
		c.wait(time.Now())
	}
	return ""
}

// wait makes an idle connection one that waits for the rest of a request. guard.budget.mu must be
// held.
func (c *conn) wait(now time.Time) {
	if c.in == &c.guard.idle {
		c.remove()
		c.guard.waiting.add(c, now)
	}
}

// endRequest releases what a request has occupied.
func (c *conn) endRequest() {
	c.upload.Store(false)
	c.discarding.Store(false)
	c.serving, c.stop = false, c.framer.phase != phaseHead
	b := c.guard.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return
	}
	c.remove()
	c.count(-1)
	b.free += c.charge - connectionBytes
	c.charge = connectionBytes
	c.guard.idle.add(c, time.Now())
}

// release takes the connection out of the guard. guard.budget.mu must be held.
func (c *conn) release() {
	if c.closed {
		return
	}
	c.closed = true
	c.remove()
	c.count(-1)
	c.guard.open--
	c.guard.budget.free += c.charge
	c.charge = 0
}

// evict closes a connection that waits for a request, to make room. guard.budget.mu must be held.
func (c *conn) evict(r reason) {
	c.release()
	c.guard.report(r)
	c.TCPConn.Close()
}

// Close implements net.Conn.
func (c *conn) Close() error {
	b := c.guard.budget
	b.mu.Lock()
	c.release()
	b.mu.Unlock()
	return c.TCPConn.Close()
}

// refusalError says why a request is refused.
type refusalError struct{ reason reason }

// Error implements error.
func (e refusalError) Error() string { return ErrRefused.Error() + ": " + string(e.reason) }

// Is makes errors.Is report ErrRefused.
func (e refusalError) Is(target error) bool { return target == ErrRefused }

const (
	// refusalWriteTimeout bounds the write of a refusal.
	refusalWriteTimeout = time.Second
	// lingerTime is how long a refused client may go on sending, as in net/http: closing a
	// connection with unread bytes would reset it, and the client would lose the refusal.
	lingerTime = 500 * time.Millisecond
)

// fail answers a head that is refused and returns the error that ends the connection.
func (c *conn) fail(err error, scratch []byte) (int, error) {
	var refused refusalError
	if !errors.As(err, &refused) {
		return 0, err
	}
	c.guard.budget.mu.Lock()
	c.guard.report(refused.reason)
	c.guard.budget.mu.Unlock()
	c.SetDeadline(time.Now().Add(refusalWriteTimeout))
	io.WriteString(c.TCPConn, refusalText(refused.reason))
	c.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerTime))
	for err := error(nil); err == nil; {
		_, err = c.TCPConn.Read(scratch)
	}
	return 0, ErrRefused
}

// refuseAtAccept answers a connection for which there is no room.
func refuseAtAccept(c *net.TCPConn) {
	c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	io.WriteString(c, refusalText(reasonConnections))
	c.Close()
}

// retryAfter and retryJitter spread the retries of clients that were refused at the same time.
const (
	retryAfter  = 0.5 // seconds
	retryJitter = 0.5
)

// refusalText returns the response to a refused request.
func refusalText(r reason) string {
	status, headers, body := "503 Service Unavailable", "", "too many requests are open; try again\n"
	switch r {
	case reasonHeadBytes, reasonHeadFields:
		status, body = "431 Request Header Fields Too Large", "the request head is too large\n"
	default:
		headers = "Retry-After: " + strconv.FormatFloat(retryAfter+retryJitter*rand.Float64(), 'f', 3, 64) + "\r\n"
	}
	return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n" + headers +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
