package plain

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
)

// serveIdempotent sends the request to a target, and to another one when that has failed, or
// sends nothing for half of the remaining time. A silent attempt goes on beside the next one,
// which may fail, too; the first response that begins is relayed.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, c *call) {
	r := &race{h: h, ctx: ctx, c: c, ended: make(chan *attempt, maxAttempts)}
	winner := r.run()
	r.cancelOthers(winner)
	if winner == nil {
		r.lastErr.Write(w)
		return
	}
	if err := winner.relay(w); err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			h.logFailure(c, winner.slot.name, err)
		}
		panic(http.ErrAbortHandler) // the caller must not take the response for a complete one
	}
}

// race makes attempts at one request until one has the begin of a response.
type race struct {
	h   *Handler
	ctx context.Context // of the call
	c   *call
	// ended receives each attempt that has failed or has the begin of a response.
	ended   chan *attempt
	running []*attempt // in the order in which they were started
	tried   []string   // the targets of all attempts
	// lastErr is the error to report if no attempt has a response.
	lastErr *apierror.Error
}

// run returns the attempt whose response begins first, or nil.
func (r *race) run() *attempt {
	r.start()
	silence := time.NewTimer(r.maxSilence())
	defer silence.Stop()
	for len(r.running) > 0 {
		select {
		case a := <-r.ended:
			if a.err == nil {
				return a
			}
			r.remove(a)
			if len(r.running) == 0 {
				r.start()
			}
		case <-silence.C:
			if r.h.picker.count(r.c.cfg, r.c.service) > len(r.tried) {
				r.start()
			}
		}
		silence.Reset(r.maxSilence())
	}
	return nil
}

// minSilence bounds how often the start of another attempt is tried shortly before the deadline.
const minSilence = 10 * time.Millisecond

// maxSilence returns how long the attempts may be silent before another one is started.
func (r *race) maxSilence() time.Duration { return max(time.Until(r.c.deadline)/2, minSilence) }

// start starts the next attempt, if the bound on attempts, the retry budget and the targets
// allow one.
func (r *race) start() {
	number := len(r.tried) + 1
	if number > maxAttempts || number > 1 && !r.h.retryBudget.Allow() {
		return
	}
	slot, err := r.h.acquireTarget(r.ctx, r.c, r.tried, number)
	if err != nil {
		r.lastErr = errorToReport(r.lastErr, err)
		return
	}
	a := &attempt{slot: slot}
	a.ctx, a.cancel = context.WithCancel(r.ctx)
	r.running = append(r.running, a)
	r.tried = append(r.tried, slot.name)
	go func() {
		a.err = r.h.exchange(r.c, a)
		r.ended <- a
	}()
}

// remove ends an attempt that has failed.
func (r *race) remove(a *attempt) {
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == a })
	r.lastErr = errorToReport(r.lastErr, a.err)
	callerGone := errors.Is(r.ctx.Err(), context.Canceled)
	if !callerGone {
		r.h.logFailure(r.c, a.slot.name, a.err)
	}
	a.end(!callerGone)
}

// cancelOthers cancels the attempts that still run beside the winner, which may be nil. The
// target of one that was started before the winner has been silent and counts as failed.
func (r *race) cancelOthers(winner *attempt) {
	silent := true
	for _, a := range r.running {
		if a == winner {
			silent = false
			continue
		}
		a.silent = silent
		a.cancel()
	}
	others := len(r.running)
	if winner != nil {
		others--
	}
	go func() {
		for range others {
			a := <-r.ended
			a.end(a.silent)
		}
	}()
}

// errorToReport returns the error to report after two attempts. If one attempt may have run,
// the request may have run, whatever the outcome of the other.
func errorToReport(earlier, later *apierror.Error) *apierror.Error {
	if earlier != nil && earlier.Outcome != apierror.NotRun {
		return earlier
	}
	return later
}

// acquireTarget acquires a slot of a target for an attempt. If there is none, the retry that an
// attempt after the first has taken from the budget is given back.
func (h *Handler) acquireTarget(ctx context.Context, c *call, exclude []string, attempt int) (*targetSlot, *apierror.Error) {
	slot, err := h.findTarget(ctx, c, exclude, attempt)
	if err != nil && attempt > 1 {
		h.retryBudget.GiveBack()
	}
	return slot, err
}

// findTarget checks that the request may be sent and acquires a slot of a target.
func (h *Handler) findTarget(ctx context.Context, c *call, exclude []string, attempt int) (*targetSlot, *apierror.Error) {
	if ctx.Err() != nil {
		return nil, errDeadline
	}
	if err := h.AuthorizeSend(); err != nil {
		return nil, errIsolated.WithCause(err)
	}
	slot, ok := h.picker.acquire(c.cfg, c.service, exclude)
	if !ok {
		h.Log.Info("route", "request", c.id, "account", c.account, "service", c.service, "target", "none", "try", attempt)
		return nil, errNoTarget
	}
	h.Log.Info("route", "request", c.id, "account", c.account, "service", c.service,
		"target", slot.name, "method", c.method, "try", attempt, "reason", slot.reason)
	return slot, nil
}

// attempt is one attempt at an idempotent request.
type attempt struct {
	slot   *targetSlot
	ctx    context.Context
	cancel context.CancelFunc
	// silent is true if the target sent nothing until another attempt had a response.
	silent bool

	// err is why there is no response. Otherwise buffer holds the first bytes of the body of
	// the response; read and readErr are the results of the call that read them.
	err     *apierror.Error
	resp    *http.Response
	buffer  []byte
	read    int
	readErr error
}

// end releases everything that the attempt holds.
func (a *attempt) end(failed bool) {
	a.cancel()
	if a.resp != nil {
		a.resp.Body.Close()
	}
	a.slot.release(failed)
}

// relay sends the response to the caller. It returns an error if the response was interrupted.
func (a *attempt) relay(w http.ResponseWriter) error {
	copyResponseHeader(w.Header(), a.resp.Header)
	w.WriteHeader(a.resp.StatusCode)
	err := relay(w, a.resp.Body, a.buffer, a.read, a.readErr)
	a.end(err != nil && !errors.Is(a.ctx.Err(), context.Canceled))
	return err
}

// exchange sends the request to the target of an attempt and reads the begin of the response.
func (h *Handler) exchange(c *call, a *attempt) *apierror.Error {
	var maybeSent atomic.Bool
	req, err := c.request(traceSent(a.ctx, &maybeSent), a.slot.address)
	if err != nil {
		return apierror.From(err)
	}
	resp, err := roundTrip(h.pooled, req)
	if err != nil {
		return noResponseError(err, maybeSent.Load())
	}
	a.resp = resp
	if isNotRun(resp) {
		return errTargetRefused
	}
	buffer := make([]byte, relayBufferBytes)
	n, err := readSome(resp.Body, buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		return noResponseError(err, true)
	}
	a.buffer, a.read, a.readErr = buffer, n, err
	return nil
}

// noResponseError returns the error for an attempt without a response.
func noResponseError(err error, maybeSent bool) *apierror.Error {
	if maybeSent {
		return errNoResponse.WithCause(err)
	}
	return errNotSent.WithCause(err)
}

// relay sends a response to the caller; buffer holds its first n bytes. It returns an error if the
// response is interrupted: the caller's connection must be aborted then.
func relay(w http.ResponseWriter, body io.Reader, buffer []byte, n int, err error) error {
	out := relayWriter{w: w}
	for {
		out.write(buffer[:n])
		switch {
		case errors.Is(err, io.EOF), out.callerGone:
			return nil
		case err != nil:
			return err
		}
		n, err = readSome(body, buffer)
	}
}
