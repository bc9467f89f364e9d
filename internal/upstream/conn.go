package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/oriolefront/oriolefront/internal/tcp"
)

// conn is one connection to a target.
type conn struct {
	net.Conn
	key       string
	address   string       // as dialed
	limiter   *readLimiter // below head
	head      *headReader  // below reader
	reader    *bufio.Reader
	used      int
	lastID    string        // of the latest request
	spoiled   bool          // true if it must not be used again
	idleUntil time.Time     // when the idle connection expires
	written   chan struct{} // closed when the request was written
	writeErr  error         // valid after written is closed
}

// send writes the request. It does not wait for a long body to be written, because a target
// may respond before it has read the body.
func (c *conn) send(r Request) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(&head); err != nil {
		panic(err) // a write to a buffer never fails
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	c.written = make(chan struct{})
	buffers := net.Buffers{head.Bytes(), r.Body}
	write := func() {
		_, c.writeErr = buffers.WriteTo(c.Conn)
		close(c.written)
	}
	if len(r.Body) <= tcp.BufferBytes {
		write()
		return
	}
	go write()
}

// checkIdle returns an error unless the connection is open and has no unread bytes: what arrives
// before a request is sent is no response to it.
func (c *conn) checkIdle() error {
	err := tcp.Peek(c.Conn)
	switch {
	case errors.Is(err, syscall.EAGAIN):
		return nil
	case err != nil:
		return err
	}
	return errUnexpectedData
}
