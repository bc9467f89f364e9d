// Package replica implements in-memory replicas of tables of the platform's store,
// which are synchronized from the store or from replicas of other VMs. Each record
// carries the store's version of its last change, so replicas can be merged in any
// order and never revert to older versions.
//
// When the store is restored from an older copy of its rows, it begins a new epoch and
// assigns versions again that it had assigned before. Versions of different epochs are
// not comparable: a replica moves to a later epoch with a complete listing only, and
// never back.
package replica

import (
	"bytes"
	"cmp"
	"slices"
	"sort"
	"sync"
)

// Position is a point in the history of the store.
type Position struct {
	Epoch   uint64
	Version uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, q.Epoch), cmp.Compare(p.Version, q.Version))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Record is a row, or the tombstone of a deleted row.
type Record struct {
	Key     string `msgpack:"k"`
	Value   []byte `msgpack:"v"`
	Version uint64 `msgpack:"n"`
	Deleted bool   `msgpack:"r,omitempty"`
	// Epoch is set in the records that Apply and Replace return.
	Epoch uint64 `msgpack:"-"`
	// Restored is set in the records that Apply and Replace return if the row has
	// changed because the store lost a later write of it, and is not known to have been
	// written since.
	Restored bool `msgpack:"-"`
	// Presumed marks, inside a replica, a tombstone of a row that the first listing of an
	// epoch lacks: the store may have lost the row, or it was deleted. The tombstone has the
	// version of the listing.
	Presumed bool `msgpack:"-"`
}

// Delta is a set of changes of one table. It advances a replica that has all
// changes up to version From to one that has all changes up to To.
type Delta struct {
	Table string `msgpack:"t"`
	// Epoch is the epoch of the store in which the versions were assigned.
	Epoch uint64 `msgpack:"e,omitempty"`
	// Base is the lowest version of the store that is known of the epoch, or 0: rows
	// with later versions were written in this epoch, the others may come from the
	// copy from which the store was restored.
	Base    uint64   `msgpack:"b,omitempty"`
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
	position Position
	// base is the lowest version of the store that is known of the epoch, see Delta.
	base uint64
	// restored holds the keys of the rows that were reported as restored in the epoch and
	// are not known to have been written since.
	restored map[string]bool
	// deletesKnownFrom is the version after which all deletions are known. A
	// listing does not show which rows were deleted before it.
	deletesKnownFrom uint64
}

// New returns an empty replica at position 0.
func New(table string) *Replica {
	return &Replica{table: table, records: map[string]Record{}}
}

// Table returns the name of the table.
func (r *Replica) Table() string { return r.table }

// Position returns the position up to which the replica has all changes.
func (r *Replica) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// Base returns the lowest version of the store that is known of the replica's epoch.
func (r *Replica) Base() uint64 {
	_, base := r.PositionAndBase()
	return base
}

// PositionAndBase returns Position and Base of the same moment, so that the base belongs to
// the position's epoch.
func (r *Replica) PositionAndBase() (Position, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position, r.base
}

// ChangesSince returns the changes after a position. The delta is complete if
// deletions after that position may be unknown, or if it belongs to another epoch. A replica
// that moves on to this epoch must find out itself which of its rows the store has lost, so
// it is not told presumed deletions.
func (r *Replica) ChangesSince(from Position) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := Delta{Table: r.table, Epoch: r.position.Epoch, Base: r.base, From: from.Version, To: r.position.Version, Complete: from.Version < r.deletesKnownFrom}
	if from.Epoch != r.position.Epoch {
		d.From, d.Complete = 0, true
	}
	for _, record := range r.records {
		switch {
		case record.Presumed && from.Epoch != r.position.Epoch:
		case record.Version > d.From:
			d.Records = append(d.Records, record)
		case d.Complete && !record.Deleted:
			d.Records = append(d.Records, Record{Key: record.Key, Version: record.Version})
		}
	}
	sort.Slice(d.Records, func(i, j int) bool { return d.Records[i].Version < d.Records[j].Version })
	return d
}

// MaxDeletions bounds the deletions that DeletionsUntil returns. The planned fleet has 12,000
// targets in several data centres, so that the loss of a whole one fits.
const MaxDeletions = 8192

// DeletionsUntil returns the latest deletions up to a position, for a replica that was listed
// there: a listing does not show which rows were deleted before it. ok is false if this
// replica has not reached the position in its epoch. Presumed deletions are omitted.
func (r *Replica) DeletionsUntil(to Position) (d Delta, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.position.Epoch != to.Epoch || r.position.Before(to) {
		return Delta{}, false
	}
	d = Delta{Table: r.table, Epoch: to.Epoch, To: to.Version}
	for _, record := range r.records {
		if record.Deleted && !record.Presumed && record.Version <= to.Version {
			d.Records = append(d.Records, Record{Key: record.Key, Version: record.Version, Deleted: true})
		}
	}
	slices.SortFunc(d.Records, func(a, b Record) int { return cmp.Compare(b.Version, a.Version) })
	d.Records = d.Records[:min(len(d.Records), MaxDeletions)]
	return d, true
}

// LearnDeletions adds the deletions that DeletionsUntil returned, of rows of which the replica
// knows nothing, and returns their number. They change no row: the replica already has all rows
// that exist at its position. They matter when the replica enters a later epoch, in which a
// row shown again is marked as restored.
func (r *Replica) LearnDeletions(d Delta) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Epoch != r.position.Epoch || d.To > r.position.Version {
		return 0
	}
	learned := 0
	for _, record := range d.Records {
		if _, known := r.records[record.Key]; known || !record.Deleted || record.Version > d.To {
			continue
		}
		r.records[record.Key] = Record{Key: record.Key, Version: record.Version, Deleted: true}
		learned++
	}
	return learned
}

// Apply merges a delta and returns the records that changed. A delta that begins
// after the position of the replica would leave a gap; it is not applied, and fits
// is false. The same holds for a complete delta that is older than the replica, and for
// a delta of another epoch, unless it is a later one and the delta holds all rows.
func (r *Replica) Apply(d Delta) (changed []Record, fits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Epoch != r.position.Epoch {
		if !d.Complete || d.From != 0 {
			return nil, false
		}
		return r.replace(d.Records, Position{Epoch: d.Epoch, Version: d.To}, d.Base)
	}
	if d.From > r.position.Version {
		return nil, false
	}
	if d.Complete {
		return r.replace(d.Records, Position{Epoch: d.Epoch, Version: d.To}, d.Base)
	}
	changed = r.lowerBase(d.Base)
	changed = append(changed, r.merge(d.Records)...)
	r.position.Version = max(r.position.Version, d.To)
	return changed, true
}

// ObserveBase records that the store was at version base in an epoch, and returns the
// rows that are thereby known to have been written in it.
func (r *Replica) ObserveBase(epoch, base uint64) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch != r.position.Epoch {
		return nil
	}
	return r.lowerBase(base)
}

// lowerBase implements ObserveBase for the replica's epoch. A base of 0 is unknown. The
// caller must hold mu.
func (r *Replica) lowerBase(base uint64) []Record {
	if base == 0 || base >= r.base {
		return nil
	}
	var written []Record
	for _, record := range r.records {
		if record.Version > base && r.restored[record.Key] {
			delete(r.restored, record.Key)
			written = append(written, r.annotate(record, false))
		}
	}
	r.base = base
	return written
}

// annotate returns a record as it is handed to consumers. The caller must hold mu.
func (r *Replica) annotate(record Record, restored bool) Record {
	record.Epoch, record.Restored, record.Presumed = r.position.Epoch, restored, false
	return record
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
		delete(r.restored, record.Key)
		changed = append(changed, r.annotate(record, false))
	}
	return changed
}

// Replace merges a complete listing of the table at a position. Existing records
// that are missing from the listing and not newer than it become tombstones. A
// listing older than the replica is ignored, and fits is false.
func (r *Replica) Replace(records []Record, to Position) (changed []Record, fits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replace(records, to, to.Version)
}

// replace implements Replace. The caller must hold mu.
func (r *Replica) replace(records []Record, to Position, base uint64) (changed []Record, fits bool) {
	if to.Before(r.position) {
		return nil, false
	}
	if to.Epoch != r.position.Epoch {
		return r.enterEpoch(records, to, base), true
	}
	changed = r.lowerBase(base)
	changed = append(changed, r.merge(records)...)
	listed := keysOf(records)
	for key, old := range r.records {
		if listed[key] || old.Deleted || old.Version > to.Version {
			continue
		}
		tombstone := Record{Key: key, Version: to.Version, Deleted: true}
		r.records[key] = tombstone
		delete(r.restored, key)
		changed = append(changed, r.annotate(tombstone, false))
	}
	r.position, r.deletesKnownFrom = to, to.Version
	return changed, true
}

// enterEpoch replaces all records by a listing of a later epoch. It returns the rows
// that differ from those of the epoch before. A row of which a later version was known
// is marked as restored, and so is the deletion of a row that the listing lacks. The
// caller must hold mu.
func (r *Replica) enterEpoch(records []Record, to Position, base uint64) []Record {
	known := r.records
	r.records, r.restored = make(map[string]Record, len(records)), map[string]bool{}
	r.position, r.base, r.deletesKnownFrom = to, cmp.Or(base, to.Version), to.Version
	var changed []Record
	for _, record := range records {
		r.records[record.Key] = record
		old, ok := known[record.Key]
		if ok && !old.Deleted && old.Version == record.Version && bytes.Equal(old.Value, record.Value) {
			continue
		}
		restored := ok && old.Version > record.Version && record.Version <= r.base
		if restored && !record.Deleted {
			r.restored[record.Key] = true
		}
		changed = append(changed, r.annotate(record, restored))
	}
	listed := keysOf(records)
	for key, old := range known {
		if listed[key] || old.Deleted {
			continue
		}
		tombstone := Record{Key: key, Version: to.Version, Deleted: true, Presumed: true}
		r.records[key] = tombstone
		changed = append(changed, r.annotate(tombstone, true))
	}
	return changed
}

func keysOf(records []Record) map[string]bool {
	keys := make(map[string]bool, len(records))
	for _, record := range records {
		keys[record.Key] = true
	}
	return keys
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
