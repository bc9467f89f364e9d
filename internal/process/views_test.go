package process

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// plainDecoder takes every row for a target of one service.
type plainDecoder struct{}

func (plainDecoder) Configuration(replica.Record) (*topology.Config, bool, error) {
	return nil, false, nil
}
func (plainDecoder) ZoneOutOfService(replica.Record) (string, bool) { return "", false }
func (plainDecoder) Target(r replica.Record, _ time.Time) (*topology.Target, error) {
	return &topology.Target{ID: r.Key, Service: "s", Zone: "z"}, nil
}

func viewsWith(targets int, unsettled bool) (*views, *topology.Holder) {
	holder := topology.NewHolder()
	v := newViews(slog.New(slog.NewTextHandler(io.Discard, nil)), plainDecoder{}, holder, func() bool { return unsettled })
	var rows []replica.Record
	for i := range targets {
		rows = append(rows, replica.Record{Key: fmt.Sprint(i), Version: 1})
	}
	v.targetsChanged(rows)
	return v, holder
}

func gone(keys ...string) []replica.Record {
	var rows []replica.Record
	for _, k := range keys {
		rows = append(rows, replica.Record{Key: k, Version: 2, Deleted: true})
	}
	return rows
}

// Guards against work for a target that has left beside an outage of the store
// (DRAIN on scale-2 --seed 868092357841 of bibliobuz-oriole): one that vanishes
// alone is gone at once.
func TestTargetThatLeavesAroundAnOutage(t *testing.T) {
	v, holder := viewsWith(6, true)
	v.targetsChanged(gone("0"))
	assert.Equal(t, len(holder.Get().Usable("s")), 5)
}

// Guards against a service without targets after an outage in which all rows
// lapsed: living targets write theirs again; those that do not are gone.
func TestRowsThatLapseTogether(t *testing.T) {
	v, holder := viewsWith(4, true)
	v.targetsChanged(gone("0", "1", "2", "3"))
	assert.Assert(t, len(holder.Get().Usable("s")) >= 1)
	for id := range v.lapsing {
		v.lapsing[id] = time.Now().Add(-lapseGrace)
	}
	v.tick()
	assert.Equal(t, len(holder.Get().Usable("s")), 0)

	v, holder = viewsWith(4, false)
	v.targetsChanged(gone("0", "1", "2", "3"))
	assert.Equal(t, len(holder.Get().Usable("s")), 0)
}
