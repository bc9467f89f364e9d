package claim

import (
	"context"
	"errors"
	"time"

	"github.com/oriolefront/oriolefront/internal/store"
)

const (
	// objectTimeout bounds the write of a large response body to the object
	// store.
	objectTimeout = 10 * time.Second
	// expiryBatch bounds the rows that one call of DeleteExpired reads and deletes.
	expiryBatch = 128
	// expiryMargin is added to TTL to allow for clock skew between VMs.
	expiryMargin = time.Minute
)

// storeResponse records a response. Its body goes into the row or, if it is
// large, into the object store; a body that is too large, incomplete or over
// the buffer limit is not stored.
func (e *Executor) storeResponse(w *write, res Response) {
	r := storedResponse{Status: res.Status, Header: res.Header, BodyNotStored: res.BodyNotStored || len(res.Body) > MaxStoredBody}
	size := int64(len(res.Body))
	if !r.BodyNotStored && size > 0 && !e.bufferedBytes.TryAcquire(size) {
		r.BodyNotStored = true
	}
	switch {
	case r.BodyNotStored || size == 0:
		e.recordOutcome(w, done, r, 0)
	case size <= MaxInlineBody:
		r.Body = res.Body
		e.recordOutcome(w, done, r, size)
	default:
		go e.storeAsObject(w, r, res.Body)
	}
}

// storeAsObject writes a body to the object store, and only then the row that
// refers to it.
func (e *Executor) storeAsObject(w *write, r storedResponse, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
	defer cancel()
	name := w.key + "/" + w.row.Nonce
	if err := e.options.Objects.Put(ctx, name, body); err != nil {
		e.options.Log.Warn("response body not stored", "row", w.key, "error", err)
		r.BodyNotStored = true
	} else {
		r.ObjectName = name
	}
	e.recordOutcome(w, done, r, int64(len(body)))
}

// recordOutcome records the outcome of a claimed call in the background and
// releases the buffered bytes once the write ends.
func (e *Executor) recordOutcome(w *write, s state, r storedResponse, buffered int64) {
	outcome := w.outcomeWrite(s, r)
	outcome.onEnd = func() {
		e.bufferedBytes.Release(buffered)
		e.pending.Add(-1)
	}
	e.submit(outcome)
}

// replay returns the stored response of a call that ran before.
func (e *Executor) replay(ctx context.Context, r row) (CallResult, error) {
	a := CallResult{Replayed: true, Response: Response{
		Status: r.Response.Status, Header: r.Response.Header, Body: r.Response.Body, BodyNotStored: r.Response.BodyNotStored,
	}}
	if r.Response.ObjectName == "" {
		return a, nil
	}
	body, err := e.options.Objects.Get(ctx, r.Response.ObjectName)
	if errors.Is(err, store.ErrObjectNotFound) {
		a.BodyNotStored = true
		return a, nil
	}
	if err != nil {
		return CallResult{}, errResponseUnreadable.WithCause(err)
	}
	a.Body = body
	return a, nil
}

// DeleteExpired reads the next batch of rows whose key is greater than after and
// deletes those that have expired. It returns the key to continue after, or ""
// at the end of the table. One VM at a time is enough, but concurrent calls on
// several VMs are safe.
func (e *Executor) DeleteExpired(ctx context.Context, after string) (next string, err error) {
	rows, err := e.options.Table.Scan(ctx, rowPrefix, after, expiryBatch)
	if err != nil {
		return after, err
	}
	var txn store.Txn
	for _, read := range rows {
		if !e.deleteExpiredObject(ctx, read) {
			continue
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: read.Key, Revision: read.Revision})
		txn.Ops = append(txn.Ops, store.Op{Key: read.Key, Delete: true})
	}
	if len(txn.Ops) > 0 {
		if _, err := e.options.Table.Commit(ctx, txn); err != nil {
			return after, err
		}
	}
	if len(rows) < expiryBatch {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}

// deleteExpiredObject deletes the object of an expired row and reports whether
// the row can be deleted. The object is deleted before the row, so that no
// object is orphaned.
func (e *Executor) deleteExpiredObject(ctx context.Context, read store.Row) bool {
	r, err := decodeRow(read.Value)
	if err != nil {
		e.options.Log.Warn("claim row cannot be decoded", "row", read.Key, "error", err)
		return false
	}
	if time.Since(time.UnixMilli(r.ClaimedMS)) < TTL+expiryMargin {
		return false
	}
	if r.Response.ObjectName == "" {
		return true
	}
	if err := e.options.Objects.Delete(ctx, r.Response.ObjectName); err != nil {
		e.options.Log.Warn("expired response body not deleted", "row", read.Key, "error", err)
		return false
	}
	return true
}
