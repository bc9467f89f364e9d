// Package storefake provides in-memory fakes of the table service and the object
// store that can inject the faults of the real ones.
package storefake

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/store"
)

// Faults are the faults that a fake injects. They can be changed at any time with
// SetFaults.
type Faults struct {
	// Down makes every call fail with ErrUnavailable and without effect.
	Down bool
	// Delay is added to the latency of every call.
	Delay time.Duration
	// LoseResponse, if not nil, is called after each successful write and
	// reports whether the response is lost.
	LoseResponse func(store.Txn) bool
}

// Counts are the numbers of calls that reached a fake.
type Counts struct {
	Reads, Writes int
}

// Table is an in-memory store.Table.
type Table struct {
	mu       sync.Mutex
	rows     map[string]store.Row
	revision uint64
	faults   Faults
	counts   Counts
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]store.Row{}} }

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns the numbers of calls so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Copy is a copy of a table's state, taken by Table.Copy.
type Copy struct {
	rows     map[string]store.Row
	revision uint64
}

// Copy returns a copy of the current state.
func (t *Table) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{rows: maps.Clone(t.rows), revision: t.revision}
}

// Restore replaces the state by an earlier copy, like a service that comes back
// from a backup: later writes are lost and their revisions are assigned again.
func (t *Table) Restore(c Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.revision = maps.Clone(c.rows), c.revision
}

// applyFaults applies the faults Delay and Down.
func (t *Table) applyFaults(ctx context.Context) error {
	t.mu.Lock()
	f := t.faults
	t.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return store.ErrUnavailable
		}
	}
	if f.Down {
		return store.ErrUnavailable
	}
	return nil
}

// Get implements store.Table.
func (t *Table) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := t.applyFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	rows := make([]store.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

// Scan implements store.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := t.applyFaults(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	var rows []store.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// Commit implements store.Table.
func (t *Table) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if err := t.applyFaults(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Revision != c.Revision {
			return 0, store.ErrConflict
		}
	}
	t.revision++
	for _, op := range txn.Ops {
		if op.Delete {
			delete(t.rows, op.Key)
			continue
		}
		value := append([]byte(nil), op.Value...)
		t.rows[op.Key] = store.Row{Key: op.Key, Value: value, Revision: t.revision}
	}
	if t.faults.LoseResponse != nil && t.faults.LoseResponse(txn) {
		return 0, store.ErrUnknown
	}
	return t.revision, nil
}

// Objects is an in-memory store.Objects.
type Objects struct {
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
}

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{objects: map[string][]byte{}} }

// SetDown starts or ends an outage, in which every call fails.
func (o *Objects) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// Put implements store.Objects.
func (o *Objects) Put(_ context.Context, name string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return store.ErrUnavailable
	}
	o.objects[name] = append([]byte(nil), data...)
	return nil
}

// Get implements store.Objects.
func (o *Objects) Get(_ context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, store.ErrUnavailable
	}
	data, ok := o.objects[name]
	if !ok {
		return nil, store.ErrObjectNotFound
	}
	return append([]byte(nil), data...), nil
}

// Delete implements store.Objects.
func (o *Objects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return store.ErrUnavailable
	}
	delete(o.objects, name)
	return nil
}
