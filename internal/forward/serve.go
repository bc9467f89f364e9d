package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/placement"
	"github.com/oriolefront/oriolefront/internal/sse"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
	"github.com/oriolefront/oriolefront/internal/wait"
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
)

var outcomeNames = [...]string{"delivered", "not sent", "not run", "failed", "lost", "caller gone", "no room", "not admitted"}

// String implements fmt.Stringer.
func (o outcome) String() string { return outcomeNames[o] }

// maxBufferedResponse is the size up to which a response is read completely before it is
// relayed, so that another target can be tried if it is interrupted.
const maxBufferedResponse = 32 << 10

// serve makes attempts until the call has its final response.
func (h *Handler) serve(ctx context.Context, c *call) {
	for {
		d, f := h.place(ctx, c)
		if d == nil {
			c.noRetry = deniedNoTarget
			h.finish(ctx, c, f)
			return
		}
		h.logPlacement(c, d)
		o, err := h.attempt(ctx, c, d)
		c.lastOutcome, c.lastErr = o, err
		if o == noCapacity {
			if time.Since(c.arrived) > c.maxQueueTime() || !wait.For(ctx, reserveRetryDelay) {
				c.noRetry = deniedNoTarget
				h.finish(ctx, c, refuseBusy)
				return
			}
			continue
		}
		if o == notAdmitted {
			h.Log.Info("placed again", "request", c.meta.ID, "target", d.target.ID, "reason", err)
			continue
		}
		c.tried[d.target.ID] = true
		h.Log.Info("try ended", "request", c.meta.ID, "target", d.target.ID, "service", c.service, "outcome", o.String(),
			"after", time.Since(c.arrived).Round(time.Millisecond), "events", c.caller.events,
			"first", c.caller.timeToFirstEvent.Round(time.Millisecond), "longest_pause", c.caller.longestGap.Round(time.Millisecond), "error", err)
		if o == delivered || o == callerDisconnected {
			h.Metrics.ObserveRequest(c.route.Kind.String(), o, time.Since(c.arrived))
			return
		}
		if o == outcomeUnknown {
			c.mayHaveRun = true
		}
		if c.noRetry = h.mayRetry(ctx, c, o); c.noRetry != retryAllowed {
			h.finish(ctx, c, nil)
			return
		}
	}
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
		// The connection is aborted, so that the caller does not take a partial response
		// for a complete one.
		h.logInterruption(c, f)
		h.Metrics.CountRefusal(0)
		panic(http.ErrAbortHandler)
	case c.request.Context().Err() != nil:
		h.Log.Info("caller disconnected", "request", c.meta.ID, "after", time.Since(c.arrived).Round(time.Millisecond), "last_outcome", c.lastOutcome.String())
		h.Metrics.ObserveRequest(c.route.Kind.String(), callerDisconnected, time.Since(c.arrived))
	case c.failure != nil:
		h.Metrics.ObserveRequest(c.route.Kind.String(), failed, time.Since(c.arrived))
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
		h.refuse(c, h.refuseUntilAdmitted(c, 1, refuseBusy))
	}
}

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
		"suspect_zones", slices.Sorted(maps.Keys(c.suspectZones)))
}

// attempt sends the call to one target.
func (h *Handler) attempt(ctx context.Context, c *call, d *destination) (outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var helpers []string
	running := d.running
	defer running.Done()
	if d.plan != nil && len(d.plan.Helpers) > 0 {
		reserved, names, err := h.prepareHelpers(ctx, c, d.plan)
		if err != nil {
			return noCapacity, err
		}
		if reserved != nil {
			defer reserved.release()
		}
		helpers = names
	}
	watch := h.newWatchdog(d.target, h.alternativeCheck(c, d.target), cancel, firstEventTimeout(c, d))
	defer watch.stop()
	request := h.buildRequest(c, d.target, helpers)
	request.BeforeSend = func() error { return h.admitAll(d.targets()...) }
	e, err := h.Pool.Do(ctx, d.target.ID, d.target.Address, request, c.route.Kind == topology.AtMostOnce, func(header http.Header) bool {
		id := h.Protocol.ParseResponse(0, header).ID
		return id == "" || id == c.meta.ID
	})
	if err != nil {
		return h.classifyFailure(ctx, c, d.target, err)
	}
	defer e.Close()
	c.attemptsSent++
	info := h.Protocol.ParseResponse(e.StatusCode, e.Header)
	h.recordNotices(c.meta.ID, d.target, info)
	h.recordLoad(c, d.target, info)
	o, err := h.relay(ctx, c, d.target, e, info, running, watch)
	h.Health.RecordOutcome(d.target.ID, o)
	return o, err
}

func targetIDs(targets []*topology.Target) []string {
	var ids []string
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	return ids
}

// prepareHelpers reserves the memory that the plan needs and returns the helpers as they
// are named to the target.
func (h *Handler) prepareHelpers(ctx context.Context, c *call, plan *placement.Plan) (*reservation, []string, error) {
	var names []string
	if plan.ReserveTokens == 0 {
		for _, t := range plan.Helpers {
			names = append(names, h.Protocol.FormatHelper(t.Address, ""))
		}
		return nil, names, nil
	}
	r, err := h.reserve(ctx, c, plan)
	if err != nil {
		h.Log.Info("memory not reserved", "request", c.meta.ID, "error", err)
		return nil, nil, err
	}
	for _, t := range r.targets {
		names = append(names, h.Protocol.FormatHelper(t.Address, r.id))
	}
	return r, names, nil
}

// buildRequest builds the request for a target.
func (h *Handler) buildRequest(c *call, target *topology.Target, helpers []string) upstream.Request {
	left := max(c.remaining(), time.Millisecond)
	info := ForwardInfo{Timeout: left, Target: target.ID, Account: c.accountName(), Urgency: -1, LastEventID: c.caller.lastEventID, Helpers: helpers}
	return upstream.Request{
		Method: c.request.Method, URI: c.request.URL.RequestURI(), Host: c.request.Host,
		Header: h.Protocol.ForwardHeader(c.request.Header, info), Body: c.body,
	}
}

// classifyFailure returns the outcome of an attempt without a response.
func (h *Handler) classifyFailure(ctx context.Context, c *call, target *topology.Target, err error) (outcome, error) {
	if c.request.Context().Err() != nil {
		return callerDisconnected, err
	}
	if errors.Is(err, errNotAdmitted) {
		return notAdmitted, err
	}
	var failure *upstream.Error
	if errors.As(err, &failure) && !failure.MaybeSent {
		h.Health.RecordOutcome(target.ID, notSent)
		return notSent, err
	}
	c.attemptsSent++
	if ctx.Err() == nil {
		h.Health.RecordOutcome(target.ID, outcomeUnknown)
	}
	return outcomeUnknown, err
}

// relay sends the response of a target to the caller.
func (h *Handler) relay(ctx context.Context, c *call, target *topology.Target, e *upstream.Exchange, info ResponseInfo, running *inflight.Running, watch *watchdog) (outcome, error) {
	if info.NotRun {
		if _, err := io.Copy(io.Discard, io.LimitReader(e.Body, maxBufferedResponse)); err == nil {
			e.Complete()
		}
		if info.WrongTarget {
			h.Health.MarkReplaced(target)
		}
		return notRun, nil
	}
	if c.request.Context().Err() != nil {
		return callerDisconnected, nil
	}
	success := info.Status >= 200 && info.Status < 300
	if success && !info.Signed {
		return outcomeUnknown, errors.New("success response without a signature")
	}
	if success && strings.HasPrefix(e.Header.Get("Content-Type"), "text/event-stream") {
		return h.relayEvents(ctx, c, e, running, watch)
	}
	return h.relayBody(c, e, success, watch)
}

// relayBody relays a response that is no event stream. A short one is buffered completely
// first. Once a part of a long one is relayed, no other target can take the request, and
// inactivity may be caused by a caller that reads slowly.
func (h *Handler) relayBody(c *call, e *upstream.Exchange, success bool, watch *watchdog) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(e.Body, maxBufferedResponse))
	if err != nil {
		return outcomeUnknown, err
	}
	if len(body) < maxBufferedResponse {
		e.Complete()
		return h.sendBuffered(c, e, body, success)
	}
	if c.caller.headerSent {
		return outcomeUnknown, errors.New("complete response received instead of the rest of a stream")
	}
	watch.reset(0)
	c.caller.writeHeader(e.StatusCode, h.Protocol.ResponseHeader(e.Header))
	c.caller.write(body)
	buffer := make([]byte, maxBufferedResponse)
	for {
		n, err := e.Body.Read(buffer)
		c.caller.write(buffer[:n])
		if c.caller.writeErr != nil {
			return callerDisconnected, c.caller.writeErr
		}
		if errors.Is(err, io.EOF) {
			e.Complete()
			return delivered, nil
		}
		if err != nil {
			return outcomeUnknown, err
		}
	}
}

func (h *Handler) sendBuffered(c *call, e *upstream.Exchange, body []byte, success bool) (outcome, error) {
	if c.caller.headerSent {
		return outcomeUnknown, errors.New("complete response received instead of the rest of a stream")
	}
	header := h.Protocol.ResponseHeader(e.Header)
	if len(body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	response := &bufferedResponse{status: e.StatusCode, header: header, body: body}
	if !success && e.StatusCode >= 500 {
		c.failure = response
		return failed, nil
	}
	c.caller.writeResponse(response)
	return delivered, nil
}

// relayEvents relays the complete events of a stream. The header is sent with the first
// event, so that another target can respond instead until then.
func (h *Handler) relayEvents(ctx context.Context, c *call, e *upstream.Exchange, running *inflight.Running, watch *watchdog) (outcome, error) {
	events := sse.NewRawReader(e.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			e.Complete()
			if !c.caller.headerSent {
				c.caller.writeHeader(e.StatusCode, h.Protocol.ResponseHeader(e.Header))
			}
			return delivered, nil
		}
		if err != nil {
			if c.request.Context().Err() != nil {
				return callerDisconnected, err
			}
			return outcomeUnknown, errors.Join(err, context.Cause(ctx))
		}
		if !event.HasFields {
			if c.caller.headerSent {
				c.caller.write(event.Bytes)
			}
			if c.caller.writeErr != nil {
				return callerDisconnected, c.caller.writeErr
			}
			continue
		}
		running.FirstEvent()
		watch.reset(eventGapTimeout(c))
		if event.ID != "" && !isNewer(event.ID, c.caller.lastEventID) {
			continue
		}
		if !c.caller.headerSent {
			h.Metrics.ObserveFirstEvent(time.Since(c.arrived))
			c.caller.writeHeader(e.StatusCode, h.Protocol.ResponseHeader(e.Header))
		}
		c.caller.writeEvent(event.Bytes, event.ID, c.arrived)
		if c.caller.writeErr != nil {
			return callerDisconnected, c.caller.writeErr
		}
	}
}

// isNewer reports whether an event comes after the last one that was relayed.
func isNewer(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
