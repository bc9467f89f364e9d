// Package capacity divides the KV memory and the request slots of every target
// among the seats, so that all VMs together never overload a target although
// they share no store.
package capacity

import (
	"context"
	"time"
)

// Resources is an amount of a target's capacity.
type Resources struct {
	Tokens int // KV memory, in tokens
	Slots  int // concurrent requests
}

// Observation is evidence about a target taken from one of its own responses.
type Observation struct {
	At          time.Time
	StartNumber uint64 // 0 when the response has none
	// Cold is true when the target itself reports that it is cold.
	Cold bool
	// Finished is true when a request completed successfully.
	Finished bool
	// SpeedRatio is the measured speed divided by the declared speed; 0 when
	// the response does not show it.
	SpeedRatio float64
}

// Allocator is the interface of this package for admission and the gateway.
type Allocator interface {
	// Available returns what can be reserved now. It does not lock.
	Available(target string) Resources
	// Reserve takes one slot and tokens from this VM's share. It does not
	// block.
	Reserve(target string, tokens int) (*Reservation, bool)
	// Borrow asks other seats for the part of need that is not available. It
	// returns when enough is available or no seat lends more.
	Borrow(ctx context.Context, target string, need Resources, until time.Time) error
	// Observe records evidence about a target.
	Observe(target string, o Observation)
	// Changed returns a channel that is closed when the available resources may
	// have grown.
	Changed() <-chan struct{}
}

// Reservation is memory and a slot held for one attempt.
type Reservation struct {
	Target string
	Tokens int

	attempt func(id string)
	release func()
}

// NewReservation returns a reservation that calls attempt and release.
func NewReservation(target string, tokens int, attempt func(id string), release func()) *Reservation {
	return &Reservation{Target: target, Tokens: tokens, attempt: attempt, release: release}
}

// AddAttempt records the id of the attempt that uses the reservation. It must
// be called before the attempt is sent.
func (r *Reservation) AddAttempt(id string) { r.attempt(id) }

// Release ends the reservation, once the target holds nothing of the attempt
// any more. It must be called once.
func (r *Reservation) Release() { r.release() }
