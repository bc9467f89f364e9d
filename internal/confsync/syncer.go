// Package confsync keeps the configuration of this VM up to date: it sends
// patches to the table service, learns of versions from there and from other
// VMs, and proves by a hash chain what it applies. Section 6 of docs/design.md
// describes the protocol.
package confsync

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/wait"
)

const (
	// readsPerSecond bounds the polls of the whole fleet.
	readsPerSecond = 100
	// minPollInterval bounds the polls of a small fleet.
	minPollInterval = time.Second
	// callTimeout bounds one call to the store or to a peer.
	callTimeout = 2 * time.Second
	// submitTimeout bounds a submission, after which its outcome is reported
	// as unknown if it is.
	submitTimeout = 10 * time.Second
	// retryDelay separates attempts to learn the outcome of a submission.
	retryDelay = 100 * time.Millisecond
	// maxLag is how long a VM may know of a version without having it: the
	// time in which a version must be in force everywhere today.
	maxLag = 3 * time.Second
	// scanLimit bounds the rows of one scan.
	scanLimit = 64
)

// Options are what a Syncer works with. All fields but Interval are required.
type Options struct {
	Table   store.Table
	Objects store.Objects
	Holder  *config.Holder
	Caller  link.Caller
	// HasQuorum reports whether more than half of the held seats were heard.
	HasQuorum func() bool
	// Peers returns the other VMs.
	Peers func() []membership.Peer
	// HeldSeats is the number of seats held in the fleet.
	HeldSeats func() int
	// Now returns monotonic time, and Compared notes that this VM has the version
	// that the store had at a time of Now.
	Now      func() time.Duration
	OnSynced func(at time.Duration)
	Log      *slog.Logger
	Metrics  *metrics.Set
	// PollInterval replaces the interval of polls if it is above 0.
	PollInterval time.Duration
}

// checkpoint is a version with a snapshot.
type checkpoint struct {
	config   *config.Config
	previous string
	record   []byte
	encoded  func() []byte
}

// state is what a Syncer has. It is replaced as a whole and not modified.
type state struct {
	config     *config.Config
	checkpoint *checkpoint
	// records are those of consecutive versions, the last being that of config.
	records [][]byte
}

func (st *state) head() Head { return Head{Version: st.config.Version, Hash: st.config.Hash} }

// oldestRecord returns the version of the oldest record held.
func (st *state) oldestRecord() uint64 { return st.config.Version - uint64(len(st.records)) + 1 }

// recordsAfter returns the records of the versions after v up to upTo, or false if
// they are not all held.
func (st *state) recordsAfter(v, upTo uint64) ([][]byte, bool) {
	if v+1 < st.oldestRecord() || upTo > st.config.Version || v > upTo {
		return nil, false
	}
	return st.records[v+1-st.oldestRecord() : upTo+1-st.oldestRecord()], true
}

// Syncer keeps the configuration of one VM up to date.
type Syncer struct {
	options Options
	// stateLock is held by the one goroutine that changes the state.
	stateLock chan struct{}
	wake      chan struct{}
	// laggingSince is when polls began to fail to reach the store's version. Only the
	// goroutine of Run uses it.
	laggingSince time.Time

	mu    sync.Mutex
	state *state
	// activatedAt is when the version in force was put in force here.
	activatedAt time.Time
	heads       map[string]Head // by peer address, from heartbeats
	notReady    error           // why the state cannot be trusted or brought up to date

	propagationDelay *metrics.Histogram
	rejected         *metrics.Counter
}

// New returns a Syncer that has no configuration yet.
func New(o Options) *Syncer {
	s := &Syncer{
		options:   o,
		stateLock: make(chan struct{}, 1),
		wake:      make(chan struct{}, 1),
		heads:     map[string]Head{},
		notReady:  errors.New("no configuration yet: neither the table service nor a peer was asked"),
	}
	s.propagationDelay = o.Metrics.GetOrCreateHistogram("oriolefront_config_spread_seconds")
	s.rejected = o.Metrics.GetOrCreateCounter("oriolefront_config_refused_total")
	o.Metrics.GetOrCreateGauge("oriolefront_config_version", func() float64 { return float64(s.Head().Version) })
	o.Metrics.GetOrCreateGauge("oriolefront_config_age_seconds", s.age)
	return s
}

// age returns the seconds since the version in force was put in force on this
// VM, 0 before the first.
func (s *Syncer) age() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activatedAt.IsZero() {
		return 0
	}
	return time.Since(s.activatedAt).Seconds()
}

// Head returns the version in force and its hash.
func (s *Syncer) Head() Head {
	if st := s.current(); st != nil {
		return st.head()
	}
	return Head{}
}

func (s *Syncer) current() *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Ready returns nil if a configuration is in force, or else why not. A VM
// whose version differs from the store's of the same number is not ready.
func (s *Syncer) Ready() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notReady
}

func (s *Syncer) setNotReady(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notReady = err
}

// Run starts up and keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for s.current() == nil {
		if err := s.start(ctx); err != nil {
			s.options.Log.Warn("no configuration yet", "error", err)
		}
		if s.current() == nil && !wait.For(ctx, s.interval()/4) {
			return
		}
	}
	timer := time.NewTimer(s.interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.advanceFromPeers(ctx)
		case <-timer.C:
			s.poll(ctx)
			timer.Reset(s.interval())
		}
	}
}

// interval returns a jittered interval. It is never below the bound, so that
// the fleet stays below readsPerSecond.
func (s *Syncer) interval() time.Duration {
	base := max(minPollInterval, time.Duration(s.options.HeldSeats())*time.Second/readsPerSecond)
	if s.options.PollInterval > 0 {
		base = s.options.PollInterval
	}
	return base + rand.N(base/5+1)
}

// start takes the highest version among the store and all peers.
func (s *Syncer) start(ctx context.Context) error {
	started := s.options.Now()
	stored, storeErr := s.readHead(ctx)
	s.fetchPeerHeads(ctx)
	var errs []error
	if storeErr != nil {
		errs = append(errs, fmt.Errorf("table service: %w", storeErr))
	}
	compacted := &stored.compaction
	if storeErr != nil {
		compacted = nil
	}
	for _, target := range s.candidateHeads(stored.head, storeErr == nil) {
		if err := s.advanceTo(ctx, target, compacted); err != nil {
			errs = append(errs, err)
			continue
		}
		if storeErr == nil {
			s.options.OnSynced(started)
		}
		return nil
	}
	if len(errs) == 1 && storeErr != nil {
		errs = append(errs, errors.New("no peer answered with a version"))
	}
	err := fmt.Errorf("no source of the configuration: %w", errors.Join(errs...))
	s.setNotReady(err)
	return err
}

// poll compares with the store and catches up.
func (s *Syncer) poll(ctx context.Context) {
	s.dropDepartedPeers()
	started := s.options.Now()
	stored, err := s.readHead(ctx)
	if err != nil {
		s.options.Log.Warn("configuration head not read", "error", err)
		s.advanceFromPeers(ctx)
		return
	}
	err = s.advanceTo(ctx, stored.head, &stored.compaction)
	if err == nil {
		s.options.OnSynced(started)
	}
	s.updateLag(stored.head, err)
	s.checkDivergence(stored.head)
	s.compact(ctx, stored)
}

// updateLag makes the VM not ready if it fails for too long to reach a version
// that it knows to be accepted; it may serve a zone that is out of service.
func (s *Syncer) updateLag(stored Head, err error) {
	if err == nil {
		s.laggingSince = time.Time{}
		return
	}
	s.options.Log.Error("configuration not brought up to date", "version", stored.Version, "error", err)
	if s.laggingSince.IsZero() {
		s.laggingSince = time.Now()
	}
	if time.Since(s.laggingSince) > maxLag {
		s.setNotReady(err)
	}
}

// checkDivergence finds out that what was applied from peers during an outage
// is not what the store has. The VM then stops being ready; it recovers by the
// next version, which it takes from a snapshot or from the first record on.
func (s *Syncer) checkDivergence(stored Head) {
	own := s.Head()
	switch {
	case own.Version == stored.Version && own.Hash != stored.Hash:
		err := config.Problem{Key: "hash of version " + fmt.Sprint(own.Version), Found: own.Hash, Allowed: stored.Hash + " (table service)"}
		s.options.Log.Error("configuration in force differs from the store", "error", err)
		s.setNotReady(err)
	case own.Version > stored.Version:
		s.options.Log.Warn("table service has an older configuration", "own", own.Version, "stored", stored.Version)
	}
}

// advanceFromPeers catches up with the peer that has the highest version. It does
// not read from the store, because every heartbeat may call for it; polls do.
func (s *Syncer) advanceFromPeers(ctx context.Context) {
	for _, target := range s.candidateHeads(Head{}, false) {
		err := s.advanceTo(ctx, target, nil)
		if err == nil {
			return
		}
		s.options.Log.Error("configuration of a peer not taken", "version", target.Version, "error", err)
	}
}
