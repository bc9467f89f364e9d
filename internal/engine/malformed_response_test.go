package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/rawserver"
)

// Guards against a response with a status that is none of a final response, and that is taken for a
// success: its events would reach the caller, and a call would seem to have had its effect.
func TestStatusOutOfRange(t *testing.T) {
	const rest = "X-Start-Number: 1\r\n\r\nid: 0\ndata: {\"id\":\"0.1.1.1\",\"choices\":[{\"text\":\"a\"}]}\n\n"
	for _, status := range []string{"000 No", "099 No", "101 Switching Protocols", "600 No", "999 No"} {
		address := rawserver.Start(t, rawserver.Text(fmt.Sprintf("HTTP/1.1 %s\r\n%s", status, rest)))
		client := NewHTTPClient(address, NewTransport())
		_, err := start(t, client)
		assert.Check(t, err != nil, "start, status %s", status)
		_, err = client.Resume(t.Context(), "0.1.1.1", 0)
		assert.Check(t, err != nil, "resume, status %s", status)
		assert.Check(t, client.Cancel(t.Context(), "0.1.1.1") != nil, "cancel, status %s", status)
		assert.Check(t, client.Order(t.Context(), Order{}) != nil, "order, status %s", status)
	}
}

// Guards against a response that is taken although its head is malformed.
func TestMalformedHeads(t *testing.T) {
	const events = "id: 0\ndata: {\"id\":\"0.1.1.1\",\"choices\":[{\"text\":\"a\"}]}\n\n"
	for name, response := range rawserver.MalformedHeads("X-Start-Number: 1\r\n", events) {
		client := NewHTTPClient(rawserver.Start(t, rawserver.Text(response)), NewTransport())
		_, err := start(t, client)
		assert.Check(t, errors.Is(err, ErrInterrupted), "start, %s: %v", name, err)
		_, err = client.Resume(t.Context(), "0.1.1.1", 0)
		assert.Check(t, err != nil, "resume, %s", name)
		assert.Check(t, client.Cancel(t.Context(), "0.1.1.1") != nil, "cancel, %s", name)
	}
	for name, response := range rawserver.MalformedHeads("", `{"start_number":1,"running":2,"kv_tokens":7}`) {
		_, err := NewHTTPClient(rawserver.Start(t, rawserver.Text(response)), NewTransport()).Load(t.Context())
		assert.Check(t, err != nil, "load, %s", name)
	}
}

// Guards against an attempt that waits for its deadline because an engine refuses it in a response
// that ends with its connection, and does not read the request.
func TestRefusalDoesNotWaitForUpload(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		address := rawserver.Start(t, func(c *net.TCPConn, _ *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 %d No\r\n\r\nfull", status)
			c.CloseWrite()
			<-release
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		sent := time.Now()
		_, err := NewHTTPClient(address, NewTransport()).Start(ctx, StartRequest{Attempt: "0.1.1.1", Path: "/v1/completions", Body: make([]byte, 8<<20)})
		assert.ErrorIs(t, err, ErrNotRun)
		assert.Assert(t, time.Since(sent) < time.Second, "after %s", time.Since(sent))
	}
}
