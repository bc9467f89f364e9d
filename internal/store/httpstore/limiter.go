package httpstore

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/store"
)

// pacer spaces calls evenly, so that the calls of all VMs together stay below
// a rate. Callers wait in a queue of bounded length. It saves up no burst: a
// burst of each VM after an outage would add up over the fleet.
type pacer struct {
	interval time.Duration
	queue    int
	mu       sync.Mutex
	next     time.Time // when the next free slot begins
}

func newPacer(perSecond float64, queue int) *pacer {
	return &pacer{interval: time.Duration(float64(time.Second) / perSecond), queue: queue}
}

// wait returns when the caller may send. It fails with ErrUnavailable when the
// queue is full or ctx ends before the caller's turn.
func (p *pacer) wait(ctx context.Context) error {
	pause, err := p.reserve(ctx)
	if err != nil {
		return err
	}
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if ctx.Err() != nil {
		return merry.Prepend(store.ErrUnavailable, "deadline passed while waiting for a turn")
	}
	return nil
}

func (p *pacer) reserve(ctx context.Context) (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	slot := p.next
	if slot.Before(now) {
		slot = now
	}
	pause := slot.Sub(now)
	if pause > time.Duration(p.queue)*p.interval {
		return 0, merry.Prepend(store.ErrUnavailable, "queue of calls to the store is full")
	}
	if deadline, ok := ctx.Deadline(); ok && slot.After(deadline) {
		return 0, merry.Prepend(store.ErrUnavailable, "the deadline is before the call's turn")
	}
	p.next = slot.Add(p.interval)
	return pause, nil
}
