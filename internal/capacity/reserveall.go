package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// retryJitterMin and retryJitterMax bound the pause after a failed attempt
	// to reserve on several targets. The pause is random, so that two VMs that
	// took parts from each other do not collide again.
	retryJitterMin = 10 * time.Millisecond
	retryJitterMax = 500 * time.Millisecond
)

// Need is memory needed on one target.
type Need struct {
	Target string
	Tokens int
}

// ReserveAll reserves on several targets, all or none, in target-id order. On
// failure it releases everything and tries again until ctx ends. The result has
// the order of the needs.
func (l *Ledger) ReserveAll(ctx context.Context, needs []Need) ([]*Reservation, error) {
	sorted := make([]int, len(needs))
	for i := range sorted {
		sorted[i] = i
	}
	sort.Slice(sorted, func(a, b int) bool { return needs[sorted[a]].Target < needs[sorted[b]].Target })
	pause := retryJitterMin
	for {
		got, err := l.reserveOnce(ctx, needs, sorted)
		if err == nil {
			return got, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("reserve on %d targets: %w (%w)", len(needs), err, ctx.Err())
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, retryJitterMax)
	}
}

// reserveOnce makes one attempt and releases what it took if it fails.
func (l *Ledger) reserveOnce(ctx context.Context, needs []Need, sorted []int) ([]*Reservation, error) {
	got := make([]*Reservation, len(needs))
	for _, i := range sorted {
		r, err := l.reserveOrBorrow(ctx, needs[i])
		if err != nil {
			releaseAll(got)
			return nil, err
		}
		got[i] = r
	}
	return got, nil
}

func (l *Ledger) reserveOrBorrow(ctx context.Context, n Need) (*Reservation, error) {
	if r, ok := l.Reserve(n.Target, n.Tokens); ok {
		return r, nil
	}
	until, ok := ctx.Deadline()
	if !ok {
		until = l.Now().Add(longestLoan)
	}
	if err := l.Borrow(ctx, n.Target, Room{Tokens: n.Tokens, Slots: 1}, until); err != nil {
		return nil, err
	}
	if r, ok := l.Reserve(n.Target, n.Tokens); ok {
		return r, nil
	}
	return nil, fmt.Errorf("reserve %d tokens of %q: %w", n.Tokens, n.Target, ErrNoCapacity)
}

func releaseAll(all []*Reservation) {
	for _, r := range all {
		if r != nil {
			r.Release()
		}
	}
}
