package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/confsync"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/operator"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

const key = "operator-key"

const declarations = `
[zone.iasi]
region = "ro-moldova"
[service.lending]
kind = "plain"
[target.desk]
service = "lending"
zone = "iasi"
address = "10.0.0.1:80"
max-running = 4
`

// testServer serves an operator interface backed by a fake store, at a reliable
// URL and at one that can lose responses.
type testServer struct {
	t             *testing.T
	url           string
	table         *storefake.Table
	loseResponses atomic.Bool
	lossyURL      string // of a server that loses the responses to submissions while loseResponses is set
	file          string
	key           string
	stdout        bytes.Buffer
	stderr        bytes.Buffer
}

func newTestServer(t *testing.T) *testServer {
	s := &testServer{t: t, table: storefake.NewTable(), key: key, file: filepath.Join(t.TempDir(), "world.toml")}
	s.declare(declarations)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	holder := &config.Holder{}
	syncer := confsync.New(confsync.Options{
		Table: s.table, Objects: storefake.NewObjects(), Holder: holder,
		HasQuorum: func() bool { return true }, Peers: func() []membership.Peer { return nil }, HeldSeats: func() int { return 1 },
		Now: func() time.Duration { return 0 }, OnSynced: func(time.Duration) {}, Log: log, Metrics: metrics.NewSet(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); syncer.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	for syncer.Ready() != nil {
		time.Sleep(time.Millisecond)
	}
	handler := operator.Handler(operator.Options{
		Configuration: syncer, Current: holder.Current, Log: log,
		Keys: auth.NewKeys(map[string][]string{"ana": {auth.KeyHash(key)}}),
		Status: func() operator.Status {
			return operator.Status{Instance: "a", Connectivity: "connected", Seats: []int{3}}
		},
	})
	s.url = s.serve(handler)
	s.lossyURL = s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.loseResponses.Load() || r.Method != http.MethodPost {
			handler.ServeHTTP(w, r)
			return
		}
		handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	return s
}

func (s *testServer) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	s.t.Cleanup(server.Close)
	return server.URL
}

func (s *testServer) declare(text string) {
	assert.NilError(s.t, os.WriteFile(s.file, []byte(text), 0o600))
}

// run executes oriolectl and returns its exit code.
func (s *testServer) run(args ...string) int {
	s.stdout.Reset()
	s.stderr.Reset()
	env := Env{Stdin: strings.NewReader("n\n"), Stdout: &s.stdout, Stderr: &s.stderr, Getenv: func(string) string { return s.key }}
	return Run(context.Background(), env, append([]string{"-servers", s.lossyURL + "," + s.url}, args...))
}

func (s *testServer) expect(code int, text string, args ...string) {
	s.t.Helper()
	got := s.run(args...)
	out := s.stdout.String() + s.stderr.String()
	assert.Equal(s.t, got, code, "%v: %s", args, out)
	assert.Assert(s.t, strings.Contains(out, text), "%v: %s", args, out)
}

// Guards against a wrong exit code, on which operators' scripts rely.
func TestCommandsAndExitCodes(t *testing.T) {
	s := newTestServer(t)
	s.expect(ExitOK, "is valid", "check", s.file)
	s.expect(ExitDifference, "+ zone/iasi", "diff", s.file)
	s.expect(ExitFailed, "not submitted", "apply", s.file)
	s.expect(ExitOK, "accepted, version 1", "apply", s.file, "-yes", "-id", "first")
	s.expect(ExitOK, "0 changes", "diff", s.file)
	s.expect(ExitOK, "no difference", "apply", s.file)
	s.expect(ExitOK, "accepted, version 1", "patch", "show", "first")
	s.expect(ExitOK, "accepted, version 2", "zone", "out", "iasi", "-yes")
	s.expect(ExitOK, "no difference", "zone", "out", "iasi", "-yes")
	s.expect(ExitOK, `"out_of_service":true`, "get")
	s.expect(ExitOK, "accepted, version 3", "zone", "in", "iasi", "-yes")
	s.expect(ExitOK, "accepted, version 4", "target", "leave", "desk", "-yes")
	s.expect(ExitOK, "4 ", "history", "3")
	s.expect(ExitOK, "connected, seats [3]", "status")
	s.expect(ExitOK, "accepted, version 1", "apply", s.file, "-base", "0", "-id", "first")
	s.expect(ExitRefused, "not the version in force, 4", "apply", s.file, "-base", "2")
	s.expect(ExitFailed, "-base 9 is higher", "apply", s.file, "-base", "9")
	s.expect(ExitUsage, "not declared", "zone", "out", "mars")
	s.expect(ExitUsage, "command", "zones")
	s.expect(ExitOK, "exit codes:", "-h")
	s.expect(ExitUsage, "-o", "get", "-o", "xml")
	assert.Equal(t, s.run("get", "-o", "json"), ExitOK)
	var d config.Document
	assert.NilError(t, json.Unmarshal(s.stdout.Bytes(), &d))
	assert.Equal(t, d.Version, uint64(4))
	s.declare(strings.Replace(declarations, "max-running = 4", "max-running = 0", 1))
	s.expect(ExitUsage, "target.desk.max-running", "check", s.file)
	s.declare(declarations + "[zone.bacau]\nregion = \"x\"\ncolour = 1\n")
	s.expect(ExitUsage, "zone.bacau.colour", "diff", s.file)
	s.key = "wrong"
	s.expect(ExitFailed, "unauthenticated", "get")
	s.key = ""
	s.expect(ExitUsage, KeyVariable, "get")
}

// Guards against a patch that is reported as failed, or applied twice, after a
// lost response.
func TestLostResponse(t *testing.T) {
	s := newTestServer(t)
	s.loseResponses.Store(true)
	s.expect(ExitOK, "accepted, version 1", "apply", s.file, "-yes", "-id", "first")
	only := []string{"-servers", s.lossyURL}
	s.expect(ExitUnknown, "-id second", append(only, "zone", "out", "iasi", "-yes", "-id", "second")...)
	s.expect(ExitOK, "accepted, version 2", "zone", "out", "iasi", "-yes", "-id", "second", "-base", "1")
	s.expect(ExitOK, "accepted, version 2", "patch", "show", "second")
	// "Not run" from the second server says nothing about the first submission.
	busy := s.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, `{"error":{"code":"unavailable","outcome":"not_run","message":"no quorum"}}`)
	}))
	s.expect(ExitUnknown, "-id third", "-servers", s.lossyURL+","+busy, "zone", "in", "iasi", "-yes", "-id", "third")
	s.loseResponses.Store(false)
	s.table.SetFaults(storefake.Faults{Down: true})
	s.expect(ExitFailed, "unavailable", "target", "leave", "desk", "-yes")
	s.expect(ExitFailed, "connect", "-servers", "http://127.0.0.1:1", "get")
}

// Guards against access without a key, an unbounded request body, a forged
// submitter, and a refusal without the current version.
func TestOperatorInterface(t *testing.T) {
	s := newTestServer(t)
	post := func(body string) (int, string) {
		req, err := http.NewRequest(http.MethodPost, s.url+"/config/patches", strings.NewReader(body))
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode, string(data)
	}
	patch := `{"id":"a","base":0,"operations":[{"action":"put","key":"zone/a","value":{"region":"r"}}]}`
	for _, c := range []struct {
		body   string
		status int
		text   string
	}{
		{patch, 200, `"version":1`},
		{patch, 200, `"repeated":true`},
		{strings.Replace(patch, `"a"`, `"b"`, 1), 409, `"version":1`},
		{strings.Replace(patch, `"a"`, `"b"`, 1), 409, `"conflicts":["zone/a"]`},
		{strings.Replace(patch, `"r"`, `"s"`, 1), 409, "belongs to another patch"},
		{strings.Replace(patch, `{"id"`, `{"submitter":"eve","id"`, 1), 403, "eve"},
		{`{"id":"c","base":1,"operations":[]}`, 400, "at least one operation"},
		{`{"id":"c","base":1,"colour":1,"operations":[]}`, 400, "colour"},
		{`{"id":"c","base":7,"operations":[]}`, 400, "current version, 1"},
		{strings.Repeat(" ", config.MaxPatchBytes+1), 413, "split"},
	} {
		status, body := post(c.body)
		assert.Equal(t, status, c.status, body)
		assert.Assert(t, strings.Contains(body, c.text), body)
	}
	resp, err := http.Get(s.url + "/status")
	assert.NilError(t, err)
	resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	s.expect(ExitOK, "ana a zone/a", "history")
}
