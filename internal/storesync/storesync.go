// Package storesync brings copies of the store's tables up to date: from the
// store by long polling, and from other VMs when the store cannot be reached.
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

// ErrCompacted reports that the store no longer has the changes asked for;
// the table must be listed again.
var ErrCompacted = errors.New("the store has dropped the changes asked for; list the table again")

// StatusError reports that the store refused a call.
type StatusError struct {
	Status int
	Path   string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the store refused %s with status %d; the call is tried again later", e.Path, e.Status)
}

// Store is the platform's store.
type Store interface {
	// List returns all rows of a table and the store's version.
	List(ctx context.Context, table string) ([]replica.Record, uint64, error)
	// Watch waits for changes after a version and returns them. It returns
	// ErrHistoryLost when they are no longer known.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (replica.Delta, error)
	// Put writes a row whatever it held before.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove deletes a row.
	Remove(ctx context.Context, table, key string) error
}

// Times of the follower.
const (
	// longPollTimeout is how long the store may hold a watch without changes. A lost
	// store is noticed after it and watchGrace.
	longPollTimeout = 4 * time.Second
	watchGrace      = time.Second
	listTimeout     = 1500 * time.Millisecond
	// idleCheckInterval is how often a VM that does not read looks whether it has to.
	idleCheckInterval = 200 * time.Millisecond
	backoffMin        = 100 * time.Millisecond
	backoffMax        = 1600 * time.Millisecond
)

// Syncer keeps the copy of one table up to date.
type Syncer struct {
	Store   Store
	Replica *replica.Replica
	Log     *slog.Logger
	// OnChange is called with the records that changed.
	OnChange func([]replica.Record)
	// ShouldWatch reports whether this VM reads the store itself. A VM that does
	// not is kept up to date by others.
	ShouldWatch func() bool
	// MinWatchInterval is the least time between two answers with changes: what changes
	// meanwhile comes with one call.
	MinWatchInterval time.Duration

	lastContact atomic.Pointer[time.Time] // of the last answer; nil before
	failing     atomic.Bool
}

// Failing reports whether the last call of the store failed.
func (f *Syncer) Failing() bool { return f.failing.Load() }

// LastContact returns when the store last answered, the zero time if never.
func (f *Syncer) LastContact() time.Time {
	if at := f.lastContact.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Run follows the table until ctx ends.
func (f *Syncer) Run(ctx context.Context) {
	pause := backoffMin
	listed := false
	f.failing.Store(false)
	for ctx.Err() == nil {
		if listed && !f.ShouldWatch() {
			wait.For(ctx, idleCheckInterval)
			continue
		}
		err := f.step(ctx, &listed)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if f.failing.Swap(false) {
				f.Log.Info("store regained", "table", f.Replica.Table(), "version", f.Replica.Position())
			}
			pause = backoffMin
			continue
		}
		if !f.failing.Swap(true) {
			f.Log.Warn("store lost", "table", f.Replica.Table(), "version", f.Replica.Position(), "error", err)
		}
		wait.For(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, backoffMax)
	}
}

func (f *Syncer) step(ctx context.Context, listed *bool) error {
	if !*listed {
		if err := f.list(ctx); err != nil {
			return err
		}
		*listed = true
		return nil
	}
	err := f.watch(ctx)
	if errors.Is(err, ErrCompacted) {
		f.Log.Info("the store dropped its history; listing the table", "table", f.Replica.Table(), "version", f.Replica.Position())
		*listed = false
		return nil
	}
	return err
}

func (f *Syncer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, version, err := f.Store.List(ctx, f.Replica.Table())
	if err != nil {
		return err
	}
	f.recordContact()
	changed, fits := f.Replica.Replace(records, version)
	if !fits {
		return fmt.Errorf("the store listed %s as of version %d, older than the copy at %d", f.Replica.Table(), version, f.Replica.Position())
	}
	f.notify(changed)
	return nil
}

func (f *Syncer) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout+watchGrace)
	defer cancel()
	delta, err := f.Store.Watch(ctx, f.Replica.Table(), f.Replica.Position(), longPollTimeout)
	if err != nil {
		return err
	}
	f.recordContact()
	f.Apply(delta)
	if len(delta.Records) > 0 {
		wait.For(ctx, f.MinWatchInterval)
	}
	return nil
}

// Refresh reads the changes that the store has now.
func (f *Syncer) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	delta, err := f.Store.Watch(ctx, f.Replica.Table(), f.Replica.Position(), 0)
	if errors.Is(err, ErrCompacted) {
		return f.list(ctx)
	}
	if err != nil {
		return err
	}
	f.recordContact()
	f.Apply(delta)
	return nil
}

// Apply applies changes that came from the store or from another VM.
func (f *Syncer) Apply(d replica.Delta) {
	changed, fits := f.Replica.Apply(d)
	if fits {
		f.notify(changed)
	}
}

func (f *Syncer) recordContact() {
	now := time.Now()
	f.lastContact.Store(&now)
}

func (f *Syncer) notify(changed []replica.Record) {
	if len(changed) > 0 {
		f.OnChange(changed)
	}
}
