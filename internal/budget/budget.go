// Package budget provides budgets that bound retries and buffered bytes.
package budget

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bytes bounds the bytes that all requests of a process buffer together.
type Bytes struct {
	free atomic.Int64
	// reclaim is described at SetReclaim.
	reclaim func() bool
}

// NewBytes returns a budget of size bytes.
func NewBytes(size int64) *Bytes {
	b := &Bytes{}
	b.free.Store(size)
	return b
}

// TryAcquire acquires n bytes and reports whether they were available.
func (b *Bytes) TryAcquire(n int64) bool {
	if b.free.Add(-n) < 0 {
		b.free.Add(n)
		return false
	}
	return true
}

// SetReclaim sets a function that ends something which holds bytes of the budget, and reports
// whether it found anything. ReadBody calls it if there are too few. It must be set before the
// budget is used.
func (b *Bytes) SetReclaim(reclaim func() bool) { b.reclaim = reclaim }

const (
	// maxReclaims bounds what one body may end. A body grows by at most half of its limit at a
	// time, for which a few others that have stalled are enough.
	maxReclaims = 20
	// reclaimWait is the time in which a holder releases its bytes after its end.
	reclaimWait = time.Millisecond
)

// acquireOrReclaim acquires n bytes, if necessary after it has ended other holders.
func (b *Bytes) acquireOrReclaim(n int64) bool {
	for range maxReclaims {
		if b.TryAcquire(n) {
			return true
		}
		if b.reclaim == nil || !b.reclaim() {
			return false
		}
		time.Sleep(reclaimWait)
	}
	return b.TryAcquire(n)
}

// Release returns n bytes to the budget.
func (b *Bytes) Release(n int64) { b.free.Add(n) }

// Available returns the number of bytes that can be acquired.
func (b *Bytes) Available() int64 { return b.free.Load() }

// RetryOptions configure a retry budget.
type RetryOptions struct {
	Ratio           float64 // retries added for each request
	RefillPerSecond float64 // retries added per second; lets a VM with little traffic retry at all
	Burst           float64 // maximum of accumulated retries
}

// Retry is a token bucket that limits retries to a fraction of the requests, so that retries
// do not overload a failing service.
type Retry struct {
	options RetryOptions
	mu      sync.Mutex
	tokens  float64
	last    time.Time
}

// NewRetry returns a full bucket.
func NewRetry(o RetryOptions) *Retry {
	return &Retry{options: o, tokens: o.Burst, last: time.Now()}
}

// RecordRequest adds the retries earned by one request.
func (b *Retry) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.options.Ratio, b.options.Burst)
}

// Allow reports whether a retry is allowed, and takes its token if so.
func (b *Retry) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.last).Seconds()*b.options.RefillPerSecond, b.options.Burst)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// GiveBack returns the token of a retry that was allowed and not sent.
func (b *Retry) GiveBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, b.options.Burst)
}
