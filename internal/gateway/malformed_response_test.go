package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/rawserver"
)

// newRawEngine returns a fixture whose only engine is a raw server.
func newRawEngine(t *testing.T, respond rawserver.Responder) *fixture {
	f := newFixture(t, 0, 0, nil)
	cfg := *f.holder.Current()
	cfg.Version++
	cfg.Targets = map[string]config.Target{"raw": {
		Service: "lm", Zone: "iasi", Address: rawserver.Start(t, respond),
		KVTokens: 400_000, PrefillTokensPerSecond: 500_000, DecodeTokensPerSecond: 1000, MaxRunning: 64,
	}}
	f.holder.PublishIfNewer(&cfg)
	f.addGateways(t, 1, nil)
	return f
}

// assertNoResponse checks that a caller gets neither a complete response nor an event of the engine.
func assertNoResponse(t *testing.T, f *fixture, request string) {
	t.Helper()
	resp := f.send(t, request, HeaderTimeout, "700")
	body, err := io.ReadAll(resp.Body)
	complete := err == nil && resp.StatusCode < http.StatusInternalServerError && !strings.Contains(string(body), `"error"`)
	assert.Check(t, !complete, "status %d, %q", resp.StatusCode, body)
	assert.Check(t, !strings.Contains(string(body), `"text"`), "status %d, %q", resp.StatusCode, body)
}

// soundFields are those of an engine's stream.
const soundFields = "X-Start-Number: 1\r\nContent-Type: text/event-stream\r\n"

// Guards against a caller that gets the events of an engine whose response has a malformed head.
func TestCallerGetsNothingOfMalformedResponse(t *testing.T) {
	for name := range rawserver.MalformedHeads("", "") {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/%t", name, stream), func(t *testing.T) {
				t.Parallel()
				f := newRawEngine(t, func(c *net.TCPConn, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					events := goodEvents(r.Header.Get(engine.HeaderAttempt), 0, spoiledTokens) + endMarkEvent
					io.WriteString(c, rawserver.MalformedHeads(soundFields, events)[name])
				})
				assertNoResponse(t, f, spoiledRequest(stream))
			})
		}
	}
}

// Guards against a caller that gets a part of a response as a complete one, because the engine resets
// the connection while a long prompt is being written.
func TestResetDuringUploadBreaksEngineResponse(t *testing.T) {
	prompt := strings.Repeat("x", 3<<20)
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint(stream), func(t *testing.T) {
			t.Parallel()
			f := newRawEngine(t, func(c *net.TCPConn, r *http.Request) {
				io.WriteString(c, "HTTP/1.1 200 OK\r\n"+soundFields+"\r\n"+goodEvents(r.Header.Get(engine.HeaderAttempt), 0, 2))
				c.SetLinger(0)
			})
			for range 5 {
				resp := f.send(t, fmt.Sprintf(`{"model":"catalogue","prompt":%q,"max_tokens":5,"stream":%t}`, prompt, stream), HeaderTimeout, "500")
				body, err := io.ReadAll(resp.Body)
				complete := err == nil && resp.StatusCode < http.StatusInternalServerError && !strings.Contains(string(body), `"error"`)
				assert.Check(t, !complete, "status %d, %.300q", resp.StatusCode, body)
			}
		})
	}
}
