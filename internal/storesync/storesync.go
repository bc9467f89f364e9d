// Package storesync synchronizes replicas of the store's tables: from the store by
// long polling, and from other VMs while the store is unreachable.
package storesync

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/freshness"
	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// ErrCompacted reports that the store has compacted the requested changes. The
// table must be listed again.
var ErrCompacted = errors.New("the store has compacted the requested changes; list the table again")

// StatusError reports that the store rejected a call with an HTTP status.
type StatusError struct {
	Status int
	Path   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the store rejected %s with status %d; the call will be retried", e.Path, e.Status)
}

// Listing holds all rows of a table.
type Listing struct {
	Records []replica.Record
	// Epoch rises each time the store is restored from an older copy of its rows.
	Epoch uint64
	// Version is the version of the store, and StoreTime the time of its steady clock,
	// at which the rows were read.
	Version   uint64
	StoreTime time.Duration
}

// Changes are the changes of a table after a version.
type Changes struct {
	replica.Delta
	// StoreTime is the time of the store's steady clock when the changes were read.
	StoreTime time.Duration
}

// Store is the platform's table store.
type Store interface {
	// List returns all rows of a table.
	List(ctx context.Context, table string) (Listing, error)
	// Watch waits up to wait for changes after a version and returns them. It
	// returns ErrCompacted if they are no longer available.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
	// Put writes a row unconditionally.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove deletes a row.
	Remove(ctx context.Context, table, key string) error
}

// Intervals and timeouts of a Syncer.
const (
	// defaultLongPoll is how long the store may hold a watch without changes. An
	// unresponsive store is detected after this time plus watchGrace.
	defaultLongPoll = 4 * time.Second
	watchGrace      = time.Second
	listTimeout     = 1500 * time.Millisecond
	// idleCheckInterval is how often a VM that does not watch checks ShouldWatch.
	idleCheckInterval = 200 * time.Millisecond
	backoffMin        = 100 * time.Millisecond
	backoffMax        = 1600 * time.Millisecond
)

// Syncer synchronizes the replica of one table.
type Syncer struct {
	Store   Store
	Replica *replica.Replica
	Log     *slog.Logger
	// OnChange is called with changed records.
	OnChange func([]replica.Record)
	// ShouldWatch reports whether this VM watches the store itself. Otherwise it
	// receives changes from other VMs.
	ShouldWatch func() bool
	// MinWatchInterval is the delay after a response with changes before the next
	// call, which then returns the changes of that time together.
	MinWatchInterval time.Duration
	// LongPoll returns how long the store may hold a watch without changes; nil means
	// the default. The replica is confirmed to be current about as often.
	LongPoll func() time.Duration
	// Freshness records up to which time the replica is current.
	Freshness *freshness.Tracker

	// applying makes a change of the replica and its notification one step, so that the
	// replica is not confirmed while OnChange has not seen a change yet.
	applying    sync.Mutex
	lastContact atomic.Pointer[time.Time] // time of the last response; nil if none
	failing     atomic.Bool
	epoch       atomic.Uint64 // of the last response
}

// observeEpoch logs a response of another epoch of the store than the one before. version
// is that of the store.
func (s *Syncer) observeEpoch(epoch, version uint64) {
	if last := s.epoch.Swap(epoch); last != epoch {
		s.Log.Warn("store epoch changed", "table", s.Replica.Table(), "epoch", epoch, "last_epoch", last,
			"store_version", version, "version", s.Replica.Position())
	}
}

// Failing reports whether the last call to the store failed.
func (s *Syncer) Failing() bool { return s.failing.Load() }

// LastContact returns the time of the last response from the store, or the zero
// time if there was none.
func (s *Syncer) LastContact() time.Time {
	if at := s.lastContact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Run synchronizes the replica until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	pause := backoffMin
	listed := false
	s.failing.Store(false)
	for ctx.Err() == nil {
		if listed && !s.ShouldWatch() {
			wait.For(ctx, idleCheckInterval)
			continue
		}
		err := s.step(ctx, &listed)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if s.failing.Swap(false) {
				s.Log.Info("store regained", "table", s.Replica.Table(), "version", s.Replica.Position())
			}
			pause = backoffMin
			continue
		}
		if !s.failing.Swap(true) {
			s.Log.Warn("store lost", "table", s.Replica.Table(), "version", s.Replica.Position(), "error", err)
		}
		wait.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, backoffMax)
	}
}

func (s *Syncer) step(ctx context.Context, listed *bool) error {
	if !*listed {
		if err := s.list(ctx); err != nil {
			return err
		}
		*listed = true
		return nil
	}
	err := s.watch(ctx)
	if errors.Is(err, ErrCompacted) {
		s.Log.Info("store history compacted; listing the table", "table", s.Replica.Table(), "version", s.Replica.Position())
		*listed = false
		return nil
	}
	return err
}

func (s *Syncer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sentAt := freshness.Uptime()
	listing, err := s.Store.List(ctx, s.Replica.Table())
	if err != nil {
		return err
	}
	s.observeEpoch(listing.Epoch, listing.Version)
	s.recordContact(sentAt, listing.StoreTime)
	s.applying.Lock()
	defer s.applying.Unlock()
	changed, fits := s.Replica.Replace(listing.Records, listing.Version)
	if !fits {
		return fmt.Errorf("the store listed %s at version %d, older than the replica at version %d", s.Replica.Table(), listing.Version, s.Replica.Position())
	}
	s.notify(changed)
	s.Freshness.Confirm(listing.StoreTime)
	return nil
}

func (s *Syncer) watch(ctx context.Context) error {
	longPoll := s.longPoll()
	ctx, cancel := context.WithTimeout(ctx, longPoll+watchGrace)
	defer cancel()
	changes, err := s.read(ctx, longPoll)
	if err != nil {
		return err
	}
	if len(changes) > 0 {
		wait.For(ctx, s.MinWatchInterval)
	}
	return nil
}

// longPoll returns how long the next watch may wait for changes. It does not wait when
// the replica was not confirmed for long, for example after the VM was suspended.
func (s *Syncer) longPoll() time.Duration {
	if s.LongPoll == nil {
		return defaultLongPoll
	}
	longPoll := s.LongPoll()
	if s.Freshness.Age() > 2*longPoll {
		return 0
	}
	return longPoll
}

// read reads the changes from the store, waits up to longPoll for one, and applies them.
func (s *Syncer) read(ctx context.Context, longPoll time.Duration) ([]replica.Record, error) {
	sentAt := freshness.Uptime()
	changes, err := s.Store.Watch(ctx, s.Replica.Table(), s.Replica.Position(), longPoll)
	if err != nil {
		return nil, err
	}
	s.observeEpoch(changes.Epoch, changes.To)
	s.recordContact(sentAt, changes.StoreTime)
	s.Apply(changes.Delta)
	s.Confirm(changes.To, changes.StoreTime)
	return changes.Records, nil
}

// Confirm records that the table held no changes after a version at a time of the
// store's clock, if the replica has reached that version.
func (s *Syncer) Confirm(version uint64, storeTime time.Duration) {
	s.applying.Lock()
	defer s.applying.Unlock()
	if s.Replica.Position() >= version {
		s.Freshness.Confirm(storeTime)
	}
}

// Refresh reads the current changes from the store without waiting for others.
func (s *Syncer) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	_, err := s.read(ctx, 0)
	if errors.Is(err, ErrCompacted) {
		return s.list(ctx)
	}
	return err
}

// Apply applies changes from the store or from another VM. It ignores changes
// that leave a gap after the position of the replica.
func (s *Syncer) Apply(d replica.Delta) {
	s.applying.Lock()
	defer s.applying.Unlock()
	changed, fits := s.Replica.Apply(d)
	if fits {
		s.notify(changed)
	}
}

// recordContact records a response of the store to a call that was sent at sentAt, an
// uptime of the VM.
func (s *Syncer) recordContact(sentAt, storeTime time.Duration) {
	now := time.Now()
	s.lastContact.Store(&now)
	s.Freshness.ObserveClock(sentAt, storeTime)
}

func (s *Syncer) notify(changed []replica.Record) {
	if len(changed) > 0 {
		s.OnChange(changed)
	}
}
