package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/admission"
	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/resume"
)

// attemptRun is one attempt on one target.
type attemptRun struct {
	id     string
	grant  *admission.Grant
	report admission.Report
	sentAt time.Time
	stream engine.Stream
	cancel context.CancelCauseFunc
	timer  *time.Timer
	ctx    context.Context // of the open stream
	tokens int             // of the prompt, to be prefilled on this target
	// parts holds what the attempt imports, nil for a whole prompt.
	parts *exportedParts
	// export is the result of an attempt that is not the last part.
	export engine.Export
	// waitingSince is since when the gateway waits for the engine, in Unix
	// nanoseconds; 0 while it does not.
	waitingSince atomic.Int64
}

// tryOnce sends one attempt and relays its events. It returns nil when the
// answer is complete.
func (d *dispatch) tryOnce(ctx context.Context) error {
	grant, err := d.g.Admitter.Admit(ctx, &d.work)
	if err != nil {
		return err
	}
	if len(grant.EarlierParts) > 0 {
		return d.runSplit(ctx, grant)
	}
	return d.runAttempt(ctx, grant, nil)
}

// runAttempt sends a whole prompt, or the last part of one that imports the
// parts before it.
func (d *dispatch) runAttempt(ctx context.Context, grant *admission.Grant, p *exportedParts) error {
	run, err := d.prepare(grant)
	if err != nil {
		grant.Done(admission.Report{})
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
	if err == nil {
		run.finish()
		return nil
	}
	d.work.Exclude = append(d.work.Exclude, grant.Target)
	run.report.Failed = ctx.Err() == nil && !errors.Is(err, errCallerDisconnected) && !errors.Is(err, engine.ErrRejected) &&
		(p == nil || p.stillHeld(ctx)) // a lost import is not the fault of this target
	d.g.abandon(run, d.c, callerDisconnected(ctx, err))
	if errors.Is(err, engine.ErrRejected) {
		return apierror.New(apierror.KindInvalidRequest, d.outcome(),
			"the engine rejected the request", "correct the request").WithCause(err)
	}
	return err
}

// callerDisconnected says whether an attempt failed because its caller went away,
// which shows either in a failed write or in the request's context.
func callerDisconnected(ctx context.Context, err error) bool {
	return errors.Is(err, errCallerDisconnected) || errors.Is(context.Cause(ctx), context.Canceled)
}

func (d *dispatch) prepare(grant *admission.Grant) (*attemptRun, error) {
	prefix, err := d.g.Identity.AttemptPrefix()
	if err != nil {
		return nil, apierror.New(apierror.KindUnavailable, d.outcome(),
			"this VM may not start new work", "send the request to another VM").WithCause(err)
	}
	d.attempt++
	run := &attemptRun{grant: grant, tokens: d.c.promptTokens, id: fmt.Sprintf("%s.%d.%d", prefix, d.counter, d.attempt)}
	d.g.Log.Info("route", "request", d.c.id, "account", d.c.account, "service", d.c.service,
		"target", grant.Target, "attempt", run.id, "prompt_tokens", d.c.promptTokens,
		"max_tokens", d.c.maxTokens, "continue_from", d.next, "from", grant.From, "to", grant.To, "reason", grant.Reason)
	grant.BindAttempt(run.id)
	return run, nil
}

// start opens the stream of an attempt.
func (d *dispatch) start(ctx context.Context, run *attemptRun) error {
	o := engine.BodyOptions{
		Attempt:      run.id,
		Priority:     run.grant.Priority,
		ContinueFrom: d.next,
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

// openContext prepares the context of a call that the engine must answer within a
// time, and that ends early when the target is given up.
func (run *attemptRun) openContext(ctx context.Context, within time.Duration) {
	ctx, cancel := context.WithCancelCause(ctx)
	run.ctx, run.cancel = ctx, cancel
	run.timer = time.AfterFunc(within, func() { cancel(errStalled) })
	run.waitingSince.Store(time.Now().UnixNano())
	if run.grant.TargetLost != nil {
		go run.abortAfterTargetFailure(ctx, cancel)
	}
}

// abortAfterTargetFailure ends a call whose target was given up once the target is silent. Time
// that the caller takes to read is not counted as the engine's.
func (run *attemptRun) abortAfterTargetFailure(ctx context.Context, cancel context.CancelCauseFunc) {
	select {
	case <-ctx.Done():
		return
	case <-run.grant.TargetLost:
	}
	for {
		left := failedTargetTimeout
		if since := run.waitingSince.Load(); since != 0 {
			left -= time.Since(time.Unix(0, since))
		}
		if left <= 0 {
			cancel(errTargetFailed)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(left):
		}
	}
}

// recordStreamStart notes what the response header of an engine says.
func (d *dispatch) recordStreamStart(run *attemptRun) {
	run.report.StartNumber = run.stream.StartNumber()
	if n := run.stream.PromptTokens(); n > 0 {
		if run.parts != nil {
			n += run.parts.tokenCount()
		}
		d.engineTokenCount = n
		run.report.PromptBytes, run.report.PromptTokens = len(d.c.prompt), n
		d.g.tokenEstimator.observe(d.c.model, len(d.c.prompt), n)
	}
}

// abortError replaces the cancellation of a stalled attempt by its cause.
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

// relayWithResume relays events and reopens a broken stream on its engine.
func (d *dispatch) relayWithResume(ctx context.Context, run *attemptRun) error {
	d.sink.begin(d.g.sealToken(d.c, run))
	for tries := 0; ; tries++ {
		err := d.relay(run)
		if err == nil || !errors.Is(err, engine.ErrInterrupted) || tries >= maxResumeAttempts || ctx.Err() != nil {
			return err
		}
		if errors.Is(context.Cause(run.ctx), errTargetFailed) {
			return abortError(run.ctx, err) // a call to resume would wait in vain
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

func (d *dispatch) reopen(ctx context.Context, run *attemptRun) error {
	run.cancelContext()
	run.openContext(ctx, d.g.Limits.StartTimeout)
	stream, err := run.grant.Client.Resume(run.ctx, run.id, d.next)
	if err != nil {
		return abortError(run.ctx, err)
	}
	run.stream = stream
	run.timer.Reset(d.g.Limits.EventTimeout)
	d.g.Log.Info("stream reopened", "request", d.c.id, "attempt", run.id, "from", d.next)
	return nil
}

// relay hands the events of one stream to the sink until the end mark.
func (d *dispatch) relay(run *attemptRun) error {
	defer run.stream.Close()
	for {
		run.waitingSince.Store(time.Now().UnixNano())
		e, err := run.stream.Next()
		// Time that the caller takes to read is not the engine's.
		run.waitingSince.Store(0)
		run.timer.Stop()
		if errors.Is(err, io.EOF) {
			return d.sink.end(d.usage())
		}
		if err != nil {
			return err
		}
		if e.Attempt != run.id || e.Index != d.next {
			d.g.Metrics.foreignEvents.Inc()
			return merry.Prepend(engine.ErrInterrupted, errForeignEvent.Error())
		}
		if !run.report.ReceivedEvent {
			run.report.ReceivedEvent = true
			run.report.TimeToFirstEvent = time.Since(run.sentAt)
			run.grant.FirstEvent()
		}
		if d.next == 0 {
			d.g.Metrics.observeFirstToken(d.c.promptTokens, time.Since(d.c.arrived))
		}
		if err := d.sink.event(e); err != nil {
			return err
		}
		d.next++
		run.report.Events++
		run.timer.Reset(d.g.Limits.EventTimeout)
	}
}

func (d *dispatch) usage() usage {
	prompt := d.engineTokenCount
	if prompt == 0 {
		prompt = d.c.promptTokens
	}
	return usage{PromptTokens: prompt, CompletionTokens: d.next, TotalTokens: prompt + d.next}
}

func (run *attemptRun) cancelContext() {
	if run.timer != nil {
		run.timer.Stop()
	}
	if run.cancel != nil {
		run.cancel(nil)
	}
}

// sealToken returns the token with which the caller can resume the answer.
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
