package gateway

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/quarantine"
)

const deadlyPrompt = "a prompt that crashes its engine"

// crashOnDeadlyPrompt makes an engine end when it gets the deadly prompt: it closes all of its
// connections and accepts no other.
func crashOnDeadlyPrompt(server *httptest.Server, crashes *atomic.Int32) {
	next := server.Config.Handler
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if !strings.Contains(string(body), deadlyPrompt) {
			r.Body = io.NopCloser(bytes.NewReader(body))
			next.ServeHTTP(w, r)
			return
		}
		crashes.Add(1)
		server.Listener.Close()
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			c.Close()
		}
	})
}

// Guards against a request that crashes engine after engine: it is repeated on other engines, and
// its caller tries again under new ids at any VM.
func TestRequestThatCrashesEngines(t *testing.T) {
	const engines = 8
	f := newFixture(t, engines, 2, nil)
	var crashes atomic.Int32
	for _, server := range f.servers {
		crashOnDeadlyPrompt(server, &crashes)
	}
	shared := quarantine.New(slog.New(slog.DiscardHandler))
	for _, g := range f.gateways {
		g.Quarantine = shared // as if the VMs told each other at once
	}
	deadly := `{"model":"catalogue","prompt":"` + deadlyPrompt + `","max_tokens":4}`
	for n := range 5 {
		resp := f.sendTo(t, n%2, deadly)
		assert.Assert(t, resp.StatusCode >= 500, "status %d", resp.StatusCode)
	}
	assert.Assert(t, crashes.Load() <= 3, "%d crashes", crashes.Load())
	resp := f.sendTo(t, 0, deadly)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, f.sendTo(t, 0, `{"model":"catalogue","prompt":"a sound prompt","max_tokens":4}`).StatusCode, http.StatusOK)
}
