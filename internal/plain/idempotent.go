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

// serveIdempotent tries targets until one answers, as long as no byte of an
// answer has been relayed.
func (h *Handler) serveIdempotent(ctx context.Context, w http.ResponseWriter, c *call) {
	var exclude []string
	var last *apierror.Error
	for try := 1; try <= maxAttempts; try++ {
		if try > 1 && !h.retryBudget.Allow() {
			break
		}
		place, err := h.acquireTarget(ctx, c, exclude, try)
		if err != nil {
			last = errorToReport(last, err)
			break
		}
		another := try < maxAttempts && h.picker.count(c.cfg, c.service) > len(exclude)+1
		err = h.tryOnce(ctx, w, c, place, another)
		if err == nil {
			return
		}
		last = errorToReport(last, err)
		exclude = append(exclude, place.name)
	}
	last.Write(w)
}

// errorToReport returns the error to report after two tries: a request that may have
// run once may have run, whatever became of the other tries.
func errorToReport(earlier, later *apierror.Error) *apierror.Error {
	if earlier != nil && earlier.Outcome != apierror.NotRun {
		return earlier
	}
	return later
}

// acquireTarget checks that the request may be sent and takes a place on a target.
func (h *Handler) acquireTarget(ctx context.Context, c *call, exclude []string, try int) (*targetSlot, *apierror.Error) {
	if ctx.Err() != nil {
		return nil, errDeadline
	}
	if err := h.AuthorizeSend(); err != nil {
		return nil, errIsolated.WithCause(err)
	}
	place, ok := h.picker.acquire(c.cfg, c.service, exclude)
	if !ok {
		h.Log.Info("route", "request", c.id, "account", c.account, "service", c.service, "target", "none", "try", try)
		return nil, errNoTarget
	}
	h.Log.Info("route", "request", c.id, "account", c.account, "service", c.service,
		"target", place.name, "method", c.method, "try", try, "reason", place.reason)
	return place, nil
}

// tryOnce sends the request to one target and relays the answer. It returns
// an error only while nothing has been relayed. A target that does not begin
// to answer in half of the time left is given up if there is another one.
func (h *Handler) tryOnce(ctx context.Context, w http.ResponseWriter, c *call, place *targetSlot, another bool) *apierror.Error {
	failed := true
	defer func() { place.release(failed && !errors.Is(ctx.Err(), context.Canceled)) }()
	tryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := time.Until(c.deadline)
	if another {
		patience /= 2
	}
	timer := time.AfterFunc(patience, cancel)
	defer timer.Stop()
	err := h.exchange(tryCtx, w, c, place.address, timer)
	failed = err != nil
	return err
}

// exchange makes one try. timer ends it unless the answer begins before.
func (h *Handler) exchange(ctx context.Context, w http.ResponseWriter, c *call, address string, timer *time.Timer) *apierror.Error {
	var wrote atomic.Bool
	req, err := c.request(traceSent(ctx, &wrote), address)
	if err != nil {
		return apierror.From(err)
	}
	resp, err := h.pooled.RoundTrip(req)
	if err != nil {
		return noResponseError(err, wrote.Load())
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

// noResponseError classifies a try without an answer.
func noResponseError(err error, maybeSent bool) *apierror.Error {
	if maybeSent {
		return errNoResponse.WithCause(err)
	}
	return errNotSent.WithCause(err)
}

// relay passes on the rest of an answer whose first n bytes are in buffer. An
// answer that breaks off is cut off for the caller too, who would take it as
// whole otherwise.
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
