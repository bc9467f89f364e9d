package plain

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
)

// serveIdempotent tries targets until one responds, as long as no byte of a response has
// been relayed.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, c *call) {
	var exclude []string
	var last *apierror.Error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		if attempt > 1 && !h.retryBudget.Allow() {
			break
		}
		slot, err := h.acquireTarget(ctx, c, exclude, attempt)
		if err != nil {
			last = errorToReport(last, err)
			break
		}
		hasAlternative := attempt < maxAttempts && h.picker.count(c.cfg, c.service) > len(exclude)+1
		err = h.attempt(ctx, w, c, slot, hasAlternative)
		if err == nil {
			return
		}
		last = errorToReport(last, err)
		exclude = append(exclude, slot.name)
	}
	last.Write(w)
}

// errorToReport returns the error to report after two attempts. If one attempt may have run,
// the request may have run, whatever the outcome of the other.
func errorToReport(earlier, later *apierror.Error) *apierror.Error {
	if earlier != nil && earlier.Outcome != apierror.NotRun {
		return earlier
	}
	return later
}

// acquireTarget checks that the request may be sent and acquires a slot of a target.
func (h *Handler) acquireTarget(ctx context.Context, c *call, exclude []string, attempt int) (*targetSlot, *apierror.Error) {
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

// attempt sends the request to one target and relays the response. It returns an error only
// while nothing has been relayed. If there is another target, the attempt is aborted when no
// response begins within half of the remaining time.
func (h *Handler) attempt(ctx context.Context, w http.ResponseWriter, c *call, slot *targetSlot, hasAlternative bool) *apierror.Error {
	failed := true
	defer func() { slot.release(failed && !errors.Is(ctx.Err(), context.Canceled)) }()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.Until(c.deadline)
	if hasAlternative {
		timeout /= 2
	}
	timer := time.AfterFunc(timeout, cancel)
	defer timer.Stop()
	err := h.exchange(attemptCtx, w, c, slot.address, timer)
	failed = err != nil
	return err
}

// exchange makes one attempt. It is cancelled by timer, which stops when the response begins.
func (h *Handler) exchange(ctx context.Context, w http.ResponseWriter, c *call, address string, timer *time.Timer) *apierror.Error {
	var maybeSent atomic.Bool
	req, err := c.request(traceSent(ctx, &maybeSent), address)
	if err != nil {
		return apierror.From(err)
	}
	resp, err := h.pooled.RoundTrip(req)
	if err != nil {
		return noResponseError(err, maybeSent.Load())
	}
	defer resp.Body.Close()
	if isNotRun(resp) {
		return errTargetRefused
	}
	buffer := make([]byte, relayBufferBytes)
	n, err := readSome(resp.Body, buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		return noResponseError(err, true)
	}
	timer.Stop()
	copyResponseHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	relay(w, resp.Body, buffer, n, err)
	return nil
}

// noResponseError returns the error for an attempt without a response.
func noResponseError(err error, maybeSent bool) *apierror.Error {
	if maybeSent {
		return errNoResponse.WithCause(err)
	}
	return errNotSent.WithCause(err)
}

// relay sends a response to the caller; buffer holds its first n bytes. If the response is
// interrupted, the caller's connection is aborted, because the caller would otherwise take
// the response for a complete one.
func relay(w http.ResponseWriter, body io.Reader, buffer []byte, n int, err error) {
	out := relayWriter{w: w}
	for {
		out.write(buffer[:n])
		switch {
		case errors.Is(err, io.EOF), out.callerGone:
			return
		case err != nil:
			panic(http.ErrAbortHandler)
		}
		n, err = readSome(body, buffer)
	}
}
