package claim

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// secondExecutor returns a running Executor of another VM with the same table.
func secondExecutor(t *testing.T, table *storefake.Table, objects *storefake.Objects) *Executor {
	c := New(Options{Table: table, Objects: objects, Holder: "other"})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	return c
}

// Guards against a call that runs again because the store lost its claim while it
// was running: its outcome has to be written all the same.
func TestClaimLostWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, table, objects := startExecutor(t)
		other := secondExecutor(t, table, objects)
		before := table.Copy()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := c.Do(ctx, Call{Account: "a", Service: "s", IdempotencyKey: "k", Fingerprint: "f",
			Send: func(_ context.Context, maySend func() error) (Response, error) {
				if err := maySend(); err != nil {
					return Response{}, err
				}
				time.Sleep(time.Second)
				table.Restore(before)
				time.Sleep(time.Second)
				return Response{Status: 201}, nil
			}})
		assert.NilError(t, err)
		assert.NilError(t, c.Flush(t.Context()))
		a, err := do(other, "k", "f", Response{Status: 500})
		assert.NilError(t, err)
		assert.Assert(t, a.Replayed && a.Status == 201, "the call ran again")
	})
}

// Guards against a call that runs again because the store lost its outcome and went
// back to its claim.
func TestOutcomeLostAfterClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, table, objects := startExecutor(t)
		other := secondExecutor(t, table, objects)
		var claimed storefake.Copy
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Do(ctx, Call{Account: "a", Service: "s", IdempotencyKey: "k", Fingerprint: "f",
			Send: func(_ context.Context, maySend func() error) (Response, error) {
				claimed = table.Copy()
				return Response{Status: 201}, maySend()
			}})
		assert.NilError(t, err)
		assert.NilError(t, c.Flush(t.Context()))
		table.Restore(claimed)
		_, err = do(other, "k", "f", Response{Status: 500})
		assert.Assert(t, errors.Is(err, errOutcomeUnknown), "%v", err)
		assert.Equal(t, apierror.From(err).Outcome, apierror.OutcomeUnknown)
	})
}

// Guards against a call that runs again on the VM that ran it, because the store
// lost its claim and its outcome, and on the others once that VM has noticed.
func TestClaimLostAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, table, objects := startExecutor(t)
		before := table.Copy()
		_, err := do(c, "k", "f", Response{Status: 201})
		assert.NilError(t, err)
		assert.NilError(t, c.Flush(t.Context()))
		table.Restore(before)
		for range 2 {
			a, err := do(c, "k", "f", Response{Status: 500})
			assert.Assert(t, errors.Is(err, errOutcomeUnknown), "the call ran again: %v %v", a, err)
			assert.NilError(t, c.Flush(t.Context()))
		}
		_, err = do(secondExecutor(t, table, objects), "k", "f", Response{Status: 500})
		assert.Assert(t, errors.Is(err, errOutcomeUnknown), "the call ran again on another VM: %v", err)
	})
}

// Guards against a call that the target did not run and that cannot be claimed
// again on the same VM.
func TestCallThatDidNotRunIsNotRemembered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, table, _ := startExecutor(t)
		before := table.Copy()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Do(ctx, Call{Account: "a", Service: "s", IdempotencyKey: "k", Fingerprint: "f",
			Send: func(_ context.Context, maySend func() error) (Response, error) {
				assert.Check(t, maySend())
				return Response{}, apierror.New(apierror.KindUnavailable, apierror.NotRun, "target", "")
			}})
		assert.Equal(t, apierror.From(err).Outcome, apierror.NotRun)
		assert.NilError(t, c.Flush(t.Context()))
		table.Restore(before)
		a, err := do(c, "k", "f", Response{Status: 201})
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 201)
	})
}

// Guards against a record of sent calls that grows without bound, or that drops
// calls before their retention ends.
func TestSentCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSentCalls()
		for i := range 3 * maxSentCalls {
			s.add(fmt.Sprint(i))
		}
		assert.Assert(t, len(s.current)+len(s.previous) <= 2*maxSentCalls)
		s.add("kept")
		time.Sleep(sentRetention)
		s.add("later")
		assert.Assert(t, s.contains("kept"))
		time.Sleep(sentRetention + time.Second)
		s.add("last")
		time.Sleep(sentRetention + time.Second)
		s.add("rotates again")
		assert.Assert(t, !s.contains("kept") && s.contains("last"))
	})
}
