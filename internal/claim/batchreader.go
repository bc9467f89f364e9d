package claim

import (
	"context"
	"slices"
	"sync"

	"github.com/oriolefront/oriolefront/internal/store"
)

// maxReadKeys bounds the rows of one read. Their size is then at most 16 MiB.
const maxReadKeys = 128

// batchReader combines the reads of concurrent callers: one read is in flight,
// and the next one takes all keys that wait. Retries that poll for an outcome
// therefore do not exhaust this VM's share of the store's read rate, which
// seats and configuration need.
type batchReader struct {
	table store.Table

	mu     sync.Mutex
	next   *batchRead // collects keys; nil if none waits
	active bool       // a goroutine is reading
}

// batchRead is one combined read.
type batchRead struct {
	keys []string
	done chan struct{}
	rows map[string]store.Row
	err  error
}

// get returns the row of a key. It joins a combined read.
func (r *batchReader) get(ctx context.Context, key string) (store.Row, error) {
	batch := r.enqueue(key)
	select {
	case <-batch.done:
	case <-ctx.Done():
		return store.Row{}, ctx.Err()
	}
	if batch.err != nil {
		return store.Row{}, batch.err
	}
	row, ok := batch.rows[key]
	if !ok {
		return row, store.ErrUnavailable
	}
	return row, nil
}

// enqueue adds a key to the next read and starts the reading goroutine if none
// runs. A key beyond maxReadKeys is left out; its caller polls again.
func (r *batchReader) enqueue(key string) *batchRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &batchRead{done: make(chan struct{})}
	}
	if len(r.next.keys) < maxReadKeys && !slices.Contains(r.next.keys, key) {
		r.next.keys = append(r.next.keys, key)
	}
	if !r.active {
		r.active = true
		go r.run()
	}
	return r.next
}

// run reads batches until no key waits.
func (r *batchReader) run() {
	for {
		r.mu.Lock()
		batch := r.next
		r.next = nil
		r.active = batch != nil
		r.mu.Unlock()
		if batch == nil {
			return
		}
		r.load(batch)
		close(batch.done)
	}
}

func (r *batchReader) load(batch *batchRead) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	rows, err := r.table.Get(ctx, batch.keys...)
	if err != nil {
		batch.err = err
		return
	}
	batch.rows = make(map[string]store.Row, len(rows))
	for _, row := range rows {
		batch.rows[row.Key] = row
	}
}
