package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/admission"
	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/engine"
)

const (
	// maxAttempts bounds how often a request is tried as a whole.
	maxAttempts = 4
	// maxResumeAttempts is how often a broken stream is reopened on its own engine
	// before the answer is continued on another one.
	maxResumeAttempts = 2
	resumeDelay       = 50 * time.Millisecond
	// slowPrefillFactor is how many times slower than declared a prefill may be
	// before the attempt is given up.
	slowPrefillFactor    = 8
	minFirstEventTimeout = 10 * time.Second
	// failedTargetTimeout is how long a stream may be silent once its target was
	// given up after failed polls, or restarted.
	failedTargetTimeout = time.Second
)

var (
	// errCallerDisconnected reports that the caller's connection is closed.
	errCallerDisconnected = errors.New("caller closed the connection")
	// errStalled reports that an engine sent nothing for too long.
	errStalled = errors.New("engine sent nothing for too long")
	// errTargetFailed reports that a target is frozen, gone or has restarted.
	errTargetFailed = errors.New("engine was given up and sent nothing")
	// errForeignEvent reports an event of another attempt or out of order.
	errForeignEvent = errors.New("engine sent an event of another attempt or out of order")
)

// sink takes the events of an answer on their way to the caller.
type sink interface {
	// begin announces the attempt that sends the next event.
	begin(token string)
	// event takes the event with the next index.
	event(e engine.Event) error
	// end completes the answer.
	end(u usage) error
}

// usage counts the tokens of an answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// dispatch carries one call through its attempts.
type dispatch struct {
	g                *Gateway
	c                *call
	sink             sink
	work             admission.Request
	counter          uint64
	tries            int  // of the whole request
	attempt          int  // number of the last attempt, of parts too
	mayHaveRun       bool // a target may have run something of the request
	next             int  // index of the next event that the caller needs
	engineTokenCount int  // the engine's count of the prompt, 0 if unknown
}

func (g *Gateway) newDispatch(c *call, s sink) *dispatch {
	d := &dispatch{g: g, c: c, sink: s, counter: g.counter.Add(1)}
	d.work = admission.Request{
		RequestID:    c.id,
		Account:      c.account,
		Service:      c.service,
		Model:        c.model,
		Class:        c.class,
		PromptTokens: c.promptTokens,
		OutputTokens: c.maxTokens,
		Bytes:        c.bufferedBytes,
		Deadline:     c.deadline,
		Prefix:       engine.AppendPrefixHashes(nil, c.prompt, bytesPerToken),
	}
	return d
}

// run makes attempts until the answer is complete, the deadline passes or no
// retry is left.
func (d *dispatch) run(ctx context.Context) error {
	d.g.retryBudget.RecordRequest()
	defer d.work.End()
	for {
		d.tries++
		err := d.tryOnce(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return d.contextError(ctx)
		}
		if !retryable(err) {
			return d.correctOutcome(err)
		}
		if d.tries >= maxAttempts || !d.g.retryBudget.Allow() {
			return d.targetsFailedError(err)
		}
		d.work.Retry = true
		d.g.Metrics.retries.Inc()
		d.g.Log.Info("attempt failed; trying another target", "request", d.c.id, "attempt", d.attempt,
			"next_event", d.next, "error", err)
	}
}

// retryable says whether another target may succeed where one failed.
func retryable(err error) bool {
	return errors.Is(err, engine.ErrNotRun) || errors.Is(err, engine.ErrInterrupted) ||
		errors.Is(err, engine.ErrUnknownAttempt)
}

// outcome is what an error says of a request that is not finished.
func (d *dispatch) outcome() apierror.Outcome {
	if d.mayHaveRun {
		return apierror.Failed
	}
	return apierror.NotRun
}

// correctOutcome corrects the outcome of a refused retry: an earlier attempt may have
// run, so that "not run" would be untrue.
func (d *dispatch) correctOutcome(err error) error {
	var e *apierror.Error
	if !d.mayHaveRun || !errors.As(err, &e) || e.Outcome != apierror.NotRun {
		return err
	}
	corrected := *e
	corrected.Outcome = apierror.Failed
	return &corrected
}

// noteMayHaveRun takes the result of a call that sent something of the request.
func (d *dispatch) noteMayHaveRun(err error) {
	d.mayHaveRun = d.mayHaveRun || !errors.Is(err, engine.ErrNotRun) && !errors.Is(err, engine.ErrRejected)
}

// targetsFailedError is the caller's view of a request that no attempt finished.
func (d *dispatch) targetsFailedError(err error) error {
	return apierror.New(apierror.KindTargetFailed, d.outcome(),
		"the targets that were tried did not finish the answer", "send the request again").WithCause(err)
}

func (d *dispatch) contextError(ctx context.Context) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.DeadlineExceeded) {
		return d.deadlineError()
	}
	return merry.Wrap(errCallerDisconnected)
}

func (d *dispatch) deadlineError() error {
	return apierror.New(apierror.KindDeadlineExceeded, d.outcome(),
		"the deadline passed before the answer was complete", "allow more time or send a shorter prompt")
}
