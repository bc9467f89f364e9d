// Package rawserver provides a stand-in for a server in trouble: it answers each request with any
// bytes and ends the connection in any way. It is for tests.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/tcp"
)

// Responder responds to a request, of which the body is not read yet. The connection is closed when
// it returns.
type Responder func(c *net.TCPConn, r *http.Request)

// Start starts a server on loopback and returns its IP:port.
func Start(t testing.TB, respond Responder) string {
	t.Helper()
	l, err := tcp.ListenReserved()
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), respond)
		}
	}()
	return l.Addr().String()
}

func serve(c *net.TCPConn, respond Responder) {
	defer c.Close()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		respond(c, r)
	}
}

// Text returns a Responder that reads the request and sends a text.
func Text(text string) Responder {
	return func(c *net.TCPConn, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, text)
	}
}

// Reset returns a Responder that sends a text before it has read the body of the request, and resets
// the connection.
func Reset(text string) Responder {
	return func(c *net.TCPConn, _ *http.Request) {
		io.WriteString(c, text)
		c.SetLinger(0)
	}
}
