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

// outcome says how one try at a target ended.
type outcome uint8

const (
	delivered  outcome = iota // the caller has its answer
	notSent                   // no byte reached the target
	notRun                    // the target said that it did not run the request
	failed                    // the target answered with a failure
	lost                      // the target may have worked on the request
	callerGone                // nobody waits for the answer
	noRoom                    // memory for a split prompt could not be reserved
)

var outcomeNames = [...]string{"delivered", "not sent", "not run", "failed", "lost", "caller gone", "no room"}

// String implements fmt.Stringer.
func (o outcome) String() string { return outcomeNames[o] }

// bufferedAnswer is the size up to which an answer is read whole before it is
// passed on, so that another target can be tried when it breaks off.
const bufferedAnswer = 32 << 10

// serve tries targets until the call is answered.
func (h *Handler) serve(ctx context.Context, c *call) {
	for {
		d, f := h.place(ctx, c)
		if d == nil {
			h.end(ctx, c, f)
			return
		}
		h.logPlan(c, d)
		o, err := h.try(ctx, c, d)
		if o == noRoom {
			if time.Since(c.arrived) > c.longestHold() || !wait.For(ctx, reserveInterval) {
				h.end(ctx, c, refuseBusy)
				return
			}
			continue
		}
		c.tried[d.target.ID] = true
		h.Log.Info("try ended", "request", c.meta.ID, "target", d.target.ID, "service", c.service, "outcome", o.String(),
			"after", time.Since(c.arrived).Round(time.Millisecond), "events", c.out.events,
			"first", c.out.firstAt.Round(time.Millisecond), "longest_pause", c.out.longest.Round(time.Millisecond), "error", err)
		if o == delivered || o == callerGone {
			h.Metrics.ObserveRequest(c.route.Kind.String(), o, time.Since(c.arrived))
			return
		}
		if o == lost {
			c.mayHaveRun = true
		}
		if !h.mayTryAgain(ctx, c, o) {
			h.end(ctx, c, nil)
			return
		}
	}
}

// mayTryAgain decides whether another target may get the request.
func (h *Handler) mayTryAgain(ctx context.Context, c *call, o outcome) bool {
	if c.ended(ctx) || c.out.failed != nil {
		return false
	}
	if o == notSent {
		return len(c.tried) < maxUnreachable
	}
	if c.sent >= c.route.MaxTargets {
		return false
	}
	if o != notRun && !c.route.Retryable() {
		return false
	}
	return h.RetryBudget.Allow(c.service)
}

// maxUnreachable bounds the targets that one request finds unreachable.
const maxUnreachable = 6

// end gives the call its final answer after the last try.
func (h *Handler) end(ctx context.Context, c *call, f *refusal) {
	switch {
	case c.out.begun:
		// The caller must not take a part for the whole.
		h.Log.Warn("answer broken off", "request", c.meta.ID, "events", c.out.events, "last", c.out.last)
		h.Metrics.CountRefusal(0)
		panic(http.ErrAbortHandler)
	case c.request.Context().Err() != nil:
		h.Metrics.ObserveRequest(c.route.Kind.String(), callerGone, time.Since(c.arrived))
	case c.failure != nil:
		h.Metrics.ObserveRequest(c.route.Kind.String(), failed, time.Since(c.arrived))
		c.out.whole(c.failure)
	case c.mayHaveRun && c.left() <= 0:
		h.refuse(c, failTimeout)
	case c.mayHaveRun:
		h.refuse(c, failLost)
	case f != nil:
		h.refuse(c, f)
	case c.left() <= 0:
		h.refuse(c, failTimeoutUnrun)
	default:
		h.refuse(c, refuseBusy)
	}
}

// logPlan writes why a call goes where it goes.
func (h *Handler) logPlan(c *call, d *destination) {
	reason := "least loaded"
	var helpers []string
	if d.plan != nil {
		reason, helpers = d.plan.String(), targetIDs(d.plan.Helpers)
	}
	h.Log.Info("placed", "request", c.meta.ID, "route", c.route.Name, "account", c.accountName(), "target", d.target.ID,
		"prompt", c.meta.PromptTokens, "answer", c.meta.OutputTokens, "left", c.left().Round(time.Millisecond), "reason", reason, "helpers", helpers,
		"doubted_zones", slices.Sorted(maps.Keys(c.doubtedZones)))
}

// try sends the call to one target.
func (h *Handler) try(ctx context.Context, c *call, d *destination) (outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	job := inflight.Request{
		Target: d.target.ID, PromptTokens: c.meta.PromptTokens, OutputTokens: c.meta.OutputTokens,
		MaxEventGap: c.route.MaxEventGap,
	}
	var helpers []string
	if d.plan != nil {
		job.Helpers, job.Reserved = targetIDs(d.plan.Helpers), d.plan.ReserveTokens > 0
	}
	running := h.Registry.Start(job)
	defer running.Done()
	if d.plan != nil && len(d.plan.Helpers) > 0 {
		reserved, names, err := h.prepareHelpers(ctx, c, d.plan)
		if err != nil {
			return noRoom, err
		}
		if reserved != nil {
			defer reserved.release()
		}
		helpers = names
	}
	watch := h.newWatch(d.target, h.elsewhere(c, d.target), cancel, firstEventLimit(c, d))
	defer watch.stop()
	e, err := h.Pool.Do(ctx, d.target.ID, d.target.Address, h.outgoing(c, d.target, helpers), c.route.Kind == topology.AtMostOnce, func(header http.Header) bool {
		id := h.Protocol.ParseResponse(0, header).ID
		return id == "" || id == c.meta.ID
	})
	if err != nil {
		return h.noAnswer(ctx, c, d.target, err)
	}
	defer e.Close()
	c.sent++
	a := h.Protocol.ParseResponse(e.StatusCode, e.Header)
	o, err := h.relay(ctx, c, d.target, e, a, running, watch)
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

// prepareHelpers reserves what the plan needs and names the helpers for the
// target.
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

// outgoing builds the request for a target.
func (h *Handler) outgoing(c *call, target *topology.Target, helpers []string) upstream.Request {
	left := max(c.left(), time.Millisecond)
	s := ForwardInfo{Timeout: left, Target: target.ID, Account: c.accountName(), Urgency: -1, LastEventID: c.out.last, Helpers: helpers}
	return upstream.Request{
		Method: c.request.Method, URI: c.request.URL.RequestURI(), Host: c.request.Host,
		Header: h.Protocol.ForwardHeader(c.request.Header, s), Body: c.body,
	}
}

// noAnswer classifies a try without an answer.
func (h *Handler) noAnswer(ctx context.Context, c *call, target *topology.Target, err error) (outcome, error) {
	if c.request.Context().Err() != nil {
		return callerGone, err
	}
	var failure *upstream.Error
	if errors.As(err, &failure) && !failure.MaybeSent {
		h.Health.RecordOutcome(target.ID, notSent)
		return notSent, err
	}
	c.sent++
	if ctx.Err() == nil {
		h.Health.RecordOutcome(target.ID, lost)
	}
	return lost, err
}

// relay passes an answer on.
func (h *Handler) relay(ctx context.Context, c *call, target *topology.Target, e *upstream.Exchange, a ResponseInfo, running *inflight.Running, watch *watch) (outcome, error) {
	if a.NotRun {
		if _, err := io.Copy(io.Discard, io.LimitReader(e.Body, bufferedAnswer)); err == nil {
			e.Complete()
		}
		if a.WrongTarget {
			h.Health.MarkReplaced(target.ID)
		}
		return notRun, nil
	}
	if c.request.Context().Err() != nil {
		return callerGone, nil
	}
	success := a.Status >= 200 && a.Status < 300
	if success && !a.Signed {
		return lost, errors.New("the target's success bears no signature")
	}
	if success && strings.HasPrefix(e.Header.Get("Content-Type"), "text/event-stream") {
		return h.relayEvents(ctx, c, e, running, watch)
	}
	return h.relayWhole(c, e, success, watch)
}

// relayWhole passes on an answer that is no stream of events. A short one is
// read whole first. Once a part of a long one is passed on no other target can
// take the request, and silence may come from a caller that reads slowly.
func (h *Handler) relayWhole(c *call, e *upstream.Exchange, success bool, watch *watch) (outcome, error) {
	body, err := io.ReadAll(io.LimitReader(e.Body, bufferedAnswer))
	if err != nil {
		return lost, err
	}
	if len(body) < bufferedAnswer {
		e.Complete()
		return h.answerWhole(c, e, body, success)
	}
	if c.out.begun {
		return lost, errors.New("a whole answer came where the rest of a stream was expected")
	}
	watch.reset(0)
	c.out.head(e.StatusCode, h.Protocol.ResponseHeader(e.Header))
	c.out.write(body)
	buffer := make([]byte, bufferedAnswer)
	for {
		n, err := e.Body.Read(buffer)
		c.out.write(buffer[:n])
		if c.out.failed != nil {
			return callerGone, c.out.failed
		}
		if errors.Is(err, io.EOF) {
			e.Complete()
			return delivered, nil
		}
		if err != nil {
			return lost, err
		}
	}
}

func (h *Handler) answerWhole(c *call, e *upstream.Exchange, body []byte, success bool) (outcome, error) {
	if c.out.begun {
		return lost, errors.New("a whole answer came where the rest of a stream was expected")
	}
	header := h.Protocol.ResponseHeader(e.Header)
	if len(body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	whole := &wholeAnswer{status: e.StatusCode, header: header, body: body}
	if !success && e.StatusCode >= 500 {
		c.failure = whole
		return failed, nil
	}
	c.out.whole(whole)
	return delivered, nil
}

// relayEvents passes on the whole events of a stream. The head goes out with
// the first event, so that until then another target can answer instead.
func (h *Handler) relayEvents(ctx context.Context, c *call, e *upstream.Exchange, running *inflight.Running, watch *watch) (outcome, error) {
	events := sse.NewRawReader(e.Body)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			e.Complete()
			if !c.out.begun {
				c.out.head(e.StatusCode, h.Protocol.ResponseHeader(e.Header))
			}
			return delivered, nil
		}
		if err != nil {
			if c.request.Context().Err() != nil {
				return callerGone, err
			}
			return lost, errors.Join(err, context.Cause(ctx))
		}
		running.FirstEvent()
		watch.reset(pauseLimit(c))
		if event.ID != "" && !newer(event.ID, c.out.last) {
			continue
		}
		if !c.out.begun {
			h.Metrics.ObserveFirstEvent(time.Since(c.arrived))
			c.out.head(e.StatusCode, h.Protocol.ResponseHeader(e.Header))
		}
		c.out.event(event.Bytes, event.ID, c.arrived)
		if c.out.failed != nil {
			return callerGone, c.out.failed
		}
	}
}

// newer reports whether an event comes after the last one that was passed on.
func newer(id, last string) bool {
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
