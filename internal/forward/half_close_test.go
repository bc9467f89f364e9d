package forward

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a response that looks complete to a caller that closed only its sending side:
// net/http completes the response of a handler that returns.
func TestCallerThatHalfCloses(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			arrived := make(chan struct{}, 1)
			v := newTestVM(t, 1, newTestTarget(t, func(c *connection) {
				if strings.HasPrefix(path, "/stream/") {
					c.events(1, 3)
				}
				arrived <- struct{}{}
				c.waitForClose()
			}))
			conn, err := net.Dial("tcp", v.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: a\r\nTimeout-Ms: 3000\r\n\r\n", path)
			<-arrived
			time.Sleep(50 * time.Millisecond)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			text, _ := io.ReadAll(conn)
			complete := strings.HasSuffix(string(text), "0\r\n\r\n") || strings.Contains(string(text), "Content-Length: 0")
			assert.Assert(t, !complete, "%q", text)
		})
	}
}
