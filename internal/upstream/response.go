package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/oriolefront/oriolefront/internal/httpclient"
	"github.com/oriolefront/oriolefront/internal/tcp"
)

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

// answers reports whether a response with an id, which may be empty, is that to a request. One
// without an id is, if nothing else was sent on the connection.
func (c *conn) answers(r Request, id string) bool {
	if id == "" {
		return c.used == 1
	}
	return id == r.ID
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
