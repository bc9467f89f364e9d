package forward

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// Guards against a zone that counts as suspect because two of its targets send invalid responses:
// requests would avoid the sound ones beside them.
func TestInvalidResponsesSayNothingAboutZone(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n"
	for name, invalid := range map[string]func(c *connection){
		"spoiled event": func(c *connection) {
			c.events(1, 3)
			c.spoil(4)
		},
		"malformed head":    func(c *connection) { io.WriteString(c, "\x00\x01 nothing of HTTP\r\n\r\n") },
		"folded line":       func(c *connection) { fmt.Fprintf(c, head+"A: b\r\n Content-Length: 2\r\n\r\nid: 1\n", c.id) },
		"foreign response":  func(c *connection) { fmt.Fprintf(c, head+"Connection: close\r\nContent-Length: 1\r\n\r\nx", "another") },
		"malformed chunk":   func(c *connection) { fmt.Fprintf(c, head+"Transfer-Encoding: chunked\r\n\r\nxyz\r\n", c.id) },
		"not a stream":      func(c *connection) { c.respond(200, "", "x") },
		"plain, bad length": func(c *connection) { fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: x\r\n\r\n", c.id) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var all []*testTarget
			for range 2 {
				all = append(all, newTestTarget(t, invalid))
			}
			for range 4 {
				all = append(all, newTestTarget(t, continuing))
			}
			v := newTestVM(t, 2, all...)
			for _, target := range v.targets {
				target.Zone = "z"
			}
			for _, target := range v.targets[:2] {
				v.Views.Set(v.view.With([]*topology.Target{target}, nil))
				v.send(t.Context(), "/stream/x", target.ID)
			}
			now := time.Now()
			for _, target := range v.targets[:2] {
				assert.Assert(t, v.Health.Status(target.ID, now).FailureRate > 0, target.ID)
			}
			assert.Equal(t, len(v.Health.suspectZones(v.targets, now)), 0)
			counter := v.Metrics.set.GetOrCreateCounter(`oriole_broken_responses_total{reason="malformed_head"}`)
			malformed := name == "malformed head" || name == "folded line"
			assert.Equal(t, counter.Get() > 0, malformed)
		})
	}
}

// Guards against a zone that does not count as suspect although two of its targets do not respond,
// of which one sent invalid responses before.
func TestSilentTargetsMakeZoneSuspect(t *testing.T) {
	targets := []*topology.Target{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}, {ID: "c", Zone: "z"}}
	h := NewHealth()
	h.RecordOutcome("a", invalidResponse)
	h.RecordOutcome("a", outcomeUnknown)
	h.RecordOutcome("b", outcomeUnknown)
	assert.Assert(t, h.suspectZones(targets, time.Now())["z"])
	h.RecordOutcome("b", delivered)
	h.RecordOutcome("c", invalidResponse)
	h.MarkUnreachable("c")
	assert.Assert(t, h.suspectZones(targets, time.Now())["z"])
}

// Guards against a target that gets no requests for seconds because several responses of the same
// moment were invalid: they are one failure, not several in a row.
func TestInvalidResponsesOfOneMomentCountOnce(t *testing.T) {
	h := NewHealth()
	for range 12 {
		h.RecordOutcome("a", invalidResponse)
	}
	now := time.Now()
	assert.Assert(t, h.Status("a", now).Unreachable)
	assert.Assert(t, !h.Status("a", now.Add(unreachableMin)).Unreachable)
	assert.Assert(t, h.Status("a", now).FailureRate > 0.9)
}

// Guards against a sound target that counts as unreachable because callers disconnect before they
// have the whole of its response.
func TestCallerThatLeavesSaysNothingAboutTarget(t *testing.T) {
	for name, begin := range map[string]int{"begin of a short response": 5, "begin of a long response": 2 * maxBufferedResponse} {
		for _, path := range []string{"/safe/x", "/once/x"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				ctx, leave := context.WithCancel(t.Context())
				v := newTestVM(t, 2, newTestTarget(t, func(c *connection) {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n", c.id, 2*begin)
					io.WriteString(c, strings.Repeat("x", begin))
					time.AfterFunc(50*time.Millisecond, leave)
					c.waitForClose()
				}))
				_, _, err := v.send(ctx, path, "a")
				assert.Assert(t, err != nil)
				v.assertReleased(0)
				status := v.Health.Status(v.targets[0].ID, time.Now())
				assert.Assert(t, !status.Unreachable && status.FailureRate == 0, "%+v", status)
			})
		}
	}
}

// Guards against a target that crashes in the middle of a stream and is taken for one that sends
// invalid responses, where only the end of the connection ends the stream.
func TestStreamThatEndsWithItsConnectionMayBeBroken(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, events := range map[string]string{
		"no event":        "",
		"inside an event": testEvents(1, 2) + "id: 3\ndat",
		"behind a gap":    testEvents(1, 2) + testEvent(9),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			v := newTestVM(t, 2, newTestTarget(t, func(c *connection) { fmt.Fprintf(c, head+events, c.id) }))
			v.timeout = 500 * time.Millisecond
			v.send(t.Context(), "/stream/x", "a")
			v.Health.mu.Lock()
			failure := *v.Health.targets[v.targets[0].ID]
			v.Health.mu.Unlock()
			assert.Assert(t, failure.consecutiveFailures > 0 && !failure.invalidResponses, "%+v", failure)
		})
	}
}
