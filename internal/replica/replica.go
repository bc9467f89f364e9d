// Package replica keeps a copy of tables of the platform's store in memory and
// brings it up to date from the store or from another VM's copy. Records carry
// the store's version of their last change, so copies can be merged in any
// order and never go back.
package replica

import (
	"sort"
	"sync"
)

// Record is a row, or the trace of a removed one.
type Record struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"v"`
	Version uint64 `msgpack:"n"`
	Deleted bool   `msgpack:"r,omitempty"`
}

// Delta is a set of changes of one table: applied to a copy that knows all
// changes up to From, it makes one that knows all up to To.
type Delta struct {
	Table   string   `msgpack:"t"`
	From    uint64   `msgpack:"f"`
	To      uint64   `msgpack:"o"`
	Records []Record `msgpack:"r"`
	// Complete is true when Records names every row that exists at To; those
	// that have not changed after From come without their values. Other rows are
	// removed ones.
	Complete bool `msgpack:"c,omitempty"`
}

// Replica is a copy of one table.
type Replica struct {
	table string

	mu       sync.Mutex
	records  map[string]Record
	position uint64
	// deletesKnownFrom is the version after which all removals are known. A listing
	// does not tell which rows were removed before it.
	deletesKnownFrom uint64
}

// New returns a copy that knows nothing.
func New(table string) *Replica {
	return &Replica{table: table, records: map[string]Record{}}
}

// Table returns the name of the table.
func (c *Replica) Table() string { return c.table }

// Position returns the version up to which all changes are known.
func (c *Replica) Position() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// ChangesSince returns the changes after a version. They are complete when removals
// after that version may be unknown.
func (c *Replica) ChangesSince(from uint64) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := Delta{Table: c.table, From: from, To: c.position, Complete: from < c.deletesKnownFrom}
	for _, r := range c.records {
		switch {
		case r.Version > from:
			d.Records = append(d.Records, r)
		case d.Complete && !r.Deleted:
			d.Records = append(d.Records, Record{Key: r.Key, Version: r.Version})
		}
	}
	sort.Slice(d.Records, func(i, j int) bool { return d.Records[i].Version < d.Records[j].Version })
	return d
}

// Apply merges changes. It reports the records that changed and whether the
// delta fits: one that begins after the position of the copy leaves a gap and
// is not applied.
func (c *Replica) Apply(d Delta) (changed []Record, fits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.From > c.position {
		return nil, false
	}
	if d.Complete {
		return c.replace(d.Records, d.To)
	}
	changed = c.merge(d.Records)
	c.position = max(c.position, d.To)
	return changed, true
}

// merge takes the records that are newer than those known. The lock must be held.
func (c *Replica) merge(records []Record) []Record {
	var changed []Record
	for _, r := range records {
		if old, known := c.records[r.Key]; known && old.Version >= r.Version {
			continue
		}
		c.records[r.Key] = r
		changed = append(changed, r)
	}
	return changed
}

// Replace merges a complete listing of the table as of a version. Records that
// it lacks and that are not newer are removed ones. A listing older than the
// copy is ignored.
func (c *Replica) Replace(records []Record, version uint64) (changed []Record, fits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.replace(records, version)
}

// replace does the work of Replace. The lock must be held.
func (c *Replica) replace(records []Record, version uint64) (changed []Record, fits bool) {
	if version < c.position {
		return nil, false
	}
	changed = c.merge(records)
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	for key, old := range c.records {
		if listed[key] || old.Deleted || old.Version > version {
			continue
		}
		tombstone := Record{Key: key, Version: version, Deleted: true}
		c.records[key] = tombstone
		changed = append(changed, tombstone)
	}
	c.position, c.deletesKnownFrom = version, version
	return changed, true
}

// Rows returns the rows that exist, in order of their keys.
func (c *Replica) Rows() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]Record, 0, len(c.records))
	for _, r := range c.records {
		if !r.Deleted {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}
