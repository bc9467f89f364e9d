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
	// retryPause separates attempts to learn the outcome of a submission.
	retryPause = 100 * time.Millisecond
	// behindLimit is how long a VM may know of a version without having it: the
	// time in which a version must be in force everywhere today.
	behindLimit = 3 * time.Second
	// scanRows bounds the rows of one scan.
	scanRows = 64
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

// first returns the version of the oldest record held.
func (st *state) first() uint64 { return st.config.Version - uint64(len(st.records)) + 1 }

// after returns the records of the versions after v up to upTo, or false if
// they are not all held.
func (st *state) after(v, upTo uint64) ([][]byte, bool) {
	if v+1 < st.first() || upTo > st.config.Version || v > upTo {
		return nil, false
	}
	return st.records[v+1-st.first() : upTo+1-st.first()], true
}

// Syncer keeps the configuration of one VM up to date.
type Syncer struct {
	o Options
	// turn is held by the one goroutine that changes the state.
	turn chan struct{}
	wake chan struct{}
	// behind is when polls began to fail to reach the store's version. Only the
	// goroutine of Run uses it.
	behind time.Time

	mu    sync.Mutex
	state *state
	// installed is when the version in force was put in force here.
	installed time.Time
	heads     map[string]Head // by peer address, from heartbeats
	fault     error           // why the state cannot be trusted or brought up to date

	spread  *metrics.Histogram
	refused *metrics.Counter
}

// New returns a Syncer that has no configuration yet.
func New(o Options) *Syncer {
	s := &Syncer{
		o:     o,
		turn:  make(chan struct{}, 1),
		wake:  make(chan struct{}, 1),
		heads: map[string]Head{},
		fault: errors.New("no configuration yet: neither the table service nor a peer was asked"),
	}
	s.spread = o.Metrics.GetOrCreateHistogram("oriolefront_config_spread_seconds")
	s.refused = o.Metrics.GetOrCreateCounter("oriolefront_config_refused_total")
	o.Metrics.GetOrCreateGauge("oriolefront_config_version", func() float64 { return float64(s.Head().Version) })
	o.Metrics.GetOrCreateGauge("oriolefront_config_age_seconds", s.age)
	return s
}

// age returns the seconds since the version in force was put in force on this
// VM, 0 before the first.
func (s *Syncer) age() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.installed.IsZero() {
		return 0
	}
	return time.Since(s.installed).Seconds()
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
	return s.fault
}

func (s *Syncer) setFault(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = err
}

// Run starts up and keeps the configuration up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for s.current() == nil {
		if err := s.start(ctx); err != nil {
			s.o.Log.Warn("no configuration yet", "error", err)
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
			s.followPeers(ctx)
		case <-timer.C:
			s.poll(ctx)
			timer.Reset(s.interval())
		}
	}
}

// interval returns a jittered interval. It is never below the bound, so that
// the fleet stays below readsPerSecond.
func (s *Syncer) interval() time.Duration {
	base := max(minPollInterval, time.Duration(s.o.HeldSeats())*time.Second/readsPerSecond)
	if s.o.PollInterval > 0 {
		base = s.o.PollInterval
	}
	return base + rand.N(base/5+1)
}

// start takes the highest version among the store and all peers.
func (s *Syncer) start(ctx context.Context) error {
	began := s.o.Now()
	stored, storeErr := s.readHead(ctx)
	s.askPeers(ctx)
	var errs []error
	if storeErr != nil {
		errs = append(errs, fmt.Errorf("table service: %w", storeErr))
	}
	known := &stored.compaction
	if storeErr != nil {
		known = nil
	}
	for _, target := range s.targets(stored.head, storeErr == nil) {
		if err := s.follow(ctx, target, known); err != nil {
			errs = append(errs, err)
			continue
		}
		if storeErr == nil {
			s.o.OnSynced(began)
		}
		return nil
	}
	if len(errs) == 1 && storeErr != nil {
		errs = append(errs, errors.New("no peer answered with a version"))
	}
	err := fmt.Errorf("no source of the configuration: %w", errors.Join(errs...))
	s.setFault(err)
	return err
}

// poll compares with the store and catches up.
func (s *Syncer) poll(ctx context.Context) {
	s.forgetGone()
	began := s.o.Now()
	stored, err := s.readHead(ctx)
	if err != nil {
		s.o.Log.Warn("configuration head not read", "error", err)
		s.followPeers(ctx)
		return
	}
	err = s.follow(ctx, stored.head, &stored.compaction)
	if err == nil {
		s.o.OnSynced(began)
	}
	s.noteBehind(stored.head, err)
	s.checkDivergence(stored.head)
	s.compact(ctx, stored)
}

// noteBehind makes the VM not ready if it fails for too long to reach a version
// that it knows to be accepted; it may serve a zone that is out of service.
func (s *Syncer) noteBehind(stored Head, err error) {
	if err == nil {
		s.behind = time.Time{}
		return
	}
	s.o.Log.Error("configuration not brought up to date", "version", stored.Version, "error", err)
	if s.behind.IsZero() {
		s.behind = time.Now()
	}
	if time.Since(s.behind) > behindLimit {
		s.setFault(err)
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
		s.o.Log.Error("configuration in force differs from the store", "error", err)
		s.setFault(err)
	case own.Version > stored.Version:
		s.o.Log.Warn("table service has an older configuration", "own", own.Version, "stored", stored.Version)
	}
}

// followPeers catches up with the peer that has the highest version. It does
// not read from the store, because every heartbeat may call for it; polls do.
func (s *Syncer) followPeers(ctx context.Context) {
	for _, target := range s.targets(Head{}, false) {
		err := s.follow(ctx, target, nil)
		if err == nil {
			return
		}
		s.o.Log.Error("configuration of a peer not taken", "version", target.Version, "error", err)
	}
}
