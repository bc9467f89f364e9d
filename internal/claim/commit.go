package claim

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// writeResult is the result of one write of a transaction.
type writeResult int

const (
	written  writeResult = iota
	conflict             // the row has another revision, so nothing was written
	failed               // not written, or the outcome could not be read back
)

// write is one queued change of one row.
type write struct {
	key              string
	expectedRevision uint64 // required revision of the row; 0 requires it to be absent
	row              row
	value            []byte
	deadline         time.Time

	// The fields below are guarded by Executor.mu until finished is closed.
	hasCaller  bool // a caller waits for this claim; false for background work
	unresolved bool // an earlier transaction with this write may have taken effect
	finished   chan struct{}
	result     writeResult
	revision   uint64 // set if the result is written
	current    store.Row
	onEnd      func()
}

func newWrite(key string, expectedRevision uint64, r row) *write {
	return &write{key: key, expectedRevision: expectedRevision, row: r, value: r.encode(), finished: make(chan struct{})}
}

// appliedIn reports whether a row that was read holds this write.
func (w *write) appliedIn(read store.Row) bool {
	if read.Revision == 0 {
		return false
	}
	r, err := decodeRow(read.Value)
	return err == nil && r.Nonce == w.row.Nonce && r.State == w.row.State
}

// claimWasLost reports whether the store has lost the claim to which this outcome
// belongs, because it came back from an older copy. The outcome is then inserted
// like a claim, so that a repeat finds it.
func (w *write) claimWasLost(read store.Row) bool {
	return w.row.State != running && w.expectedRevision != 0 && read.Revision == 0
}

// submit queues a write. It returns false if the queue is too long for another
// claim.
func (e *Executor) submit(w *write) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.hasCaller && len(e.queue) >= maxQueued {
		return false
	}
	e.queue = append(e.queue, w)
	e.notify()
	return true
}

func (e *Executor) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Run commits claims and outcomes until ctx ends. It uses group commit: one
// transaction is in flight at a time, and the next one takes the queued writes.
func (e *Executor) Run(ctx context.Context) {
	defer close(e.stopped)
	for {
		batch := e.nextBatch(ctx)
		if batch == nil {
			return
		}
		started := time.Now()
		requeued := e.commit(ctx, batch)
		pause := e.options.MinCommitInterval - time.Since(started)
		if requeued {
			// Writes that are sent again must not overload a failing store.
			pause = max(pause, rand.N(resendDelayMax))
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// nextBatch waits for work. While the store fails, background work waits for
// the end of the back-off, but a claim is sent immediately so that its caller
// learns of the failure early.
func (e *Executor) nextBatch(ctx context.Context) []*write {
	for {
		pause := time.Until(e.retryAt)
		if batch := e.takeBatch(pause <= 0); len(batch) > 0 {
			return batch
		}
		if pause <= 0 {
			pause = time.Hour // the queue is empty; submit wakes this loop
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-e.wake:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// takeBatch removes a batch of bounded size from the queue. It holds at most one
// write of each row, because two would need contradictory conditions.
func (e *Executor) takeBatch(background bool) []*write {
	e.mu.Lock()
	defer e.mu.Unlock()
	var batch, rest []*write
	keys := map[string]bool{}
	size := 0
	for _, w := range e.queue {
		fits := len(batch) < maxBatchRows && (len(batch) == 0 || size+len(w.value) <= maxBatchBytes)
		if !fits || keys[w.key] || !background && !w.hasCaller {
			rest = append(rest, w)
			continue
		}
		keys[w.key] = true
		size += len(w.value)
		batch = append(batch, w)
	}
	e.queue = rest
	return batch
}

// commit sends one transaction and completes or requeues each of its writes. It
// reports whether writes with an unknown outcome were requeued.
func (e *Executor) commit(ctx context.Context, batch []*write) (requeued bool) {
	var txn store.Txn
	for _, w := range batch {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: w.key, Revision: w.expectedRevision})
		txn.Ops = append(txn.Ops, store.Op{Key: w.key, Value: w.value})
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	revision, err := e.options.Table.Commit(callCtx, txn)
	cancel()
	e.stats.transactions.Add(1)
	switch {
	case err == nil:
		e.retryAt, e.backoff = time.Time{}, 0
		for _, w := range batch {
			e.complete(w, written, store.Row{Revision: revision})
		}
	case errors.Is(err, store.ErrUnavailable):
		e.backOff()
		e.failBatch(batch, false)
	default:
		return e.readBack(ctx, batch, !errors.Is(err, store.ErrConflict))
	}
	return false
}

// readBack reads the rows of a failed transaction and determines by nonce which
// of its writes were applied. It reports whether writes with an unknown outcome
// were requeued.
func (e *Executor) readBack(ctx context.Context, batch []*write, unresolved bool) (requeued bool) {
	keys := make([]string, len(batch))
	for i, w := range batch {
		keys[i] = w.key
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	rows, err := e.options.Table.Get(callCtx, keys...)
	cancel()
	e.stats.readBacks.Add(1)
	if err != nil {
		e.backOff()
		e.failBatch(batch, unresolved)
		return false
	}
	var unsettled []*write
	for i, w := range batch {
		switch {
		case w.appliedIn(rows[i]):
			e.complete(w, written, rows[i])
		case w.claimWasLost(rows[i]):
			w.expectedRevision = 0
			unsettled = append(unsettled, w)
		case rows[i].Revision != w.expectedRevision:
			e.complete(w, conflict, rows[i])
		default:
			unsettled = append(unsettled, w)
		}
	}
	e.requeue(unsettled, unresolved)
	return unresolved && len(unsettled) > 0
}

// backOff delays background work after a failure of the store.
func (e *Executor) backOff() {
	e.backoff = min(max(2*e.backoff, backoffMin), backoffMax)
	e.retryAt = time.Now().Add(e.backoff/2 + rand.N(e.backoff/2))
}

// requeue returns writes to the head of the queue. A write may thus be sent
// twice; both copies require the same revision, so only one can take effect.
func (e *Executor) requeue(writes []*write, unresolved bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var remaining []*write
	for _, w := range writes {
		w.unresolved = w.unresolved || unresolved
		if !w.hasCaller && time.Now().After(w.deadline) {
			e.completeLocked(w, failed)
			continue
		}
		remaining = append(remaining, w)
	}
	e.queue = append(remaining, e.queue...)
	e.notify()
}

// failBatch fails the claims of a transaction that could not be committed or
// read back. A claim that may have taken effect remains queued as background
// work, so that its row is marked not_run later.
func (e *Executor) failBatch(batch []*write, unresolved bool) {
	e.mu.Lock()
	var background []*write
	for _, w := range batch {
		w.unresolved = w.unresolved || unresolved
		if w.hasCaller {
			e.abandonLocked(w)
			w.result = failed
			close(w.finished)
		}
		if w.row.State != running || w.unresolved {
			background = append(background, w)
		}
	}
	e.mu.Unlock()
	e.requeue(background, false)
}

// abandon cancels a claim whose caller no longer waits, and reports false if the
// claim had finished before. The row is marked not_run if the write took effect
// or does so later.
func (e *Executor) abandon(w *write) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-w.finished:
		return false
	default:
	}
	e.abandonLocked(w)
	if !w.unresolved {
		// If the write was never sent, there is no row to mark.
		e.queue = slices.DeleteFunc(e.queue, func(q *write) bool { return q == w })
	}
	return true
}

func (e *Executor) abandonLocked(w *write) {
	w.hasCaller = false
	w.deadline = time.Now().Add(backgroundTimeout)
}

// complete finishes a write. The row of an abandoned claim is marked not_run,
// because no call was sent for it.
func (e *Executor) complete(w *write, result writeResult, read store.Row) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.revision, w.current = read.Revision, read
	abandoned := w.row.State == running && !w.hasCaller
	e.completeLocked(w, result)
	if abandoned && result == written {
		e.queue = append(e.queue, w.outcomeWrite(notRun, storedResponse{}))
		e.notify()
	}
}

func (e *Executor) completeLocked(w *write, result writeResult) {
	select {
	case <-w.finished:
		return
	default:
	}
	w.result = result
	close(w.finished)
	if w.onEnd != nil {
		w.onEnd()
	}
}

// outcomeWrite returns the write that records the outcome of the call in a
// claimed row.
func (w *write) outcomeWrite(s state, r storedResponse) *write {
	next := w.row
	next.State, next.Response = s, r
	outcome := newWrite(w.key, w.revision, next)
	outcome.deadline = time.Now().Add(backgroundTimeout)
	return outcome
}
