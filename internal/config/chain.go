package config

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"time"
)

// SnapshotInterval is the number of versions between snapshots. The record of a
// version with a snapshot carries a digest of the whole configuration, so that
// the hash chain also authenticates the snapshot.
const SnapshotInterval = 100

// Record is an accepted patch as stored. The hash chain covers the stored bytes,
// including fields that only a newer program version knows.
type Record struct {
	Version uint64 `json:"version"`
	// AcceptedMillis is the Unix time of acceptance in milliseconds.
	AcceptedMillis int64 `json:"accepted_unix_ms"`
	// StateDigest is the digest of all objects. It is set at versions with a
	// snapshot.
	StateDigest string          `json:"state,omitempty"`
	Patch       json.RawMessage `json:"patch"`
}

// Empty returns version 0, before the first patch, with nothing declared.
func Empty() *Config {
	c := &Config{docs: map[string]json.RawMessage{}}
	c.ApplyDefaults()
	return c
}

// ChainHash returns the hash of a version, given the hash of the previous version
// and the stored bytes of the record.
func ChainHash(previous string, record []byte) string {
	sum := sha256.Sum256(append([]byte(previous+"\n"), record...))
	return hex.EncodeToString(sum[:])
}

// DecodeRecord decodes a stored record and its patch. It allows unknown fields,
// because a newer program version may have accepted the patch.
func DecodeRecord(data []byte) (Record, Patch, error) {
	var r Record
	var p Patch
	if err := json.Unmarshal(data, &r); err != nil {
		return r, p, Problem{Key: "(record)", Found: err.Error(), Allowed: "a record of an accepted patch"}
	}
	if err := json.Unmarshal(r.Patch, &p); err != nil {
		return r, p, Problem{Key: "patch", Found: err.Error(), Allowed: "a patch"}
	}
	return r, p, nil
}

// Accept validates a submitted patch against base and returns the record to store
// and the resulting configuration.
func Accept(base *Config, p Patch, now time.Time) ([]byte, *Config, error) {
	next, err := Apply(base, p)
	if err != nil {
		return nil, nil, err
	}
	encoded, err := p.Encode()
	if err != nil {
		return nil, nil, err
	}
	r := Record{Version: base.Version + 1, AcceptedMillis: now.UnixMilli(), Patch: encoded}
	if r.Version%SnapshotInterval == 0 {
		r.StateDigest = next.digest()
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil, nil, err
	}
	next.Version = r.Version
	next.Hash = ChainHash(base.Hash, data)
	return data, next, nil
}

// Replay applies an accepted record. It does not validate the result: validation
// rules may differ between program versions, and every VM must apply what was
// accepted. Unknown fields and kinds are preserved.
func Replay(base *Config, data []byte) (*Config, error) {
	r, p, err := DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	if r.Version != base.Version+1 || p.BaseVersion != base.Version {
		return nil, Problem{Key: "version", Found: fmt.Sprintf("%d against base %d", r.Version, p.BaseVersion), Allowed: fmt.Sprintf("%d against base %d", base.Version+1, base.Version)}
	}
	next, err := applyOperations(base, p.Operations)
	if err != nil {
		return nil, err
	}
	if r.StateDigest != "" && r.StateDigest != next.digest() {
		return nil, Problem{Key: "state", Found: next.digest(), Allowed: r.StateDigest}
	}
	next.Version = r.Version
	next.Hash = ChainHash(base.Hash, data)
	return next, nil
}

// digest returns a hash of all documents in the order of their keys.
func (c *Config) digest() string {
	h := sha256.New()
	docs := c.documents()
	for _, key := range sortedKeys(docs) {
		for _, part := range [][]byte{[]byte(key), docs[key]} {
			h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
			h.Write(part)
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Document is a whole configuration in JSON, as served to operators.
type Document struct {
	Version uint64                     `json:"version"`
	Hash    string                     `json:"hash"`
	Objects map[string]json.RawMessage `json:"objects"`
}

// Document returns c with all declared fields, including unknown ones.
func (c *Config) Document() Document {
	return Document{Version: c.Version, Hash: c.Hash, Objects: c.documents()}
}

// Config returns the configuration that d represents. Unknown fields are
// preserved.
func (d Document) Config() (*Config, error) {
	operations := make([]Operation, 0, len(d.Objects))
	for _, key := range sortedKeys(d.Objects) {
		operations = append(operations, Operation{Action: Put, Key: key, Value: d.Objects[key]})
	}
	c, err := applyOperations(Empty(), operations)
	if err != nil {
		return nil, err
	}
	c.Version, c.Hash = d.Version, d.Hash
	return c, nil
}

// Snapshot is a configuration with the data that authenticates it: its own record
// and the hash of the previous version.
type Snapshot struct {
	PreviousHash string                     `json:"previous"`
	Record       []byte                     `json:"record"`
	Objects      map[string]json.RawMessage `json:"objects"`
}

// NewSnapshot returns the snapshot of c. Its version must be a multiple of
// SnapshotInterval.
func NewSnapshot(c *Config, previous string, record []byte) Snapshot {
	return Snapshot{PreviousHash: previous, Record: record, Objects: maps.Clone(c.documents())}
}

// DecodeSnapshot decodes a snapshot and verifies its objects against its record.
// The caller must compare the hash of the result with a trusted one.
func DecodeSnapshot(data []byte) (Snapshot, *Config, error) {
	var s Snapshot
	data, err := canonical(data)
	if err != nil {
		return s, nil, Problem{Key: "(snapshot)", Found: err.Error(), Allowed: "one JSON object without repeated keys"}
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return s, nil, Problem{Key: "(snapshot)", Found: err.Error(), Allowed: "a snapshot"}
	}
	r, _, err := DecodeRecord(s.Record)
	if err != nil {
		return s, nil, err
	}
	c, err := Document{Version: r.Version, Hash: ChainHash(s.PreviousHash, s.Record), Objects: s.Objects}.Config()
	if err != nil {
		return s, nil, err
	}
	if r.StateDigest == "" || r.StateDigest != c.digest() {
		return s, nil, Problem{Key: "state", Found: c.digest(), Allowed: r.StateDigest}
	}
	return s, c, nil
}
