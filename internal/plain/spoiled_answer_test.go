package plain

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/rawserver"
	"github.com/oriolefront/oriolefront/internal/testlog"
)

// useRawTarget adds a target. It is the only one if alone is true. Requests with the methods are
// idempotent.
func (w *testFleet) useRawTarget(address string, alone bool, idempotent ...string) {
	cfg := *w.holder.Current()
	cfg.Version++
	targets := map[string]config.Target{"raw": {Service: "lending", Zone: "a", MaxRunning: 8, Address: address}}
	if !alone {
		targets["t0"] = cfg.Targets["t0"]
	}
	cfg.Targets = targets
	cfg.Services = map[string]config.Service{"lending": {Kind: config.PlainService, IdempotentMethods: idempotent}}
	w.holder.PublishIfNewer(&cfg)
}

// spoiledAnswers are responses that are cut or that no server may send.
var spoiledAnswers = map[string]string{
	"garbage":                  "\x16\x03\x01\x02\r\n\r\n",
	"no status":                "HTTP/1.1 OK\r\nContent-Length: 2\r\n\r\nok",
	"status below 100":         "HTTP/1.1 042 X\r\nContent-Length: 2\r\n\r\nok",
	"status 000":               "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
	"switched protocols":       "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nok",
	"head without end":         "HTTP/1.1 200 OK\r\nContent-Le",
	"header without colon":     "HTTP/1.1 200 OK\r\nnonsense\r\nContent-Length: 2\r\n\r\nok",
	"two lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
	"negative length":          "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok",
	"shorter than its length":  "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
	"size of a chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n",
	"no last chunk":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	"chunk of another length":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokokok\r\n0\r\n\r\n",
	"unknown transfer coding":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: rot13\r\n\r\nok",
	"no response, only a hint": "HTTP/1.1 103 Early Hints\r\n\r\n",
}

func init() { maps.Copy(spoiledAnswers, rawserver.MalformedHeads("", "ok")) }

// Guards against a spoiled response of a plain target that looks complete to a caller, and against
// one to an idempotent request that another target could have served.
func TestSpoiledPlainAnswer(t *testing.T) {
	for name, answer := range spoiledAnswers {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(fmt.Sprintf("%s/%s", name, method), func(t *testing.T) {
				t.Parallel()
				w := newTestFleet(t, 1, 8)
				w.useRawTarget(rawserver.Start(t, rawserver.Text(answer)), true, http.MethodGet)
				vm := w.start(t, 1, nil)
				for range 2 { // the second time a claim is repeated
					got, err := send(vm.url, method, "key", "id", 2*time.Second, "")
					complete := err == nil && got.status < 500
					assert.Assert(t, !complete, "the caller received status %d, %q", got.status, got.body)
					assert.Assert(t, err != nil || got.outcome != "not_run", "outcome %s", got.outcome)
				}
			})
		}
	}
}

// Guards against an idempotent request that fails although another target can serve it, because
// the response of the first one is spoiled before its body begins.
func TestSpoiledPlainAnswerGoesOn(t *testing.T) {
	for name, answer := range spoiledAnswers {
		if strings.Contains(answer, "\r\n\r\n2\r\n") || strings.Contains(answer, "Content-Length: 20") {
			continue // the body has begun
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestFleet(t, 1, 8)
			w.useRawTarget(rawserver.Start(t, rawserver.Text(answer)), false, http.MethodGet)
			vm := w.start(t, 1, nil)
			for i := range 4 { // targets are chosen at random
				got, err := send(vm.url, http.MethodGet, "", fmt.Sprint("id", i), 2*time.Second, "")
				assert.NilError(t, err)
				assert.Equal(t, got.status, http.StatusOK)
			}
		})
	}
}

// Guards against a target that spoils responses and does not count as failed, or of which operators
// are not told, or with the whole of what it sent.
func TestSpoiledPlainAnswerIsLogged(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	for name, answer := range map[string]string{
		"no response":       long + "\r\n\r\n",
		"interrupted":       "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"interrupted, long": "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat(long, 100),
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			t.Run(name+"/"+method, func(t *testing.T) {
				w := newTestFleet(t, 1, 8)
				w.useRawTarget(rawserver.Start(t, rawserver.Text(answer)), true, http.MethodGet)
				var log testlog.Buffer
				w.log = slog.New(slog.NewTextHandler(&log, nil))
				vm := w.start(t, 1, nil)
				send(vm.url, method, "key", "r-17", 2*time.Second, "")

				failures := 0
				for line := range strings.Lines(log.String()) {
					assert.Assert(t, len(line) < 1000, "a line of %d bytes", len(line))
					if strings.Contains(line, `msg="attempt failed" request=r-17 `) && strings.Contains(line, "target=raw ") {
						failures++
					}
				}
				assert.Equal(t, failures, 1, log.String())
				p := vm.handler.picker
				p.mu.Lock()
				defer p.mu.Unlock()
				assert.Assert(t, p.inBackoffLocked("raw", time.Now()))
			})
		}
	}
}

// Guards against a caller that gets a part of a response as a complete one, because the target resets
// the connection while the request is being written.
func TestResetDuringUploadBreaksPlainAnswer(t *testing.T) {
	body := strings.Repeat("u", 8<<20)
	for _, method := range []string{http.MethodPut, http.MethodPost} {
		for name, respond := range map[string]rawserver.Responder{
			"reset":       rawserver.Reset("HTTP/1.1 200 OK\r\n\r\npart"),
			"body unread": func(c *net.TCPConn, _ *http.Request) { io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart") },
		} {
			t.Run(name+"/"+method, func(t *testing.T) {
				w := newTestFleet(t, 1, 8)
				w.useRawTarget(rawserver.Start(t, respond), true, http.MethodPut)
				vm := w.start(t, 1, nil)
				for i := range 50 {
					got, err := send(vm.url, method, fmt.Sprint("key", i), fmt.Sprint("id", i), 5*time.Second, body)
					complete := err == nil && got.status < 500
					assert.Check(t, !complete, "the caller received status %d, %q", got.status, got.body)
				}
			})
		}
	}
}
