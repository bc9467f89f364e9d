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

// Guards against a target that is taken for a silent one, and replaced, while the caller does
// not read.
func TestSlowCallerIsNoSilenceOfTheTarget(t *testing.T) {
	t.Parallel()
	const events, eventBytes = 400, 60_000
	var v *testVM
	first := newTestTarget(t, func(c *connection) {
		v.reveal()
		c.events(1, 1)
		for id := 2; id <= events; id++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", eventBytes))
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		c.finish()
	})
	second := newTestTarget(t, func(c *connection) { c.waitForClose() })
	v = newTestVM(t, 2, first, second)
	v.timeout = 15 * time.Second
	conn, err := net.Dial("tcp", v.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	fmt.Fprint(conn, "GET /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: a\r\nTimeout-Ms: 15000\r\nConnection: close\r\n\r\n")
	time.Sleep(minEventGap + 800*time.Millisecond)
	body, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, second.arrivals.Load(), int32(0))
	assert.Assert(t, strings.Contains(string(body), fmt.Sprintf("id: %d\n", events)))
	v.assertReleased(0)
}
