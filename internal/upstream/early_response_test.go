package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longUploadBytes is more than the kernel buffers of a connection.
const longUploadBytes = 8 << 20

// upload returns a request whose body the target can't have received before it responds.
func upload(id string) Request {
	r := get(id)
	r.Method, r.Body = http.MethodPost, make([]byte, longUploadBytes)
	return r
}

// readHead reads the head of a request and leaves its body on the connection.
func readHead(t *testing.T, r *bufio.Reader) bool {
	_, err := http.ReadRequest(r)
	return err == nil
}

// Guards against the begin of a response that is taken for all of it, because the target resets the
// connection during the upload: the kernel reports the reset to the write only, and reads then see
// an ordinary end.
func TestResetDuringUploadBreaksResponse(t *testing.T) {
	const rounds = 20
	closings := map[string]func(c net.Conn){
		"reset":       func(c net.Conn) { c.(*net.TCPConn).SetLinger(0) },
		"body unread": func(net.Conn) {},
		"reset later": func(c net.Conn) { time.Sleep(2 * time.Millisecond); c.(*net.TCPConn).SetLinger(0) },
	}
	for name, closing := range closings {
		for _, part := range []int{0, 10, 3000} {
			address := startTarget(t, func(c net.Conn, r *bufio.Reader, _ int) {
				if readHead(t, r) {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: x\r\n\r\n%s", strings.Repeat("p", part))
					closing(c)
				}
			})
			for range rounds {
				body, err := exchange(t, NewPool(nil), address, upload("x"))
				assert.Check(t, err != nil, "%s: a complete response of %d bytes", name, len(body))
				assert.Check(t, err == nil || IsConnectionError(err), "%s: %v", name, err)
			}
		}
	}
}

// Guards against a response that is taken for complete because the target stops sending before it
// has read the request, which then cannot be written.
func TestUploadFailsAfterEndOfResponse(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "later": 50 * time.Millisecond} {
		address := startTarget(t, func(c net.Conn, r *bufio.Reader, _ int) {
			if readHead(t, r) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nId: x\r\n\r\npart")
				c.(*net.TCPConn).CloseWrite()
				time.Sleep(delay)
			}
		})
		for range 20 {
			body, err := exchange(t, NewPool(nil), address, upload("x"))
			assert.Check(t, errors.Is(err, io.ErrUnexpectedEOF), "%s: %q, %v", name, body, err)
		}
	}
}

// Guards against a sound response that is taken for a broken one because it comes before the target
// has read the request: one with a length or chunks is complete without its connection, and one
// that ends with its connection is once the target has read the request after all.
func TestEarlyResponseIsTaken(t *testing.T) {
	reset := func(c net.Conn, _ io.Reader) { c.(*net.TCPConn).SetLinger(0) }
	closeUnread := func(net.Conn, io.Reader) {}
	readRest := func(c net.Conn, body io.Reader) {
		c.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond)
		io.Copy(io.Discard, body)
	}
	for name, c := range map[string]struct {
		framing string
		closing func(c net.Conn, body io.Reader)
	}{
		"length, reset":          {"Content-Length: 5\r\n\r\nhello", reset},
		"length, body unread":    {"Content-Length: 5\r\n\r\nhello", closeUnread},
		"length, body read":      {"Content-Length: 5\r\n\r\nhello", readRest},
		"chunks, reset":          {"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", reset},
		"chunks, body unread":    {"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", closeUnread},
		"end of connection":      {"\r\nhello", readRest},
		"HTTP/1.0 style closing": {"Connection: close\r\n\r\nhello", readRest},
	} {
		address := startTarget(t, func(conn net.Conn, r *bufio.Reader, _ int) {
			if req, err := http.ReadRequest(r); err == nil {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: x\r\n"+c.framing)
				c.closing(conn, req.Body)
			}
		})
		for range 20 {
			body, err := exchange(t, NewPool(nil), address, upload("x"))
			assert.Check(t, err, name)
			assert.Check(t, body == "hello", "%s: %q", name, body)
		}
	}
}
