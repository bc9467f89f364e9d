package httpstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/store"
)

// rateLimiter spaces the calls of this VM, so that the whole fleet stays below a
// rate limit. Callers wait in a FIFO queue of bounded length. Unlike a token
// bucket it allows no bursts, because after an outage the bursts of all VMs would
// coincide.
type rateLimiter struct {
	interval    atomic.Int64 // nanoseconds
	queueLength int
	waiting     atomic.Int64
	queueHead   chan struct{} // held by the first caller in the queue
	next        time.Time     // earliest time of the next call; guarded by queueHead
}

func newRateLimiter(perSecond float64, queue int) *rateLimiter {
	l := &rateLimiter{queueLength: queue, queueHead: make(chan struct{}, 1)}
	l.setRate(perSecond)
	return l
}

// setRate changes the rate of subsequent calls.
func (l *rateLimiter) setRate(perSecond float64) {
	l.interval.Store(int64(float64(time.Second) / perSecond))
}

// wait returns when the caller may send. It fails with ErrUnavailable if the queue
// is full or if ctx ends, or is certain to end, before that.
func (l *rateLimiter) wait(ctx context.Context) error {
	ahead := l.waiting.Add(1) - 1
	defer l.waiting.Add(-1)
	if ahead >= int64(l.queueLength) {
		return merry.Prepend(store.ErrUnavailable, "queue of calls to the store is full")
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < time.Duration(ahead*l.interval.Load()) {
		return merry.Prepend(store.ErrUnavailable, "the deadline is before the call's turn")
	}
	select {
	case l.queueHead <- struct{}{}:
	case <-ctx.Done():
		return errQueueTimeout
	}
	defer func() { <-l.queueHead }()
	if pause := time.Until(l.next); pause > 0 {
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
	// The interval starts now and not at the scheduled time: a process that was
	// paused must not send the calls it missed in a burst.
	l.next = time.Now().Add(time.Duration(l.interval.Load()))
	return nil
}

var errQueueTimeout = merry.Prepend(store.ErrUnavailable, "deadline passed while waiting for a turn")
