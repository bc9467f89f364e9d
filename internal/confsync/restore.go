package confsync

import (
	"context"
	"fmt"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/store"
)

// Limits of one transaction that writes lost versions back.
const (
	maxRestoredRecords = 32
	maxRestoredBytes   = 1 << 20
)

// restoreLostVersions writes accepted versions back that the store has lost,
// because it came back from an older copy. known is the state of this VM from
// before h was read: every version in it had been committed by then, so a lower
// head proves the loss. Any VM can do this; the condition on the head lets one
// win. More versions than fit in one transaction follow with the next call.
func (s *Syncer) restoreLostVersions(ctx context.Context, known *state, h storedHead) error {
	if known == nil || known.config.Version <= h.head.Version {
		return nil
	}
	records, err := known.recordsSince(h.head)
	if err != nil {
		return err
	}
	txn, restored, err := restoreTxn(h, records)
	if err != nil {
		return err
	}
	if _, err := s.commit(ctx, txn); err != nil {
		return err
	}
	s.options.Log.Warn("configuration versions lost by the table service were written back", "from", h.head.Version+1, "to", restored.Version)
	return nil
}

// recordsSince returns the records that follow a head of this state's own history.
func (st *state) recordsSince(h Head) ([][]byte, error) {
	records, ok := st.recordsAfter(h.Version, st.config.Version)
	if !ok {
		return nil, errRecordsMissing
	}
	return records, st.checkHistory(h)
}

// checkHistory returns an error if a head of the store is of a version that this
// state includes and has another hash.
func (st *state) checkHistory(h Head) error {
	hash, ok := st.hashAt(h.Version)
	if !ok || hash == h.Hash {
		return nil
	}
	return config.Problem{Key: "hash of version " + fmt.Sprint(h.Version), Found: hash, Allowed: h.Hash + " (table service)"}
}

// hashAt returns the hash of a version that this state includes, or false if the
// records that lead to it are not held.
func (st *state) hashAt(version uint64) (string, bool) {
	if version == st.config.Version {
		return st.config.Hash, true
	}
	if version > st.config.Version || version+1 < st.oldestRecord() {
		return "", false
	}
	hash := st.baseHash
	for _, record := range st.records[:version+1-st.oldestRecord()] {
		hash = config.ChainHash(hash, record)
	}
	return hash, true
}

// restoreTxn returns the transaction that writes the first of the records, and the
// head that it leads to. Its conditions are those under which the patches were
// accepted, and that no other patch has taken their versions.
func restoreTxn(h storedHead, records [][]byte) (store.Txn, Head, error) {
	head := h.head
	txn := store.Txn{Conditions: []store.Condition{{Key: keyHead, Revision: h.revision}}}
	size := 0
	for i, record := range records {
		size += len(record)
		if i == maxRestoredRecords || i > 0 && size > maxRestoredBytes {
			break
		}
		r, p, err := config.DecodeRecord(record)
		if err != nil {
			return txn, head, err
		}
		digest, err := p.Digest()
		if err != nil {
			return txn, head, err
		}
		head = Head{Version: r.Version, Hash: config.ChainHash(head.Hash, record)}
		verdict := verdictRow{Version: head.Version, Hash: head.Hash, Digest: digest}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: patchKey(r.Version)}, store.Condition{Key: idPrefix + p.ID})
		txn.Ops = append(txn.Ops, store.Op{Key: patchKey(r.Version), Value: record}, store.Op{Key: idPrefix + p.ID, Value: encode(verdict)})
	}
	txn.Ops = append(txn.Ops, store.Op{Key: keyHead, Value: encode(head)})
	return txn, head, nil
}
