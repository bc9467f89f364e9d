package gateway

import (
	"context"
	"time"
)

const (
	cancelTimeout    = 2 * time.Second
	maxCancelBackoff = 2 * time.Second
	// maxCancelTime bounds the retries of a cancellation. The sweep of the engine's list of
	// attempts cancels what is left after it.
	maxCancelTime = 30 * time.Second
	// lateStartDelay is how long after a confirmed cancellation an attempt whose start got no
	// response is cancelled again. Its request may still have been in transit, or in the
	// buffers of a frozen engine.
	lateStartDelay = 2 * time.Second
)

func (run *attemptRun) finish() {
	run.result.Duration = time.Since(run.sentAt)
	run.grant.Done(run.result)
	if run.parts != nil {
		run.parts.release()
	}
}

// abandon frees the memory of an unfinished attempt: it cancels the attempt at the engine
// and releases the reservation once the engine has confirmed the cancellation.
func (g *Gateway) abandon(run *attemptRun, c *call, mayResume bool) {
	if run.sentAt.IsZero() {
		run.finish()
		return
	}
	g.cleanups.Add(1)
	go func() {
		defer g.cleanups.Done()
		if mayResume && c.resumable {
			g.awaitResume(run, c)
		}
		ctx, cancel := context.WithTimeout(context.Background(), maxCancelTime)
		defer cancel()
		g.confirmCancel(ctx, run)
		if run.stream == nil {
			time.Sleep(lateStartDelay)
			g.confirmCancel(ctx, run)
		}
		run.finish()
	}()
}

// awaitResume keeps an attempt running for a caller that may resume it through any VM. It
// returns when the attempt has ended or was not resumed in time. A resumed stream may
// continue until its deadline, and its memory is counted until then.
func (g *Gateway) awaitResume(run *attemptRun, c *call) {
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	const pollInterval = 500 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastAttached := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			held, attached := g.attemptState(ctx, run)
			if attached {
				lastAttached = now
			}
			if !held || now.Sub(lastAttached) > g.Limits.ResumeGrace {
				return
			}
		}
	}
}

func (g *Gateway) attemptState(ctx context.Context, run *attemptRun) (held, attached bool) {
	inventory, err := run.grant.Client.Inventory(ctx)
	if err != nil {
		return true, false
	}
	for _, a := range inventory.Attempts {
		if a.ID == run.id {
			return true, a.Attached
		}
	}
	return false, false
}

// confirmCancel retries the cancellation of an attempt until the engine confirms it.
func (g *Gateway) confirmCancel(ctx context.Context, run *attemptRun) {
	g.retryUntilConfirmed(ctx, run, "cancellation", func(ctx context.Context) error {
		return run.grant.Client.Cancel(ctx, run.id)
	})
}

// retryUntilConfirmed retries a call that frees memory of an engine until it succeeds.
func (g *Gateway) retryUntilConfirmed(ctx context.Context, run *attemptRun, action string, call func(context.Context) error) {
	backoff := 20 * time.Millisecond
	for {
		callCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
		err := call(callCtx)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
			g.Log.Warn(action+" not confirmed; left to the sweep of the engine's attempts",
				"attempt", run.id, "target", run.grant.Target, "error", err)
			return
		}
		backoff = min(2*backoff, maxCancelBackoff)
	}
}
