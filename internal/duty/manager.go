package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/wait"
)

// Times of the manager.
const (
	tickInterval = 50 * time.Millisecond
	// settleTime is how long a VM must have reached the store before it tries to acquire the
	// lease. Status heartbeats are sent each second: VMs that reach the store again at the same
	// moment would all be candidates before they have heard that of each other.
	settleTime = 1500 * time.Millisecond
	// spreadTime bounds the random delay of a candidate. One that tries tells the others, so
	// that the rest need not call the store.
	spreadTime = 250 * time.Millisecond
	// callFailureTime is the time of failing calls to the platform after which a holder
	// releases the lease, and abstainTime how long it does not try again.
	callFailureTime = 2 * time.Second
	abstainTime     = 10 * time.Second
	// quietTime is the time between the last call without an answer and the release: bytes
	// that were delayed on the way must not arrive after the next holder's.
	quietTime = time.Second
	// storeFailureTime is the time of failing renewals after which a holder claims the lease
	// no more.
	storeFailureTime = time.Second
	backoffMin       = 100 * time.Millisecond
	backoffMax       = 1600 * time.Millisecond
)

// Renewal renews the lease for one task and keeps its state in the lease's row.
type Renewal interface {
	// Grant returns the current grant, which may have ended.
	Grant() Grant
	// Renew renews the lease and changes the task's state by the same write. change may be
	// called more than once.
	Renew(ctx context.Context, change func(old json.RawMessage) (json.RawMessage, error)) (Grant, error)
}

// RenewingTask is a task that renews the lease by itself, because it writes what it decides
// before it acts. The manager calls RunRenewing instead of Run.
type RenewingTask interface {
	Task
	RunRenewing(ctx context.Context, r Renewal) error
}

// Manager acquires the lease when this VM is the candidate and runs the tasks while it
// holds it.
type Manager struct {
	Lease *Lease
	Tasks []Task
	Log   *slog.Logger
	// Self returns this VM, apart from Claims, Abstains and Tries, and Others the live VMs.
	Self   func() VM
	Others func() []VM
	// Changed is called when Claims, Tries or Abstains has changed.
	Changed func()
	Metrics *metrics.Set

	claims       atomic.Bool
	tries        atomic.Bool
	settled      atomic.Bool  // whether this VM has reached the store for settleTime
	abstainUntil atomic.Int64 // uptime

	// The fields below belong to Run.
	nextAcquire  time.Duration // uptime
	checkedAt    time.Duration // uptime of the last check of the candidacy
	reachedSince time.Duration // uptime since which this VM reaches the store and was not suspended
	tryAt        time.Duration // uptime from which this candidate tries; 0: it is none
	backoff      time.Duration
	failingSince time.Duration // uptime of the first failed call of an uninterrupted series; 0: none
	storeFailing time.Duration // uptime of the first failed renewal of a series; 0: none
	pausedUntil  time.Duration // uptime before which no task runs, after a failed renewal
	stop         chan struct{}
	stopped      chan struct{}
	stopOnce     sync.Once
}

// Init must be called before the manager is used.
func (m *Manager) Init() {
	m.stop, m.stopped = make(chan struct{}), make(chan struct{})
	m.Metrics.NewGauge("oriole_duty_holder", func() float64 {
		if m.claims.Load() {
			return 1
		}
		return 0
	})
	m.Metrics.NewGauge("oriole_duty_token", func() float64 { return float64(m.Lease.HighestToken()) })
}

// Claims reports whether this VM holds the lease and can renew it.
func (m *Manager) Claims() bool { return m.claims.Load() }

// Abstains reports whether this VM does not try to hold the lease.
func (m *Manager) Abstains() bool {
	select {
	case <-m.stop:
		return true
	default:
	}
	return !m.settled.Load() || int64(m.Lease.Uptime()) < m.abstainUntil.Load()
}

// Tries reports whether this VM tries to acquire the lease and the store answers it.
func (m *Manager) Tries() bool { return m.tries.Load() }

// Run runs until ctx ends or Stop is called.
func (m *Manager) Run(ctx context.Context) {
	defer close(m.stopped)
	m.backoff = backoffMin
	for !m.stopping() && wait.For(ctx, tickInterval) {
		m.step(ctx)
		m.updateClaim()
	}
}

// Stop ends Run after the call in progress and releases the lease.
func (m *Manager) Stop(ctx context.Context) {
	m.stopOnce.Do(func() { close(m.stop) })
	select {
	case <-m.stopped:
	case <-ctx.Done():
		return
	}
	if _, _, held := m.Lease.Held(); held {
		if m.failingSince != 0 {
			wait.For(ctx, quietTime)
		}
		m.release(ctx, "stopping")
	}
	m.setTries(false)
	m.updateClaim()
}

func (m *Manager) stopping() bool {
	select {
	case <-m.stop:
		return true
	default:
		return false
	}
}

// step does what is due: a task of the holder, or a step towards the lease.
func (m *Manager) step(ctx context.Context) {
	now := m.Lease.Uptime()
	self := m.observeReach(now)
	if _, since, held := m.Lease.Held(); held {
		if m.shouldRelease(now, since) {
			m.giveUp(ctx)
		} else if task := m.dueTask(); task != nil && now >= m.pausedUntil {
			m.run(ctx, task)
		}
		return
	}
	if self.Abstains || !IsCandidate(self, m.Others()) {
		m.tryAt = 0
		m.setTries(false)
		return
	}
	if m.tryAt == 0 {
		m.tryAt = now + tickInterval + rand.N(spreadTime)
	}
	if now >= max(m.tryAt, m.nextAcquire) {
		m.setTries(true)
		m.acquire(ctx)
	}
}

// observeReach records since when this VM reaches the store, and returns this VM. What it knows
// of the others counts only after settleTime without a suspension of this process.
func (m *Manager) observeReach(now time.Duration) VM {
	self := m.Self()
	if !self.ReachesStore || now-m.checkedAt > settleTime {
		m.reachedSince = now
	}
	m.checkedAt = now
	if settled := now-m.reachedSince >= settleTime; m.settled.Swap(settled) != settled {
		m.Changed()
	}
	self.Claims, self.Abstains, self.Tries = m.Claims(), m.Abstains(), m.Tries()
	return self
}

// setTries tells the other VMs when this one begins or ceases to try.
func (m *Manager) setTries(tries bool) {
	if m.tries.Swap(tries) != tries {
		m.Changed()
	}
}

// acquire makes a step towards the lease.
func (m *Manager) acquire(ctx context.Context) {
	next, err := m.Lease.Acquire(ctx)
	m.nextAcquire = next
	if err != nil {
		m.Log.Warn("duty lease not acquired", "error", err)
		m.nextAcquire = m.Lease.Uptime() + m.nextBackoff()
		m.abstainUntil.Store(int64(m.nextAcquire)) // another VM may reach the store
		m.setTries(false)
		return
	}
	m.backoff = backoffMin
	if token, _, held := m.Lease.Held(); held {
		m.failingSince, m.storeFailing, m.pausedUntil = 0, 0, 0
		m.updateClaim()
		m.setTries(false)
		m.Log.Info("duty lease acquired", "token", token)
	} else if next > 0 {
		m.Log.Info("duty lease held by another VM; waiting", "wait", next-m.Lease.Uptime())
	}
}

// nextBackoff returns a jittered pause that grows from one call to the next.
func (m *Manager) nextBackoff() time.Duration {
	d := m.backoff/2 + rand.N(m.backoff)
	m.backoff = min(2*m.backoff, backoffMax)
	return d
}

// dueTask returns the task that is due for longest, or nil.
func (m *Manager) dueTask() Task {
	now := time.Now()
	var due Task
	var dueAt time.Time
	for _, t := range m.Tasks {
		if at := t.Next(now); !at.IsZero() && !at.After(now) && (due == nil || at.Before(dueAt)) {
			due, dueAt = t, at
		}
	}
	return due
}

// run renews the lease and runs a task.
func (m *Manager) run(ctx context.Context, t Task) {
	startedAt := m.Lease.Uptime()
	err := m.runTask(ctx, t)
	outcome := outcomeOf(err)
	m.Metrics.GetOrCreateCounter(fmt.Sprintf(`oriole_duty_runs_total{task=%q,outcome=%q}`, t.Name(), outcome)).Inc()
	if err != nil {
		m.Log.Warn("duty task failed", "task", t.Name(), "outcome", outcome, "token", m.Lease.HighestToken(), "error", err)
	}
	switch outcome {
	case "lease_lost":
		m.Log.Warn("duty lease lost", "error", err)
		m.nextAcquire = 0
	case "store_failed":
		if m.storeFailing == 0 {
			m.storeFailing = startedAt
		}
		m.pausedUntil = m.Lease.Uptime() + m.nextBackoff()
		return
	case "unknown":
		if m.failingSince == 0 {
			m.failingSince = startedAt
		}
	case "not_sent":
	default:
		m.failingSince = 0
	}
	m.storeFailing, m.backoff = 0, backoffMin
}

func (m *Manager) runTask(ctx context.Context, t Task) error {
	r := &renewal{lease: m.Lease, task: t.Name()}
	if renewing, ok := t.(RenewingTask); ok {
		return renewing.RunRenewing(ctx, r)
	}
	g, err := r.Renew(ctx, nil)
	if err != nil {
		return err
	}
	return t.Run(ctx, g)
}

// outcomeOf returns the outcome of a run for metrics and logs.
func outcomeOf(err error) string {
	var refused *RefusedError
	var unknown *UnknownOutcomeError
	var renewal *renewalError
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, errNotHeld):
		return "lease_lost"
	case errors.As(err, &renewal):
		return "store_failed"
	case errors.As(err, &unknown):
		return "unknown"
	case errors.Is(err, ErrGrantEnded):
		return "not_sent"
	case errors.Is(err, ErrRateLimited):
		return "rate_limited"
	case errors.As(err, &refused):
		return "refused"
	}
	return "failed"
}

// shouldRelease reports whether this VM gives the lease up because the platform does not
// answer its calls. A lease is held for twice its duration at least, so that it does not go
// round the VMs while the platform answers none of them.
func (m *Manager) shouldRelease(now, since time.Duration) bool {
	return m.failingSince != 0 && now-m.failingSince >= callFailureTime && now-since >= 2*m.Lease.Duration
}

func (m *Manager) giveUp(ctx context.Context) {
	m.abstainUntil.Store(int64(m.Lease.Uptime() + abstainTime))
	wait.For(ctx, quietTime)
	m.release(ctx, "the platform does not answer")
	m.failingSince = 0
}

func (m *Manager) release(ctx context.Context, reason string) {
	if err := m.Lease.Release(ctx); err != nil {
		m.Log.Warn("duty lease not released", "reason", reason, "error", err)
		return
	}
	m.Log.Info("duty lease released", "reason", reason)
}

// updateClaim tells the other VMs when this one begins or ceases to claim the lease.
func (m *Manager) updateClaim() {
	_, _, held := m.Lease.Held()
	renewalFails := m.storeFailing != 0 && m.Lease.Uptime()-m.storeFailing >= storeFailureTime
	// Without the store, and a lease after the end of the grant, no renewal is to be expected.
	expired := m.Lease.Grant().Remaining() < -m.Lease.Duration && m.Self().StoreFails
	claims := held && !renewalFails && !expired
	if m.claims.Swap(claims) != claims {
		m.Changed()
	}
}

// renewal implements Renewal for a task.
type renewal struct {
	lease *Lease
	task  string
}

func (r *renewal) Grant() Grant { return r.lease.Grant() }

func (r *renewal) Renew(ctx context.Context, change func(json.RawMessage) (json.RawMessage, error)) (Grant, error) {
	g, err := r.lease.Renew(ctx, r.task, change)
	if err != nil {
		return Grant{}, &renewalError{err}
	}
	return g, nil
}

// renewalError reports that the lease could not be renewed.
type renewalError struct{ err error }

// Error implements error.
func (e *renewalError) Error() string { return "renew the duty lease: " + e.err.Error() }

// Unwrap returns the cause.
func (e *renewalError) Unwrap() error { return e.err }
