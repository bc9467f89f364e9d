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

// writeResult is what became of one write of a transaction.
type writeResult int

const (
	written  writeResult = iota
	conflict             // the row has another revision; nothing was written
	failed               // nothing was written, or it cannot be read whether it was
)

// write is one change of one row that waits for a transaction.
type write struct {
	key              string
	expectedRevision uint64 // the revision that the row must have; 0: absent
	row              row
	value            []byte
	deadline         time.Time

	// The fields below are guarded by Claims.mu until finished is closed.
	hasCaller  bool // a caller waits for a claim; false: background work
	unresolved bool // an earlier transaction with it may have taken effect
	finished   chan struct{}
	result     writeResult
	revision   uint64 // with written
	current    store.Row
	onEnd      func()
}

func newWrite(key string, condition uint64, r row) *write {
	return &write{key: key, expectedRevision: condition, row: r, value: r.encode(), finished: make(chan struct{})}
}

// appliedIn reports whether the row as read holds this write.
func (w *write) appliedIn(read store.Row) bool {
	if read.Revision == 0 {
		return false
	}
	r, err := decodeRow(read.Value)
	return err == nil && r.Nonce == w.row.Nonce && r.State == w.row.State
}

// submit queues a write; it reports false when the queue is full.
func (c *Executor) submit(w *write) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.hasCaller && len(c.queue) >= maxQueued {
		return false
	}
	c.queue = append(c.queue, w)
	c.notify()
	return true
}

func (c *Executor) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run commits claims and results until ctx ends. One transaction is in flight
// at a time; the next one takes all that waits.
func (c *Executor) Run(ctx context.Context) {
	defer close(c.stopped)
	for {
		batch := c.nextBatch(ctx)
		if batch == nil {
			return
		}
		started := time.Now()
		again := c.commit(ctx, batch)
		pause := c.options.MinCommitInterval - time.Since(started)
		if again {
			// Claims that are sent again must not occupy a failing store.
			pause = max(pause, rand.N(resendDelayMax))
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// nextBatch waits for work. While the store fails, background work waits for
// the end of the pause, but a claim is tried at once so that its caller hears
// of the refusal.
func (c *Executor) nextBatch(ctx context.Context) []*write {
	for {
		pause := time.Until(c.retryAt)
		if batch := c.takeBatch(pause <= 0); len(batch) > 0 {
			return batch
		}
		if pause <= 0 {
			pause = time.Hour // nothing waits; only a wake-up brings work
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-c.wake:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil {
			return nil
		}
	}
}

// takeBatch removes a batch from the queue: at most one write of a row, so that no
// transaction contradicts itself, and of bounded size.
func (c *Executor) takeBatch(background bool) []*write {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*write
	keys := map[string]bool{}
	size := 0
	for _, w := range c.queue {
		fits := len(batch) < maxBatchRows && (len(batch) == 0 || size+len(w.value) <= maxBatchBytes)
		if !fits || keys[w.key] || !background && !w.hasCaller {
			rest = append(rest, w)
			continue
		}
		keys[w.key] = true
		size += len(w.value)
		batch = append(batch, w)
	}
	c.queue = rest
	return batch
}

// commit sends one transaction and settles each of its writes. It reports
// whether writes in doubt were queued again.
func (c *Executor) commit(ctx context.Context, batch []*write) (again bool) {
	var txn store.Txn
	for _, w := range batch {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: w.key, Revision: w.expectedRevision})
		txn.Ops = append(txn.Ops, store.Op{Key: w.key, Value: w.value})
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	revision, err := c.options.Table.Commit(callCtx, txn)
	cancel()
	c.stats.transactions.Add(1)
	switch {
	case err == nil:
		c.retryAt, c.backoff = time.Time{}, 0
		for _, w := range batch {
			c.complete(w, written, store.Row{Revision: revision})
		}
	case errors.Is(err, store.ErrUnavailable):
		c.backOff()
		c.failBatch(batch, false)
	default:
		return c.readBack(ctx, batch, !errors.Is(err, store.ErrConflict))
	}
	return false
}

// readBack finds out by nonce which writes of a failed transaction hold. It
// reports whether writes in doubt were queued again.
func (c *Executor) readBack(ctx context.Context, batch []*write, doubtful bool) (inDoubt bool) {
	keys := make([]string, len(batch))
	for i, w := range batch {
		keys[i] = w.key
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	rows, err := c.options.Table.Get(callCtx, keys...)
	cancel()
	c.stats.readBacks.Add(1)
	if err != nil {
		c.backOff()
		c.failBatch(batch, doubtful)
		return false
	}
	var again []*write
	for i, w := range batch {
		switch {
		case w.appliedIn(rows[i]):
			c.complete(w, written, rows[i])
		case rows[i].Revision != w.expectedRevision:
			c.complete(w, conflict, rows[i])
		default:
			again = append(again, w)
		}
	}
	c.requeue(again, doubtful)
	return doubtful && len(again) > 0
}

// backOff pauses background work after a failure of the store.
func (c *Executor) backOff() {
	c.backoff = min(max(2*c.backoff, backoffMin), backoffMax)
	c.retryAt = time.Now().Add(c.backoff/2 + rand.N(c.backoff/2))
}

// requeue queues writes again, ahead of newer ones. The same write may be sent
// twice: both copies require the same revision, so only one can take effect.
func (c *Executor) requeue(writes []*write, doubtful bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var kept []*write
	for _, w := range writes {
		w.unresolved = w.unresolved || doubtful
		if !w.hasCaller && time.Now().After(w.deadline) {
			c.completeLocked(w, failed)
			continue
		}
		kept = append(kept, w)
	}
	c.queue = append(kept, c.queue...)
	c.notify()
}

// failBatch refuses the claims of a transaction that could not be done or read
// back. A claim that may have taken effect stays as background work, so that
// its row is marked not_run later.
func (c *Executor) failBatch(batch []*write, doubtful bool) {
	c.mu.Lock()
	var background []*write
	for _, w := range batch {
		w.unresolved = w.unresolved || doubtful
		if w.hasCaller {
			c.abandonLocked(w)
			w.result = failed
			close(w.finished)
		}
		if w.row.State != running || w.unresolved {
			background = append(background, w)
		}
	}
	c.mu.Unlock()
	c.requeue(background, false)
}

// abandon gives up a claim that a caller waited for, unless it is finished. It
// reports whether it was given up. The row is marked not_run if the write took
// effect or still does.
func (c *Executor) abandon(w *write) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-w.finished:
		return false
	default:
	}
	c.abandonLocked(w)
	if !w.unresolved {
		// A write that was never sent needs no mark.
		c.queue = slices.DeleteFunc(c.queue, func(q *write) bool { return q == w })
	}
	return true
}

func (c *Executor) abandonLocked(w *write) {
	w.hasCaller = false
	w.deadline = time.Now().Add(backgroundTimeout)
}

// complete ends a write. Nobody uses an abandoned claim, so its row is marked
// not_run: nothing was sent for it.
func (c *Executor) complete(w *write, f writeResult, read store.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.revision, w.current = read.Revision, read
	abandoned := w.row.State == running && !w.hasCaller
	c.completeLocked(w, f)
	if abandoned && f == written {
		c.queue = append(c.queue, w.outcomeWrite(notRun, storedResponse{}))
		c.notify()
	}
}

func (c *Executor) completeLocked(w *write, f writeResult) {
	select {
	case <-w.finished:
		return
	default:
	}
	w.result = f
	close(w.finished)
	if w.onEnd != nil {
		w.onEnd()
	}
}

// outcomeWrite returns the write that records in a claimed row how the call ended.
func (w *write) outcomeWrite(s state, r storedResponse) *write {
	next := w.row
	next.State, next.Response = s, r
	mark := newWrite(w.key, w.revision, next)
	mark.deadline = time.Now().Add(backgroundTimeout)
	return mark
}
