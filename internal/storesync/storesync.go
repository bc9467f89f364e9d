// Package storesync synchronizes replicas of the store's tables: from the store by
// long polling, and from other VMs while the store is unreachable.
package storesync

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

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

// Store is the platform's table store.
type Store interface {
	// List returns all rows of a table and the version of the store.
	List(ctx context.Context, table string) ([]replica.Record, uint64, error)
	// Watch waits up to wait for changes after a version and returns them. It
	// returns ErrCompacted if they are no longer available.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (replica.Delta, error)
	// Put writes a row unconditionally.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove deletes a row.
	Remove(ctx context.Context, table, key string) error
}

// Intervals and timeouts of a Syncer.
const (
	// longPollTimeout is how long the store may hold a watch without changes. An
	// unresponsive store is detected after this time plus watchGrace.
	longPollTimeout = 4 * time.Second
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

	lastContact atomic.Pointer[time.Time] // time of the last response; nil if none
	failing     atomic.Bool
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
	records, version, err := s.Store.List(ctx, s.Replica.Table())
	if err != nil {
		return err
	}
	s.recordContact()
	changed, fits := s.Replica.Replace(records, version)
	if !fits {
		return fmt.Errorf("the store listed %s at version %d, older than the replica at version %d", s.Replica.Table(), version, s.Replica.Position())
	}
	s.notify(changed)
	return nil
}

func (s *Syncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout+watchGrace)
	defer cancel()
	delta, err := s.Store.Watch(ctx, s.Replica.Table(), s.Replica.Position(), longPollTimeout)
	if err != nil {
		return err
	}
	s.recordContact()
	s.Apply(delta)
	if len(delta.Records) > 0 {
		wait.For(ctx, s.MinWatchInterval)
	}
	return nil
}

// Refresh reads the current changes from the store without waiting for others.
func (s *Syncer) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	delta, err := s.Store.Watch(ctx, s.Replica.Table(), s.Replica.Position(), 0)
	if errors.Is(err, ErrCompacted) {
		return s.list(ctx)
	}
	if err != nil {
		return err
	}
	s.recordContact()
	s.Apply(delta)
	return nil
}

// Apply applies changes from the store or from another VM. It ignores changes
// that leave a gap after the position of the replica.
func (s *Syncer) Apply(d replica.Delta) {
	changed, fits := s.Replica.Apply(d)
	if fits {
		s.notify(changed)
	}
}

func (s *Syncer) recordContact() {
	now := time.Now()
	s.lastContact.Store(&now)
}

func (s *Syncer) notify(changed []replica.Record) {
	if len(changed) > 0 {
		s.OnChange(changed)
	}
}
