package process

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// When the store is restored from an older copy, it has lost its latest writes, and the
// operator and the targets write them again. Until then this VM goes on with what it knew.
const (
	// restoredZoneDelay is how long a zone keeps its state if its row has changed only
	// because the store was restored.
	restoredZoneDelay = 3 * time.Second
	// restoredTargetDelay is how long a target that had left is not used although the
	// restored store has its row. The store deletes the row of a target that is silent
	// for three heartbeat intervals.
	restoredTargetDelay = 5 * time.Second
	// operatorRewriteTime is how long the operator's writes that the store has lost may
	// be missing.
	operatorRewriteTime = 2 * time.Second
)

// rowKind tells the tables apart in deferredRows.
type rowKind int

const (
	operatorRow rowKind = iota
	targetRow
)

// deferredKey identifies a row.
type deferredKey struct {
	kind rowKind
	key  string
}

// deferredRow is a row that takes effect at due, after delay, unless it is written before.
type deferredRow struct {
	record replica.Record
	delay  time.Duration
	due    time.Time
}

// deferredRows holds rows that do not take effect yet.
type deferredRows map[deferredKey]deferredRow

func (d deferredRows) remove(kind rowKind, key string) { delete(d, deferredKey{kind, key}) }

// restart lets the rows of a kind wait for the whole delay again.
func (d deferredRows) restart(kind rowKind, now time.Time) {
	for key, row := range d {
		if key.kind == kind {
			row.due = now.Add(row.delay)
			d[key] = row
		}
	}
}

// deferRow keeps a row that changed because the store was restored from taking effect for
// some time. The caller must hold mu.
func (v *viewBuilder) deferRow(kind rowKind, r replica.Record, delay time.Duration) {
	v.log.Info("restored row deferred", "key", r.Key, "epoch", r.Epoch, "row_version", r.Version, "deleted", r.Deleted, "for", delay)
	v.deferred[deferredKey{kind, r.Key}] = deferredRow{record: r, delay: delay, due: time.Now().Add(delay)}
}

// applyDeferred applies the deferred rows that are due.
func (v *viewBuilder) applyDeferred() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	applied := false
	for key, row := range v.deferred {
		if now.Before(row.due) {
			continue
		}
		applied = true
		delete(v.deferred, key)
		row.record.Restored = false
		switch key.kind {
		case operatorRow:
			v.operatorRowChanged(row.record)
		case targetRow:
			v.targetRowChanged(row.record, now)
		}
	}
	if applied {
		v.publish()
	}
}

// keepTarget reports whether a target keeps its state although its row has changed, because
// the row has changed only by the return of the store to an older copy. The caller must hold
// mu.
func (v *viewBuilder) keepTarget(r replica.Record, now time.Time) bool {
	known := v.targets[r.Key]
	if r.Deleted {
		return known != nil && v.keepMissingTarget(r, now)
	}
	if known == nil {
		v.deferRow(targetRow, r, restoredTargetDelay)
		return true
	}
	restored, err := v.decoder.Target(r, now)
	if err == nil && later(restored, known) {
		return false
	}
	v.log.Info("restored target row not taken", "target", r.Key, "epoch", r.Epoch, "row_version", r.Version, "draining", known.Draining)
	delete(v.missingSince, r.Key)
	return true
}

// later reports whether a describes a target at a later time than b, as far as this can be
// told: a target does not go back to an earlier start, nor from draining to ready.
func later(a, b *topology.Target) bool {
	return a.Born > b.Born || a.Born == b.Born && a.Draining && !b.Draining
}

// keepMissingTarget keeps a target in use for a while whose row the store has lost. The
// caller must hold mu.
func (v *viewBuilder) keepMissingTarget(r replica.Record, now time.Time) bool {
	if v.targets[r.Key].Draining {
		return false
	}
	v.log.Info("target row missing after the store was restored; keeping the target for now", "target", r.Key, "epoch", r.Epoch, "row_version", r.Version)
	v.missingSince[r.Key] = now
	return true
}

// operatorTableRestored records that the operator table has come from an older copy.
func (v *viewBuilder) operatorTableRestored() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.awaitingOperatorUntil = now.Add(operatorRewriteTime)
	v.deferred.restart(operatorRow, now)
}

// targetsTableRestored records that the targets table has come from an older copy. Targets
// whose rows are missing have the whole time to write them again: they could not while the
// store was away.
func (v *viewBuilder) targetsTableRestored() {
	now := time.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.deferred.restart(targetRow, now)
	for id := range v.missingSince {
		v.missingSince[id] = now
	}
}

// awaitingOperator reports whether writes of the operator may be missing because the store
// was restored a short time ago.
func (v *viewBuilder) awaitingOperator() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return time.Now().Before(v.awaitingOperatorUntil)
}
