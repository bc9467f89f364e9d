// Package claim runs non-idempotent calls at most once.
//
// Each call has a row in the table service. A VM claims a call by inserting the
// row with a nonce, on condition that it is absent; it then sends the call and
// writes the outcome into the row. The row is authoritative: a VM that finds it
// never sends the call again, unless the holder of the row marked it not_run.
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
	// TTL is the retention time of a claim row. Afterwards its idempotency key can
	// be reused.
	TTL = 24 * time.Hour
	// MaxInlineBody is the largest response body stored in a row, in bytes.
	MaxInlineBody = 64 << 10
	// MaxStoredBody is the largest response body stored at all. Bodies above
	// MaxInlineBody go to the object store.
	MaxStoredBody = 1 << 20
)

const (
	// maxPending bounds the calls whose outcome is not yet written.
	maxPending = 4096
	// maxQueued is the length of the write queue from which new claims are
	// rejected.
	maxQueued = 2 * maxPending
	// maxBufferedBytes bounds the response bodies buffered until they are written.
	maxBufferedBytes = 64 << 20
	maxBatchRows     = 128
	maxBatchBytes    = 1 << 20
	storeTimeout     = 3 * time.Second
	// backgroundTimeout bounds the background retries of one write. It is long
	// enough to outlast a long outage of the store.
	backgroundTimeout = 10 * time.Minute
	backoffMin        = 50 * time.Millisecond
	backoffMax        = time.Second
	// resendDelayMax bounds the delay before writes whose transaction had an
	// unknown outcome are sent again.
	resendDelayMax = 50 * time.Millisecond
	pollMin        = 50 * time.Millisecond
	pollMax        = time.Second
	// holderGrace is added to a call's deadline before its holder is considered
	// dead. It covers the write of the outcome and the clock skew between VMs.
	holderGrace = 10 * time.Second
)

// Options configure an Executor.
type Options struct {
	Table   store.Table
	Objects store.Objects
	// Holder identifies this instance of the VM.
	Holder string
	// AuthorizeSend is called immediately before the first byte is sent to the
	// target; an error prevents the call. Nil allows every call.
	AuthorizeSend func() error
	// MinCommitInterval is the minimum time between two transactions. Default 0:
	// only the store client limits the rate.
	MinCommitInterval time.Duration
	Log               *slog.Logger
}

// Executor runs the non-idempotent calls of one VM.
type Executor struct {
	options       Options
	bufferedBytes *budget.Bytes
	reader        batchReader
	sent          *sentCalls
	wake          chan struct{}
	stopped       chan struct{}
	pending       atomic.Int64
	stats         struct{ transactions, readBacks, claims, replays atomic.Uint64 }

	mu    sync.Mutex
	queue []*write

	// The fields below are used by Run only.
	retryAt time.Time
	backoff time.Duration
}

// New returns an Executor. Calls make progress only while Run is running.
func New(o Options) *Executor {
	if o.AuthorizeSend == nil {
		o.AuthorizeSend = func() error { return nil }
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Executor{
		options:       o,
		bufferedBytes: budget.NewBytes(maxBufferedBytes),
		reader:        batchReader{table: o.Table},
		sent:          newSentCalls(),
		wake:          make(chan struct{}, 1),
		stopped:       make(chan struct{}),
	}
}

// Response is the response of a target.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyNotStored reports that Body is incomplete because the response was too
	// large or was interrupted. Retries then receive only the status.
	BodyNotStored bool
}

// Call is a non-idempotent call.
type Call struct {
	Account, Service, IdempotencyKey string
	Fingerprint                      string // see func Fingerprint
	// Send sends the call. It must call maySend immediately before the first
	// byte and must send nothing if maySend fails. An *apierror.Error with
	// outcome not_run means that the call did not run; after any other error
	// its outcome is unknown.
	Send func(ctx context.Context, maySend func() error) (Response, error)
}

// CallResult is the result of Do.
type CallResult struct {
	Response
	// Replayed reports that the call ran before and Response is its stored
	// response.
	Replayed bool
}

// Do runs a call unless it ran, or may have run, before. ctx must have a
// deadline. Errors are of type *apierror.Error.
func (e *Executor) Do(ctx context.Context, call Call) (CallResult, error) {
	if e.pending.Add(1) > maxPending {
		e.pending.Add(-1)
		return CallResult{}, errOverloaded
	}
	claimed, existing, err := e.claim(ctx, &call)
	if err != nil || claimed == nil {
		e.pending.Add(-1)
	}
	switch {
	case err != nil:
		return CallResult{}, err
	case claimed == nil:
		e.stats.replays.Add(1)
		return e.replay(ctx, existing)
	default:
		e.stats.claims.Add(1)
		return e.execute(ctx, &call, claimed)
	}
}

// claim returns the write that claimed the call. If the call ran before, the
// write is nil and the row holds its stored response.
func (e *Executor) claim(ctx context.Context, call *Call) (*write, row, error) {
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
			Holder:      e.options.Holder,
			ClaimedMS:   time.Now().UnixMilli(),
			DeadlineMS:  deadline.UnixMilli(),
		})
		result, err := e.awaitClaim(ctx, w)
		if err != nil {
			return nil, row{}, err
		}
		if result == written {
			return w, row{}, nil
		}
		found, foundRevision, err := e.resolveExisting(ctx, call, w.key, w.current)
		if err != nil || found.State == done {
			return nil, found, err
		}
		revision = foundRevision
	}
}

// awaitClaim queues a claim and waits until it is written or in conflict.
func (e *Executor) awaitClaim(ctx context.Context, w *write) (writeResult, error) {
	w.hasCaller = true
	if !e.submit(w) {
		return failed, errOverloaded
	}
	select {
	case <-w.finished:
	case <-ctx.Done():
		if e.abandon(w) {
			return failed, errDeadlineExceeded
		}
	case <-e.stopped:
		if e.abandon(w) {
			return failed, errStoreUnavailable
		}
	}
	if w.result == failed {
		return failed, errStoreUnavailable
	}
	return w.result, nil
}

// resolveExisting polls a row that another claim wrote until the row is final.
// In state done it holds the response; in state notRun the call can be claimed
// again on condition of the returned revision. Anything else is an error.
func (e *Executor) resolveExisting(ctx context.Context, call *Call, key string, read store.Row) (row, uint64, error) {
	for pause := pollMin; ; pause = min(pause*3/2, pollMax) {
		if read.Revision == 0 {
			return row{State: notRun}, 0, nil // it expired in the meantime
		}
		r, err := decodeRow(read.Value)
		if err != nil {
			return r, 0, errCorruptRow.WithCause(err)
		}
		if r.Fingerprint != call.Fingerprint {
			return r, 0, errKeyReused
		}
		if r.State == done || r.State == notRun {
			return r, read.Revision, nil
		}
		holderGone := time.Now().After(time.UnixMilli(r.DeadlineMS).Add(holderGrace))
		if r.State == unknown || holderGone || !wait.For(ctx, pause/2+rand.N(pause/2)) {
			return r, 0, errOutcomeUnknown
		}
		if latest, err := e.reader.get(ctx, key); err == nil {
			read = latest
		}
	}
}

// execute sends a claimed call and records its outcome. If this VM has sent the
// call before, the store has lost the row of that claim, and the call must not run
// again.
func (e *Executor) execute(ctx context.Context, call *Call, w *write) (CallResult, error) {
	if e.sent.contains(w.key) {
		e.options.Log.Warn("claim was lost by the table service; the call is not run again", "row", w.key)
		e.recordOutcome(w, unknown, storedResponse{}, 0)
		return CallResult{}, errOutcomeUnknown
	}
	deadline, _ := ctx.Deadline()
	// The call continues, and its response is stored, even if the caller
	// disconnects.
	sendCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	res, err := call.Send(sendCtx, func() error { return e.authorizeSend(ctx, w.key, deadline) })
	if err == nil {
		e.storeResponse(w, res)
		return CallResult{Response: res}, nil
	}
	outcome := unknown
	apiErr := apierror.From(err)
	if apiErr.Outcome == apierror.NotRun {
		outcome = notRun
		e.sent.remove(w.key)
	}
	e.recordOutcome(w, outcome, storedResponse{}, 0)
	return CallResult{}, apiErr
}

// authorizeSend checks, immediately before the first byte, that this VM may still
// send: the process may have been paused since the claim. It also compares wall
// clock times, because the monotonic clock can stop while a VM is suspended.
func (e *Executor) authorizeSend(ctx context.Context, key string, deadline time.Time) error {
	if err := e.options.AuthorizeSend(); err != nil {
		return errNotAuthorized.WithCause(err)
	}
	now := time.Now()
	if ctx.Err() != nil || !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0)) {
		return errDeadlineExceeded
	}
	e.sent.add(key)
	return nil
}

// Stats are the counters of an Executor.
type Stats struct {
	Transactions, ReadBacks, Claims, Replays uint64
	Pending                                  int64 // calls whose outcome is not yet written
}

// Stats returns the current counters.
func (e *Executor) Stats() Stats {
	return Stats{
		Transactions: e.stats.transactions.Load(),
		ReadBacks:    e.stats.readBacks.Load(),
		Claims:       e.stats.claims.Load(),
		Replays:      e.stats.replays.Load(),
		Pending:      e.pending.Load(),
	}
}

// Flush waits until all outcomes are written. It serves a graceful shutdown.
func (e *Executor) Flush(ctx context.Context) error {
	const interval = 10 * time.Millisecond
	for e.hasUnwritten() {
		if !wait.For(ctx, interval) {
			return ctx.Err()
		}
	}
	return nil
}

func (e *Executor) hasUnwritten() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pending.Load() > 0 || len(e.queue) > 0
}
