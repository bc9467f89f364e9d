// Package path runs end-to-end tests of requests with real processes.
package path

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/loadgen"
	"github.com/oriolefront/oriolefront/test/fleet"
)

// Guards against components that work alone but not together: responses are
// complete through every entry process, even if an engine crashes during a
// response or the entry process shuts down gracefully.
func TestEndToEnd(t *testing.T) {
	f := fleet.Start(t, fleet.Options{Engines: 3, Entries: 3})
	var addresses []string
	for _, e := range f.Entries {
		addresses = append(addresses, e.CallerAddress)
	}
	client := loadgen.NewClient(addresses, fleet.AccountKey)
	for i := range 6 {
		r := client.Do(t.Context(), loadgen.Request{ID: fmt.Sprintf("whole-%d", i), Model: "catalogue", PromptTokens: 1000, MaxTokens: 20})
		assert.Assert(t, r.Complete && !r.Incorrect, "%+v", r)
	}

	t.Run("engine dies", func(t *testing.T) {
		result := make(chan loadgen.Result, 1)
		go func() {
			result <- client.Do(t.Context(), loadgen.Request{ID: "dies", Model: "catalogue", PromptTokens: 1000, MaxTokens: 300})
		}()
		time.Sleep(500 * time.Millisecond)
		for _, e := range f.Engines {
			if record := f.EngineRecord(e); len(record.Entries) > 0 && record.Entries[len(record.Entries)-1].Event == "start" {
				f.Control(e.Address, map[string]any{"crash": true})
			}
		}
		r := <-result
		assert.Assert(t, r.Complete && !r.Incorrect, "%+v", r)
	})

	t.Run("graceful shutdown", func(t *testing.T) {
		result := make(chan loadgen.Result, 1)
		go func() {
			result <- client.DoAt(t.Context(), addresses[0], loadgen.Request{ID: "drain", Model: "catalogue", PromptTokens: 1000, MaxTokens: 300})
		}()
		time.Sleep(300 * time.Millisecond)
		exited := f.Entries[0].Stop()
		r := <-result
		assert.Assert(t, r.Complete && !r.Incorrect, "%+v", r)
		assert.NilError(t, <-exited)
		resp, err := http.Get("http://" + addresses[0] + "/readyz")
		assert.Assert(t, err != nil, "%v", resp)
	})

	out := f.Ctl(1, "status")
	assert.Assert(t, strings.Contains(out, "connected"), out)
}

// Guards against an entry process that reports ready before it monitors the
// declared targets, and so refuses the first requests because it knows no target.
func TestReadyMeansServing(t *testing.T) {
	f := fleet.Start(t, fleet.Options{Engines: 3, Entries: 3})
	e := f.Entries[0]
	client := loadgen.NewClient([]string{e.CallerAddress}, fleet.AccountKey)
	for i := range 10 {
		e.Kill()
		e.Start()
		e.AwaitReady(30 * time.Second)
		r := client.Do(t.Context(), loadgen.Request{ID: fmt.Sprintf("first-%d", i), Model: "catalogue", PromptTokens: 1000, MaxTokens: 5})
		assert.Assert(t, r.Complete && !r.Incorrect, "restart %d: %+v", i, r)
	}
}
