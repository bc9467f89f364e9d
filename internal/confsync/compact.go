package confsync

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/oriolefront/oriolefront/internal/store"
)

// maxDeletesPerTxn bounds the rows that one compaction transaction deletes.
const maxDeletesPerTxn = 100

// compact writes the latest snapshot and deletes the records that the last two
// snapshots replace. Any VM can run it, and every step can be repeated: all VMs
// write the same bytes for the snapshot of a version, and a conditional write of
// the compaction row lets one VM win. Each VM takes part at random, so that about
// one VM of the fleet tries in each poll interval.
func (s *Syncer) compact(ctx context.Context, h storedHead) {
	if rand.IntN(max(1, s.options.HeldSeats())) != 0 {
		return
	}
	st := s.current()
	if st == nil || s.Ready() != nil {
		return
	}
	c := h.compaction
	var err error
	switch {
	case c.DeletedThrough < c.PreviousSnapshot:
		err = s.deleteRecords(ctx, c, h.compactionRevision)
	case st.checkpoint != nil && st.checkpoint.config.Version > c.Snapshot && h.head.Version >= st.checkpoint.config.Version:
		err = s.writeSnapshot(ctx, st.checkpoint, c, h.compactionRevision)
	}
	if err != nil {
		s.options.Log.Warn("configuration compaction failed", "error", err)
	}
}

// writeSnapshot writes a snapshot object, and only then the row that refers to
// it.
func (s *Syncer) writeSnapshot(ctx context.Context, p *checkpoint, c compaction, revision uint64) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version := p.config.Version
	if err := s.options.Objects.Put(call, objectName(version), p.encoded()); err != nil {
		return err
	}
	next := compaction{Snapshot: version, PreviousSnapshot: c.Snapshot, DeletedThrough: c.DeletedThrough}
	_, err := s.commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: keyCompaction, Revision: revision}},
		Ops:        []store.Op{{Key: keyCompaction, Value: encode(next)}},
	})
	if err != nil {
		return err
	}
	s.options.Log.Info("configuration snapshot written", "version", version)
	return nil
}

// deleteRecords deletes the records that the previous snapshot contains, and the
// snapshot before that one. The rows of patch ids are retained, so that a patch
// submitted again gets its verdict at any time.
func (s *Syncer) deleteRecords(ctx context.Context, c compaction, revision uint64) error {
	// The last deletion ended at the version of the snapshot that is now the
	// third newest. Deleting its object twice, or if it is absent, is harmless.
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.options.Objects.Delete(call, objectName(c.DeletedThrough)); err != nil && !errors.Is(err, store.ErrObjectNotFound) {
		return err
	}
	next := c
	var ops []store.Op
	for next.DeletedThrough < c.PreviousSnapshot && len(ops) < maxDeletesPerTxn {
		next.DeletedThrough++
		ops = append(ops, store.Op{Key: patchKey(next.DeletedThrough), Delete: true})
	}
	ops = append(ops, store.Op{Key: keyCompaction, Value: encode(next)})
	_, err := s.commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: keyCompaction, Revision: revision}},
		Ops:        ops,
	})
	return err
}
