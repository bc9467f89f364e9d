// Package confsync synchronizes the configuration of this VM: it commits patches
// to the table service, receives new versions from there and from other VMs, and
// verifies what it applies by a hash chain. Section 6 of docs/design.md describes
// the protocol.
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
	// readsPerSecond bounds the rate of polls of the whole fleet.
	readsPerSecond = 100
	// minPollInterval bounds the rate of polls of each VM in a small fleet.
	minPollInterval = time.Second
	// callTimeout bounds one call to the store or to a peer.
	callTimeout = 2 * time.Second
	// submitTimeout bounds a submission. If a transaction may have taken effect
	// and this has not been determined by then, the outcome is unknown.
	submitTimeout = 10 * time.Second
	// retryDelay is the delay between attempts of a submission.
	retryDelay = 100 * time.Millisecond
	// maxLag is how long a VM that knows of a newer version without having it
	// stays ready. It is the time within which a version must be active on every
	// VM.
	maxLag = 3 * time.Second
	// scanLimit bounds the rows of one table scan.
	scanLimit = 64
)

// Options configure a Syncer. All fields except PollInterval are required.
type Options struct {
	Table   store.Table
	Objects store.Objects
	Holder  *config.Holder
	Caller  link.Caller
	// HasQuorum reports whether this VM may commit patches: it receives
	// heartbeats from the holders of more than half of the held seats.
	HasQuorum func() bool
	// Peers returns the other VMs.
	Peers func() []membership.Peer
	// HeldSeats returns the number of held seats in the fleet.
	HeldSeats func() int
	// Now returns monotonic time. OnSynced is called when this VM has the version
	// that the store had at the given time of Now.
	Now      func() time.Duration
	OnSynced func(at time.Duration)
	Log      *slog.Logger
	Metrics  *metrics.Set
	// PollInterval overrides the computed poll interval if it is above 0.
	PollInterval time.Duration
}

// checkpoint is a version at which a snapshot is taken.
type checkpoint struct {
	config   *config.Config
	previous string
	record   []byte
	encoded  func() []byte
}

// state is the synchronized state of a Syncer. It is immutable and replaced as a
// whole.
type state struct {
	config     *config.Config
	checkpoint *checkpoint
	// records holds the records of consecutive versions; the last one is that of
	// config.
	records [][]byte
	// baseHash is the hash of the version before the first of records.
	baseHash string
}

func (st *state) head() Head { return Head{Version: st.config.Version, Hash: st.config.Hash} }

// oldestRecord returns the version of the oldest record held.
func (st *state) oldestRecord() uint64 { return st.config.Version - uint64(len(st.records)) + 1 }

// recordsAfter returns the records of the versions after v up to upTo, or false
// if some of them are not held.
func (st *state) recordsAfter(v, upTo uint64) ([][]byte, bool) {
	if v+1 < st.oldestRecord() || upTo > st.config.Version || v > upTo {
		return nil, false
	}
	return st.records[v+1-st.oldestRecord() : upTo+1-st.oldestRecord()], true
}

// Syncer keeps the configuration of one VM up to date.
type Syncer struct {
	options Options
	// updateLock serializes the goroutines that change state. It is a channel, so
	// that a wait for it can be canceled.
	updateLock chan struct{}
	wake       chan struct{}
	// laggingSince is the time since which polls have failed to reach the store's
	// version. It is used by the goroutine of Run only.
	laggingSince time.Time

	mu    sync.Mutex
	state *state
	// activatedAt is when the active version was activated on this VM.
	activatedAt time.Time
	heads       map[string]Head // by peer address, as received from peers
	notReady    error           // why this VM is not ready; nil if it is

	propagationDelay *metrics.Histogram
	rejected         *metrics.Counter
}

// New returns a Syncer that has no configuration yet.
func New(o Options) *Syncer {
	s := &Syncer{
		options:    o,
		updateLock: make(chan struct{}, 1),
		wake:       make(chan struct{}, 1),
		heads:      map[string]Head{},
		notReady:   errors.New("no configuration yet: neither the table service nor a peer was asked"),
	}
	s.propagationDelay = o.Metrics.GetOrCreateHistogram("oriolefront_config_spread_seconds")
	s.rejected = o.Metrics.GetOrCreateCounter("oriolefront_config_refused_total")
	o.Metrics.GetOrCreateGauge("oriolefront_config_version", func() float64 { return float64(s.Head().Version) })
	o.Metrics.GetOrCreateGauge("oriolefront_config_age_seconds", s.age)
	return s
}

// age returns the seconds since the active version was activated on this VM, or
// 0 if there is none.
func (s *Syncer) age() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.activatedAt.IsZero() {
		return 0
	}
	return time.Since(s.activatedAt).Seconds()
}

// Head returns the active version and its hash.
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

// Ready returns nil if a configuration is active, or the reason why this VM is
// not ready. A VM whose hash differs from that of the same version in the store
// is not ready.
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

// Run fetches the first configuration and then synchronizes it until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for s.current() == nil {
		if err := s.start(ctx); err != nil {
			s.options.Log.Warn("no configuration available yet", "error", err)
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

// interval returns the poll interval with jitter. Jitter only lengthens it, so
// that the fleet stays below readsPerSecond.
func (s *Syncer) interval() time.Duration {
	base := max(minPollInterval, time.Duration(s.options.HeldSeats())*time.Second/readsPerSecond)
	if s.options.PollInterval > 0 {
		base = s.options.PollInterval
	}
	return base + rand.N(base/5+1)
}

// start activates the highest version that the store or a peer has.
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

// poll reads the head of the store and catches up with it.
func (s *Syncer) poll(ctx context.Context) {
	s.dropDepartedPeers()
	known := s.current()
	started := s.options.Now()
	stored, err := s.readHead(ctx)
	if err != nil {
		s.options.Log.Warn("configuration head not read", "error", err)
		s.advanceFromPeers(ctx)
		return
	}
	err = s.advanceTo(ctx, stored.head, &stored.compaction)
	if err == nil {
		err = s.resolveDivergence(ctx, stored)
	}
	if err == nil {
		s.options.OnSynced(started)
	}
	s.updateLag(stored.head, err)
	if s.current() != known {
		known = nil // the next poll decides with the new state
	}
	if err := s.restoreLostVersions(ctx, known, stored); err != nil && !errors.Is(err, store.ErrConflict) {
		s.options.Log.Warn("configuration versions lost by the table service were not written back", "error", err)
	}
	s.compact(ctx, stored)
}

// updateLag makes the VM ready after a poll that succeeded, and not ready if it
// fails for longer than maxLag to reach a version that it knows to be accepted. It
// might otherwise keep sending work to a zone that is out of service.
func (s *Syncer) updateLag(stored Head, err error) {
	if err == nil {
		s.laggingSince = time.Time{}
		s.setNotReady(nil)
		return
	}
	s.options.Log.Error("configuration out of date", "version", stored.Version, "error", err)
	if s.laggingSince.IsZero() {
		s.laggingSince = time.Now()
	}
	if time.Since(s.laggingSince) > maxLag {
		s.setNotReady(err)
	}
}

// resolveDivergence detects that the store has another history than the active
// version: it lost versions that this VM has and has given a number to another
// patch. The store is authoritative, so the VM takes its version, even if that has
// a lower number. While it fails to, a VM with the same number is not ready.
func (s *Syncer) resolveDivergence(ctx context.Context, stored storedHead) error {
	active := s.current()
	err := active.checkHistory(stored.head)
	if err == nil {
		return nil
	}
	s.options.Log.Error("active configuration diverges from the store", "version", active.config.Version, "stored", stored.head.Version, "error", err)
	if rebuildErr := s.rebuild(ctx, active, stored); rebuildErr != nil {
		err = errors.Join(err, rebuildErr)
		if active.config.Version == stored.head.Version {
			s.setNotReady(err)
		}
		return err
	}
	return nil
}

// advanceFromPeers catches up with the peer that has the highest version. Any
// heartbeat can trigger it, so it does not read from the store; polls do.
func (s *Syncer) advanceFromPeers(ctx context.Context) {
	for _, target := range s.candidateHeads(Head{}, false) {
		err := s.advanceTo(ctx, target, nil)
		if err == nil {
			return
		}
		s.options.Log.Error("configuration update from peers failed", "version", target.Version, "error", err)
	}
}
