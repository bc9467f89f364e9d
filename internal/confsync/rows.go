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

// Keys of rows in the table service and names in the object store.
const (
	keyHead       = "config/head"
	keyCompaction = "config/compaction"
	patchPrefix   = "config/patch/"
	idPrefix      = "config/patchid/"
	objectPrefix  = "config/snapshot/"
)

// patchKey pads the version with zeros, so that keys sort by version.
func patchKey(version uint64) string { return fmt.Sprintf("%s%020d", patchPrefix, version) }

func objectName(version uint64) string { return fmt.Sprintf("%s%020d", objectPrefix, version) }

// Head is a version with its value of the hash chain, which identifies the
// history of patches that led to it.
type Head struct {
	Version uint64 `json:"version" msgpack:"v"`
	Hash    string `json:"hash" msgpack:"h"`
}

// check rejects heads that no hash chain can have.
func (h Head) check() error {
	raw, err := hex.DecodeString(h.Hash)
	if h.Version == 0 && h.Hash == "" || h.Version > 0 && err == nil && len(raw) == 32 {
		return nil
	}
	return config.Problem{Key: "head", Found: fmt.Sprintf("version %d with hash %q", h.Version, h.Hash), Allowed: "64 hex digits, or version 0 without a hash"}
}

// verdictRow is the stored verdict on an accepted patch.
type verdictRow struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	Digest  string `json:"digest"`
}

// compaction records the versions of the last two snapshots, and the version up
// to which patch rows were deleted.
type compaction struct {
	Snapshot         uint64 `json:"snapshot"`
	PreviousSnapshot uint64 `json:"previous"`
	DeletedThrough   uint64 `json:"deleted"`
}

// decodeRow decodes a row into v and rejects unknown fields. If the row does not
// exist, v is left unchanged.
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

// storedHead is the result of readHead.
type storedHead struct {
	head               Head
	revision           uint64
	compaction         compaction
	compactionRevision uint64
	extraRows          []store.Row
}

// readHead reads the head, the compaction state and the rows of extra in one
// call.
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

// get reads one row for each key.
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

// commit sends a transaction to the table service.
func (s *Syncer) commit(ctx context.Context, t store.Txn) (store.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.options.Table.Commit(ctx, t)
	return store.CommitOutcome(err), err
}

// encode encodes the row types of this package. They can always be encoded.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
