package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/placement"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// Times of reservations. A reservation is short and renewed, so that the memory
// comes free soon after a VM has died.
const (
	reservationHold = 3500 * time.Millisecond
	renewInterval   = time.Second
	// reserveInterval is the wait after an engine had not the memory that it was
	// thought to have.
	reserveInterval  = 150 * time.Millisecond
	orderTimeout     = 600 * time.Millisecond
	releaseInterval  = 1500 * time.Millisecond
	releaseTries     = 9 // covers orders that are carried out 12 s late
	orderAnswerBytes = 4 << 10
)

// reservation is the memory that one split prompt holds on several engines. All
// of it is got, or none.
type reservation struct {
	h       *Handler
	id      string
	tokens  int
	targets []*topology.Target
	cancel  context.CancelFunc

	mu sync.Mutex
	// unsure holds the targets that did not answer an order: they may carry it out
	// late.
	unsure map[string]bool
}

// reserve gets the memory for a plan and keeps it until release is called.
func (h *Handler) reserve(ctx context.Context, c *call, plan *placement.Plan) (*reservation, error) {
	c.reservations++
	r := &reservation{
		h: h, id: fmt.Sprintf("%s.%s.%d", c.meta.ID, h.Instance, c.reservations), tokens: plan.ReserveTokens,
		targets: append([]*topology.Target{plan.Target}, plan.Helpers...), unsure: map[string]bool{},
	}
	if err := r.orderAll(ctx); err != nil {
		r.release()
		return nil, err
	}
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.cancel = cancel
	go r.renew(renewing)
	return r, nil
}

// orderAll reserves or renews the memory on all engines.
func (r *reservation) orderAll(ctx context.Context) error {
	errs := make(chan error, len(r.targets))
	for _, t := range r.targets {
		go func() {
			errs <- r.h.order(ctx, t, r.h.Protocol.ReserveCommand(t.ID, r.id, r.tokens, reservationHold), func() { r.unanswered(ctx, t) })
		}()
	}
	var first error
	for range r.targets {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// unanswered notes that an engine did not answer an order. The tries at one that
// cannot be reached end, so that the other engines' memory is released.
func (r *reservation) unanswered(ctx context.Context, t *topology.Target) {
	r.mu.Lock()
	r.unsure[t.ID] = true
	r.mu.Unlock()
	if ctx.Err() == nil && !r.h.reachable(t) {
		r.h.dead(t)
	}
}

func (r *reservation) renew(ctx context.Context) {
	for wait.For(ctx, renewInterval) {
		if err := r.orderAll(ctx); err != nil && ctx.Err() == nil {
			r.h.Log.Warn("reservation not renewed", "reservation", r.id, "error", err)
		}
	}
}

// release ends the reservation everywhere. An engine that did not answer an
// order is told again, because it may carry that order out late.
func (r *reservation) release() {
	if r.cancel != nil {
		r.cancel()
	}
	for _, t := range r.targets {
		go r.releaseAt(t)
	}
}

func (r *reservation) releaseAt(t *topology.Target) {
	ctx := context.Background()
	for try := range releaseTries {
		err := r.h.order(ctx, t, r.h.Protocol.ReleaseCommand(t.ID, r.id), func() { r.unanswered(ctx, t) })
		r.mu.Lock()
		unsure := r.unsure[t.ID]
		r.mu.Unlock()
		if err != nil {
			r.h.Log.Info("reservation not released", "reservation", r.id, "target", t.ID, "try", try, "error", err)
		}
		if !unsure && err == nil || !r.h.listed(t) {
			return
		}
		wait.For(ctx, releaseInterval)
	}
}

// listed reports whether a target is still known.
func (h *Handler) listed(t *topology.Target) bool {
	for _, known := range h.Views.Get().Targets() {
		if known.ID == t.ID {
			return true
		}
	}
	return false
}

// order sends an order to an engine. unanswered is called when it may have been
// accepted without an answer.
func (h *Handler) order(ctx context.Context, t *topology.Target, o Command, unanswered func()) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	h.Metrics.CountCommand()
	request := upstream.Request{Method: http.MethodPost, URI: o.URI, Host: t.Address, Header: o.Header, Body: o.Body}
	e, err := h.Pool.Do(ctx, t.ID, t.Address, request, false, func(http.Header) bool { return true })
	if err != nil {
		unanswered()
		return err
	}
	defer e.Close()
	body, err := io.ReadAll(io.LimitReader(e.Body, orderAnswerBytes))
	if err != nil {
		unanswered()
		return err
	}
	e.Complete()
	if e.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("engine %s refused an order with status %d: %s", t.ID, e.StatusCode, body)
	}
	return nil
}
