package confsync

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/store"
)

// Rows of the table and objects of the object store.
const (
	keyHead       = "config/head"
	keyCompaction = "config/compaction"
	patchPrefix   = "config/patch/"
	idPrefix      = "config/patchid/"
	objectPrefix  = "config/snapshot/"
)

// patchKey pads the version so that keys sort like numbers.
func patchKey(version uint64) string { return fmt.Sprintf("%s%020d", patchPrefix, version) }

func objectName(version uint64) string { return fmt.Sprintf("%s%020d", objectPrefix, version) }

// Head names a version and the hash that proves how it came about.
type Head struct {
	Version uint64 `json:"version" msgpack:"v"`
	Hash    string `json:"hash" msgpack:"h"`
}

// check refuses heads that no chain can have.
func (h Head) check() error {
	raw, err := hex.DecodeString(h.Hash)
	if h.Version == 0 && h.Hash == "" || h.Version > 0 && err == nil && len(raw) == 32 {
		return nil
	}
	return config.Problem{Key: "head", Found: fmt.Sprintf("version %d with hash %q", h.Version, h.Hash), Allowed: "64 hex digits, or version 0 without a hash"}
}

// verdictRow is the lasting verdict of an accepted patch.
type verdictRow struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	Digest  string `json:"digest"`
}

// compaction tells which snapshots exist and which patch rows were deleted.
type compaction struct {
	Snapshot         uint64 `json:"snapshot"`
	PreviousSnapshot uint64 `json:"previous"`
	DeletedThrough   uint64 `json:"deleted"`
}

// decodeRow decodes a row strictly into v, which keeps its value if the row
// does not exist.
func decodeRow(row store.Row, v any) error {
	if row.Revision == 0 {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(row.Value))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return config.Problem{Key: row.Key, Found: err.Error(), Allowed: "a row that this program version writes"}
	}
	return nil
}

// storedHead is what one read of the head tells.
type storedHead struct {
	head               Head
	revision           uint64
	compaction         compaction
	compactionRevision uint64
	extraRows          []store.Row
}

// readHead reads the head, the state of compaction and further rows.
func (s *Syncer) readHead(ctx context.Context, extra ...string) (storedHead, error) {
	var h storedHead
	rows, err := s.get(ctx, append([]string{keyHead, keyCompaction}, extra...)...)
	if err != nil {
		return h, err
	}
	if err := decodeRow(rows[0], &h.head); err != nil {
		return h, err
	}
	if err := h.head.check(); err != nil {
		return h, err
	}
	if err := decodeRow(rows[1], &h.compaction); err != nil {
		return h, err
	}
	h.revision, h.compactionRevision, h.extraRows = rows[0].Revision, rows[1].Revision, rows[2:]
	return h, nil
}

// get reads rows.
func (s *Syncer) get(ctx context.Context, keys ...string) ([]store.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := s.options.Table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	if len(rows) != len(keys) {
		return nil, config.Problem{Key: "table", Found: fmt.Sprintf("%d rows", len(rows)), Allowed: fmt.Sprintf("%d rows, one for each key", len(keys))}
	}
	return rows, nil
}

// commit applies a transaction.
func (s *Syncer) commit(ctx context.Context, t store.Txn) (store.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.options.Table.Commit(ctx, t)
	return store.CommitOutcome(err), err
}

// encode encodes the row types of this package, which always can be encoded.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
