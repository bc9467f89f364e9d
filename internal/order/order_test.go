package order

import (
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/standin"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

const testLease = 300 * time.Millisecond

func newManager(table store.Table, holder string) *Manager {
	return New(Options{
		Table: table, Holder: holder, CheckMayStart: func() error { return nil }, Log: slog.New(slog.DiscardHandler),
		LeaseDuration: testLease, SendMargin: 50 * time.Millisecond, MaxLoads: 1,
	})
}

func startEngine(t *testing.T, checksFencing bool) (*standin.Engine, engine.Client) {
	e := standin.NewEngine(standin.EngineOptions{
		KVTokens: 1000, PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 100, MaxRunning: 4,
		ChecksFencing: checksFencing, Models: []engine.Model{{Name: "old"}},
	})
	go e.Run(t.Context())
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	return e, engine.NewHTTPClient(strings.TrimPrefix(server.URL, "http://"), engine.NewTransport())
}

func modelsOf(t *testing.T, c engine.Client) string {
	t.Helper()
	time.Sleep(20 * time.Millisecond) // the report is sampled each 10 ms
	load, err := c.Load(t.Context())
	assert.NilError(t, err)
	names := ""
	for _, m := range load.Models {
		names += m.Name + " "
	}
	return names
}

func TestNext(t *testing.T) {
	declared := config.Target{Models: []string{"a", "b"}}
	for name, c := range map[string]struct {
		loaded []string
		want   string
	}{
		"missing model is loaded first": {[]string{"a", "x"}, "load-model b"},
		"extra model is unloaded":       {[]string{"a", "b", "x"}, "unload-model x"},
		"as declared":                   {[]string{"b", "a"}, " "},
	} {
		var load engine.Load
		for _, m := range c.loaded {
			load.Models = append(load.Models, engine.Model{Name: m})
		}
		o, _ := Next(declared, load)
		assert.Equal(t, o.Kind+" "+o.Model.Name, c.want, name)
	}
}

// Guards against a late command of a former holder that stays in effect: an
// engine that checks fencing refuses it; with one that does not, the next
// comparison corrects its effect.
func TestLateOrderOfPausedHolder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		table := storefake.NewTable()
		_, client := startEngine(t, checks)
		stale, current := newManager(table, "vm-1"), newManager(table, "vm-2")
		paused, resume := make(chan struct{}), make(chan struct{})
		stale.BeforeSend = func() { close(paused); <-resume }
		staleResult := make(chan error, 1)
		go func() {
			staleResult <- stale.Reconcile(t.Context(), "e", config.Target{Models: []string{"old", "stale"}}, client)
		}()
		<-paused
		declared := config.Target{Models: []string{"new"}, ChecksFencing: checks}
		assert.ErrorIs(t, current.Reconcile(t.Context(), "e", declared, client), ErrLeaseHeld)
		time.Sleep(testLease + 20*time.Millisecond)
		assert.NilError(t, current.Reconcile(t.Context(), "e", declared, client))
		close(resume)
		err := <-staleResult
		assert.Assert(t, err != nil, "the stale order reports success")
		for range 4 {
			assert.NilError(t, current.Reconcile(t.Context(), "e", declared, client))
			time.Sleep(20 * time.Millisecond)
		}
		assert.Equal(t, modelsOf(t, client), "new ", "checks fencing: %v", checks)
	}
}

// Guards against two lease holders after a response of the store was lost, and
// against a fencing number that is used twice.
func TestLostAnswers(t *testing.T) {
	table := storefake.NewTable()
	lose := true
	table.SetFaults(storefake.Faults{LoseResponse: func(store.Txn) bool { lose = !lose; return !lose }})
	e, client := startEngine(t, true)
	declared := config.Target{Models: []string{"old", "new"}}
	assert.NilError(t, newManager(table, "vm-1").Reconcile(t.Context(), "e", declared, client))
	time.Sleep(20 * time.Millisecond)
	declared.Models = []string{"old", "new", "third"}
	assert.NilError(t, newManager(table, "vm-2").Reconcile(t.Context(), "e", declared, client))
	used := map[string]int{}
	for _, entry := range e.Record().Entries() {
		if entry.Event == "order" {
			used[entry.ID]++
		}
	}
	assert.DeepEqual(t, used, map[string]int{"1": 1, "2": 1})
}

// Guards against more concurrent model loads than the weight store allows.
func TestLoadSlots(t *testing.T) {
	table := storefake.NewTable()
	_, first := startEngine(t, true)
	_, second := startEngine(t, true)
	a, b := newManager(table, "vm-1"), newManager(table, "vm-2")
	declared := config.Target{Models: []string{"old", "new"}}
	sending, finish := make(chan struct{}), make(chan struct{})
	a.BeforeSend = func() { close(sending); <-finish }
	done := make(chan error, 1)
	go func() { done <- a.Reconcile(t.Context(), "e1", declared, first) }()
	<-sending
	assert.ErrorIs(t, b.Reconcile(t.Context(), "e2", declared, second), ErrNoLoadSlot)
	close(finish)
	assert.NilError(t, <-done)
	assert.NilError(t, b.Reconcile(t.Context(), "e2", declared, second))
}
