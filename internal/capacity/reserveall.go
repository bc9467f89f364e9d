package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// retryJitterMin and retryJitterMax bound the back-off after a failed
	// attempt to reserve on several targets. It is jittered, so that two VMs
	// that each took a part of what the other needs do not collide again.
	retryJitterMin = 10 * time.Millisecond
	retryJitterMax = 500 * time.Millisecond
)

// ReserveRequest is memory requested on one target.
type ReserveRequest struct {
	Target string
	Tokens int
}

// ReserveError says which of several targets could not be reserved.
type ReserveError struct {
	Target string
	Err    error
}

// Error implements error.
func (e *ReserveError) Error() string { return fmt.Sprintf("target %q: %v", e.Target, e.Err) }

// Unwrap returns the cause.
func (e *ReserveError) Unwrap() error { return e.Err }

// ReserveAll reserves on several targets, all or none, in order of target id.
// On failure it releases everything and retries until ctx ends; the error then
// wraps the ReserveError of the last attempt and the error of ctx. Loans for it expire shortly after
// until, which is independent of ctx because the reservations outlive the
// call. The results are in the order of needs.
func (l *Ledger) ReserveAll(ctx context.Context, needs []ReserveRequest, until time.Time) ([]*Reservation, error) {
	sorted := make([]int, len(needs))
	for i := range sorted {
		sorted[i] = i
	}
	sort.Slice(sorted, func(a, b int) bool { return needs[sorted[a]].Target < needs[sorted[b]].Target })
	pause := retryJitterMin
	for {
		got, err := l.reserveOnce(ctx, needs, sorted, until)
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
func (l *Ledger) reserveOnce(ctx context.Context, needs []ReserveRequest, sorted []int, until time.Time) ([]*Reservation, error) {
	got := make([]*Reservation, len(needs))
	for _, i := range sorted {
		r, err := l.reserveOrBorrow(ctx, needs[i], until)
		if err != nil {
			releaseAll(got)
			return nil, &ReserveError{Target: needs[i].Target, Err: err}
		}
		got[i] = r
	}
	return got, nil
}

func (l *Ledger) reserveOrBorrow(ctx context.Context, n ReserveRequest, until time.Time) (*Reservation, error) {
	if r, ok := l.Reserve(n.Target, n.Tokens); ok {
		return r, nil
	}
	if err := l.Borrow(ctx, n.Target, Resources{Tokens: n.Tokens, Slots: 1}, until); err != nil {
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
