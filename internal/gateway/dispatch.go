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
	// maxAttempts bounds how often a complete request is attempted.
	maxAttempts = 4
	// maxResumeAttempts is how often an interrupted stream is reopened on its own engine
	// before another engine continues the output.
	maxResumeAttempts = 2
	resumeDelay       = 50 * time.Millisecond
	// slowPrefillFactor is how many times slower than declared a prefill may be before the
	// attempt is aborted.
	slowPrefillFactor    = 8
	minFirstEventTimeout = 10 * time.Second
	// failedTargetTimeout bounds the wait for an event once the target was declared failed
	// after failed polls, or has restarted.
	failedTargetTimeout = time.Second
)

var (
	// errCallerDisconnected reports that the caller's connection is closed.
	errCallerDisconnected = errors.New("caller closed the connection")
	// errStalled reports that an engine sent nothing for too long.
	errStalled = errors.New("engine sent nothing for too long")
	// errTargetFailed reports that a target is frozen, unreachable or has restarted.
	errTargetFailed = errors.New("engine failed and sent nothing")
)

// sink receives the events of a response and sends them to the caller.
type sink interface {
	// setResumeToken sets the resume token of the attempt that sends the next event.
	setResumeToken(token string)
	// writeEvent receives the event with the next index.
	writeEvent(e engine.Event) error
	// complete completes the response.
	complete(u usage) error
}

// usage counts the tokens of a request and its response.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// dispatch runs the attempts of one call.
type dispatch struct {
	g               *Gateway
	c               *call
	sink            sink
	request         admission.Request
	requestNumber   uint64
	requestAttempts int  // attempts at the complete request
	attemptNumber   int  // number of the last attempt, including those of parts
	mayHaveRun      bool // a target may have run some of the request
	nextEvent       int  // index of the next event that the caller needs
	// finishReason is that of the event before nextEvent, "" if the response goes on after it.
	finishReason string
	// finishUnknown is true if the event before nextEvent was relayed by another VM.
	finishUnknown    bool
	engineTokenCount int // prompt tokens as counted by the engine, 0 if unknown
}

func (g *Gateway) newDispatch(c *call, s sink) *dispatch {
	d := &dispatch{g: g, c: c, sink: s, requestNumber: g.requestCounter.Add(1)}
	d.request = admission.Request{
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

// run makes attempts until the response is complete, the deadline passes or no retry is
// left.
func (d *dispatch) run(ctx context.Context) error {
	d.g.retryBudget.RecordRequest()
	defer d.request.End()
	for {
		d.requestAttempts++
		err := d.checkQuarantine()
		if err == nil {
			err = d.tryOnce(ctx)
		}
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return d.contextError(ctx)
		}
		if !retryable(err) {
			return d.correctOutcome(err)
		}
		if d.requestAttempts >= maxAttempts || !d.g.retryBudget.Allow() {
			return d.targetsFailedError(err)
		}
		d.request.Retry = true
		d.g.Metrics.retries.Inc()
		d.g.Log.Info("attempt failed; trying another target", "request", d.c.id, "attempt", d.attemptNumber,
			"next_event", d.nextEvent, "error", err)
	}
}

// retryable reports whether another target may succeed after err.
func retryable(err error) bool {
	return errors.Is(err, engine.ErrNotRun) || errors.Is(err, engine.ErrInterrupted) ||
		errors.Is(err, engine.ErrUnknownAttempt)
}

// outcome returns the outcome to report for a request that failed.
func (d *dispatch) outcome() apierror.Outcome {
	if d.mayHaveRun {
		return apierror.Failed
	}
	return apierror.NotRun
}

// correctOutcome corrects the outcome of a refused retry: an earlier attempt may have run,
// so that "not run" would be wrong.
func (d *dispatch) correctOutcome(err error) error {
	var e *apierror.Error
	if !d.mayHaveRun || !errors.As(err, &e) || e.Outcome != apierror.NotRun {
		return err
	}
	corrected := *e
	corrected.Outcome = apierror.Failed
	return &corrected
}

// noteMayHaveRun records the result of a call that sent some of the request.
func (d *dispatch) noteMayHaveRun(err error) {
	d.mayHaveRun = d.mayHaveRun || !errors.Is(err, engine.ErrNotRun) && !errors.Is(err, engine.ErrRejected)
}

// targetsFailedError is the caller's error for a request that no attempt completed.
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
