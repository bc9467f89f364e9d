package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/tcp"
)

// longUploadBytes is more than the kernel buffers of a connection.
const longUploadBytes = 3 << 20

// upload sends a request with a long body and returns the status and the body of the response. An
// interrupted response is an error.
func (v *testVM) upload(path string) (int, string, error) {
	r, err := http.NewRequestWithContext(v.t.Context(), http.MethodPost, v.server.URL+path, bytes.NewReader(make([]byte, longUploadBytes)))
	assert.NilError(v.t, err)
	r.Header.Set("Id", "a")
	r.Header.Set("Timeout-Ms", fmt.Sprint(v.timeout.Milliseconds()))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// newEarlyTarget starts a target that responds to the head of each request with text, before it has
// read the body, and then closes the connection.
func newEarlyTarget(t *testing.T, text string, closing func(c *net.TCPConn)) *testTarget {
	l, err := tcp.ListenReserved()
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", r.Header.Get("Id"), text)
					closing(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return &testTarget{listener: l}
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
					status, body, err := v.upload(path)
					assert.Check(t, err != nil || status >= http.StatusInternalServerError, "status %d, %q", status, body)
				}
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
				status, body, err := v.upload(path)
				assert.Check(t, err)
				assert.Check(t, status == http.StatusOK && body == want, "status %d, %q", status, body)
			}
		})
	}
}
