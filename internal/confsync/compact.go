package confsync

import (
	"context"
	"errors"
	"math/rand/v2"

	"github.com/oriolefront/oriolefront/internal/store"
)

// maxDeletesPerTxn bounds the rows that one transaction of compaction deletes.
const maxDeletesPerTxn = 100

// compact writes the last snapshot and deletes what the last two snapshots
// replace. Every VM can do it and every step can be repeated: a snapshot of a
// version has the same bytes whoever writes it, and the compaction row makes
// one VM win. VMs take part at random so that about one tries at each poll.
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
		s.options.Log.Warn("compaction of the configuration not complete", "error", err)
	}
}

// writeSnapshot writes the object before the row that refers to it.
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

// deleteRecords deletes patches that the older snapshot contains, and the
// snapshot before it. The rows of
// patch ids stay, so that a repeat gets its verdict at any time.
func (s *Syncer) deleteRecords(ctx context.Context, c compaction, revision uint64) error {
	// Deletion begins where the last one ended, at the snapshot that is now the
	// third; deleting an object again, or one that does not exist, is harmless.
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
