// Package replica implements in-memory replicas of tables of the platform's store,
// which are synchronized from the store or from replicas of other VMs. Each record
// carries the store's version of its last change, so replicas can be merged in any
// order and never revert to older versions.
package replica

import (
	"sort"
	"sync"
)

// Record is a row, or the tombstone of a deleted row.
type Record struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"v"`
	Version uint64 `msgpack:"n"`
	Deleted bool   `msgpack:"r,omitempty"`
}

// Delta is a set of changes of one table. It advances a replica that has all
// changes up to version From to one that has all changes up to To.
type Delta struct {
	Table string `msgpack:"t"`
	// Epoch is the epoch of the store in which the versions were assigned.
	Epoch   uint64   `msgpack:"e,omitempty"`
	From    uint64   `msgpack:"f"`
	To      uint64   `msgpack:"o"`
	Records []Record `msgpack:"r"`
	// Complete reports that Records lists every row that exists at To, so that all
	// other rows are deleted. Rows that have not changed after From are listed
	// without their values.
	Complete bool `msgpack:"c,omitempty"`
}

// Replica is a replica of one table.
type Replica struct {
	table string

	mu       sync.Mutex
	records  map[string]Record
	position uint64
	// deletesKnownFrom is the version after which all deletions are known. A
	// listing does not show which rows were deleted before it.
	deletesKnownFrom uint64
}

// New returns an empty replica at version 0.
func New(table string) *Replica {
	return &Replica{table: table, records: map[string]Record{}}
}

// Table returns the name of the table.
func (r *Replica) Table() string { return r.table }

// Position returns the version up to which the replica has all changes.
func (r *Replica) Position() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// ChangesSince returns the changes after a version. The delta is complete if
// deletions after that version may be unknown.
func (r *Replica) ChangesSince(from uint64) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := Delta{Table: r.table, From: from, To: r.position, Complete: from < r.deletesKnownFrom}
	for _, record := range r.records {
		switch {
		case record.Version > from:
			d.Records = append(d.Records, record)
		case d.Complete && !record.Deleted:
			d.Records = append(d.Records, Record{Key: record.Key, Version: record.Version})
		}
	}
	sort.Slice(d.Records, func(i, j int) bool { return d.Records[i].Version < d.Records[j].Version })
	return d
}

// Apply merges a delta and returns the records that changed. A delta that begins
// after the position of the replica would leave a gap; it is not applied, and fits
// is false. The same holds for a complete delta that is older than the replica.
func (r *Replica) Apply(d Delta) (changed []Record, fits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.From > r.position {
		return nil, false
	}
	if d.Complete {
		return r.replace(d.Records, d.To)
	}
	changed = r.merge(d.Records)
	r.position = max(r.position, d.To)
	return changed, true
}

// merge stores the records that are newer than the existing ones. The caller must
// hold mu.
func (r *Replica) merge(records []Record) []Record {
	var changed []Record
	for _, record := range records {
		if old, known := r.records[record.Key]; known && old.Version >= record.Version {
			continue
		}
		r.records[record.Key] = record
		changed = append(changed, record)
	}
	return changed
}

// Replace merges a complete listing of the table at a version. Existing records
// that are missing from the listing and not newer than it become tombstones. A
// listing older than the replica is ignored, and fits is false.
func (r *Replica) Replace(records []Record, version uint64) (changed []Record, fits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replace(records, version)
}

// replace implements Replace. The caller must hold mu.
func (r *Replica) replace(records []Record, version uint64) (changed []Record, fits bool) {
	if version < r.position {
		return nil, false
	}
	changed = r.merge(records)
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		listed[record.Key] = true
	}
	for key, old := range r.records {
		if listed[key] || old.Deleted || old.Version > version {
			continue
		}
		tombstone := Record{Key: key, Version: version, Deleted: true}
		r.records[key] = tombstone
		changed = append(changed, tombstone)
	}
	r.position, r.deletesKnownFrom = version, version
	return changed, true
}

// Rows returns the existing rows in key order.
func (r *Replica) Rows() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := make([]Record, 0, len(r.records))
	for _, record := range r.records {
		if !record.Deleted {
			rows = append(rows, record)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}
