package claim

import (
	"context"
	"errors"
	"time"

	"github.com/oriolefront/oriolefront/internal/store"
)

const (
	// objectTimeout bounds the time in which a large answer is put into or
	// read from the object store.
	objectTimeout = 10 * time.Second
	// cleanBatch bounds the rows that one call of Clean reads and deletes.
	cleanBatch = 128
	// cleanMargin is added to TTL for the skew of clocks between VMs.
	cleanMargin = time.Minute
)

// keep records the result of a call: in the row, through the object store, or
// its status only.
func (c *Executor) keep(w *write, res Response) {
	r := result{Status: res.Status, Header: res.Header, NotKept: res.BodyNotStored || len(res.Body) > MaxStoredBody}
	size := int64(len(res.Body))
	if !r.NotKept && size > 0 && !c.held.TryAcquire(size) {
		r.NotKept = true
	}
	switch {
	case r.NotKept || size == 0:
		c.finish(w, done, r, 0)
	case size <= MaxInlineBody:
		r.Body = res.Body
		c.finish(w, done, r, size)
	default:
		go c.keepObject(w, r, res.Body)
	}
}

// keepObject puts a body into the object store before the row names it.
func (c *Executor) keepObject(w *write, r result, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), objectTimeout)
	defer cancel()
	name := w.key + "/" + w.row.Nonce
	if err := c.options.Objects.Put(ctx, name, body); err != nil {
		c.options.Log.Warn("answer not kept", "row", w.key, "error", err)
		r.NotKept = true
	} else {
		r.Object = name
	}
	c.finish(w, done, r, int64(len(body)))
}

// finish records the end of a claimed call in the background. held bytes are
// given back once it is written.
func (c *Executor) finish(w *write, s state, r result, held int64) {
	mark := w.end(s, r)
	mark.onEnd = func() {
		c.held.Release(held)
		c.open.Add(-1)
	}
	c.submit(mark)
}

// repeat returns the kept result of a call that ran before.
func (c *Executor) repeat(ctx context.Context, r row) (CallResult, error) {
	a := CallResult{Replayed: true, Response: Response{
		Status: r.Result.Status, Header: r.Result.Header, Body: r.Result.Body, BodyNotStored: r.Result.NotKept,
	}}
	if r.Result.Object == "" {
		return a, nil
	}
	body, err := c.options.Objects.Get(ctx, r.Result.Object)
	if errors.Is(err, store.ErrObjectNotFound) {
		a.BodyNotStored = true
		return a, nil
	}
	if err != nil {
		return CallResult{}, errResultUnread.WithCause(err)
	}
	a.Body = body
	return a, nil
}

// DeleteExpired deletes expired rows among the next batch of rows whose key is greater
// than after. It returns where to go on, and "" at the end of the table. One
// VM at a time is enough; several do no harm.
func (c *Executor) DeleteExpired(ctx context.Context, after string) (next string, err error) {
	rows, err := c.options.Table.Scan(ctx, rowPrefix, after, cleanBatch)
	if err != nil {
		return after, err
	}
	var txn store.Txn
	for _, read := range rows {
		if !c.cleanObject(ctx, read) {
			continue
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: read.Key, Revision: read.Revision})
		txn.Ops = append(txn.Ops, store.Op{Key: read.Key, Delete: true})
	}
	if len(txn.Ops) > 0 {
		if _, err := c.options.Table.Commit(ctx, txn); err != nil {
			return after, err
		}
	}
	if len(rows) < cleanBatch {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}

// cleanObject reports whether a row has expired and its object is deleted. The
// object goes first, so that none is left without a row.
func (c *Executor) cleanObject(ctx context.Context, read store.Row) bool {
	r, err := decodeRow(read.Value)
	if err != nil {
		c.options.Log.Warn("claim row cannot be read", "row", read.Key, "error", err)
		return false
	}
	if time.Since(time.UnixMilli(r.ClaimedMS)) < TTL+cleanMargin {
		return false
	}
	if r.Result.Object == "" {
		return true
	}
	if err := c.options.Objects.Delete(ctx, r.Result.Object); err != nil {
		c.options.Log.Warn("kept answer not deleted", "row", read.Key, "error", err)
		return false
	}
	return true
}
