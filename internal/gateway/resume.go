package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oriolefront/oriolefront/internal/admission"
	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/resume"
	"github.com/oriolefront/oriolefront/internal/sse"
)

// serveResume continues a stream that any VM started, from the event after the last one that
// the caller received.
func (g *Gateway) serveResume(w http.ResponseWriter, r *http.Request, account string) {
	token, err := g.Sealer.Open(r.Header.Get(HeaderResumeToken), account, time.Now())
	if err != nil {
		g.refuse(w, r, account, err)
		return
	}
	next, err := nextEventIndex(r)
	if err != nil {
		g.refuse(w, r, account, err)
		return
	}
	c := callFromToken(token)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	s := newStreamSink(w, c)
	err = g.resumeStream(ctx, token, c, s, next)
	g.logResult(c, err)
	if err == nil {
		return
	}
	s.end(err)
}

// nextEventIndex returns the index after the caller's last event.
func nextEventIndex(r *http.Request) (int, error) {
	text := r.Header.Get(headerLastEventID)
	if text == "" {
		return 0, nil
	}
	last, err := sse.ParseID(text)
	if err != nil {
		return 0, invalid("header %s: %v", headerLastEventID, err)
	}
	return last + 1, nil
}

func callFromToken(t resume.Token) *call {
	return &call{
		id:        t.RequestID,
		account:   t.Account,
		path:      t.Path,
		model:     t.Model,
		service:   t.Service,
		maxTokens: t.MaxTokens,
		stream:    true,
		resumable: true,
		deadline:  t.Deadline,
		arrived:   time.Now(),
	}
}

// resumeStream attaches to the attempt on its engine. The memory of the attempt is still
// accounted for by the VM that started it, or by the one that took over its seat.
func (g *Gateway) resumeStream(ctx context.Context, t resume.Token, c *call, s *streamSink, next int) error {
	declared, ok := g.Config.Current().Targets[t.Target]
	if !ok || declared.Address != t.Address {
		return errAttemptLost
	}
	d := &dispatch{g: g, c: c, sink: s, nextEvent: next, finishUnknown: next > 0}
	run := &attemptRun{
		id: t.Attempt,
		grant: &admission.Grant{
			Target:      t.Target,
			Declared:    declared,
			Client:      g.Clients(declared.Address),
			Reason:      "resume",
			BindAttempt: func(string) {},
			FirstEvent:  func() {},
			Done:        func(admission.AttemptResult) {},
		},
		sentAt: time.Now(),
	}
	if err := d.reopen(ctx, run); err != nil {
		return errAttemptLost.WithCause(err)
	}
	defer run.cancelContext()
	err := d.relayWithResume(ctx, run)
	if err == nil {
		return nil
	}
	g.abandon(run, c, callerDisconnected(ctx, err))
	if ctx.Err() != nil {
		d.mayHaveRun = true
		return d.contextError(ctx)
	}
	if errors.Is(err, engine.ErrInterrupted) {
		return errAttemptLost.WithCause(err)
	}
	return err
}

var errAttemptLost = apierror.New(apierror.KindTargetFailed, apierror.Failed,
	"the engine no longer holds the answer", "send the request again")
