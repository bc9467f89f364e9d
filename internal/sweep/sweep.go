// Package sweep reads the inventories of engines, passes them to the capacity
// ledger, and cancels attempts and deletes exports that no VM owns any more.
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
	// awaitedInterval applies while a seat that was taken over waits for an
	// inventory, primaryInterval to the VM with the first held seat of the
	// target, and backupInterval to the others, which sweep in case the first
	// one fails and to find the attempts of their own seats.
	awaitedInterval = 500 * time.Millisecond
	primaryInterval = 2 * time.Second
	backupInterval  = 10 * time.Second
	// callTimeout bounds one call to an engine.
	callTimeout = 2 * time.Second
	// maxConcurrentSweeps bounds the targets that are swept at the same time.
	maxConcurrentSweeps = 8

	// ownDetachedTimeout is how long an attempt of a seat of this VM may be
	// without a reader when it has no reservation. It covers the time between
	// the inventory and a resumption.
	ownDetachedTimeout = 2 * time.Second
	// olderEpochDetachedTimeout is how long an attempt of an older epoch may be
	// without a reader. Until then the caller may resume it through another VM.
	olderEpochDetachedTimeout = 10 * time.Second
	// minExportAge is the minimum age at which an export without a known owner
	// is deleted. An import begins within a fraction of it.
	minExportAge = 30 * time.Second
)

// Ledger is the part of capacity.Ledger that a Sweeper uses.
type Ledger interface {
	MonitoredTargets() []capacity.MonitoredTarget
	HasAttempt(target, attempt string) bool
	Observe(target string, o capacity.Observation)
	ApplyInventory(target string, takenAt time.Time, inv engine.Inventory)
}

// Options configure a Sweeper.
type Options struct {
	Ledger Ledger
	Seats  seat.Reader
	// Client returns the client of a target, or nil when it is not declared.
	Client func(target string) engine.Client
	Log    *slog.Logger
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Sweeper sweeps the targets that this VM monitors.
type Sweeper struct {
	Options
	sweepSlots chan struct{}
	stats      struct{ cancelled, deleted, failed atomic.Uint64 }

	mu         sync.Mutex
	lastStart  map[string]time.Time // start of the last sweep, by target
	inProgress map[string]bool
}

// New returns a Sweeper; Run starts it.
func New(o Options) *Sweeper {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Sweeper{
		Options:    o,
		sweepSlots: make(chan struct{}, maxConcurrentSweeps),
		lastStart:  map[string]time.Time{},
		inProgress: map[string]bool{},
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
		for _, f := range s.takeDue() {
			sweeps.Go(func() { s.sweepInSlot(ctx, f.Target) })
		}
	}
}

// sweepInSlot sweeps a target once fewer than maxConcurrentSweeps sweeps are
// running.
func (s *Sweeper) sweepInSlot(ctx context.Context, target string) {
	defer s.markDone(target)
	select {
	case s.sweepSlots <- struct{}{}:
		defer func() { <-s.sweepSlots }()
	case <-ctx.Done():
		return
	}
	s.Sweep(ctx, target)
}

// takeDue returns the targets whose next sweep is due and marks them as in
// progress.
func (s *Sweeper) takeDue() (due []capacity.MonitoredTarget) {
	monitored := s.Ledger.MonitoredTargets()
	held := s.Seats.Seats()
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropUnmonitored(monitored)
	for _, f := range monitored {
		if !s.inProgress[f.Target] && now.Sub(s.lastStart[f.Target]) >= s.interval(f, held) {
			s.inProgress[f.Target] = true
			s.lastStart[f.Target] = now
			due = append(due, f)
		}
	}
	return due
}

// dropUnmonitored drops the sweep times of targets that are no longer
// monitored.
func (s *Sweeper) dropUnmonitored(monitored []capacity.MonitoredTarget) {
	for target := range s.lastStart {
		same := func(f capacity.MonitoredTarget) bool { return f.Target == target }
		if len(s.lastStart) > len(monitored) && !slices.ContainsFunc(monitored, same) {
			delete(s.lastStart, target)
		}
	}
}

func (s *Sweeper) markDone(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inProgress, target)
}

// interval returns the interval at which this VM sweeps a target.
func (s *Sweeper) interval(f capacity.MonitoredTarget, held []seat.Seat) time.Duration {
	if f.AwaitsInventory {
		return awaitedInterval
	}
	for _, index := range f.SeatOrder {
		if slices.ContainsFunc(held, func(h seat.Seat) bool { return h.Index == index }) {
			return primaryInterval
		}
		if _, _, ok := s.Seats.HolderOf(index); ok {
			return backupInterval
		}
	}
	return backupInterval
}

// Sweep reads one target's inventory, passes it to the ledger and removes what
// no VM owns.
func (s *Sweeper) Sweep(ctx context.Context, target string) {
	client := s.Client(target)
	if client == nil {
		return
	}
	takenAt := s.Now()
	inv, err := s.inventory(ctx, client)
	if err != nil {
		s.stats.failed.Add(1)
		s.Log.Warn("inventory of target not read", "target", target, "error", err)
		return
	}
	s.Ledger.Observe(target, capacity.Observation{At: takenAt, StartNumber: inv.StartNumber})
	s.Ledger.ApplyInventory(target, takenAt, inv)
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
	return client.Inventory(ctx)
}

// ownership is what this VM knows about the owner of an attempt.
type ownership int

const (
	otherOwner   ownership = iota // another VM's, not of this system, or unknown
	unreserved                    // of a seat of this VM, without a reservation
	olderEpoch                    // of an earlier holder of the seat
	reservedHere                  // belongs to a reservation of this VM
)

func (s *Sweeper) ownership(target, attempt string) ownership {
	index, epoch, ok := capacity.AttemptOwner(attempt)
	if !ok {
		return otherOwner
	}
	if s.Ledger.HasAttempt(target, attempt) {
		return reservedHere
	}
	held := s.Seats.Seats()
	if slices.Contains(held, seat.Seat{Index: index, Epoch: epoch}) {
		return unreserved
	}
	if _, currentEpoch, ok := s.Seats.HolderOf(index); ok && currentEpoch > epoch {
		return olderEpoch
	}
	return otherOwner
}

// cancelReason returns why an attempt must be cancelled, or "".
func (s *Sweeper) cancelReason(target string, a engine.Attempt) string {
	if a.Attached || a.Idle < ownDetachedTimeout {
		return ""
	}
	switch s.ownership(target, a.ID) {
	case unreserved:
		return "own seat, no reservation, no reader"
	case olderEpoch:
		if a.Idle >= olderEpochDetachedTimeout {
			return "older epoch of its seat, no reader"
		}
	}
	return ""
}

// deleteReason returns why an export must be deleted, or "".
func (s *Sweeper) deleteReason(target string, x engine.Export) string {
	if x.Age < minExportAge {
		return ""
	}
	switch s.ownership(target, x.Attempt) {
	case unreserved:
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

// Stats counts what sweeps removed.
type Stats struct {
	Cancelled uint64 // attempts without an owner
	Deleted   uint64 // exports without an owner
	Failed    uint64 // inventories, cancellations and deletions that failed
}

// Stats returns the counters so far.
func (s *Sweeper) Stats() Stats {
	return Stats{Cancelled: s.stats.cancelled.Load(), Deleted: s.stats.deleted.Load(), Failed: s.stats.failed.Load()}
}
