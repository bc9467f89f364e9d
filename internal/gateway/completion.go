package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
)

// serveCompletion serves a completion request, streamed or not.
func (g *Gateway) serveCompletion(w http.ResponseWriter, r *http.Request, account string) {
	c, err := g.parseCall(w, r, account)
	if err != nil {
		g.refuse(w, r, account, err)
		return
	}
	defer func() { g.bodyBudget.Release(c.bufferedBytes) }()
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.stream {
		g.serveStream(ctx, w, c)
		return
	}
	s := &collectSink{c: c}
	err = g.newDispatch(c, s).run(ctx)
	g.logResult(c, err)
	if err == nil {
		s.write(w)
		return
	}
	e := toAPIError(err)
	if e == nil {
		// net/http would send an empty success to a caller that closed only its sending side.
		panic(http.ErrAbortHandler)
	}
	e.Write(w)
}

func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, c *call) {
	s := newStreamSink(w, c)
	err := g.newDispatch(c, s).run(ctx)
	g.logResult(c, err)
	if err == nil {
		return
	}
	s.end(err)
}

func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, account string, err error) {
	e := apierror.From(err)
	g.Metrics.countOutcome(string(e.Kind))
	g.Log.Info("request refused", "request", truncate(r.Header.Get(HeaderRequestID)), "account", account, "path", r.URL.Path, "kind", e.Kind,
		"outcome", e.Outcome, "error", e.Message)
	e.Write(w)
}

// truncate bounds an unvalidated header value for the log.
func truncate(text string) string {
	const limit = 128
	return text[:min(len(text), limit)]
}

func (g *Gateway) logResult(c *call, err error) {
	took := time.Since(c.arrived)
	switch {
	case err == nil:
		g.Metrics.countOutcome("ok")
		g.Log.Info("request finished", "request", c.id, "account", c.account, "model", c.model, "took", took)
	case errors.Is(err, errCallerDisconnected):
		g.Metrics.countOutcome("caller_gone")
		g.Log.Info("caller disconnected", "request", c.id, "account", c.account, "took", took)
	default:
		e := apierror.From(err)
		g.Metrics.countOutcome(string(e.Kind))
		g.Log.Warn("request failed", "request", c.id, "account", c.account, "model", c.model,
			"kind", e.Kind, "outcome", e.Outcome, "took", took, "error", err)
	}
}
