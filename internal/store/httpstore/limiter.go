package httpstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/store"
)

// rateLimiter spaces calls, so that the calls of all VMs together stay below a rate.
// Callers wait in a queue of bounded length, first come first served. It saves
// up no burst: bursts of each VM after an outage would add up over the fleet.
type rateLimiter struct {
	interval    atomic.Int64 // nanoseconds
	queueLength int
	waiting     atomic.Int64
	queueHead   chan struct{} // held by the caller whose turn is next
	next        time.Time     // the earliest time of the next call; guarded by turn
}

func newRateLimiter(perSecond float64, queue int) *rateLimiter {
	p := &rateLimiter{queueLength: queue, queueHead: make(chan struct{}, 1)}
	p.setRate(perSecond)
	return p
}

// setRate changes the calls a second for the calls to come.
func (p *rateLimiter) setRate(perSecond float64) {
	p.interval.Store(int64(float64(time.Second) / perSecond))
}

// wait returns when the caller may send. It fails with ErrUnavailable when the
// queue is full or ctx ends before the caller's turn.
func (p *rateLimiter) wait(ctx context.Context) error {
	ahead := p.waiting.Add(1) - 1
	defer p.waiting.Add(-1)
	if ahead >= int64(p.queueLength) {
		return merry.Prepend(store.ErrUnavailable, "queue of calls to the store is full")
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < time.Duration(ahead*p.interval.Load()) {
		return merry.Prepend(store.ErrUnavailable, "the deadline is before the call's turn")
	}
	select {
	case p.queueHead <- struct{}{}:
	case <-ctx.Done():
		return errQueueTimeout
	}
	defer func() { <-p.queueHead }()
	if pause := time.Until(p.next); pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return errQueueTimeout
	}
	// The interval counts from now and not from the time that was due: a
	// process that was paused must not send the missed calls all at once.
	p.next = time.Now().Add(time.Duration(p.interval.Load()))
	return nil
}

var errQueueTimeout = merry.Prepend(store.ErrUnavailable, "deadline passed while waiting for a turn")
