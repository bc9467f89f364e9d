package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against invalid input that is served, crashes a handler or gets an error without a
// reason.
func TestBadRequests(t *testing.T) {
	f := newFixture(t, 1, 1, func(l *Limits) { l.BodyBytes = 4096 })
	for name, c := range map[string]struct {
		body    string
		headers []string
		status  int
		says    string
	}{
		"not JSON":        {body: `{"model":`, status: 400, says: "not a JSON object"},
		"array":           {body: `[]`, status: 400, says: "not a JSON object"},
		"invalid UTF-8":   {body: "{\"model\":\"\xff\"}", status: 400, says: "UTF-8"},
		"no model":        {body: `{"prompt":"x"}`, status: 400, says: "model"},
		"no prompt":       {body: `{"model":"catalogue"}`, status: 400, says: "prompt"},
		"wrong type":      {body: `{"model":7,"prompt":"x"}`, status: 400, says: "model"},
		"several answers": {body: `{"model":"catalogue","prompt":"x","n":2}`, status: 400, says: "n"},
		"negative":        {body: `{"model":"catalogue","prompt":"x","max_tokens":-1}`, status: 400, says: "max_tokens"},
		"unknown model":   {body: `{"model":"none","prompt":"x"}`, status: 404, says: "none"},
		"too large":       {body: `{"prompt":"` + strings.Repeat("x", 5000) + `"}`, status: 413, says: "4096"},
		"bad timeout":     {body: `{}`, headers: []string{HeaderTimeout, "soon"}, status: 400, says: HeaderTimeout},
		"bad request id":  {body: `{}`, headers: []string{HeaderRequestID, `a"b`}, status: 400, says: HeaderRequestID},
		"no key":          {body: `{}`, headers: []string{"Authorization", ""}, status: 401, says: "key"},
		"wrong key":       {body: `{}`, headers: []string{"Authorization", "Bearer x"}, status: 401, says: "key"},
	} {
		t.Run(name, func(t *testing.T) {
			resp := f.send(t, c.body, c.headers...)
			text := readAll(t, resp.Body)
			assert.Equal(t, resp.StatusCode, c.status, text)
			assert.Assert(t, strings.Contains(text, c.says), text)
			assert.Equal(t, resp.Header.Get("X-Outcome"), "not_run")
		})
	}
	assert.Equal(t, f.gateways[0].bodyBudget.Available(), f.gateways[0].Limits.HeldBytes, "body budget was not released")
}

// Guards against a body without an end, or one that arrives slowly, that occupies memory or a
// connection indefinitely.
func TestEndlessAndSlowBodies(t *testing.T) {
	f := newFixture(t, 1, 1, func(l *Limits) {
		l.BodyBytes = 64 << 10
		l.BodyReadTimeout = 200 * time.Millisecond
	})
	endless, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.urls[0]+"/v1/completions",
		io.MultiReader(strings.NewReader(`{"prompt":"`), endlessReader{}))
	assert.NilError(t, err)
	assert.Equal(t, do(t, endless).StatusCode, http.StatusRequestEntityTooLarge)

	conn, err := net.Dial("tcp", strings.TrimPrefix(f.urls[0], "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 60000\r\n\r\n{", testKey)
	conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	eventually(t, "the body budget is released", func() bool {
		return f.gateways[0].bodyBudget.Available() == f.gateways[0].Limits.HeldBytes
	})
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Guards against a graceful shutdown that interrupts a request.
func TestWaitLetsRequestsFinish(t *testing.T) {
	f := newFixture(t, 1, 1, nil)
	resp := f.send(t, `{"model":"catalogue","prompt":"x","max_tokens":300,"stream":true}`)
	f.gateways[0].StartDrain()
	ready, err := http.Get(f.urls[0] + "/readyz")
	assert.NilError(t, err)
	ready.Body.Close()
	assert.Equal(t, ready.StatusCode, http.StatusServiceUnavailable)
	done := make(chan error, 1)
	go func() { done <- f.gateways[0].Wait(t.Context()) }()
	assert.Assert(t, strings.Contains(readAll(t, resp.Body), "[DONE]"))
	assert.NilError(t, <-done)
}
