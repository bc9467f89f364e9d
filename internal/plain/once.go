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

// maxOnceAttempts bounds the targets that a claimed call is sent to; a further one
// is tried only if the call did not run for sure.
const maxOnceAttempts = 2

// onceCall is a non-idempotent call on its way through a claim.
type onceCall struct {
	h             *Handler
	c             *call
	w             http.ResponseWriter
	relayed       bool  // the answer went to the caller while it arrived
	interrupted   bool  // its end was lost
	bufferedBytes int64 // bytes taken from h.kept
}

// serveOnce runs a non-idempotent call at most once.
func (h *Handler) serveOnce(ctx context.Context, w http.ResponseWriter, c *call) {
	key, err := headerToken(c.header, gateway.HeaderIdempotency, maxKeyBytes)
	if err != nil {
		apierror.From(err).Write(w)
		return
	}
	if key == "" {
		key = newID()
		w.Header().Set(HeaderIdempotency, "generated")
	}
	o := &onceCall{h: h, c: c, w: w}
	answer, err := h.Claims.Do(ctx, claim.Call{
		Account:        c.account,
		Service:        c.service,
		IdempotencyKey: key,
		Fingerprint:    claim.Fingerprint(c.method, c.path, c.body),
		Send:           o.send,
	})
	h.responseBudget.Release(o.bufferedBytes)
	switch {
	case o.interrupted:
		panic(http.ErrAbortHandler) // the caller must not take the answer as whole
	case o.relayed:
	case err != nil:
		h.Log.Info("call not completed", "request", c.id, "account", c.account, "service", c.service, "error", err)
		apierror.From(err).Write(w)
	default:
		writeAnswer(w, answer)
	}
}

// writeAnswer sends an answer that is held whole, or says that it is not kept.
func writeAnswer(w http.ResponseWriter, a claim.CallResult) {
	copyResponseHeader(w.Header(), a.Header)
	if a.Replayed {
		w.Header().Set(HeaderIdempotency, "repeated")
	}
	if a.BodyNotStored {
		w.Header().Set(HeaderAnswer, "not_kept")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}

// send sends the call to a target, and to another one if the first did not run
// it for sure.
func (o *onceCall) send(ctx context.Context, maySend func() error) (claim.Response, error) {
	var exclude []string
	for try := 1; ; try++ {
		place, placeErr := o.h.acquireTarget(ctx, o.c, exclude, try)
		if placeErr != nil {
			return claim.Response{}, placeErr
		}
		g := &sendGuard{authorizeSend: maySend}
		result, err := o.exchange(ctx, place, g)
		refused := g.refused.Load() != nil
		place.release(err != nil && !refused)
		if err == nil {
			return result, nil
		}
		if err.Outcome != apierror.NotRun || refused || try == maxOnceAttempts || !o.h.retryBudget.Allow() {
			return claim.Response{}, err
		}
		exclude = append(exclude, place.name)
	}
}

// exchange sends the call to one target and reads the answer.
func (o *onceCall) exchange(ctx context.Context, place *targetSlot, g *sendGuard) (claim.Response, *apierror.Error) {
	req, err := o.c.request(context.WithValue(ctx, guardKey{}, g), place.address)
	if err != nil {
		return claim.Response{}, apierror.From(err)
	}
	resp, err := o.h.unpooled.RoundTrip(req)
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
	return o.readAnswer(resp)
}

// readAnswer reads an answer that fits into a claim row whole; a larger one is
// relayed while it arrives.
func (o *onceCall) readAnswer(resp *http.Response) (claim.Response, *apierror.Error) {
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

// relayLarge relays an answer whose beginning is head, and keeps a copy as far
// as it is small enough. The copy is completed even if the caller goes away.
func (o *onceCall) relayLarge(resp *http.Response, head []byte, result *claim.Response) {
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
			o.interrupted = true
			result.Body, result.BodyNotStored = nil, true
			return
		}
	}
}
