// Package sweep reads what engines hold in memory, tells the capacity ledger,
// and cancels attempts and deletes exports that no VM owns any more.
package sweep

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/seat"
)

const (
	tickInterval = 100 * time.Millisecond
	// urgentInterval applies while a seat that was taken over waits for a list
	// of attempts; firstInterval to the VM with the first held seat of the
	// target; backupInterval to the others, which sweep in case the first
	// fails and to find the attempts of their own seats.
	urgentInterval = 500 * time.Millisecond
	firstInterval  = 2 * time.Second
	backupInterval = 10 * time.Second
	// callTimeout bounds one call to an engine.
	callTimeout = 2 * time.Second
	// sweepsAtOnce bounds the targets that are swept at the same time.
	sweepsAtOnce = 8

	// ownUnattached is how long an attempt of an own seat may be without a
	// reader when no reservation counts it. It covers the time between the
	// list and a resumption.
	ownUnattached = 2 * time.Second
	// olderUnattached is how long an attempt of an older epoch may be without
	// a reader. Until then the caller may continue it through another VM.
	olderUnattached = 10 * time.Second
	// exportAge is how old an export without a known owner must be. An import
	// begins within a fraction of it.
	exportAge = 30 * time.Second
)

// Ledger is what the sweeper uses of capacity.Ledger.
type Ledger interface {
	MonitoredTargets() []capacity.MonitoredTarget
	HasAttempt(target, attempt string) bool
	Observe(target string, o capacity.Observation)
	ApplyInventory(target string, taken time.Time, inv engine.Inventory)
}

// Options are what a Sweeper works with.
type Options struct {
	Ledger Ledger
	Seats  seat.Reader
	// Client returns the client of a target, or nil when it is not declared.
	Client func(target string) engine.Client
	Log    *slog.Logger
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Sweeper sweeps the targets that this VM follows.
type Sweeper struct {
	Options
	slots chan struct{}
	stats struct{ cancelled, deleted, failed atomic.Uint64 }

	mu   sync.Mutex
	last map[string]time.Time // start of the last sweep, by target
	busy map[string]bool
}

// New returns a sweeper; Run makes it work.
func New(o Options) *Sweeper {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Sweeper{
		Options: o,
		slots:   make(chan struct{}, sweepsAtOnce),
		last:    map[string]time.Time{},
		busy:    map[string]bool{},
	}
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var sweeps sync.WaitGroup
	defer sweeps.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, f := range s.due() {
			sweeps.Go(func() { s.slot(ctx, f.Target) })
		}
	}
}

// slot sweeps a target when one of the concurrent sweeps is free.
func (s *Sweeper) slot(ctx context.Context, target string) {
	defer s.finished(target)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-ctx.Done():
		return
	}
	s.Sweep(ctx, target)
}

// due marks and returns the targets whose next sweep is due.
func (s *Sweeper) due() (due []capacity.MonitoredTarget) {
	followed := s.Ledger.MonitoredTargets()
	held := s.Seats.Seats()
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(followed)
	for _, f := range followed {
		if !s.busy[f.Target] && now.Sub(s.last[f.Target]) >= s.interval(f, held) {
			s.busy[f.Target] = true
			s.last[f.Target] = now
			due = append(due, f)
		}
	}
	return due
}

// forget drops the times of targets that are no longer followed.
func (s *Sweeper) forget(followed []capacity.MonitoredTarget) {
	for target := range s.last {
		same := func(f capacity.MonitoredTarget) bool { return f.Target == target }
		if len(s.last) > len(followed) && !slices.ContainsFunc(followed, same) {
			delete(s.last, target)
		}
	}
}

func (s *Sweeper) finished(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, target)
}

// interval returns the pace at which this VM sweeps a target.
func (s *Sweeper) interval(f capacity.MonitoredTarget, held []seat.Seat) time.Duration {
	if f.AwaitsInventory {
		return urgentInterval
	}
	for _, index := range f.SeatOrder {
		if slices.ContainsFunc(held, func(h seat.Seat) bool { return h.Index == index }) {
			return firstInterval
		}
		if _, _, ok := s.Seats.HolderOf(index); ok {
			return backupInterval
		}
	}
	return backupInterval
}

// Sweep reads one target's inventory, reports it to the ledger and removes
// what nobody owns.
func (s *Sweeper) Sweep(ctx context.Context, target string) {
	client := s.Client(target)
	if client == nil {
		return
	}
	taken := s.Now()
	inv, err := s.inventory(ctx, client)
	if err != nil {
		s.stats.failed.Add(1)
		s.Log.Warn("inventory of target not read", "target", target, "error", err)
		return
	}
	s.Ledger.Observe(target, capacity.Observation{At: taken, StartNumber: inv.StartNumber})
	s.Ledger.ApplyInventory(target, taken, inv)
	for _, a := range inv.Attempts {
		if reason := s.cancelReason(target, a); reason != "" {
			s.cancel(ctx, client, target, a, reason)
		}
	}
	for _, x := range inv.Exports {
		if reason := s.deleteReason(target, x); reason != "" {
			s.delete(ctx, client, target, x, reason)
		}
	}
}

func (s *Sweeper) inventory(ctx context.Context, client engine.Client) (engine.Inventory, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return client.ApplyInventory(ctx)
}

// ownership says what this VM knows about the owner of an attempt.
type ownership int

const (
	otherOwner ownership = iota // another VM's, not ours, or unknown
	noOwner                     // of an own seat, without a reservation
	olderEpoch                  // of an earlier holder of the seat
	activeHere                  // counted by a reservation here
)

func (s *Sweeper) ownership(target, attempt string) ownership {
	index, epoch, ok := capacity.AttemptOwner(attempt)
	if !ok {
		return otherOwner
	}
	if s.Ledger.HasAttempt(target, attempt) {
		return activeHere
	}
	held := s.Seats.Seats()
	if slices.Contains(held, seat.Seat{Index: index, Epoch: epoch}) {
		return noOwner
	}
	if _, present, ok := s.Seats.HolderOf(index); ok && present > epoch {
		return olderEpoch
	}
	return otherOwner
}

// cancelReason returns why an attempt must be cancelled, or "".
func (s *Sweeper) cancelReason(target string, a engine.Attempt) string {
	if a.Attached || a.Idle < ownUnattached {
		return ""
	}
	switch s.ownership(target, a.ID) {
	case noOwner:
		return "own seat, no reservation, no reader"
	case olderEpoch:
		if a.Idle >= olderUnattached {
			return "older epoch of its seat, no reader"
		}
	}
	return ""
}

// deleteReason returns why an export must be deleted, or "".
func (s *Sweeper) deleteReason(target string, x engine.Export) string {
	if x.Age < exportAge {
		return ""
	}
	switch s.ownership(target, x.Attempt) {
	case noOwner:
		return "own seat, no reservation"
	case olderEpoch:
		return "older epoch of its seat"
	}
	return ""
}

func (s *Sweeper) cancel(ctx context.Context, client engine.Client, target string, a engine.Attempt, reason string) {
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	err := client.Cancel(ctx, a.ID)
	s.report("unowned attempt cancelled", &s.stats.cancelled, err, "target", target, "attempt", a.ID,
		"reason", reason, "idle", a.Idle, "kv_tokens", a.KVTokens)
}

func (s *Sweeper) delete(ctx context.Context, client engine.Client, target string, x engine.Export, reason string) {
	ctx, done := context.WithTimeout(ctx, callTimeout)
	defer done()
	err := client.DeleteExport(ctx, x.Handle)
	s.report("unowned export deleted", &s.stats.deleted, err, "target", target, "export", x.Handle,
		"attempt", x.Attempt, "reason", reason, "age", x.Age, "kv_tokens", x.KVTokens)
}

// report logs an action, or that it failed and the next sweep repeats it.
func (s *Sweeper) report(action string, done *atomic.Uint64, err error, fields ...any) {
	if err != nil {
		s.stats.failed.Add(1)
		s.Log.Warn(action+": failed, repeated by the next sweep", append(fields, "error", err)...)
		return
	}
	done.Add(1)
	s.Log.Info(action, fields...)
}

// Stats count what sweeps removed.
type Stats struct {
	Cancelled uint64 // attempts that nobody owned
	Deleted   uint64 // exports that nobody owned
	Failed    uint64 // inventories, cancellations and deletions that failed
}

// Stats returns the counters so far.
func (s *Sweeper) Stats() Stats {
	return Stats{Cancelled: s.stats.cancelled.Load(), Deleted: s.stats.deleted.Load(), Failed: s.stats.failed.Load()}
}
