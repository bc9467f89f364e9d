package storesync

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/oriolefront/oriolefront/internal/freshness"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// Timing of a Confirmer's calls.
const (
	// confirmSpread is the time over which VMs spread the calls that become due together,
	// so that the answer to the first one reaches most of the others before they call.
	confirmSpread = 200 * time.Millisecond
	// minConfirmInterval is the time between the end of a successful call and the next one.
	// It limits the calls of a VM for which no response is young enough, because the store
	// is slow, or because the store's clock is not usable as evidence.
	minConfirmInterval = 400 * time.Millisecond
)

// Confirmer keeps the replica of a table confirmed. A watch without changes is silent, and
// so is one whose response is lost; the age of the replica's evidence tells them apart. The
// evidence of all VMs counts, because they pass it on to each other: in calm times one VM
// calls the store for all of them, and when its calls fail, others do.
type Confirmer struct {
	Syncer *Syncer
	// MaxAge returns the age of the evidence from which this VM calls the store.
	MaxAge func() time.Duration
	// OnConfirm is called after a successful call.
	OnConfirm func()
	Log       *slog.Logger
}

// Run reads the changes from the store whenever the evidence is too old, until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	pause := backoffMin
	for c.waitUntilDue(ctx) {
		err := c.Syncer.Refresh(ctx)
		if err == nil {
			c.OnConfirm()
			pause = backoffMin
			wait.For(ctx, minConfirmInterval)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		c.Log.Warn("replica not confirmed", "table", c.Syncer.Replica.Table(), "age", c.Syncer.Freshness.Age(), "error", err)
		wait.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, backoffMax)
	}
}

// waitUntilDue waits until a call is due, and reports whether ctx has not ended.
func (c *Confirmer) waitUntilDue(ctx context.Context) bool {
	for {
		if !wait.For(ctx, c.untilDue()) || !wait.For(ctx, rand.N(confirmSpread)) {
			return false
		}
		if c.untilDue() == 0 {
			return true
		}
	}
}

// untilDue returns the time until a call is due if no evidence comes before, 0 if it is due.
// The Syncer itself repeats the first listing and failed watches, which confirm the replica.
func (c *Confirmer) untilDue() time.Duration {
	age := c.Syncer.Freshness.Age()
	if age == freshness.Unknown || c.Syncer.Failing() {
		return idleCheckInterval
	}
	return max(c.MaxAge()-age, 0)
}
