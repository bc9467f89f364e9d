// Package claim runs non-idempotent calls at most once.
//
// Each call has a row in the table service. A VM inserts the row with a nonce
// if it is absent, sends the call, and writes the result into the row. The row
// decides, not the VM: whoever finds it never sends the call again, unless the
// row's own holder marked it not_run.
package claim

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/budget"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/wait"
)

const (
	// TTL is how long a claim row is kept; a key may be used again afterwards.
	TTL = 24 * time.Hour
	// MaxInlineBody is the largest answer kept in a row.
	MaxInlineBody = 64 << 10
	// MaxStoredBody is the largest answer kept at all, in the object store.
	MaxStoredBody = 1 << 20
)

const (
	// maxOpen bounds the calls whose result is not yet written.
	maxOpen = 4096
	// maxQueued bounds the queue of writes that new claims may join.
	maxQueued = 2 * maxOpen
	// maxHeldBodies bounds the answers held until they are written, in bytes.
	maxHeldBodies = 64 << 20
	maxBatchRows  = 128
	maxBatchBytes = 1 << 20
	storeTimeout  = 3 * time.Second
	// keepTrying bounds background work on one row; it covers a long outage.
	keepTrying = 10 * time.Minute
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
	// againPauseMax bounds the pause before writes in doubt are sent again.
	againPauseMax = 50 * time.Millisecond
	pollMin       = 50 * time.Millisecond
	pollMax       = time.Second
	// holderGrace is added to a call's deadline before its holder counts as
	// gone; it covers the write of the result and the skew of clocks.
	holderGrace = 10 * time.Second
)

// Options are what a Claims is wired to.
type Options struct {
	Table   store.Table
	Objects store.Objects
	// Holder names this VM's instance.
	Holder string
	// AuthorizeSend is asked right before the first byte goes to the target; an
	// error stops the call. Nil allows all.
	AuthorizeSend func() error
	// MinCommitInterval is the least time between two transactions. Default 0: the
	// store client limits the rate.
	MinCommitInterval time.Duration
	Log               *slog.Logger
}

// Executor runs non-idempotent calls of one VM.
type Executor struct {
	options Options
	held    *budget.Bytes
	reader  reader
	wake    chan struct{}
	stopped chan struct{}
	open    atomic.Int64
	stats   struct{ transactions, readBacks, claims, repeats atomic.Uint64 }

	mu    sync.Mutex
	queue []*write

	// Only Run uses these.
	retryAt time.Time
	backoff time.Duration
}

// New returns a Claims. Run must be started for calls to make progress.
func New(o Options) *Executor {
	if o.AuthorizeSend == nil {
		o.AuthorizeSend = func() error { return nil }
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Executor{
		options: o,
		held:    budget.NewBytes(maxHeldBodies),
		reader:  reader{table: o.Table},
		wake:    make(chan struct{}, 1),
		stopped: make(chan struct{}),
	}
}

// Response is the answer of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyNotStored says that Body is not the whole answer: it was too large, or its
	// end was lost. Repeats are told only the status.
	BodyNotStored bool
}

// Call is a non-idempotent call.
type Call struct {
	Account, Service, IdempotencyKey string
	Fingerprint                      string // see Fingerprint
	// Send sends the call. It must call maySend immediately before the first
	// byte goes out and send nothing if that fails. An *apierror.Error with
	// outcome not_run means that the call did not run; after any other error
	// it counts as perhaps run.
	Send func(ctx context.Context, maySend func() error) (Response, error)
}

// CallResult is what Do returns.
type CallResult struct {
	Response
	// Replayed says that the call ran before and this is its kept result.
	Replayed bool
}

// Do runs a call unless it has run or may have run before. ctx must have a
// deadline. Errors are of type *apierror.Error.
func (c *Executor) Do(ctx context.Context, call Call) (CallResult, error) {
	if c.open.Add(1) > maxOpen {
		c.open.Add(-1)
		return CallResult{}, errTooMany
	}
	claimed, kept, err := c.claim(ctx, &call)
	if err != nil || claimed == nil {
		c.open.Add(-1)
	}
	switch {
	case err != nil:
		return CallResult{}, err
	case claimed == nil:
		c.stats.repeats.Add(1)
		return c.repeat(ctx, kept)
	default:
		c.stats.claims.Add(1)
		return c.run(ctx, &call, claimed)
	}
}

// claim returns the write that claimed the call, or else the row of a call
// that ran before.
func (c *Executor) claim(ctx context.Context, call *Call) (*write, row, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, row{}, errNoDeadline
	}
	key := rowKey(call)
	for revision := uint64(0); ; {
		w := newWrite(key, revision, row{
			State:       running,
			Nonce:       newNonce(),
			Fingerprint: call.Fingerprint,
			Holder:      c.options.Holder,
			ClaimedMS:   time.Now().UnixMilli(),
			DeadlineMS:  deadline.UnixMilli(),
		})
		f, err := c.await(ctx, w)
		if err != nil {
			return nil, row{}, err
		}
		if f == written {
			return w, row{}, nil
		}
		found, foundRevision, err := c.resolve(ctx, call, w.key, w.current)
		if err != nil || found.State == done {
			return nil, found, err
		}
		revision = foundRevision
	}
}

// await queues a claim and waits for its fate: written or conflict.
func (c *Executor) await(ctx context.Context, w *write) (fate, error) {
	w.waiting = true
	if !c.submit(w) {
		return refused, errTooMany
	}
	select {
	case <-w.finished:
	case <-ctx.Done():
		if c.abandon(w) {
			return refused, errTooLate
		}
	case <-c.stopped:
		if c.abandon(w) {
			return refused, errStoreDown
		}
	}
	if w.fate == refused {
		return refused, errStoreDown
	}
	return w.fate, nil
}

// resolve waits until the row that a call found says what to do: a row in
// state done holds the result; in state notRun the call may be claimed anew
// against the revision returned. Anything else is an error.
func (c *Executor) resolve(ctx context.Context, call *Call, key string, read store.Row) (row, uint64, error) {
	for pause := pollMin; ; pause = min(pause*3/2, pollMax) {
		if read.Revision == 0 {
			return row{State: notRun}, 0, nil // it expired meanwhile
		}
		r, err := decodeRow(read.Value)
		if err != nil {
			return r, 0, errDamaged.WithCause(err)
		}
		if r.Fingerprint != call.Fingerprint {
			return r, 0, errOtherRequest
		}
		if r.State == done || r.State == notRun {
			return r, read.Revision, nil
		}
		holderGone := time.Now().After(time.UnixMilli(r.DeadlineMS).Add(holderGrace))
		if r.State == unknown || holderGone || !wait.For(ctx, pause/2+rand.N(pause/2)) {
			return r, 0, errMayHaveRun
		}
		if again, err := c.reader.get(ctx, key); err == nil {
			read = again
		}
	}
}

// run sends a claimed call and records how it ended.
func (c *Executor) run(ctx context.Context, call *Call, w *write) (CallResult, error) {
	deadline, _ := ctx.Deadline()
	// The result is kept even if the caller goes away.
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	res, err := call.Send(sendCtx, func() error { return c.maySend(ctx, deadline) })
	if err == nil {
		c.keep(w, res)
		return CallResult{Response: res}, nil
	}
	end := unknown
	e := apierror.From(err)
	if e.Outcome == apierror.NotRun {
		end = notRun
	}
	c.finish(w, end, result{}, 0)
	return CallResult{}, e
}

// maySend checks right before the first byte that this VM may still send: it
// may have been paused since the claim. The wall clock is checked too, because
// the monotonic one can stand still while a VM is suspended.
func (c *Executor) maySend(ctx context.Context, deadline time.Time) error {
	if err := c.options.AuthorizeSend(); err != nil {
		return errMayNotSend.WithCause(err)
	}
	now := time.Now()
	if ctx.Err() != nil || !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0)) {
		return errTooLate
	}
	return nil
}

// Stats are the counters of a Claims.
type Stats struct {
	Transactions, ReadBacks, Claims, Replays uint64
	Pending                                  int64 // calls whose result is not yet written
}

// Stats returns the counters so far.
func (c *Executor) Stats() Stats {
	return Stats{
		Transactions: c.stats.transactions.Load(),
		ReadBacks:    c.stats.readBacks.Load(),
		Claims:       c.stats.claims.Load(),
		Replays:      c.stats.repeats.Load(),
		Pending:      c.open.Load(),
	}
}

// Flush waits until all results are written, for a graceful shutdown.
func (c *Executor) Flush(ctx context.Context) error {
	const interval = 10 * time.Millisecond
	for c.unwritten() {
		if !wait.For(ctx, interval) {
			return ctx.Err()
		}
	}
	return nil
}

func (c *Executor) unwritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open.Load() > 0 || len(c.queue) > 0
}
