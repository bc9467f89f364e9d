package confsync

import (
	"context"
	"fmt"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/store"
)

// fetchFromStore reads the records after a version from the table. If they were
// compacted, it reads the last snapshot and the records after that.
func (s *Syncer) fetchFromStore(ctx context.Context, after uint64, target Head, c compaction) (bundle, error) {
	if after >= c.DeletedThrough {
		records, err := s.scanRecords(ctx, after, target.Version)
		if err == nil {
			return bundle{Records: records}, nil
		}
		if c.Snapshot <= after || c.Snapshot > target.Version {
			return bundle{}, err
		}
	}
	if c.Snapshot > target.Version {
		return bundle{}, errRecordsMissing
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := s.options.Objects.Get(ctx, objectName(c.Snapshot))
	if err != nil {
		return bundle{}, fmt.Errorf("snapshot %d: %w", c.Snapshot, err)
	}
	records, err := s.scanRecords(ctx, c.Snapshot, target.Version)
	return bundle{Snapshot: snapshot, Records: records}, err
}

// scanRecords reads the records of the versions after one version up to another.
func (s *Syncer) scanRecords(ctx context.Context, after, upTo uint64) ([][]byte, error) {
	var records [][]byte
	for after < upTo {
		limit := int(min(scanLimit, upTo-after))
		rows, err := s.scan(ctx, after, limit)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return nil, errRecordsMissing
		}
		for _, row := range rows {
			after++
			if row.Key != patchKey(after) {
				return nil, errRecordsMissing
			}
			records = append(records, row.Value)
		}
	}
	return records, nil
}

func (s *Syncer) scan(ctx context.Context, after uint64, limit int) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.options.Table.Scan(ctx, patchPrefix, patchKey(after), limit)
}

// HistoryEntry is an accepted patch with its version.
type HistoryEntry struct {
	Version        uint64       `json:"version"`
	AcceptedMillis int64        `json:"accepted_unix_ms"`
	Patch          config.Patch `json:"patch"`
}

// History returns accepted patches after a version, at most scanLimit of them.
// Patches before the last two snapshots have been compacted.
func (s *Syncer) History(ctx context.Context, after uint64) ([]HistoryEntry, error) {
	rows, err := s.scan(ctx, after, scanLimit)
	if err != nil {
		return nil, apierror.New(apierror.KindUnavailable, apierror.NotRun, "the history cannot be read: "+err.Error(), "ask again later").WithCause(err)
	}
	entries := make([]HistoryEntry, 0, len(rows))
	for _, row := range rows {
		r, p, err := config.DecodeRecord(row.Value)
		if err != nil {
			return nil, err
		}
		entries = append(entries, HistoryEntry{Version: r.Version, AcceptedMillis: r.AcceptedMillis, Patch: p})
	}
	return entries, nil
}
