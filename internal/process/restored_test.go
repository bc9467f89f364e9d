package process

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// textDecoder decodes configurations from numbers, and targets from their start and state,
// such as "7 draining".
type textDecoder struct{}

func (textDecoder) Configuration(r replica.Record) (*topology.Config, bool, error) {
	var c topology.Config
	_, err := fmt.Sscan(string(r.Value), &c.Version)
	return &c, true, err
}

func (textDecoder) ZoneOutOfService(r replica.Record) (string, bool) {
	return strings.CutPrefix(r.Key, "zone/")
}

func (textDecoder) Target(r replica.Record, _ time.Time) (*topology.Target, error) {
	t := topology.Target{ID: r.Key, Service: "s", Zone: "z"}
	state := ""
	_, err := fmt.Sscan(string(r.Value), &t.Born, &state)
	t.Draining = state == "draining"
	return &t, err
}

func newRestoredBuilder() (*viewBuilder, *topology.Holder) {
	holder := topology.NewHolder()
	return newViewBuilder(slog.New(slog.DiscardHandler), textDecoder{}, holder, func() bool { return false }), holder
}

func row(key, value string, epoch uint64, restored bool) replica.Record {
	return replica.Record{Key: key, Value: []byte(value), Epoch: epoch, Restored: restored, Deleted: value == ""}
}

// makeDue lets the deferred rows take effect at the next check.
func makeDue(v *viewBuilder) {
	for key, r := range v.deferred {
		r.due = time.Now()
		v.deferred[key] = r
	}
	for id := range v.missingSince {
		v.missingSince[id] = time.Now().Add(-missingTargetGrace)
	}
	v.applyDeferred()
	v.removeMissingTargets()
}

// Guards against a configuration that comes back older when the store is restored, and
// against one that the operator wrote since and that never takes effect.
func TestConfigurationAfterRestore(t *testing.T) {
	v, holder := newRestoredBuilder()
	active := func() uint64 { return holder.Get().Config.Version }
	v.operatorChanged([]replica.Record{row("config", "13", 1, false)})
	v.operatorChanged([]replica.Record{row("config", "10", 2, true)})
	assert.Equal(t, active(), uint64(13), "only the copy has the older one")
	v.operatorChanged([]replica.Record{row("config", "", 2, true)})
	assert.Equal(t, active(), uint64(13), "the copy has none")
	makeDue(v)
	assert.Equal(t, active(), uint64(13), "the operator has not written yet")
	v.operatorChanged([]replica.Record{row("config", "12", 2, false)})
	assert.Equal(t, active(), uint64(12), "the operator used a lost number again")
	v.operatorChanged([]replica.Record{row("config", "11", 2, false)})
	assert.Equal(t, active(), uint64(12), "numbers rise within an epoch")
	v.operatorChanged([]replica.Record{row("config", "16", 2, false)})
	assert.Equal(t, active(), uint64(16))
}

// Guards against a zone that changes its state because the store has lost the operator's
// last word, and against one that keeps it although the operator does not repeat that word.
func TestZoneAfterRestore(t *testing.T) {
	v, holder := newRestoredBuilder()
	out := func() bool { return holder.Get().ZonesOutOfService["z"] }
	v.operatorChanged([]replica.Record{row("zone/z", "{}", 1, false)})
	v.operatorChanged([]replica.Record{row("zone/z", "", 2, true)})
	assert.Assert(t, out(), "the store has lost the row")
	v.operatorChanged([]replica.Record{row("zone/z", "{}", 2, false)})
	makeDue(v)
	assert.Assert(t, out(), "the operator has written the row again")

	v.operatorChanged([]replica.Record{row("zone/z", "", 3, true)})
	v.operatorTableRestored() // once more, before the row was due
	v.applyDeferred()
	assert.Assert(t, out())
	makeDue(v)
	assert.Assert(t, !out(), "the operator has not written the row again")

	v.operatorChanged([]replica.Record{row("zone/z", "{}", 4, true)})
	assert.Assert(t, !out(), "only the copy has the row")
	makeDue(v)
	assert.Assert(t, out())
}

// Guards against requests to targets that had left and that only the restored copy shows,
// and against targets that are dropped because the copy is older than they are.
func TestTargetsAfterRestore(t *testing.T) {
	for _, c := range []struct {
		name            string
		before          string // row before the return; empty if the target had left
		restored        string
		usable          int // right after the return
		written         string
		usableAfterward int
	}{
		{"added in the lost seconds, then back", "7 ready", "", 1, "7 ready", 1},
		{"added in the lost seconds, never back", "7 ready", "", 1, "", 0},
		{"drained in the lost seconds", "7 draining", "7 ready", 0, "7 draining", 0},
		{"drained in the lost seconds, silent since", "7 draining", "7 ready", 0, "", 0},
		{"drained in the lost seconds, row lost", "7 draining", "", 0, "", 0},
		{"began to drain after the return", "7 ready", "7 draining", 0, "", 0},
		{"started again in the lost seconds", "9 ready", "7 draining", 1, "9 ready", 1},
		{"left in the lost seconds", "", "7 ready", 0, "", 0},
		{"left in the lost seconds, started again since", "", "7 ready", 0, "9 ready", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			v, holder := newRestoredBuilder()
			usable := func() int { return len(holder.Get().Usable("s")) }
			v.targetsChanged([]replica.Record{row("a", c.before, 1, false), row("other", "7 ready", 1, false)})
			v.targetsChanged([]replica.Record{row("a", c.restored, 2, true)})
			assert.Equal(t, usable(), 1+c.usable)
			if c.written != "" || c.restored != "" {
				v.targetsChanged([]replica.Record{row("a", c.written, 2, false)})
			}
			makeDue(v)
			assert.Equal(t, usable(), 1+c.usableAfterward)
		})
	}
}

// Guards against a target that stays out of use for ever because it had left before the
// store was restored, although it is alive.
func TestRestoredTargetIsUsedAfterDelay(t *testing.T) {
	v, holder := newRestoredBuilder()
	v.targetsChanged([]replica.Record{row("a", "", 1, false)})
	v.targetsChanged([]replica.Record{row("a", "7 ready", 2, true)})
	assert.Equal(t, len(holder.Get().Usable("s")), 0)
	makeDue(v)
	assert.Equal(t, len(holder.Get().Usable("s")), 1)
}

// Guards against a target that is dropped because its time to write its row again began at
// an earlier return of the store than the last one.
func TestSecondRestoreKeepsMissingTarget(t *testing.T) {
	v, holder := newRestoredBuilder()
	v.targetsChanged([]replica.Record{row("a", "7 ready", 1, false)})
	v.targetsChanged([]replica.Record{row("a", "", 2, true)})
	v.missingSince["a"] = time.Now().Add(-missingTargetGrace)
	v.targetsTableRestored() // once more; the row is missing as before and so has not changed
	v.removeMissingTargets()
	assert.Equal(t, len(holder.Get().Usable("s")), 1)
}
