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

// errEpochChanged reports that the store answered in another epoch than the one in which
// the requested version was assigned. The table must be listed again.
var errEpochChanged = errors.New("the store has begun another epoch; list the table again")

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
	// ReadRow returns a row, which need not exist.
	ReadRow(ctx context.Context, table, key string) (Row, error)
	// WriteRow writes a row on condition that it is at a version (0: does not exist), and
	// returns it; its version is 0 if the store did not tell it. The error is a
	// *ConflictError if the condition did not hold. After any other error the write may
	// have been performed, or may be performed later if the condition still holds.
	WriteRow(ctx context.Context, table, key string, value []byte, expected uint64) (Row, error)
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
	// probeMax bounds the time between the calls of a VM that need not watch but whose last
	// call failed. Each call costs, and others watch the store meanwhile.
	probeMax = 6400 * time.Millisecond
)

// Syncer synchronizes the replica of one table.
type Syncer struct {
	Store   Store
	Replica *replica.Replica
	Log     *slog.Logger
	// OnChange is called with changed records.
	OnChange func([]replica.Record)
	// OnEpoch is called before OnChange when the replica has moved on to a later epoch
	// of the store. Nil means that nothing is to be done.
	OnEpoch func()
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
	// EvidenceSuspended reports whether the replica may lack changes that were
	// acknowledged before the store was restored, so that no response confirms it. Nil
	// means never.
	EvidenceSuspended func() bool

	// applying makes a change of the replica and its notification one step, so that the
	// replica is not confirmed while OnChange has not seen a change yet.
	applying    sync.Mutex
	lastContact atomic.Pointer[time.Time] // time of the last response; nil if none
	failing     atomic.Bool
	endPause    atomic.Pointer[context.CancelFunc] // of the last pause after a failed call
	endWatch    atomic.Pointer[context.CancelCauseFunc]
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
	pause, probePause := backoffMin, backoffMin
	var probeAt time.Time // when a VM whose last call failed calls the store though it need not watch
	listed := false
	s.failing.Store(false)
	for ctx.Err() == nil {
		if listed && !s.ShouldWatch() && (!s.failing.Load() || time.Now().Before(probeAt)) {
			wait.For(ctx, idleCheckInterval)
			continue
		}
		err := s.step(ctx, &listed)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if s.failing.Swap(false) {
				s.Log.Info("store regained", "table", s.Replica.Table(), "epoch", s.Replica.Position().Epoch, "version", s.Replica.Position().Version)
			}
			pause, probePause = backoffMin, backoffMin
			continue
		}
		if !s.failing.Swap(true) {
			s.Log.Warn("store lost", "table", s.Replica.Table(), "epoch", s.Replica.Position().Epoch, "version", s.Replica.Position().Version, "error", err)
		}
		probeAt = time.Now().Add(probePause/2 + rand.N(probePause))
		probePause = min(2*probePause, probeMax)
		s.pause(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, backoffMax)
	}
}

// pause waits for d, until ctx ends or until Retry is called.
func (s *Syncer) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.endPause.Store(&cancel)
	wait.For(ctx, d)
}

// Retry ends the pause after a failed call, or the watch, because another table has shown a
// later epoch of the store. The table is listed then: the store may hold the watch without
// telling its epoch, and net/http repeats a call on a reset connection without an error.
func (s *Syncer) Retry() {
	if end := s.endPause.Load(); end != nil {
		(*end)()
	}
	if end := s.endWatch.Load(); end != nil {
		(*end)(errEpochChanged)
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
	if needsListing(err) {
		s.Log.Info("listing the table again", "table", s.Replica.Table(), "epoch", s.Replica.Position().Epoch, "version", s.Replica.Position().Version, "reason", err)
		*listed = false
		return nil
	}
	return err
}

// needsListing reports whether an error of a watch means that its changes can be had by
// listing the table only.
func needsListing(err error) bool {
	return errors.Is(err, ErrCompacted) || errors.Is(err, errEpochChanged)
}

func (s *Syncer) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	sentAt := freshness.Uptime()
	listing, err := s.Store.List(ctx, s.Replica.Table())
	if err != nil {
		return err
	}
	s.recordContact()
	s.applying.Lock()
	defer s.applying.Unlock()
	to := replica.Position{Epoch: listing.Epoch, Version: listing.Version}
	before := s.Replica.Position()
	changed, fits := s.Replica.Replace(listing.Records, to)
	if !fits {
		return fmt.Errorf("the store listed %s at version %d of epoch %d, older than the replica at version %d of epoch %d",
			s.Replica.Table(), to.Version, to.Epoch, before.Version, before.Epoch)
	}
	s.notify(before, changed)
	s.Freshness.ObserveResponse(sentAt, listing.StoreTime)
	s.confirm(listing.StoreTime)
	return nil
}

func (s *Syncer) watch(ctx context.Context) error {
	longPoll := s.longPoll()
	ctx, cancel := context.WithTimeout(ctx, longPoll+watchGrace)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	s.endWatch.Store(&end)
	changes, err := s.read(ctx, longPoll)
	if len(changes) > 0 {
		wait.For(ctx, s.MinWatchInterval)
	}
	if errors.Is(context.Cause(ctx), errEpochChanged) {
		return errEpochChanged
	}
	return err
}

// longPoll returns how long the next watch may wait for changes. It does not wait when
// the replica was not confirmed for long, for example after the VM was suspended, nor
// after a failed call: a restored store that has reached the replica's version again
// would tell its epoch only at the end of the wait. While evidence is suspended no response
// confirms the replica, so that watches that do not wait would follow each other at once.
func (s *Syncer) longPoll() time.Duration {
	if s.failing.Load() {
		return 0
	}
	if s.LongPoll == nil {
		return defaultLongPoll
	}
	longPoll := s.LongPoll()
	if s.Freshness.Age() > 2*longPoll && !s.evidenceSuspended() {
		return 0
	}
	return longPoll
}

// read reads the changes from the store, waits up to longPoll for one, and applies them.
func (s *Syncer) read(ctx context.Context, longPoll time.Duration) ([]replica.Record, error) {
	sentAt := freshness.Uptime()
	from := s.Replica.Position()
	changes, err := s.Store.Watch(ctx, s.Replica.Table(), from.Version, longPoll)
	if err != nil {
		return nil, err
	}
	s.recordContact()
	if changes.Epoch != from.Epoch {
		return nil, errEpochChanged
	}
	if changes.To < from.Version {
		return nil, fmt.Errorf("the store answered at version %d, before version %d of the same epoch; the response is not applied", changes.To, from.Version)
	}
	s.Apply(changes.Delta)
	s.observeResponse(changes.Epoch, sentAt, changes.StoreTime)
	s.Confirm(replica.Position{Epoch: changes.Epoch, Version: changes.To}, changes.StoreTime)
	return changes.Records, nil
}

// Confirm records that the table held no changes after a position at a time of the
// store's clock, if the replica has reached that position in the same epoch.
func (s *Syncer) Confirm(to replica.Position, storeTime time.Duration) {
	s.applying.Lock()
	defer s.applying.Unlock()
	if at := s.Replica.Position(); at.Epoch == to.Epoch && at.Version >= to.Version {
		s.confirm(storeTime)
	}
}

// confirm implements Confirm for a time of the replica's epoch. The caller must hold
// applying.
func (s *Syncer) confirm(storeTime time.Duration) {
	if !s.evidenceSuspended() {
		s.Freshness.Confirm(storeTime)
	}
}

func (s *Syncer) evidenceSuspended() bool {
	return s.EvidenceSuspended != nil && s.EvidenceSuspended()
}

// Clock returns an upper bound of the store's clock, and the epoch to which it belongs.
func (s *Syncer) Clock() (epoch uint64, storeTime time.Duration, ok bool) {
	s.applying.Lock()
	defer s.applying.Unlock()
	storeTime, ok = s.Freshness.Clock()
	return s.Replica.Position().Epoch, storeTime, ok
}

// observeResponse records the store's clock in a response of the store to a call that was sent at
// sentAt, an uptime. It is ignored if the replica does not belong to the response's epoch.
func (s *Syncer) observeResponse(epoch uint64, sentAt, storeTime time.Duration) {
	s.applying.Lock()
	defer s.applying.Unlock()
	if s.Replica.Position().Epoch == epoch {
		s.Freshness.ObserveResponse(sentAt, storeTime)
	}
}

// ObserveClock is like observeResponse, for another VM's bound of the store's clock.
func (s *Syncer) ObserveClock(epoch uint64, sentAt, storeTime time.Duration) {
	s.applying.Lock()
	defer s.applying.Unlock()
	if s.Replica.Position().Epoch == epoch {
		s.Freshness.ObserveClock(sentAt, storeTime)
	}
}

// Confirmed returns the time of the store's clock up to which the replica is known to be
// current, and the epoch to which that time belongs.
func (s *Syncer) Confirmed() (epoch uint64, storeTime time.Duration, ok bool) {
	s.applying.Lock()
	defer s.applying.Unlock()
	storeTime, ok = s.Freshness.Confirmed()
	return s.Replica.Position().Epoch, storeTime, ok
}

// Refresh reads the current changes from the store without waiting for others.
func (s *Syncer) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	_, err := s.read(ctx, 0)
	if needsListing(err) {
		return s.list(ctx)
	}
	return err
}

// Apply applies changes from the store or from another VM. It ignores changes
// that leave a gap after the position of the replica, and those of an earlier epoch.
func (s *Syncer) Apply(d replica.Delta) {
	s.applying.Lock()
	defer s.applying.Unlock()
	before := s.Replica.Position()
	if changed, fits := s.Replica.Apply(d); fits {
		s.notify(before, changed)
	}
}

// ObserveBase records that the store was at version base in an epoch.
func (s *Syncer) ObserveBase(epoch, base uint64) {
	s.applying.Lock()
	defer s.applying.Unlock()
	if written := s.Replica.ObserveBase(epoch, base); len(written) > 0 {
		s.OnChange(written)
	}
}

// recordContact records that the store has answered a call.
func (s *Syncer) recordContact() {
	now := time.Now()
	s.lastContact.Store(&now)
}

// notify reports changes of the replica since the position before. The caller must hold
// applying.
func (s *Syncer) notify(before replica.Position, changed []replica.Record) {
	if now := s.Replica.Position(); now.Epoch != before.Epoch {
		s.Freshness.BeginEpoch()
		s.Log.Warn("store epoch changed", "table", s.Replica.Table(), "epoch", now.Epoch, "version", now.Version, "base", s.Replica.Base(),
			"last_epoch", before.Epoch, "last_version", before.Version, "changed", len(changed), "restored", countRestored(changed))
		if before != (replica.Position{}) && s.OnEpoch != nil {
			s.OnEpoch()
		}
	}
	if len(changed) > 0 {
		s.OnChange(changed)
	}
}

func countRestored(records []replica.Record) int {
	count := 0
	for _, r := range records {
		if r.Restored {
			count++
		}
	}
	return count
}
