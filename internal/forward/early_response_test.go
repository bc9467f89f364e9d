package forward

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/rawserver"
)

// longUpload is more than the kernel buffers of a connection.
var longUpload = make([]byte, 3<<20)

// newEarlyTarget starts a target that responds to the head of each request with text, before it has
// read the body, and then ends the connection.
func newEarlyTarget(t *testing.T, text string, end func(c *net.TCPConn)) *testTarget {
	return &testTarget{address: rawserver.Start(t, func(c *net.TCPConn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", r.Header.Get("Id"), text)
		end(c)
	})}
}

// Guards against a caller that gets a part of a response as a complete one, because the target
// resets the connection while the request is being written.
func TestCallerGetsNoPartOfBrokenResponse(t *testing.T) {
	t.Parallel()
	const stream = "Content-Type: text/event-stream\r\n\r\n"
	closings := map[string]func(c *net.TCPConn){
		"reset":       func(c *net.TCPConn) { c.SetLinger(0) },
		"body unread": func(*net.TCPConn) {},
		"sending side first": func(c *net.TCPConn) {
			c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
		},
	}
	for name, closing := range closings {
		for path, text := range map[string]string{"/safe/x": "\r\npart", "/once/x": "\r\npart", "/stream/x": stream + testEvents(1, 3), "/volatile/x": stream + testEvents(1, 3)} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				v := newTestVM(t, 1, newEarlyTarget(t, text, closing))
				for range 5 {
					status, body, err := v.exchange(t.Context(), http.MethodPost, path, "a", longUpload)
					assert.Check(t, err != nil || status >= http.StatusInternalServerError, "status %d, %q", status, body)
				}
				counter := v.Metrics.set.GetOrCreateCounter(`oriole_broken_responses_total{reason="request_not_received"}`)
				assert.Check(t, counter.Get() > 0 || name != "sending side first") // a reset is told to a read or a write
			})
		}
	}
}

// Guards against a request that fails although another target can serve it, and against a stream
// that isn't continued, because the first target reset the connection during the upload.
func TestUploadGoesOnAfterReset(t *testing.T) {
	t.Parallel()
	for path, want := range map[string]string{"/safe/x": "whole", "/stream/x": testEvents(1, 6)} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			text := "\r\npart"
			if path == "/stream/x" {
				text = "Content-Type: text/event-stream\r\n\r\n" + testEvents(1, 3)
			}
			broken := newEarlyTarget(t, text, func(c *net.TCPConn) { c.SetLinger(0) })
			sound := newTestTarget(t, func(c *connection) {
				if path == "/stream/x" {
					continuing(c)
					return
				}
				c.respond(200, "", "whole")
			})
			v := newTestVM(t, 2, broken, sound)
			v.reveal()
			for range 5 {
				status, body, err := v.exchange(t.Context(), http.MethodPost, path, "a", longUpload)
				assert.Check(t, err)
				assert.Check(t, status == http.StatusOK && body == want, "status %d, %q", status, body)
			}
		})
	}
}

// Guards against a request that is not sent to another target before its deadline, because the first
// one says "not run" in a response that ends with its connection, and does not read the request.
func TestNotRunDoesNotWaitForUpload(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	defer close(release)
	full := newEarlyTarget(t, "Not-Run: 1\r\n\r\nfull", func(c *net.TCPConn) {
		c.CloseWrite()
		<-release
	})
	for _, path := range []string{"/safe/x", "/once/x"} {
		sound := newTestTarget(t, func(c *connection) { c.respond(200, "", "whole") })
		v := newTestVM(t, 2, full, sound)
		v.reveal()
		for range 4 {
			sent := time.Now()
			status, body, err := v.exchange(t.Context(), http.MethodPost, path, "a", longUpload)
			assert.NilError(t, err)
			assert.Check(t, status == http.StatusOK && body == "whole", "%s: status %d, %q", path, status, body)
			assert.Check(t, time.Since(sent) < time.Second, "%s: after %s", path, time.Since(sent))
		}
	}
}
