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
)

const (
	maxAttempts = 4
	// resumeTries is how often a broken stream is reopened on its own engine
	// before the answer is continued on another one.
	resumeTries = 2
	resumePause = 50 * time.Millisecond
	// slowPrefillFactor is how many times slower than declared a prefill may be
	// before the attempt is given up.
	slowPrefillFactor = 8
	minFirstEventWait = 10 * time.Second
	cancelTimeout     = 2 * time.Second
	cancelPauseMax    = 2 * time.Second
	// cancelGiveUp bounds the confirmation of a cancellation. The sweep of the
	// engine's list of attempts finds what is left after it.
	cancelGiveUp = 30 * time.Second
	// lateStartWait is how long after a confirmed cancellation an attempt whose
	// start was never answered is cancelled once more. Its request may still
	// have been on the way, or in the buffers of a frozen engine.
	lateStartWait = 2 * time.Second
)

var (
	// errCallerGone reports that the caller's connection is closed.
	errCallerGone = errors.New("caller closed the connection")
	// errStalled reports that an engine sent nothing for too long.
	errStalled = errors.New("engine sent nothing for too long")
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
	g       *Gateway
	c       *call
	sink    sink
	work    admission.Work
	counter uint64
	attempt int
	next    int // index of the next event that the caller needs
	counted int // the engine's count of the prompt, 0 if unknown
}

func (g *Gateway) newDispatch(c *call, s sink) *dispatch {
	d := &dispatch{g: g, c: c, sink: s, counter: g.counter.Add(1)}
	d.work = admission.Work{
		RequestID:    c.id,
		Account:      c.account,
		Service:      c.service,
		Model:        c.model,
		Class:        c.class,
		PromptTokens: c.promptTokens,
		OutputTokens: c.maxTokens,
		Bytes:        c.heldBytes,
		Deadline:     c.deadline,
		Prefix:       engine.AppendPrefixHashes(nil, c.prompt, bytesPerToken),
	}
	return d
}

// run makes attempts until the answer is complete, the deadline passes or no
// retry is left.
func (d *dispatch) run(ctx context.Context) error {
	d.g.budget.OnRequest()
	for {
		err := d.tryOnce(ctx)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return d.contextError(ctx)
		}
		if !retryable(err) {
			return err
		}
		if d.attempt >= maxAttempts || !d.g.budget.Take() {
			return d.failure(err)
		}
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

// failure is the caller's view of a request that no attempt finished.
func (d *dispatch) failure(err error) error {
	outcome := apierror.Failed
	if d.next == 0 && d.attempt == 1 && errors.Is(err, engine.ErrNotRun) {
		outcome = apierror.NotRun
	}
	return apierror.New(apierror.KindTargetFailed, outcome,
		"the targets that were tried did not finish the answer", "send the request again").WithCause(err)
}

func (d *dispatch) contextError(ctx context.Context) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, context.DeadlineExceeded) {
		return d.deadlineError()
	}
	return merry.Wrap(errCallerGone)
}

func (d *dispatch) deadlineError() error {
	outcome := apierror.Failed
	if d.attempt == 0 {
		outcome = apierror.NotRun
	}
	return apierror.New(apierror.KindDeadlineExceeded, outcome,
		"the deadline passed before the answer was complete", "allow more time or send a shorter prompt")
}

// attemptRun is one attempt on one target.
type attemptRun struct {
	id     string
	grant  *admission.Grant
	report admission.Report
	sentAt time.Time
	stream engine.Stream
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// tryOnce sends one attempt and relays its events. It returns nil when the
// answer is complete.
func (d *dispatch) tryOnce(ctx context.Context) error {
	grant, err := d.g.Admitter.Admit(ctx, &d.work)
	if err != nil {
		return err
	}
	run, err := d.prepare(grant)
	if err != nil {
		grant.Done(admission.Report{})
		return err
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
	run.report.Failed = ctx.Err() == nil && !errors.Is(err, errCallerGone) && !errors.Is(err, engine.ErrRejected)
	d.g.abandon(run, d.c, callerGone(ctx, err))
	if errors.Is(err, engine.ErrRejected) {
		return apierror.New(apierror.KindInvalidRequest, apierror.NotRun,
			"the engine rejected the request", "correct the request").WithCause(err)
	}
	return err
}

// callerGone says whether an attempt failed because its caller went away,
// which shows either in a failed write or in the request's context.
func callerGone(ctx context.Context, err error) bool {
	return errors.Is(err, errCallerGone) || errors.Is(context.Cause(ctx), context.Canceled)
}

func (d *dispatch) prepare(grant *admission.Grant) (*attemptRun, error) {
	prefix, err := d.g.Identity.AttemptPrefix()
	if err != nil {
		return nil, err
	}
	d.attempt++
	run := &attemptRun{grant: grant, id: fmt.Sprintf("%s.%d.%d", prefix, d.counter, d.attempt)}
	d.g.Log.Info("route", "request", d.c.id, "account", d.c.account, "service", d.c.service,
		"target", grant.Target, "attempt", run.id, "prompt_tokens", d.c.promptTokens,
		"max_tokens", d.c.maxTokens, "continue_from", d.next, "reason", grant.Reason)
	grant.Named(run.id)
	return run, nil
}

// start opens the stream of an attempt.
func (d *dispatch) start(ctx context.Context, run *attemptRun) error {
	body, err := engine.EncodeBody(d.c.fields, engine.Options{
		Attempt:      run.id,
		Priority:     run.grant.Priority,
		ContinueFrom: d.next,
		MaxTokens:    d.c.maxTokens,
	})
	if err != nil {
		return invalid("the body could not be forwarded: %v", err)
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	run.cancel = cancel
	run.timer = time.AfterFunc(d.g.Limits.StartTimeout, func() { cancel(errStalled) })
	run.sentAt = time.Now()
	run.stream, err = run.grant.Client.Start(attemptCtx, engine.StartRequest{Attempt: run.id, Path: d.c.path, Body: body})
	if err != nil {
		return stallError(attemptCtx, err)
	}
	d.opened(run)
	run.timer.Reset(d.firstEventWait(run.grant))
	return nil
}

// opened notes what the response header of an engine says.
func (d *dispatch) opened(run *attemptRun) {
	run.report.StartNumber = run.stream.StartNumber()
	if n := run.stream.PromptTokens(); n > 0 {
		d.counted = n
		run.report.PromptBytes, run.report.PromptTokens = len(d.c.prompt), n
		d.g.ratio.learn(d.c.model, len(d.c.prompt), n)
	}
}

// stallError replaces the cancellation of a stalled attempt by its cause.
func stallError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return merry.Prepend(engine.ErrInterrupted, errStalled.Error())
	}
	return err
}

func (d *dispatch) firstEventWait(grant *admission.Grant) time.Duration {
	seconds := float64(d.c.promptTokens) / max(1, grant.Declared.PrefillTokensPerSecond)
	return max(minFirstEventWait, time.Duration(seconds*slowPrefillFactor*float64(time.Second)))
}

// relayWithResume relays events and reopens a broken stream on its engine.
func (d *dispatch) relayWithResume(ctx context.Context, run *attemptRun) error {
	d.sink.begin(d.g.sealToken(d.c, run))
	for tries := 0; ; tries++ {
		err := d.relay(run)
		if err == nil || !errors.Is(err, engine.ErrInterrupted) || tries >= resumeTries || ctx.Err() != nil {
			return err
		}
		select {
		case <-time.After(resumePause):
		case <-ctx.Done():
			return err
		}
		if resumeErr := d.reopen(ctx, run); resumeErr != nil {
			return merry.Prepend(engine.ErrInterrupted, resumeErr.Error())
		}
	}
}

func (d *dispatch) reopen(ctx context.Context, run *attemptRun) error {
	run.cancel(nil)
	attemptCtx, cancel := context.WithCancelCause(ctx)
	run.cancel = cancel
	run.timer = time.AfterFunc(d.g.Limits.StartTimeout, func() { cancel(errStalled) })
	stream, err := run.grant.Client.Resume(attemptCtx, run.id, d.next)
	if err != nil {
		return stallError(attemptCtx, err)
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
		e, err := run.stream.Next()
		// Time that the caller takes to read is not the engine's.
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
		if !run.report.Answered {
			run.report.Answered = true
			run.report.FirstEvent = time.Since(run.sentAt)
			run.grant.FirstEvent()
		}
		if d.next == 0 {
			d.g.Metrics.firstToken(d.c.promptTokens, time.Since(d.c.arrived))
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
	prompt := d.counted
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

func (run *attemptRun) finish() {
	run.report.Took = time.Since(run.sentAt)
	run.grant.Done(run.report)
}

// abandon gives an unfinished attempt's memory back: it cancels the attempt at
// the engine and releases the reservation once the engine has confirmed it.
func (g *Gateway) abandon(run *attemptRun, c *call, mayResume bool) {
	if run.sentAt.IsZero() {
		run.grant.Done(run.report)
		return
	}
	g.cleanup.Add(1)
	go func() {
		defer g.cleanup.Done()
		ctx, cancel := context.WithTimeout(context.Background(), cancelGiveUp)
		defer cancel()
		if mayResume && c.resumable {
			g.awaitResume(ctx, run, c)
		}
		g.confirmCancel(ctx, run)
		if run.stream == nil {
			time.Sleep(lateStartWait)
			g.confirmCancel(ctx, run)
		}
		run.finish()
	}()
}

// awaitResume leaves an attempt to a caller that may resume it through any VM.
// It returns when the attempt is over or nobody resumed it in time.
func (g *Gateway) awaitResume(ctx context.Context, run *attemptRun, c *call) {
	const pollInterval = 500 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastAttached := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			held, attached := g.heldByEngine(ctx, run)
			if attached {
				lastAttached = now
			}
			if !held || now.Sub(lastAttached) > g.Limits.ResumeGrace || now.After(c.deadline) {
				return
			}
		}
	}
}

func (g *Gateway) heldByEngine(ctx context.Context, run *attemptRun) (held, attached bool) {
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

func (g *Gateway) confirmCancel(ctx context.Context, run *attemptRun) {
	pause := 20 * time.Millisecond
	for {
		callCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
		err := run.grant.Client.Cancel(callCtx, run.id)
		cancel()
		if err == nil {
			return
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			g.Log.Warn("cancellation not confirmed; the sweep of the engine's attempts will find it",
				"attempt", run.id, "target", run.grant.Target, "error", err)
			return
		}
		pause = min(2*pause, cancelPauseMax)
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
