package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oriolefront/oriolefront/internal/quarantine"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// Parameters of the evidence about crashes of targets.
const (
	// crashWindow is the time after the first event of a response within which a crash of the
	// target may have been caused by the request: the first events may leave the target
	// before it crashes.
	crashWindow = 150 * time.Millisecond
	// crashProbeTTL is how long the attempts that broke with one target share a probe of it.
	crashProbeTTL = 50 * time.Millisecond
	// crashProbeTries is 2 so that a lost packet is not taken for a crash.
	crashProbeTries = 2
	// evidenceTimeout bounds how long a repeat waits for the evidence of its first attempt.
	evidenceTimeout = 100 * time.Millisecond
)

// errQuarantined ends an attempt before its first event, because the request or a part of its
// prompt was quarantined meanwhile.
var errQuarantined = errors.New("the request or a part of its prompt was quarantined")

// refuseQuarantined returns a refusal if the call, or a part of its prompt, is quarantined.
func (h *Handler) refuseQuarantined(c *call) *refusal {
	now := time.Now()
	v, found := h.Quarantine.Check(c.suspect(), now)
	if !found {
		return nil
	}
	message := "request not sent: a part of its prompt is quarantined"
	reason := fmt.Sprintf("part %s of the prompt is quarantined: targets crashed under requests with it", strings.Join(v.Parts, "+"))
	if v.Request != "" {
		message = "request not sent: it is quarantined"
		reason = "the request is quarantined: targets crashed under it"
	}
	h.Metrics.CountQuarantined()
	h.Log.Info(message, "request", c.meta.ID, "route", c.route.Name, "account", c.accountName(), "identity", v.Request,
		"parts", v.Parts, "crashes", v.Crashes, "last_crash_age", now.Sub(v.LastCrash).Round(time.Millisecond), "quarantined_for", now.Sub(v.Since).Round(time.Millisecond),
		"until", v.Until.Sub(now).Round(time.Second), "attempts", c.attemptsSent)
	return &refusal{http.StatusServiceUnavailable, reason, v.Until.Sub(now)}
}

// recordEvidence records whether an attempt that has ended was served, or its target crashed.
// In the latter case it waits a moment for the decision, so that the repeat of a request that
// crashes targets is not sent. It does nothing the second time.
func (h *Handler) recordEvidence(c *call, a *attempt, o outcome, err error) {
	observed := a.observed
	if observed == nil {
		return
	}
	a.observed = nil
	h.observed.remove(observed)
	now := time.Now()
	began, writing := a.d.running.FirstEventAt()
	switch {
	case o == delivered && c.caller.successful():
		if !writing {
			began = now
		}
		h.recordServed(observed, began)
	case writing && now.Sub(began) >= crashWindow:
		h.recordServedLong(observed, now)
	case o == outcomeUnknown && connectionBroke(err):
		decided := make(chan struct{})
		go func() {
			defer close(decided)
			h.recordCrash(observed, now, err)
		}()
		select {
		case <-decided:
		case <-time.After(evidenceTimeout):
		case <-c.request.Context().Done():
		}
	}
}

// recordCrash records that the target of an attempt, whose connection broke at the given time,
// has crashed. It returns when a decision on the evidence of all VMs has been made.
func (h *Handler) recordCrash(a *observedAttempt, at time.Time, err error) {
	if !h.crashed(a.d.target) {
		return
	}
	_, writing := a.d.running.FirstEventAt()
	h.Metrics.CountTargetCrash()
	h.Log.Warn("target crashed under a request that it had not answered", "request", a.c.meta.ID, "target", a.d.target.ID, "zone", a.d.target.Zone,
		"identity", a.c.identity(), "parts", a.c.meta.SharedParts, "own_part", a.c.meta.OwnPart, "since_placement", at.Sub(a.d.running.StartedAt()).Round(time.Millisecond), "first_event", writing, "error", err)
	h.Quarantine.RecordCrash(a.d.target.ID, a.c.suspect(), writing, at)
	time.Sleep(quarantine.SettleTime)
	h.Quarantine.Decide(time.Now())
}

// recordServed records that a target serves an attempt. It does so once.
func (h *Handler) recordServed(a *observedAttempt, began time.Time) {
	if a.served.CompareAndSwap(false, true) {
		h.Quarantine.RecordServed(a.c.suspect(), began)
	}
}

// recordServedLong does this for an attempt that has been written for longer than a crash takes.
func (h *Handler) recordServedLong(a *observedAttempt, now time.Time) {
	if began, writing := a.d.running.FirstEventAt(); writing && now.Sub(began) >= quarantine.SurvivalTime {
		h.recordServed(a, began)
	}
}

// RecordServed records the attempts in progress that are served. It is called several times a
// second.
func (h *Handler) RecordServed(now time.Time) {
	for _, a := range h.observed.all() {
		h.recordServedLong(a, now)
	}
}

// CancelQuarantined ends the attempts that are quarantined and whose responses have not begun.
func (h *Handler) CancelQuarantined() {
	now := time.Now()
	for _, a := range h.observed.all() {
		if _, writing := a.d.running.FirstEventAt(); writing {
			continue
		}
		if _, found := h.Quarantine.Check(a.c.suspect(), now); found {
			a.cancel(errQuarantined)
		}
	}
}

// connectionBroke reports whether an attempt failed because the target's end of its connection
// was closed or reset, and not because this VM ended it.
func connectionBroke(err error) bool {
	for _, own := range []error{context.Canceled, context.DeadlineExceeded, errTookOver, errWentOn, errQuarantined} {
		if errors.Is(err, own) {
			return false
		}
	}
	for _, broken := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, broken) {
			return true
		}
	}
	return false
}

// crashed reports whether a target, whose connection has just broken, accepts no connections
// any more although it was not about to leave.
func (h *Handler) crashed(t *topology.Target) bool {
	known := slices.ContainsFunc(h.Views.Get().Targets(), func(other *topology.Target) bool { return other.ID == t.ID && !other.Draining })
	return known && !h.crashProbes.accepts(t, h.Pool.CanConnect)
}

// crashProbes are the connection probes of targets whose connections have broken. The attempts
// that break together share one.
type crashProbes struct {
	mu       sync.Mutex
	byTarget map[string]*crashProbe
}

type crashProbe struct {
	started  time.Time
	done     chan struct{}
	accepted bool // valid after done is closed
}

// accepts reports whether a target accepts a connection now.
func (p *crashProbes) accepts(t *topology.Target, connect func(address string) bool) bool {
	probe, first := p.join(t.ID, time.Now())
	if first {
		for range crashProbeTries {
			probe.accepted = probe.accepted || connect(t.Address)
		}
		close(probe.done)
	}
	<-probe.done
	return probe.accepted
}

// join returns the probe of a target that was started just now, or a new one that the caller
// must run.
func (p *crashProbes) join(target string, now time.Time) (probe *crashProbe, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if probe := p.byTarget[target]; probe != nil && now.Sub(probe.started) < crashProbeTTL {
		return probe, false
	}
	for id, probe := range p.byTarget {
		if now.Sub(probe.started) >= crashProbeTTL {
			delete(p.byTarget, id)
		}
	}
	if p.byTarget == nil {
		p.byTarget = map[string]*crashProbe{}
	}
	probe = &crashProbe{started: now, done: make(chan struct{})}
	p.byTarget[target] = probe
	return probe, true
}
