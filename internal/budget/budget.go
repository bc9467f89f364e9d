// Package budget holds budgets that bound retries and held memory.
package budget

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bytes bounds bytes held by all requests of a process.
type Bytes struct {
	free atomic.Int64
}

// NewBytes returns a budget of size bytes.
func NewBytes(size int64) *Bytes {
	b := &Bytes{}
	b.free.Store(size)
	return b
}

// TryAcquire reserves n bytes and reports whether they were free.
func (b *Bytes) TryAcquire(n int64) bool {
	if b.free.Add(-n) < 0 {
		b.free.Add(n)
		return false
	}
	return true
}

// Release returns n bytes.
func (b *Bytes) Release(n int64) { b.free.Add(n) }

// Available returns the bytes that are not taken.
func (b *Bytes) Available() int64 { return b.free.Load() }

// RetryOptions size a retry budget.
type RetryOptions struct {
	Ratio           float64 // retries for each request
	RefillPerSecond float64 // lets a VM with little traffic retry at all
	Burst           float64 // retries that can be saved up
}

// Retry limits retries to a share of the requests, so that a failing service
// is not loaded with repeated work.
type Retry struct {
	options RetryOptions
	mu      sync.Mutex
	tokens  float64
	last    time.Time
}

// NewRetry returns a full budget.
func NewRetry(o RetryOptions) *Retry {
	return &Retry{options: o, tokens: o.Burst, last: time.Now()}
}

// RecordRequest adds the share of one request.
func (b *Retry) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.options.Ratio, b.options.Burst)
}

// Allow reports whether one more retry is allowed.
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
