package httpclient

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/oriolefront/oriolefront/internal/httphead"
	"github.com/oriolefront/oriolefront/internal/tcp"
)

// ErrRequestNotReceived is wrapped by the error of a response that ends with its connection before the
// server has received the whole request.
var ErrRequestNotReceived = errors.New("the server has not received the whole request")

// errNotWritten is the cause if the request was not written.
var errNotWritten = errors.New("the request was not written")

// IncompleteResponse returns the error of a response that ends with its connection before the server
// has received the whole request, and the cause: io.ErrUnexpectedEOF and ErrRequestNotReceived.
func IncompleteResponse(cause error) error {
	return fmt.Errorf("%w: %w: %w", io.ErrUnexpectedEOF, ErrRequestNotReceived, cause)
}

// conn is a connection that carries one request at a time. It checks the heads of their responses,
// and the end of a response that ends with the connection.
type conn struct {
	net.Conn

	mu sync.Mutex
	// head checks the response to the latest request. http.Transport closes a connection on which
	// bytes arrive that belong to none.
	head   httphead.Scanner
	upload *upload // of the latest request
	closed bool
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, upload: newUpload(0)} }

// beginRequest prepares for a request whose body has a length, and for its response. Nothing of it was
// written yet. A read may be waiting.
func (c *conn) beginRequest(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Begin(nil) // its error ends each read
	c.upload = newUpload(length)
	if c.closed {
		c.upload.abort()
	}
}

// Read implements net.Conn. It returns only what precedes a malformed byte of a head, and then an
// error.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.malformed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.endsResponse() {
		err = c.endOfStream()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.CheckRead(p[:n], err)
}

// malformed returns the error of a malformed head, or nil.
func (c *conn) malformed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Err()
}

// endsResponse reports whether only the end of the connection ends the response.
func (c *conn) endsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Complete() && !c.head.Framed()
}

// endOfStream returns io.EOF if the server has ended the stream in order and received the whole
// request, and else why not. A read alone can't tell: it sees an ordinary end if a write was told of
// a reset, and if the server has crashed during the upload.
func (c *conn) endOfStream() error {
	err := errNotWritten
	if c.currentUpload().wait() {
		err = tcp.AwaitAcknowledged(c.Conn)
	}
	if err != nil {
		return IncompleteResponse(err)
	}
	return io.EOF
}

func (c *conn) currentUpload() *upload {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.upload
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.currentUpload().wrote(p[:n], err)
	return n, err
}

// ReadFrom implements io.ReaderFrom. http.Transport writes long bodies with it.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	n, err := io.Copy(c.Conn, r)
	c.currentUpload().wroteBody(n, err)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.upload.abort()
	c.mu.Unlock()
	return c.Conn.Close()
}
