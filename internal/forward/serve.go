package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// outcome is the result of one attempt at a target.
type outcome uint8

const (
	delivered          outcome = iota // the caller has its response
	notSent                           // no byte reached the target
	notRun                            // the target reported that it did not run the request
	failed                            // the target returned an error response
	outcomeUnknown                    // the target may have processed the request
	callerDisconnected                // the caller disconnected or does not read
	noCapacity                        // memory for a split prompt could not be reserved
	notAdmitted                       // a chosen target has stopped to accept requests before a byte was sent
	responded                         // the response has begun and can be relayed
	superseded                        // another attempt of the call took over
	invalidResponse                   // the target sent something that is no response to the request, which it may have processed
)

var outcomeNames = [...]string{"delivered", "not sent", "not run", "failed", "lost", "caller gone", "no room", "not admitted", "responded", "superseded", "invalid response"}

// String implements fmt.Stringer.
func (o outcome) String() string { return outcomeNames[o] }

// maxBufferedResponse is the size up to which a response is read completely before it is
// relayed, so that another target can be tried if it is interrupted.
const maxBufferedResponse = 32 << 10

// serve makes attempts until the call has its final response.
func (h *Handler) serve(ctx context.Context, c *call) {
	counted := false // true if the next attempt counts as a retry
	for {
		c.progress = c.caller.progress()
		a, f := h.prepare(ctx, c)
		if a == nil {
			if counted {
				h.RetryBudget.GiveBack(c.service)
			}
			c.noRetry = deniedNoTarget
			h.finish(ctx, c, f)
			return
		}
		o := h.run(ctx, c, a)
		if o == delivered || o == callerDisconnected {
			h.Metrics.ObserveRequest(c.route.Kind.String(), o, time.Since(c.arrived))
			if o == callerDisconnected {
				abortResponse()
			}
			return
		}
		if o == notAdmitted {
			continue
		}
		if c.noRetry = h.mayRetry(ctx, c, o); c.noRetry != retryAllowed {
			h.finish(ctx, c, nil)
			return
		}
		counted = counted || o != notSent
	}
}

// run runs an attempt, and then the standby attempts that take over from it. It returns the
// outcome of the last one.
func (h *Handler) run(ctx context.Context, c *call, a *attempt) outcome {
	for {
		o, next := h.runOne(ctx, c, a)
		if next == nil {
			return o
		}
		a = next
	}
}

// runOne relays the response of an attempt. It returns the standby attempt that took over, if any.
func (h *Handler) runOne(ctx context.Context, c *call, a *attempt) (outcome, *attempt) {
	defer a.end()
	g := newHedge(ctx, h, c, a, c.caller.progress())
	defer g.discard()
	a.watch = h.newWatchdog(a.d.target, g.start, firstEventTimeout(c, a.d))
	o, err := h.deliver(c, a, g)
	a.end()
	h.recordEvidence(c, a, o, err)
	next := g.finish(o)
	if next != nil && o == outcomeUnknown {
		o = superseded
	}
	h.recordAttempt(c, a, o, err)
	h.Log.Info("try ended", "request", c.meta.ID, "target", a.d.target.ID, "service", c.service, "outcome", o.String(),
		"after", time.Since(c.arrived).Round(time.Millisecond), "events", c.caller.events, "last", c.caller.lastEventID,
		"first", c.caller.timeToFirstEvent.Round(time.Millisecond), "longest_pause", c.caller.longestGap.Round(time.Millisecond), "error", err)
	return o, next
}

// deliver sends the request, unless the attempt already has a response, and relays the response.
func (h *Handler) deliver(c *call, a *attempt, g *hedge) (outcome, error) {
	if a.exchange == nil {
		if o, err := h.request(c, a); o != responded {
			return o, err
		}
	}
	if c.request.Context().Err() != nil {
		return callerDisconnected, nil
	}
	if a.events != nil {
		return h.relayEvents(c, a, g)
	}
	return h.relayBody(c, a, g)
}

// retryDenial states why a call gets no further attempt.
type retryDenial string

// The reasons to end a call without a further attempt.
const (
	retryAllowed        retryDenial = ""
	deniedExpired       retryDenial = "the deadline passed or the caller disconnected"
	deniedUnreachable   retryDenial = "too many unreachable targets"
	deniedMaxTargets    retryDenial = "sent to as many targets as the route allows"
	deniedNotRepeatable retryDenial = "the request may have run and must not run twice"
	deniedBudget        retryDenial = "retry budget used up"
	deniedNoTarget      retryDenial = "no target could take the request"
)

// mayRetry returns retryAllowed if the request may be sent to another target, or else the reason.
func (h *Handler) mayRetry(ctx context.Context, c *call, o outcome) retryDenial {
	switch {
	case c.expired(ctx) || c.caller.writeErr != nil:
		return deniedExpired
	case o == notSent && len(c.tried) < maxUnreachable:
		return retryAllowed
	case o == notSent:
		return deniedUnreachable
	case c.attemptsSent >= c.route.MaxTargets:
		return deniedMaxTargets
	case o != notRun && !c.route.Retryable():
		return deniedNotRepeatable
	case !h.RetryBudget.Allow(c.service):
		return deniedBudget
	}
	return retryAllowed
}

// maxUnreachable bounds the unreachable targets that are tried for one request.
const maxUnreachable = 6

// finish sends the final response of the call after the last attempt.
func (h *Handler) finish(ctx context.Context, c *call, f *refusal) {
	switch {
	case c.caller.headerSent:
		h.logInterruption(c, f)
		h.Metrics.CountRefusal(0)
		abortResponse()
	case c.request.Context().Err() != nil:
		h.Log.Info("caller disconnected", "request", c.meta.ID, "after", time.Since(c.arrived).Round(time.Millisecond), "last_outcome", c.lastOutcome.String())
		h.Metrics.ObserveRequest(c.route.Kind.String(), callerDisconnected, time.Since(c.arrived))
		abortResponse()
	case c.failure != nil:
		h.Metrics.ObserveRequest(c.route.Kind.String(), failed, time.Since(c.arrived))
		h.extendWriteDeadline(c)
		c.caller.writeResponse(c.failure)
	case c.mayHaveRun && c.remaining() <= 0:
		h.refuse(c, failTimeout)
	case c.mayHaveRun:
		h.refuse(c, failInterrupted)
	case f != nil:
		h.refuse(c, f)
	case c.remaining() <= 0:
		h.refuse(c, failTimeoutNotSent)
	default:
		h.refuse(c, refuseBusy)
	}
}

// abortResponse closes the caller's connection. net/http would complete the response of a handler
// that returns, and a caller that closed only its sending side would take it for a complete one.
func abortResponse() { panic(http.ErrAbortHandler) }

// logInterruption logs why a response that had begun is not completed: how its last attempt
// ended, and why no other attempt continues it. f is the refusal of a further placement, or nil.
func (h *Handler) logInterruption(c *call, f *refusal) {
	placement := ""
	if f != nil {
		placement = f.reason
	}
	h.Log.Warn("response interrupted", "request", c.meta.ID, "route", c.route.Name, "events", c.caller.events, "last", c.caller.lastEventID,
		"after", time.Since(c.arrived).Round(time.Millisecond), "left", c.remaining().Round(time.Millisecond),
		"since_event", time.Since(c.caller.lastEventAt).Round(time.Millisecond), "attempts", c.attemptsSent,
		"last_outcome", c.lastOutcome.String(), "last_error", c.lastErr, "no_retry", string(c.noRetry), "placement", placement)
}

// logPlacement logs the reason for the choice of a destination.
func (h *Handler) logPlacement(c *call, d *destination) {
	reason := "least loaded"
	var helpers []string
	if d.plan != nil {
		reason, helpers = d.plan.String(), targetIDs(d.plan.Helpers)
	}
	h.Log.Info("placed", "request", c.meta.ID, "route", c.route.Name, "account", c.accountName(), "target", d.target.ID,
		"prompt", c.meta.PromptTokens, "answer", c.meta.OutputTokens, "left", c.remaining().Round(time.Millisecond), "reason", reason, "helpers", helpers,
		"parts", c.meta.SharedParts, "suspect_zones", slices.Sorted(maps.Keys(c.suspectZones)))
}

func targetIDs(targets []*topology.Target) []string {
	var ids []string
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	return ids
}

// relayBody relays a response that is no event stream. Once a part of a long one is relayed,
// no other target can take the request, and inactivity may be caused by a caller that reads
// slowly.
func (h *Handler) relayBody(c *call, a *attempt, g *hedge) (outcome, error) {
	if !g.complete() {
		return superseded, nil
	}
	a.watch.reset(0)
	if a.complete != nil {
		h.extendWriteDeadline(c)
		c.caller.writeResponse(a.complete)
		return delivered, nil
	}
	c.caller.writeHeader(a.exchange.StatusCode, h.Protocol.ResponseHeader(a.exchange.Header))
	c.caller.write(a.firstBytes)
	buffer := make([]byte, maxBufferedResponse)
	for {
		n, err := a.exchange.Body.Read(buffer)
		c.caller.write(buffer[:n])
		if c.caller.writeErr != nil {
			return callerDisconnected, c.caller.writeErr
		}
		if errors.Is(err, io.EOF) {
			a.exchange.Complete()
			return delivered, nil
		}
		if err != nil {
			return a.interrupted(c, err), err
		}
	}
}

// relayEvents relays the complete events of a stream. The header is sent with the first
// event, so that another target can respond instead until then.
func (h *Handler) relayEvents(c *call, a *attempt, g *hedge) (outcome, error) {
	event, err := a.firstEvent, error(nil)
	if a.streamEnded {
		err = io.EOF
	}
	for err == nil {
		repeatable, ok := g.advance(event.ID)
		if !ok {
			return superseded, nil
		}
		a.watch.reset(0) // the time that the caller takes to read is no silence of the target
		if !c.caller.headerSent {
			h.Metrics.ObserveFirstEvent(time.Since(c.arrived))
			c.caller.writeHeader(a.exchange.StatusCode, h.Protocol.ResponseHeader(a.exchange.Header))
		}
		c.caller.writeEvent(event.Bytes, event.ID, c.arrived)
		if c.caller.writeErr != nil {
			return callerDisconnected, c.caller.writeErr
		}
		a.watch.reset(eventGapTimeout(c.route, repeatable))
		reading := time.Now()
		event, err = a.nextEvent(c.caller.relayComment)
		h.observeGap(c, a, reading, err)
	}
	if c.caller.writeErr != nil {
		return callerDisconnected, c.caller.writeErr
	}
	if !errors.Is(err, io.EOF) {
		return h.streamFailure(c, a, err)
	}
	if !g.complete() {
		return superseded, nil
	}
	a.exchange.Complete()
	if !c.caller.headerSent {
		c.caller.writeHeader(a.exchange.StatusCode, h.Protocol.ResponseHeader(a.exchange.Header))
	}
	return delivered, nil
}
