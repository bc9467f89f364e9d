package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/admission"
	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/resume"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// attemptRun is one attempt at one target.
type attemptRun struct {
	id     string
	grant  *admission.Grant
	result admission.AttemptResult
	sentAt time.Time
	stream engine.Stream
	cancel context.CancelCauseFunc
	timer  *time.Timer
	ctx    context.Context // of the open stream
	tokens int             // of the prompt, to be prefilled at this target
	// parts holds the exports that the attempt imports, nil for an unsplit prompt.
	parts *exportedParts
	// export is the result of an attempt that is not the last part.
	export engine.Export
	// waiting runs while the gateway waits for the engine.
	waiting wait.Stopwatch
}

// tryOnce makes one attempt and relays its events. It returns nil when the response is
// complete.
func (d *dispatch) tryOnce(ctx context.Context) error {
	grant, err := d.g.Admitter.Admit(ctx, &d.request)
	if err != nil {
		return err
	}
	if len(grant.EarlierParts) > 0 {
		return d.runSplit(ctx, grant)
	}
	return d.runAttempt(ctx, grant, nil)
}

// runAttempt sends an unsplit prompt, or the last part of a split one, which imports the
// parts before it.
func (d *dispatch) runAttempt(ctx context.Context, grant *admission.Grant, p *exportedParts) error {
	run, err := d.prepare(grant)
	if err != nil {
		grant.Done(admission.AttemptResult{})
		return err
	}
	if p != nil {
		p.retain()
		run.parts, run.tokens = p, max(1, d.c.promptTokens-p.from)
	}
	defer run.cancelContext()
	err = d.start(ctx, run)
	if err == nil {
		err = d.relayWithResume(ctx, run)
	}
	d.recordEvidence(ctx, run, err)
	if err == nil {
		run.finish()
		return nil
	}
	d.request.Exclude = append(d.request.Exclude, grant.Target)
	run.result.Failed = ctx.Err() == nil && !errors.Is(err, errCallerDisconnected) && !errors.Is(err, engine.ErrRejected) &&
		(p == nil || p.stillHeld(ctx)) // a lost import is not a failure of this target
	d.g.abandon(run, d.c, callerDisconnected(ctx, err))
	if errors.Is(err, engine.ErrRejected) {
		return apierror.New(apierror.KindInvalidRequest, d.outcome(),
			"the engine rejected the request", "correct the request").WithCause(err)
	}
	return err
}

// callerDisconnected reports whether an attempt failed because its caller disconnected,
// which shows either in a failed write or in the request's context.
func callerDisconnected(ctx context.Context, err error) bool {
	return errors.Is(err, errCallerDisconnected) || errors.Is(context.Cause(ctx), context.Canceled)
}

func (d *dispatch) prepare(grant *admission.Grant) (*attemptRun, error) {
	if err := d.checkQuarantine(); err != nil {
		return nil, err // it was quarantined while it was queued
	}
	prefix, err := d.g.Identity.AttemptPrefix()
	if err != nil {
		return nil, apierror.New(apierror.KindUnavailable, d.outcome(),
			"this VM may not start new work", "send the request to another VM").WithCause(err)
	}
	d.attemptNumber++
	run := &attemptRun{grant: grant, tokens: d.c.promptTokens, id: fmt.Sprintf("%s.%d.%d", prefix, d.requestNumber, d.attemptNumber)}
	d.g.Log.Info("route", "request", d.c.id, "account", d.c.account, "service", d.c.service,
		"target", grant.Target, "attempt", run.id, "prompt_tokens", d.c.promptTokens,
		"max_tokens", d.c.maxTokens, "continue_from", d.nextEvent, "from", grant.From, "to", grant.To, "reason", grant.Reason)
	grant.BindAttempt(run.id)
	return run, nil
}

// start opens the stream of an attempt.
func (d *dispatch) start(ctx context.Context, run *attemptRun) error {
	o := engine.BodyOptions{
		Attempt:      run.id,
		Priority:     run.grant.Priority,
		ContinueFrom: d.nextEvent,
		MaxTokens:    d.c.maxTokens,
	}
	if run.parts != nil {
		o.Imports, o.PromptFrom, o.PromptTo = run.parts.imports(), run.parts.from, engine.PromptEnd
	}
	body, err := engine.EncodeBody(d.c.fields, o)
	if err != nil {
		return invalid("the body could not be forwarded: %v", err)
	}
	run.openContext(ctx, d.g.Limits.StartTimeout)
	run.sentAt = time.Now()
	run.stream, err = run.grant.Client.Start(run.ctx, engine.StartRequest{Attempt: run.id, Path: d.c.path, Body: body})
	d.noteMayHaveRun(err)
	if err != nil {
		return abortError(run.ctx, err)
	}
	d.recordStreamStart(run)
	run.timer.Reset(run.firstEventTimeout())
	return nil
}

// openContext prepares the context of an engine call, which is cancelled when the engine
// does not respond within the given time, or earlier when the target has failed.
func (run *attemptRun) openContext(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithCancelCause(ctx)
	run.ctx, run.cancel = ctx, cancel
	run.timer = time.AfterFunc(timeout, func() { cancel(errStalled) })
	run.waiting.Start()
	if run.grant.TargetFailed != nil {
		go run.abortAfterTargetFailure(ctx, cancel)
	}
}

// abortAfterTargetFailure cancels a call once its target has failed and sends nothing. Time
// that the caller takes to read does not count.
func (run *attemptRun) abortAfterTargetFailure(ctx context.Context, cancel context.CancelCauseFunc) {
	select {
	case <-ctx.Done():
		return
	case <-run.grant.TargetFailed:
	}
	for {
		waited, _ := run.waiting.Elapsed()
		remaining := failedTargetTimeout - waited
		if remaining <= 0 {
			cancel(errTargetFailed)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(remaining):
		}
	}
}

// maxTemplateTokens bounds the tokens that an engine's template adds to a prompt.
const maxTemplateTokens = 1024

// maxPromptTokens returns the most tokens that the prompt can have: none is shorter than a byte.
func (c *call) maxPromptTokens() int { return len(c.prompt) + maxTemplateTokens }

// recordStreamStart records the values in the response header of an engine.
func (d *dispatch) recordStreamStart(run *attemptRun) {
	run.result.StartNumber = run.stream.StartNumber()
	n := run.stream.PromptTokens()
	if n > 0 && run.parts != nil {
		n += run.parts.tokenCount()
	}
	if n > 0 && n <= d.c.maxPromptTokens() {
		d.engineTokenCount = n
		run.result.PromptBytes, run.result.PromptTokens = len(d.c.prompt), n
		d.g.tokenEstimator.observe(d.c.model, len(d.c.prompt), n)
	}
}

// abortError replaces the cancellation error of an aborted attempt by its cause.
func abortError(ctx context.Context, err error) error {
	if err == nil || errors.Is(err, errCallerDisconnected) {
		return err
	}
	for _, cause := range []error{errStalled, errTargetFailed, errPartLost} {
		if errors.Is(context.Cause(ctx), cause) {
			return merry.Prepend(engine.ErrInterrupted, cause.Error())
		}
	}
	return err
}

// firstEventTimeout bounds the prefill of the attempt's prompt.
func (run *attemptRun) firstEventTimeout() time.Duration {
	seconds := float64(run.tokens) / max(1, run.grant.Declared.PrefillTokensPerSecond)
	return max(minFirstEventTimeout, time.Duration(seconds*slowPrefillFactor*float64(time.Second)))
}

// relayWithResume relays events and reopens an interrupted stream on the same engine, unless the
// engine sent an event that does not belong to the stream.
func (d *dispatch) relayWithResume(ctx context.Context, run *attemptRun) error {
	d.sink.setResumeToken(d.g.sealToken(d.c, run))
	for attempts := 0; ; attempts++ {
		err := d.relay(run)
		spoiled := d.recordEventError(run, err)
		if err == nil || spoiled || !errors.Is(err, engine.ErrInterrupted) || attempts >= maxResumeAttempts || ctx.Err() != nil {
			return err
		}
		if errors.Is(context.Cause(run.ctx), errTargetFailed) {
			return abortError(run.ctx, err) // a resume call would wait in vain
		}
		select {
		case <-time.After(resumeDelay):
		case <-ctx.Done():
			return err
		}
		if resumeErr := d.reopen(ctx, run); resumeErr != nil {
			return merry.Prepend(engine.ErrInterrupted, resumeErr.Error())
		}
	}
}

// recordEventError records whether an attempt ended at an event that does not belong to its stream.
func (d *dispatch) recordEventError(run *attemptRun, err error) bool {
	var fault *engine.EventError
	if !errors.As(err, &fault) {
		return false
	}
	d.g.Metrics.foreignEvents.Inc()
	d.g.Log.Warn("event does not belong to the stream", "request", d.c.id, "attempt", run.id, "target", run.grant.Target,
		"next_event", d.nextEvent, "reason", fault.Fault, "sample", fault.Sample)
	return true
}

func (d *dispatch) reopen(ctx context.Context, run *attemptRun) error {
	run.cancelContext()
	run.openContext(ctx, d.g.Limits.StartTimeout)
	stream, err := run.grant.Client.Resume(run.ctx, run.id, d.nextEvent)
	if err != nil {
		return abortError(run.ctx, err)
	}
	run.stream = stream
	run.timer.Reset(d.g.Limits.EventTimeout)
	d.g.Log.Info("stream reopened", "request", d.c.id, "attempt", run.id, "from", d.nextEvent)
	return nil
}

// relay passes the events of one stream to the sink until the end marker.
func (d *dispatch) relay(run *attemptRun) error {
	defer run.stream.Close()
	for {
		run.waiting.Start()
		e, err := run.stream.Next()
		// Time that the caller takes to read does not count for the engine.
		run.waiting.Stop()
		run.timer.Stop()
		if errors.Is(err, io.EOF) {
			return d.complete()
		}
		if err == nil {
			err = d.checkEvent(run, e)
		}
		if err != nil {
			return err
		}
		if !run.result.ReceivedEvent {
			run.result.ReceivedEvent = true
			run.result.TimeToFirstEvent = time.Since(run.sentAt)
			run.grant.FirstEvent()
		}
		if d.nextEvent == 0 {
			d.g.Metrics.observeFirstToken(d.c.promptTokens, time.Since(d.c.arrived))
		}
		if err := d.sink.writeEvent(e); err != nil {
			return err
		}
		d.nextEvent++
		d.finishReason, d.finishUnknown = e.FinishReason, false
		run.result.Events++
		run.timer.Reset(d.g.Limits.EventTimeout)
	}
}

// checkEvent returns an error if an event of an attempt cannot be the next one of the response.
func (d *dispatch) checkEvent(run *attemptRun, e engine.Event) error {
	switch {
	case e.Attempt != run.id:
		return engine.NewEventError(engine.FaultAttempt, e.Data)
	case e.Index != d.nextEvent:
		return engine.NewEventError(engine.FaultOrder, e.Data)
	case d.finishReason != "":
		return engine.NewEventError(engine.FaultAfterEnd, e.Data)
	}
	return nil
}

// complete completes the response at the end mark, unless the mark comes too early.
func (d *dispatch) complete() error {
	if d.finishReason == "" && !d.finishUnknown {
		return engine.NewEventError(engine.FaultEarlyEnd, nil)
	}
	return d.sink.complete(d.usage())
}

func (d *dispatch) usage() usage {
	prompt := d.engineTokenCount
	if prompt == 0 {
		prompt = d.c.promptTokens
	}
	return usage{PromptTokens: prompt, CompletionTokens: d.nextEvent, TotalTokens: prompt + d.nextEvent}
}

func (run *attemptRun) cancelContext() {
	if run.timer != nil {
		run.timer.Stop()
	}
	if run.cancel != nil {
		run.cancel(nil)
	}
}

// sealToken returns the token with which the caller can resume the stream, or "" on failure.
func (g *Gateway) sealToken(c *call, run *attemptRun) string {
	text, err := g.Sealer.Seal(resume.Token{
		Account:   c.account,
		RequestID: c.id,
		Path:      c.path,
		Model:     c.model,
		Service:   c.service,
		Target:    run.grant.Target,
		Address:   run.grant.Declared.Address,
		Attempt:   run.id,
		Deadline:  c.deadline,
		MaxTokens: c.maxTokens,
	})
	if err != nil {
		g.Log.Error("resume token could not be sealed", "request", c.id, "error", err)
		return ""
	}
	return text
}
