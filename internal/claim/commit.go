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

// fate is what became of one write of a transaction.
type fate int

const (
	written  fate = iota
	conflict      // the row has another revision; nothing was written
	refused       // nothing was written, or it cannot be read whether it was
)

// write is one change of one row that waits for a transaction.
type write struct {
	key       string
	condition uint64 // the revision that the row must have; 0: absent
	row       row
	value     []byte
	giveUp    time.Time

	// The fields below are guarded by Claims.mu until finished is closed.
	waiting  bool // a caller waits for a claim; false: background work
	doubtful bool // an earlier transaction with it may have taken effect
	finished chan struct{}
	fate     fate
	revision uint64 // with written
	current  store.Row
	onEnd    func()
}

func newWrite(key string, condition uint64, r row) *write {
	return &write{key: key, condition: condition, row: r, value: r.encode(), finished: make(chan struct{})}
}

// landed reports whether the row as read holds this write.
func (w *write) landed(read store.Row) bool {
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
	if w.waiting && len(c.queue) >= maxQueued {
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
			pause = max(pause, rand.N(againPauseMax))
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
		if batch := c.take(pause <= 0); len(batch) > 0 {
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

// take removes a batch from the queue: at most one write of a row, so that no
// transaction contradicts itself, and of bounded size.
func (c *Executor) take(background bool) []*write {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*write
	keys := map[string]bool{}
	size := 0
	for _, w := range c.queue {
		fits := len(batch) < maxBatchRows && (len(batch) == 0 || size+len(w.value) <= maxBatchBytes)
		if !fits || keys[w.key] || !background && !w.waiting {
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
		txn.Conditions = append(txn.Conditions, store.Condition{Key: w.key, Revision: w.condition})
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
			c.settle(w, written, store.Row{Revision: revision})
		}
	case errors.Is(err, store.ErrUnavailable):
		c.holdOff()
		c.putBack(batch, false)
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
		c.holdOff()
		c.putBack(batch, doubtful)
		return false
	}
	var again []*write
	for i, w := range batch {
		switch {
		case w.landed(rows[i]):
			c.settle(w, written, rows[i])
		case rows[i].Revision != w.condition:
			c.settle(w, conflict, rows[i])
		default:
			again = append(again, w)
		}
	}
	c.requeue(again, doubtful)
	return doubtful && len(again) > 0
}

// holdOff pauses background work after a failure of the store.
func (c *Executor) holdOff() {
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
		w.doubtful = w.doubtful || doubtful
		if !w.waiting && time.Now().After(w.giveUp) {
			c.endLocked(w, refused)
			continue
		}
		kept = append(kept, w)
	}
	c.queue = append(kept, c.queue...)
	c.notify()
}

// putBack refuses the claims of a transaction that could not be done or read
// back. A claim that may have taken effect stays as background work, so that
// its row is marked not_run later.
func (c *Executor) putBack(batch []*write, doubtful bool) {
	c.mu.Lock()
	var background []*write
	for _, w := range batch {
		w.doubtful = w.doubtful || doubtful
		if w.waiting {
			c.abandonLocked(w)
			w.fate = refused
			close(w.finished)
		}
		if w.row.State != running || w.doubtful {
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
	if !w.doubtful {
		// A write that was never sent needs no mark.
		c.queue = slices.DeleteFunc(c.queue, func(q *write) bool { return q == w })
	}
	return true
}

func (c *Executor) abandonLocked(w *write) {
	w.waiting = false
	w.giveUp = time.Now().Add(keepTrying)
}

// settle ends a write. Nobody uses an abandoned claim, so its row is marked
// not_run: nothing was sent for it.
func (c *Executor) settle(w *write, f fate, read store.Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.revision, w.current = read.Revision, read
	abandoned := w.row.State == running && !w.waiting
	c.endLocked(w, f)
	if abandoned && f == written {
		c.queue = append(c.queue, w.end(notRun, result{}))
		c.notify()
	}
}

func (c *Executor) endLocked(w *write, f fate) {
	select {
	case <-w.finished:
		return
	default:
	}
	w.fate = f
	close(w.finished)
	if w.onEnd != nil {
		w.onEnd()
	}
}

// end returns the write that records in a claimed row how the call ended.
func (w *write) end(s state, r result) *write {
	next := w.row
	next.State, next.Result = s, r
	mark := newWrite(w.key, w.revision, next)
	mark.giveUp = time.Now().Add(keepTrying)
	return mark
}
