package forward

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolefront/oriolefront/internal/sse"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// minTimeout is the shortest timeout that a target is given.
const minTimeout = time.Millisecond

// attempt is one attempt to get a call's response from a target. One goroutine uses it at a time.
type attempt struct {
	d           *destination
	ctx         context.Context
	cancel      context.CancelCauseFunc
	reservation *reservation // nil without reserved memory
	helpers     []string     // as they are named to the target
	// resume is what the caller had of the response when the attempt was prepared.
	resume progress
	gaps   gapPolicy
	// observed is nil until the request is sent, and once its evidence is recorded.
	observed *observedAttempt
	// gapEvidence is what the run tells of its engine's pace; nil if it is not learned.
	gapEvidence *gapEvidence
	// watch is nil for a standby attempt that waits to take over.
	watch *watchdog

	// exchange is nil until the target's response begins.
	exchange *upstream.Exchange
	// events is set for a stream; firstEvent is its first event that is new to the caller,
	// unless the stream ended without one.
	events      *eventReader
	firstEvent  sse.RawEvent
	streamEnded bool
	// complete is set for another response that was read completely. firstBytes is the begin
	// of a longer one.
	complete   *bufferedResponse
	firstBytes []byte

	ended bool
	// cause is why the attempt was cancelled before its end; nil if it was not.
	cause error
}

// end releases everything that the attempt holds. Its target cancels an incomplete request.
func (a *attempt) end() {
	if a.ended {
		return
	}
	a.ended = true
	a.cause = context.Cause(a.ctx)
	a.cancel(nil)
	if a.watch != nil {
		a.watch.stop()
	}
	if a.observed != nil {
		a.observed.set.remove(a.observed)
	}
	if a.exchange != nil {
		a.exchange.Close()
	}
	if a.reservation != nil {
		a.reservation.release()
	}
	a.d.running.Done()
}

// prepare chooses the target of the next attempt and reserves the memory that it needs. The
// attempt counts as sent from then on. It returns a refusal if no target could be found.
func (h *Handler) prepare(ctx context.Context, c *call) (*attempt, *refusal) {
	for {
		d, f := h.place(ctx, c)
		if d == nil {
			return nil, f
		}
		h.logPlacement(c, d)
		a := &attempt{d: d, resume: c.progress, gaps: c.gaps}
		a.ctx, a.cancel = context.WithCancelCause(ctx)
		err := h.prepareHelpers(c, a)
		if err == nil {
			c.tried[d.target.ID] = true
			c.attemptsSent++
			return a, nil
		}
		a.end()
		c.lastOutcome, c.lastErr = noCapacity, err
		if c.queueTimeLeft() <= 0 || !wait.For(ctx, reserveRetryDelay) {
			return nil, refuseBusy
		}
	}
}

// prepareHelpers reserves the memory that the plan of the attempt needs, and sets the helpers.
func (h *Handler) prepareHelpers(c *call, a *attempt) error {
	plan := a.d.plan
	if plan == nil || len(plan.Helpers) == 0 {
		return nil
	}
	if plan.ReserveTokens == 0 {
		a.helpers = h.formatHelpers(plan.Helpers, "")
		return nil
	}
	r, err := h.reserve(a.ctx, c, plan)
	if err != nil {
		h.Log.Info("memory not reserved", "request", c.meta.ID, "error", err)
		return err
	}
	a.reservation, a.helpers = r, h.formatHelpers(r.targets, r.id)
	return nil
}

func (h *Handler) formatHelpers(targets []*topology.Target, reservation string) []string {
	var names []string
	for _, t := range targets {
		names = append(names, h.Protocol.FormatHelper(t.Address, reservation))
	}
	return names
}

// buildRequest builds the request for the target of an attempt.
func (h *Handler) buildRequest(c *call, a *attempt) upstream.Request {
	left := max(c.remaining(), minTimeout)
	info := ForwardInfo{Timeout: left, Target: a.d.target.ID, Account: c.accountName(), Urgency: h.urgency(c, a.d), LastEventID: a.resume.lastEventID, Helpers: a.helpers}
	reuse := upstream.ReuseIdle
	if c.route.Kind == topology.AtMostOnce {
		reuse = upstream.DialThenKeep
	}
	return upstream.Request{
		ID: c.meta.ID, Reuse: reuse, ResponseID: h.responseID, OnForeign: func(f upstream.ForeignResponse) { h.recordForeign(c.meta.ID, a.d.target, f) },
		Method: c.request.Method, URI: c.request.URL.RequestURI(), Host: c.request.Host,
		Header: h.Protocol.ForwardHeader(c.request.Header, info), Body: c.body,
	}
}

// request sends the call to the attempt's target and reads the response until a part of it
// can be relayed.
func (h *Handler) request(c *call, a *attempt) (outcome, error) {
	target := a.d.target
	h.observe(c, a)
	request := h.buildRequest(c, a)
	request.BeforeSend = func() error { return errors.Join(checkCaller(a.ctx), h.admitAll(a.d.targets()...)) }
	sent := time.Now()
	h.countRequestTraffic(c, target)
	e, err := h.Pool.Do(a.ctx, target.ID, target.Address, request)
	if err != nil {
		return classifyFailure(c, err), err
	}
	e.Body = h.countAnswerTraffic(e.Body, target)
	a.exchange = e
	info := h.Protocol.ParseResponse(e.StatusCode, e.Header)
	h.recordNotices(c.meta.ID, target, info)
	h.recordLoad(c, target, info)
	o, err := h.readResponse(c, a, info)
	h.observeResponse(c, a, o, time.Since(sent))
	return o, err
}

// responseID returns the id of the request that a response belongs to.
func (h *Handler) responseID(header http.Header) string {
	return h.Protocol.ParseResponse(0, header).ID
}

// recordForeign records a response that arrived in place of that to a request, which is a
// caller's id or the path of a command.
func (h *Handler) recordForeign(request string, t *topology.Target, f upstream.ForeignResponse) {
	h.Metrics.CountForeignResponse()
	h.Log.Warn("response to another request dropped", "request", request, "target", t.ID, "service", t.Service,
		"response_id", f.ID, "status", f.Status, "position", f.Position)
}

// classifyFailure returns the outcome of an attempt without a response.
func classifyFailure(c *call, err error) outcome {
	var failure *upstream.Error
	switch {
	case c.request.Context().Err() != nil, errors.Is(err, errCallerClosed):
		return callerDisconnected
	case errors.Is(err, errNotAdmitted):
		return notAdmitted
	case errors.As(err, &failure) && !failure.MaybeSent:
		return notSent
	case errors.As(err, &failure) && failure.Invalid:
		return invalidResponse
	}
	return outcomeUnknown
}

// readResponse reads the response until a part of it can be relayed: an event that is new to
// the caller, or a complete response. Only the begin of a long response is read.
func (h *Handler) readResponse(c *call, a *attempt, info ResponseInfo) (outcome, error) {
	if info.Fault != nil {
		return invalidResponse, info.Fault
	}
	if info.NotRun {
		a.discardBody()
		if info.WrongTarget {
			h.Health.MarkReplaced(a.d.target)
		}
		return notRun, nil
	}
	success := info.Status >= 200 && info.Status < 300
	if success && !info.Signed {
		return invalidResponse, errors.New("success response without a signature")
	}
	if c.route.Kind != topology.Stream && (success || info.Signed) {
		h.countUsage(c)
	}
	if !success || c.route.Kind != topology.Stream {
		return h.readPlainResponse(c, a)
	}
	if !isEventStream(a.exchange.Header) {
		return invalidResponse, errNoEventStream
	}
	return h.readFirstEvent(c, a)
}

// discardBody reads a response to its end, so that its connection can be used again. One that ends
// with its connection is not awaited.
func (a *attempt) discardBody() {
	if a.exchange.EndsWithConnection() {
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(a.exchange.Body, maxBufferedResponse)); err == nil {
		a.exchange.Complete()
	}
}

// errNoEventStream is returned for another response to a request for a stream.
var errNoEventStream = errors.New("success response to a request for a stream is no event stream")

func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	valid := err == nil || errors.Is(err, mime.ErrInvalidMediaParameter)
	return valid && mediaType == "text/event-stream"
}

func (h *Handler) readFirstEvent(c *call, a *attempt) (outcome, error) {
	var err error
	if a.events, err = newEventReader(a.exchange.Body, a.resume.lastEventID, a.gaps, a.recordWithheld); err != nil {
		return outcomeUnknown, err
	}
	a.firstEvent, err = a.nextEvent(func([]byte) error { return nil })
	_, begun := a.d.running.FirstEventAt()
	if begun {
		h.countUsage(c)
	}
	if errors.Is(err, io.EOF) && !begun && a.exchange.EndsWithConnection() {
		err = io.ErrUnexpectedEOF // nothing tells an empty rest from a broken connection
	}
	a.streamEnded = errors.Is(err, io.EOF)
	if err != nil && !a.streamEnded {
		return h.streamFailure(c, a, err)
	}
	return responded, nil
}

// nextEvent returns the next event that the caller does not have. Blank and comment lines are
// passed to relayComment.
func (a *attempt) nextEvent(relayComment func([]byte) error) (sse.RawEvent, error) {
	event, err := a.events.next(relayComment)
	if err == nil {
		a.d.running.FirstEvent()
	}
	return event, err
}

// recordWithheld records that an event was read that is not relayed at once, or not at all: the
// target is not silent.
func (a *attempt) recordWithheld() {
	a.d.running.FirstEvent()
	if a.watch != nil {
		a.watch.restart()
	}
}

// streamFailure returns the outcome of an attempt whose stream cannot be read further.
func (h *Handler) streamFailure(c *call, a *attempt, err error) (outcome, error) {
	var fault *eventError
	if errors.As(err, &fault) {
		h.Metrics.CountEventFault()
		h.Log.Warn("event does not belong to the stream", "request", c.meta.ID, "target", a.d.target.ID, "service", c.service,
			"resumed_after", a.resume.lastEventID, "events", c.caller.events, "error", err)
	}
	if fault != nil && fault.endsRun() && a.exchange.EndsWithConnection() {
		err = errors.Join(err, io.ErrUnexpectedEOF) // nothing tells a wrong end from a broken connection
	}
	o := a.interrupted(c, err)
	if o == callerDisconnected {
		return o, err
	}
	return o, errors.Join(err, context.Cause(a.ctx))
}

// interrupted returns the outcome of an attempt whose response cannot be read further.
func (a *attempt) interrupted(c *call, err error) outcome {
	switch {
	case c.request.Context().Err() != nil:
		return callerDisconnected
	case a.ctx.Err() != nil || upstream.IsConnectionError(err):
		return outcomeUnknown
	}
	return invalidResponse
}

// readPlainResponse reads a response that is no event stream. A short one is read completely, so that
// another target can be tried if it is interrupted.
func (h *Handler) readPlainResponse(c *call, a *attempt) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(a.exchange.Body, maxBufferedResponse))
	if err != nil {
		return a.interrupted(c, err), err
	}
	complete := len(body) < maxBufferedResponse
	if complete {
		a.exchange.Complete()
	}
	if a.resume.begun {
		return invalidResponse, errors.New("complete response received instead of the rest of a stream")
	}
	if !complete {
		a.firstBytes = body
		return responded, nil
	}
	header := h.Protocol.ResponseHeader(a.exchange.Header)
	if len(body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.complete = &bufferedResponse{status: a.exchange.StatusCode, header: header, body: body}
	if a.exchange.StatusCode >= http.StatusInternalServerError {
		return failed, nil
	}
	return responded, nil
}

// recordAttempt records the outcome of an attempt that has ended.
func (h *Handler) recordAttempt(c *call, a *attempt, o outcome, err error) {
	c.lastOutcome, c.lastErr = o, err
	h.Metrics.CountBrokenResponse(err)
	switch o {
	case notSent:
		c.attemptsSent--
	case notAdmitted:
		c.attemptsSent--
		delete(c.tried, a.d.target.ID)
	case outcomeUnknown, invalidResponse, superseded:
		c.mayHaveRun = true
	}
	if o == failed && a.complete != nil {
		c.failure = a.complete
	}
	var fault *eventError
	if errors.As(err, &fault) && fault.Fault == faultGap {
		c.gaps.recordUnconfirmed(fault.id)
	}
	cancelled := a.cause != nil && a.exchange == nil && o != notSent
	if !cancelled && !errors.Is(a.cause, errWentOn) && !errors.Is(a.cause, errQuarantined) {
		h.Health.RecordOutcome(a.d.target.ID, o)
	}
}
