// Package duty runs calls that one VM of the fleet makes for all of them. The VMs
// elect that VM with a lease in the platform's store; every call carries the fencing
// token of the lease.
package duty

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oriolefront/oriolefront/internal/freshness"
)

// Task is a duty that runs while this VM holds the lease.
type Task interface {
	// Name identifies the task in logs and settings.
	Name() string
	// Next returns when Run is to be called next, given the time of this VM's clock. The
	// zero time means that there is nothing to do at present. It must not block.
	Next(now time.Time) time.Time
	// Run performs the work that is due. It must return before the grant ends.
	Run(ctx context.Context, g Grant) error
}

// Grant is the right to act as the holder of the lease for a limited time.
type Grant struct {
	// Holder is the name of the VM that holds the lease.
	Holder string
	// Token is the fencing token of the lease.
	Token uint64

	// until is the uptime at which the grant ends.
	until  time.Duration
	uptime func() time.Duration
}

// NewGrant returns a grant that ends at an uptime of this VM (freshness.Uptime).
func NewGrant(holder string, token uint64, until time.Duration) Grant {
	return Grant{Holder: holder, Token: token, until: until, uptime: freshness.Uptime}
}

// Remaining returns for how long the grant still holds, on the clock that also counts
// the time for which this VM was suspended. It is 0 or less when the grant has ended.
func (g Grant) Remaining() time.Duration {
	if g.uptime == nil {
		return 0
	}
	return g.until - g.uptime()
}

// ErrRateLimited reports that the platform refused a call because the fleet has made
// too many; the call had no effect.
var ErrRateLimited = errors.New("the platform refused the call for its rate")

// ErrGrantEnded reports that a call was not sent, because the remaining time of the
// grant does not suffice for it.
var ErrGrantEnded = errors.New("the lease ends too soon; the call was not sent")

// RefusedError reports that the platform refused a call definitely; it had no effect.
type RefusedError struct {
	Status int
	Path   string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the platform refused %s with status %d", e.Path, e.Status)
}

// UnknownOutcomeError reports that a call may or may not have taken effect.
type UnknownOutcomeError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of %s is unknown: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
