package forward

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// Causes for which an attempt is cancelled.
var (
	errTookOver = errors.New("a standby attempt took over")
	errWentOn   = errors.New("the first target went on")
)

// hedge starts a standby attempt beside an attempt whose target is silent, which may be a
// standby attempt itself. A target may be silent for a while and go on, and another target may
// be full or silent too. So the first attempt is given up only when the standby attempt has a
// part of the response.
type hedge struct {
	h     *Handler
	c     *call
	ctx   context.Context // of the call
	first *attempt

	mu sync.Mutex
	// progress is what the caller has of the response.
	progress progress
	// closed is true when no standby attempt may start any more.
	closed  bool
	standby *standby // the latest; nil if none was started
	// logged is the last denial of a standby attempt that was logged in this silence.
	logged retryDenial
	// firstEnded is closed when the first attempt has ended.
	firstEnded chan struct{}
	// handedOver is true once the call's goroutine has the standby attempt that took over.
	handedOver bool
}

// standby is a search for a target that takes over from a silent one. While it is active,
// its goroutine owns the call's state other than the response to the caller.
type standby struct {
	cancel context.CancelCauseFunc
	done   chan struct{} // closed after active becomes false

	// The other fields are guarded by the mutex of the hedge.
	active    bool
	dismissed bool
	// attempt has a part of the response and takes over; nil otherwise.
	attempt *attempt
}

func newHedge(ctx context.Context, h *Handler, c *call, first *attempt, p progress) *hedge {
	return &hedge{h: h, c: c, ctx: ctx, first: first, progress: p, firstEnded: make(chan struct{})}
}

// start starts a standby attempt because the target is silent, if the route, the retry budget
// and the other targets allow it and none is active.
func (g *hedge) start(cause error, silence time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	if errors.Is(cause, errUnreachable) && g.first.reservation != nil {
		g.first.reservation.suspend()
	}
	if g.standby != nil && g.standby.active {
		return
	}
	denial := g.h.mayStartStandby(g.ctx, g.c)
	g.logSilence(cause, silence, denial)
	if denial != retryAllowed {
		return
	}
	g.c.progress = g.progress
	ctx, cancel := context.WithCancelCause(g.ctx)
	g.standby = &standby{cancel: cancel, done: make(chan struct{}), active: true}
	go g.run(ctx, g.standby)
}

// logSilence logs that the target is silent. The silence is reported again and again, so the same
// denial is logged once. The mutex must be held.
func (g *hedge) logSilence(cause error, silence time.Duration, denial retryDenial) {
	if denial != retryAllowed && denial == g.logged {
		return
	}
	g.logged = denial
	g.h.Log.Info("target silent", "request", g.c.meta.ID, "target", g.first.d.target.ID, "silence", silence.Round(time.Millisecond),
		"cause", cause, "last", g.progress.lastEventID, "sent", g.c.attemptsSent, "no_standby", string(denial))
}

// mayStartStandby returns retryAllowed, and counts a retry, if the request may be sent to
// another target while its latest attempt goes on; otherwise it returns the reason.
func (h *Handler) mayStartStandby(ctx context.Context, c *call) retryDenial {
	switch {
	case c.expired(ctx):
		return deniedExpired
	case !c.route.Retryable():
		return deniedNotRepeatable
	case c.attemptsSent >= c.route.MaxTargets:
		return deniedMaxTargets
	case len(c.tried) >= maxUnreachable:
		return deniedUnreachable
	case !h.hasAlternative(c):
		return deniedNoTarget
	case !h.RetryBudget.Allow(c.service):
		return deniedBudget
	}
	return retryAllowed
}

// run makes standby attempts until one has a part of the response, or no other is allowed.
func (g *hedge) run(ctx context.Context, s *standby) {
	defer g.end(s)
	defer g.h.reportStandbyPanic(g.c)
	for {
		a, f := g.h.prepare(ctx, g.c)
		if a == nil {
			g.h.RetryBudget.GiveBack(g.c.service)
			g.logEnd(nil, f.reason, context.Cause(ctx))
			return
		}
		if g.try(ctx, a, s) || !g.mayContinue(ctx) {
			return
		}
	}
}

// try sends the request to the target of a standby attempt. It returns true if the attempt
// took over.
func (g *hedge) try(ctx context.Context, a *attempt, s *standby) bool {
	defer func() {
		if !g.tookOver(s) {
			a.end()
		}
	}()
	g.h.Log.Info("standby started", "request", g.c.meta.ID, "target", a.d.target.ID, "silent", g.first.d.target.ID,
		"last", a.resume.lastEventID, "sent", g.c.attemptsSent, "left", g.c.remaining().Round(time.Millisecond))
	a, o, err := g.requestHedged(ctx, a)
	if o == responded && a.exchange.StatusCode >= http.StatusInternalServerError {
		o = failed
	}
	if o == responded && g.mayTakeOver(a) && g.takeOver(s, a) {
		return true
	}
	if o == responded || o == outcomeUnknown && errors.Is(context.Cause(a.ctx), errWentOn) {
		o = superseded
	}
	a.end()
	g.h.recordEvidence(g.c, a, o, err)
	g.h.recordAttempt(g.c, a, o, err)
	g.logEnd(a.d.target, o.String(), err)
	return false
}

// requestHedged sends the request to the target of a standby attempt, which may be silent, too:
// a further standby attempt starts beside it then. It returns the attempt that responded, or a
// with its outcome.
func (g *hedge) requestHedged(ctx context.Context, a *attempt) (*attempt, outcome, error) {
	inner := newHedge(ctx, g.h, g.c, a, a.resume)
	defer inner.discard()
	a.watch = g.h.newWatchdog(a.d.target, inner.start, firstEventTimeout(g.c, a.d))
	o, err := g.h.request(g.c, a)
	a.watch.stop()
	a.watch = nil
	if o == responded && inner.complete() {
		inner.finish(delivered)
		return a, o, err
	}
	g.h.recordEvidence(g.c, a, o, err)
	next := inner.finish(o)
	if next == nil {
		return a, o, err
	}
	if o == outcomeUnknown || o == responded {
		o = superseded
	}
	a.end()
	g.h.recordAttempt(g.c, a, o, err)
	return next, responded, nil
}

// mayContinue reports whether another standby attempt may follow one that has failed.
func (g *hedge) mayContinue(ctx context.Context) bool {
	if g.c.lastOutcome != notSent && g.c.lastOutcome != notAdmitted {
		return g.h.mayStartStandby(ctx, g.c) == retryAllowed
	}
	if !g.c.expired(ctx) && len(g.c.tried) < maxUnreachable {
		return true
	}
	g.h.RetryBudget.GiveBack(g.c.service)
	return false
}

// mayTakeOver reports whether a standby attempt that has responded can continue the response. The
// end of a stream without another event does not tell that the silent target has none, so that it
// counts only when the first attempt has ended.
func (g *hedge) mayTakeOver(a *attempt) bool {
	if !a.streamEnded {
		return true
	}
	select {
	case <-g.firstEnded:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// takeOver lets a standby attempt take over, and cancels the first one. It returns false if
// the first target went on before.
func (g *hedge) takeOver(s *standby, a *attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.dismissed {
		return false
	}
	s.attempt, g.closed = a, true
	g.first.cancel(errTookOver)
	g.h.Log.Info("standby took over", "request", g.c.meta.ID, "target", a.d.target.ID, "from", g.first.d.target.ID,
		"last", a.resume.lastEventID, "after", time.Since(g.c.arrived).Round(time.Millisecond))
	return true
}

func (g *hedge) tookOver(s *standby) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return s.attempt != nil
}

// end hands the state of the call back to the call's goroutine.
func (g *hedge) end(s *standby) {
	g.mu.Lock()
	s.active = false
	g.mu.Unlock()
	if !g.tookOver(s) {
		s.cancel(nil)
	}
	close(s.done)
}

func (g *hedge) logEnd(target *topology.Target, reason string, err error) {
	id := ""
	if target != nil {
		id = target.ID
	}
	g.h.Log.Info("standby ended", "request", g.c.meta.ID, "target", id, "silent", g.first.d.target.ID, "reason", reason,
		"after", time.Since(g.c.arrived).Round(time.Millisecond), "sent", g.c.attemptsSent, "error", err)
}

// advance must be called before an event of the first attempt is sent to the caller. It
// dismisses the standby attempt. ok is false if that has taken over. repeatable is false if
// the route allows no further target.
func (g *hedge) advance(eventID string) (repeatable, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.dismiss() {
		return false, false
	}
	g.logged = retryAllowed
	if g.first.reservation != nil {
		g.first.reservation.resume()
	}
	g.progress.begun, g.progress.lastEventAt = true, time.Now()
	g.progress.lastEventID = eventID
	// A dismissed standby attempt that has not ended yet still owns the count.
	active := g.standby != nil && g.standby.active
	return active || g.c.attemptsSent < g.c.route.MaxTargets, true
}

// complete must be called before the rest of a response is sent to the caller. It dismisses
// the standby attempt, and returns false if that has taken over.
func (g *hedge) complete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.dismiss() {
		return false
	}
	g.closed = true
	return true
}

// dismiss cancels the standby attempt. It returns false if that has taken over. The mutex must
// be held.
func (g *hedge) dismiss() bool {
	if g.standby == nil {
		return true
	}
	if g.standby.attempt != nil {
		return false
	}
	g.standby.dismissed = true
	g.standby.cancel(errWentOn)
	return true
}

// finish must be called when the first attempt has ended with an outcome. It waits until an
// active standby attempt has ended, and returns it if it took over. Other attempts may be
// made after that.
func (g *hedge) finish(o outcome) *attempt {
	g.mu.Lock()
	g.closed, g.handedOver = true, true
	close(g.firstEnded)
	if o == delivered || o == callerDisconnected {
		g.dismiss()
	}
	s := g.standby
	g.mu.Unlock()
	if s == nil {
		return nil
	}
	<-s.done
	return s.attempt
}

// discard ends the standby attempt if the call's goroutine panicked.
func (g *hedge) discard() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.handedOver {
		return
	}
	g.closed = true
	if !g.dismiss() {
		g.standby.attempt.end()
	}
}

// reportStandbyPanic logs a panic in the goroutine of a standby attempt, which would otherwise
// end the process.
func (h *Handler) reportStandbyPanic(c *call) {
	if r := recover(); r != nil {
		h.Metrics.CountPanic()
		h.Log.Error("standby attempt panicked", "request", c.meta.ID, "panic", r, "stack", string(debug.Stack()))
	}
}
