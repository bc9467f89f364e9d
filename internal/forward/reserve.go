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
	reservationLease = 3500 * time.Millisecond
	renewInterval    = time.Second
	// reserveRetryDelay is the wait after an engine had not the memory that it was
	// thought to have.
	reserveRetryDelay  = 150 * time.Millisecond
	commandTimeout     = 600 * time.Millisecond
	releaseRetryDelay  = 1500 * time.Millisecond
	releaseAttempts    = 9 // covers orders that are carried out 12 s late
	maxCommandResponse = 4 << 10
)

// reservation is the memory that one split prompt holds on several engines. All
// of it is got, or none.
type reservation struct {
	h           *Handler
	id          string
	tokens      int
	targets     []*topology.Target
	stopRenewal context.CancelFunc

	mu sync.Mutex
	// unconfirmed holds the targets that did not answer an order: they may carry it out
	// late.
	unconfirmed map[string]bool
}

// reserve gets the memory for a plan and keeps it until release is called.
func (h *Handler) reserve(ctx context.Context, c *call, plan *placement.Plan) (*reservation, error) {
	c.reservationCount++
	r := &reservation{
		h: h, id: fmt.Sprintf("%s.%s.%d", c.meta.ID, h.Instance, c.reservationCount), tokens: plan.ReserveTokens,
		targets: append([]*topology.Target{plan.Target}, plan.Helpers...), unconfirmed: map[string]bool{},
	}
	if err := r.reserveAll(ctx); err != nil {
		r.release()
		return nil, err
	}
	renewing, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.stopRenewal = cancel
	go r.renew(renewing)
	return r, nil
}

// reserveAll reserves or renews the memory on all engines.
func (r *reservation) reserveAll(ctx context.Context) error {
	errs := make(chan error, len(r.targets))
	for _, t := range r.targets {
		go func() {
			errs <- r.h.sendCommand(ctx, t, r.h.Protocol.ReserveCommand(t.ID, r.id, r.tokens, reservationLease), func() { r.markUnconfirmed(ctx, t) })
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

// markUnconfirmed notes that an engine did not answer an order. The tries at one that
// cannot be reached end, so that the other engines' memory is released.
func (r *reservation) markUnconfirmed(ctx context.Context, t *topology.Target) {
	r.mu.Lock()
	r.unconfirmed[t.ID] = true
	r.mu.Unlock()
	if ctx.Err() == nil && !r.h.reachable(t) {
		r.h.abortUnreachable(t)
	}
}

func (r *reservation) renew(ctx context.Context) {
	for wait.For(ctx, renewInterval) {
		if err := r.reserveAll(ctx); err != nil && ctx.Err() == nil {
			r.h.Log.Warn("reservation not renewed", "reservation", r.id, "error", err)
		}
	}
}

// release ends the reservation everywhere. An engine that did not answer an
// order is told again, because it may carry that order out late.
func (r *reservation) release() {
	if r.stopRenewal != nil {
		r.stopRenewal()
	}
	for _, t := range r.targets {
		go r.releaseAt(t)
	}
}

func (r *reservation) releaseAt(t *topology.Target) {
	ctx := context.Background()
	for try := range releaseAttempts {
		err := r.h.sendCommand(ctx, t, r.h.Protocol.ReleaseCommand(t.ID, r.id), func() { r.markUnconfirmed(ctx, t) })
		r.mu.Lock()
		unsure := r.unconfirmed[t.ID]
		r.mu.Unlock()
		if err != nil {
			r.h.Log.Info("reservation not released", "reservation", r.id, "target", t.ID, "try", try, "error", err)
		}
		if !unsure && err == nil || !r.h.inTopology(t) {
			return
		}
		wait.For(ctx, releaseRetryDelay)
	}
}

// inTopology reports whether a target is still known.
func (h *Handler) inTopology(t *topology.Target) bool {
	for _, known := range h.Views.Get().Targets() {
		if known.ID == t.ID {
			return true
		}
	}
	return false
}

// sendCommand sends an order to an engine. unanswered is called when it may have been
// accepted without an answer.
func (h *Handler) sendCommand(ctx context.Context, t *topology.Target, o Command, unanswered func()) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	h.Metrics.CountCommand()
	request := upstream.Request{Method: http.MethodPost, URI: o.URI, Host: t.Address, Header: o.Header, Body: o.Body}
	e, err := h.Pool.Do(ctx, t.ID, t.Address, request, false, func(http.Header) bool { return true })
	if err != nil {
		unanswered()
		return err
	}
	defer e.Close()
	body, err := io.ReadAll(io.LimitReader(e.Body, maxCommandResponse))
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
