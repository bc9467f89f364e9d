// Package capacity divides the memory and the slots of every target among the
// seats, so that all VMs together never overload a target although they share
// no store.
package capacity

import (
	"context"
	"time"
)

// Resources is what this VM may still start on a target.
type Resources struct {
	Tokens int // KV memory, in tokens
	Slots  int // concurrent requests
}

// Observation is evidence about a target from one of its own answers.
type Observation struct {
	At          time.Time
	StartNumber uint64 // 0 when the answer gave none
	// Cold is true when the target itself says that it is cold.
	Cold bool
	// Finished is true when a request ended well.
	Finished bool
	// SpeedRatio is measured speed divided by declared speed; 0 when the answer
	// does not show it.
	SpeedRatio float64
}

// Allocator is what admission and the gateway use of this package.
type Allocator interface {
	// Available reads the present room without locking.
	Available(target string) Resources
	// Reserve takes one slot and tokens from this VM's share. It does not wait.
	Reserve(target string, tokens int) (*Reservation, bool)
	// Borrow asks other seats for what is missing of the need. It returns when
	// the room is enough or nobody lends more.
	Borrow(ctx context.Context, target string, need Resources, until time.Time) error
	// Observe takes evidence about a target.
	Observe(target string, o Observation)
	// Changed returns a channel that is closed when room may have grown.
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

// AddAttempt names the attempt that uses the reservation, before it is sent.
func (r *Reservation) AddAttempt(id string) { r.attempt(id) }

// Release gives the reservation back, once the target holds nothing of the
// attempt any more. It must be called once.
func (r *Reservation) Release() { r.release() }
