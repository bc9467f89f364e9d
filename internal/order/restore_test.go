package order

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// Guards against a target whose commands are refused for good because the store
// lost its latest fencing numbers: each refused command raises the number by one.
func TestLostFencingNumbers(t *testing.T) {
	table := storefake.NewTable()
	_, client := startEngine(t, true)
	former, next := newManager(table, "vm-1"), newManager(table, "vm-2")
	command := func(m *Manager, models ...string) error {
		time.Sleep(20 * time.Millisecond) // the report is sampled each 10 ms
		return m.Reconcile(t.Context(), "e", config.Target{Models: models, ChecksFencing: true}, client)
	}
	before := table.Copy()
	assert.NilError(t, command(former, "old", "a"))
	assert.NilError(t, command(former, "old", "a", "b"))
	assert.NilError(t, command(former, "old", "a", "b", "c"))
	table.Restore(before)
	for range 2 {
		assert.ErrorIs(t, command(next, "old", "a", "b"), engine.ErrStaleFencing)
	}
	assert.NilError(t, command(next, "old", "a", "b"))
	assert.Equal(t, modelsOf(t, client), "old a b ")
}

// Guards against a lease that stays held because the store lost its release.
func TestLostRelease(t *testing.T) {
	table := storefake.NewTable()
	_, client := startEngine(t, true)
	former, next := newManager(table, "vm-1"), newManager(table, "vm-2")
	var held storefake.Copy
	former.BeforeSend = func() { held = table.Copy() }
	declared := config.Target{Models: []string{"old", "a"}, ChecksFencing: true}
	assert.NilError(t, former.Reconcile(t.Context(), "e", declared, client))
	table.Restore(held)
	time.Sleep(20 * time.Millisecond)
	declared.Models = []string{"old", "a", "b"}
	assert.ErrorIs(t, next.Reconcile(t.Context(), "e", declared, client), ErrLeaseHeld)
	time.Sleep(testLease + 20*time.Millisecond)
	assert.NilError(t, next.Reconcile(t.Context(), "e", declared, client))
	assert.Equal(t, modelsOf(t, client), "old a b ")
}
