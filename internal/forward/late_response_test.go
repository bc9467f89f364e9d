package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is closed without a response because the VM was short of
// processor time between the target's response and its relay.
func TestResponseIsRelayedAfterTheWriteDeadline(t *testing.T) {
	t.Parallel()
	v := newTestVM(t, 1, newTestTarget(t, func(c *connection) { c.respond(200, "", "ok") }))
	v.Protocol = slowProtocol{delay: 300*time.Millisecond + writeGrace}
	v.timeout = 200 * time.Millisecond
	status, body, err := v.send(t.Context(), "/once/x", "a")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "ok")
}

// slowProtocol delays the header of a response, as a VM does that is paused.
type slowProtocol struct {
	testProtocol
	delay time.Duration
}

func (p slowProtocol) ResponseHeader(from http.Header) http.Header {
	time.Sleep(p.delay)
	return p.testProtocol.ResponseHeader(from)
}
