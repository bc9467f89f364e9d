package plain

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/claim"
	"github.com/oriolefront/oriolefront/internal/gateway"
)

// maxAtMostOnceAttempts bounds the targets that a claimed call is sent to; another one is tried
// only if the call certainly did not run.
const maxAtMostOnceAttempts = 2

// atMostOnceCall is a non-idempotent call that runs under a claim.
type atMostOnceCall struct {
	h             *Handler
	c             *call
	w             http.ResponseWriter
	relayed       bool  // the response was relayed to the caller as it arrived
	interrupted   error // why the end of the relayed response was not received
	bufferedBytes int64 // acquired from h.responseBudget
}

// serveAtMostOnce runs a non-idempotent call at most once.
func (h *Handler) serveAtMostOnce(ctx context.Context, w http.ResponseWriter, c *call) {
	key, err := headerToken(c.header, gateway.HeaderIdempotency, maxKeyBytes)
	if err != nil {
		apierror.From(err).Write(w)
		return
	}
	if key == "" {
		key = newID()
		w.Header().Set(HeaderIdempotency, "generated")
	}
	o := &atMostOnceCall{h: h, c: c, w: w}
	result, err := h.Claims.Do(ctx, claim.Call{
		Account:        c.account,
		Service:        c.service,
		IdempotencyKey: key,
		Fingerprint:    claim.Fingerprint(c.method, c.path, c.body),
		Send:           o.send,
	})
	h.responseBudget.Release(o.bufferedBytes)
	switch {
	case o.interrupted != nil:
		panic(http.ErrAbortHandler) // the caller must not take the response for a complete one
	case o.relayed:
	case err != nil:
		h.Log.Info("call not completed", "request", c.id, "account", c.account, "service", c.service, "error", err)
		apierror.From(err).Write(w)
	default:
		writeResult(w, result)
	}
}

// writeResult sends a response that was buffered completely, or reports that it was not
// stored.
func writeResult(w http.ResponseWriter, result claim.CallResult) {
	copyResponseHeader(w.Header(), result.Header)
	if result.Replayed {
		w.Header().Set(HeaderIdempotency, "repeated")
	}
	if result.BodyNotStored {
		w.Header().Set(HeaderAnswer, "not_kept")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(result.Body)))
	w.WriteHeader(result.Status)
	w.Write(result.Body)
}

// send sends the call to a target, and to another one if the first certainly did not run it.
func (o *atMostOnceCall) send(ctx context.Context, authorizeSend func() error) (claim.Response, error) {
	var exclude []string
	for attempt := 1; ; attempt++ {
		slot, acquireErr := o.h.acquireTarget(ctx, o.c, exclude, attempt)
		if acquireErr != nil {
			return claim.Response{}, acquireErr
		}
		g := &sendGuard{authorizeSend: authorizeSend}
		result, err := o.exchange(ctx, slot, g)
		refused := g.refused.Load() != nil
		slot.release(err != nil && !refused || o.interrupted != nil)
		if o.interrupted != nil {
			o.h.logFailure(o.c, slot.name, o.interrupted)
		}
		if err == nil {
			return result, nil
		}
		if !refused {
			o.h.logFailure(o.c, slot.name, err)
		}
		if err.Outcome != apierror.NotRun || refused || attempt == maxAtMostOnceAttempts || !o.h.retryBudget.Allow() {
			return claim.Response{}, err
		}
		exclude = append(exclude, slot.name)
	}
}

// exchange sends the call to one target and reads the response.
func (o *atMostOnceCall) exchange(ctx context.Context, slot *targetSlot, g *sendGuard) (claim.Response, *apierror.Error) {
	req, err := o.c.request(context.WithValue(ctx, guardKey{}, g), slot.address)
	if err != nil {
		return claim.Response{}, apierror.From(err)
	}
	resp, err := roundTrip(o.h.unpooled, req)
	if err != nil {
		notSent := g.seal()
		if refusal := g.refused.Load(); refusal != nil {
			return claim.Response{}, apierror.From(*refusal)
		}
		return claim.Response{}, noResponseError(err, !notSent)
	}
	defer resp.Body.Close()
	if isNotRun(resp) {
		return claim.Response{}, errTargetRefused
	}
	return o.readResponse(resp)
}

// readResponse reads a response that fits into a claim row completely; a larger one is relayed
// as it arrives.
func (o *atMostOnceCall) readResponse(resp *http.Response) (claim.Response, *apierror.Error) {
	result := claim.Response{Status: resp.StatusCode, Header: http.Header{}}
	copyHeader(result.Header, resp.Header)
	result.Header.Del("Content-Length")
	head, err := io.ReadAll(io.LimitReader(resp.Body, claim.MaxInlineBody+1))
	if err != nil {
		return result, noResponseError(err, true)
	}
	if len(head) <= claim.MaxInlineBody {
		result.Body = head
		return result, nil
	}
	o.relayLarge(resp, head, &result)
	return result, nil
}

// relayLarge relays a response that begins with head, and stores a copy if it is small
// enough. The copy is completed even if the caller disconnects.
func (o *atMostOnceCall) relayLarge(resp *http.Response, head []byte, result *claim.Response) {
	o.relayed = true
	copyResponseHeader(o.w.Header(), resp.Header)
	o.w.WriteHeader(resp.StatusCode)
	out := relayWriter{w: o.w}
	out.write(head)
	if resp.ContentLength <= claim.MaxStoredBody && o.h.responseBudget.TryAcquire(claim.MaxStoredBody) {
		o.bufferedBytes = claim.MaxStoredBody
		result.Body = head
	}
	result.BodyNotStored = result.Body == nil
	buffer := make([]byte, relayBufferBytes)
	for !(out.callerGone && result.BodyNotStored) {
		n, err := resp.Body.Read(buffer)
		if !result.BodyNotStored {
			result.Body = append(result.Body, buffer[:n]...)
		}
		if len(result.Body) > claim.MaxStoredBody {
			result.Body, result.BodyNotStored = nil, true
		}
		out.write(buffer[:n])
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			o.interrupted = err
			result.Body, result.BodyNotStored = nil, true
			return
		}
	}
}
