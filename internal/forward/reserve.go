package forward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/placement"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// Parameters of reservations. A reservation has a short lease that is renewed, so that the
// memory is freed soon after a VM has failed.
const (
	reservationLease = 3500 * time.Millisecond
	renewInterval    = time.Second
	// pausedRenewAge is the age at which the reservation of a running request is renewed at an
	// engine that has asked for a pause: as late as leaves time for one more command. Without
	// it the engine would cut off the request.
	pausedRenewAge = reservationLease - renewInterval - commandTimeout
	// maxSuspension is how long the engine that answers may be unreachable until the memory that
	// its helpers hold is released. It leaves time to renew the lease if the engine goes on.
	maxSuspension = 1500 * time.Millisecond
	// reserveRetryDelay is the delay after an engine had less free memory than assumed.
	reserveRetryDelay  = 150 * time.Millisecond
	commandTimeout     = 600 * time.Millisecond
	releaseRetryDelay  = 1500 * time.Millisecond
	releaseAttempts    = 9 // covers commands that are executed 12 s late
	maxCommandResponse = 4 << 10
	maxLoggedResponse  = 100 // bytes
)

// reservation is the memory that one split prompt holds on several engines. It is acquired
// on all of them or on none.
type reservation struct {
	h           *Handler
	id          string
	tokens      int
	targets     []*topology.Target
	renewalCtx  context.Context
	stopRenewal context.CancelFunc
	releaseOnce sync.Once

	mu sync.Mutex
	// suspension releases the memory when it fires; nil while the reservation is renewed.
	suspension *time.Timer
	// unconfirmed holds the targets that did not respond to a command: they may execute
	// it late.
	unconfirmed map[string]bool
	// reservedAt is when the last confirmed command to reserve was sent to each target.
	reservedAt map[string]time.Time
}

// reserve acquires the memory for a plan and renews it until release is called.
func (h *Handler) reserve(ctx context.Context, c *call, plan *placement.Plan) (*reservation, error) {
	c.reservationCount++
	r := &reservation{
		// The id is part of a list in a header.
		h: h, id: fmt.Sprintf("%s.%s.%d", url.QueryEscape(c.meta.ID), h.Instance, c.reservationCount), tokens: plan.ReserveTokens,
		targets: append([]*topology.Target{plan.Target}, plan.Helpers...), unconfirmed: map[string]bool{}, reservedAt: map[string]time.Time{},
	}
	if err := r.reserveAt(ctx, r.targets, func() error { return h.admitAll(r.targets...) }); err != nil {
		r.release()
		return nil, err
	}
	r.renewalCtx, r.stopRenewal = context.WithCancel(context.WithoutCancel(ctx))
	go r.renew()
	return r, nil
}

// reserveAt reserves the memory on engines, or renews the reservation. admit is called before
// each command is sent; it is nil for renewals.
func (r *reservation) reserveAt(ctx context.Context, targets []*topology.Target, admit func() error) error {
	errs := make(chan error, len(targets))
	for _, t := range targets {
		go func() {
			sent := time.Now()
			err := r.h.sendCommand(ctx, t, r.h.Protocol.ReserveCommand(t.ID, r.id, r.tokens, reservationLease), admit, func() { r.markUnconfirmed(ctx, t) })
			if err == nil {
				r.markReserved(t, sent)
			}
			errs <- err
		}()
	}
	var first error
	for range targets {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// markUnconfirmed records that an engine did not respond to a command. If the engine is
// unreachable, standby attempts are started for the requests at it.
func (r *reservation) markUnconfirmed(ctx context.Context, t *topology.Target) {
	r.mu.Lock()
	r.unconfirmed[t.ID] = true
	r.mu.Unlock()
	if ctx.Err() == nil && !r.h.reachable(t) {
		r.h.reportUnreachable(t)
	}
}

func (r *reservation) markReserved(t *topology.Target, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reservedAt[t.ID] = sent
}

// dueTargets returns the engines at which the reservation is renewed now.
func (r *reservation) dueTargets() []*topology.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []*topology.Target
	for _, t := range r.targets {
		if r.h.Health.PausedFor(t) == 0 || time.Since(r.reservedAt[t.ID]) >= pausedRenewAge {
			due = append(due, t)
		}
	}
	return due
}

// renew renews the reservation until it is released, except while it is suspended.
func (r *reservation) renew() {
	for wait.For(r.renewalCtx, renewInterval) {
		if !r.suspended() {
			r.renewOnce()
		}
	}
}

func (r *reservation) renewOnce() {
	if err := r.reserveAt(r.renewalCtx, r.dueTargets(), nil); err != nil && r.renewalCtx.Err() == nil {
		r.h.Log.Warn("reservation not renewed", "reservation", r.id, "error", err)
	}
}

// suspend stops the renewals, because the engine that answers cannot be reached. The memory is
// released if that is still so after maxSuspension.
func (r *reservation) suspend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspension == nil {
		r.suspension = time.AfterFunc(maxSuspension, r.endSuspension)
	}
}

// endSuspension releases the memory unless the engine that answers can be reached again.
func (r *reservation) endSuspension() {
	if r.h.reachable(r.targets[0]) {
		r.resume()
		return
	}
	r.h.Log.Info("reservation released: the engine that answers cannot be reached", "reservation", r.id, "target", r.targets[0].ID)
	r.release()
}

// resume ends a suspension, if there is one: the engine has gone on.
func (r *reservation) resume() {
	if r.stopSuspension() && r.renewalCtx.Err() == nil {
		go r.renewOnce()
	}
}

func (r *reservation) stopSuspension() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspension == nil {
		return false
	}
	r.suspension.Stop()
	r.suspension = nil
	return true
}

func (r *reservation) suspended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.suspension != nil
}

// release releases the reservation on all engines. The release is repeated at an engine
// that did not respond to a command, because it may execute that command late.
func (r *reservation) release() { r.releaseOnce.Do(r.releaseAll) }

func (r *reservation) releaseAll() {
	r.stopSuspension()
	if r.stopRenewal != nil {
		r.stopRenewal()
	}
	for _, t := range r.targets {
		go r.releaseAt(t)
	}
}

func (r *reservation) releaseAt(t *topology.Target) {
	ctx := context.Background()
	for attempt := range releaseAttempts {
		err := r.h.sendCommand(ctx, t, r.h.Protocol.ReleaseCommand(t.ID, r.id), nil, func() { r.markUnconfirmed(ctx, t) })
		r.mu.Lock()
		unconfirmed := r.unconfirmed[t.ID]
		r.mu.Unlock()
		if err != nil {
			r.h.Log.Info("reservation not released", "reservation", r.id, "target", t.ID, "try", attempt, "error", err)
		}
		if !unconfirmed && err == nil || !r.h.inTopology(t) {
			return
		}
		wait.For(ctx, releaseRetryDelay)
	}
}

// inTopology reports whether a target is still listed.
func (h *Handler) inTopology(t *topology.Target) bool {
	for _, known := range h.Views.Get().Targets() {
		if known.ID == t.ID {
			return true
		}
	}
	return false
}

// sendCommand sends a command to an engine, unless admit returns an error. onUnconfirmed is called when the engine may
// have accepted it without a response. The response to a command has no id, so that each command has a connection of
// its own.
func (h *Handler) sendCommand(ctx context.Context, t *topology.Target, command Command, admit func() error, onUnconfirmed func()) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	h.Metrics.CountCommand()
	request := upstream.Request{
		Reuse: upstream.DialThenClose, ResponseID: h.responseID, OnForeign: func(f upstream.ForeignResponse) { h.recordForeign(command.URI, t, f) },
		Method: http.MethodPost, URI: command.URI, Host: t.Address, Header: command.Header, Body: command.Body, BeforeSend: admit,
	}
	e, err := h.Pool.Do(ctx, t.ID, t.Address, request)
	if errors.Is(err, errNotAdmitted) {
		return err
	}
	if err != nil {
		onUnconfirmed()
		return err
	}
	defer e.Close()
	h.recordNotices(command.URI, t, h.Protocol.ParseResponse(e.StatusCode, e.Header))
	body, err := io.ReadAll(io.LimitReader(e.Body, maxCommandResponse))
	if err != nil {
		onUnconfirmed()
		return err
	}
	e.Complete()
	if e.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("engine %s refused a command with status %d: %.*q", t.ID, e.StatusCode, maxLoggedResponse, body)
	}
	if len(body) > 0 && !json.Valid(body) {
		onUnconfirmed()
		return fmt.Errorf("engine %s answered a command with status %d and no JSON: %.*q", t.ID, e.StatusCode, maxLoggedResponse, body)
	}
	return nil
}
