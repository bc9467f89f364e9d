package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/oriolefront/oriolefront/internal/httpclient"
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

// readResponse reads the status and header of the response. It skips late responses to
// requests that were sent on the connection before.
func (c *conn) readResponse(r Request) (*http.Response, error) {
	c.limiter.limit(maxHeadBytes)
	defer c.limiter.unlimit()
	for range maxStaleResponses + 1 {
		resp, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim response
		}
		id := r.ResponseID(resp.Header)
		if c.answers(r, id) {
			return resp, nil
		}
		c.spoiled = true
		r.reportForeign(ForeignResponse{Status: resp.StatusCode, ID: id, Position: c.used})
		if id == "" {
			return nil, errUnidentifiedResponse
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", errForeignResponse, err)
		}
		if resp.Close {
			return nil, errForeignResponse
		}
	}
	return nil, errForeignResponse
}

// readHead reads the status and header of one response.
func (c *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.head.begin(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if malformed := c.head.scanner.Err(); malformed != nil {
		return nil, malformed // net/http sees a cut head only
	}
	if err != nil {
		return nil, c.readError(err)
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: c, endsWithConnection: httpclient.EndsWithConnection(resp)}
	return resp, nil
}

// readError returns the error of the connection if it ended before the rest of a response, and
// else err: net/http reports a head or a trailer that breaks off as a malformed one.
func (c *conn) readError(err error) error {
	failure := c.limiter.failure
	if failure == nil || IsConnectionError(err) {
		return err
	}
	if errors.Is(failure, io.EOF) {
		failure = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", failure, err)
}

// responseBody is the body of a response on a connection.
type responseBody struct {
	io.ReadCloser
	conn               *conn
	endsWithConnection bool
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, b.conn.readError(err)
	case b.endsWithConnection:
		return n, b.conn.endOfStream()
	}
	return n, err
}

// endOfStream returns io.EOF if the stream of the target has ended in order and the target has
// received the whole request, and else why not. A read alone can't tell: it sees an ordinary end if
// a write was told of the reset, and if the target has crashed during the upload.
func (c *conn) endOfStream() error {
	<-c.written // a write of a closed connection fails
	err := c.writeErr
	if err == nil {
		err = tcp.AwaitAcknowledged(c.Conn)
	}
	if err != nil {
		return httpclient.IncompleteResponse(err)
	}
	return io.EOF
}

// answers reports whether a response with an id, which may be empty, is that to a request. One
// without an id is, if nothing else was sent on the connection.
func (c *conn) answers(r Request, id string) bool {
	if id == "" {
		return c.used == 1
	}
	return id == r.ID
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
