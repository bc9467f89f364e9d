package confsync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
)

// maxPeersPerVersion bounds the peers from which one version is fetched.
const maxPeersPerVersion = 3

// errRecordsMissing reports that a source does not hold the requested records.
var errRecordsMissing = errors.New("records are not held")

// bundle is an update from one version to another: records, or a snapshot and
// the records after it.
type bundle struct {
	Snapshot []byte   `msgpack:"s"`
	Records  [][]byte `msgpack:"r"`
}

// candidateHeads returns the known heads, the highest version first. If the head
// of the store is known, lower ones are left out: a VM must not serve an older
// version than one that it knows to be accepted.
func (s *Syncer) candidateHeads(stored Head, haveStored bool) []Head {
	s.mu.Lock()
	seen := map[Head]bool{}
	for _, h := range s.heads {
		newer := s.state == nil || h.Version > s.state.config.Version
		if newer && (!haveStored || h.Version > stored.Version) {
			seen[h] = true
		}
	}
	s.mu.Unlock()
	if haveStored {
		seen[stored] = true
	}
	heads := make([]Head, 0, len(seen))
	for h := range seen {
		heads = append(heads, h)
	}
	sort.Slice(heads, func(i, j int) bool { return heads[i].Version > heads[j].Version })
	return heads
}

// advanceTo brings the state to target, from the first source whose bundle
// verifies. Peers come first, so that a change causes few reads of the store. If
// c is nil, the store is not read.
func (s *Syncer) advanceTo(ctx context.Context, target Head, c *compaction) error {
	select {
	case s.updateLock <- struct{}{}:
		defer func() { <-s.updateLock }()
	case <-ctx.Done():
		return ctx.Err()
	}
	base := s.base()
	if s.current() != nil && target.Version <= base.Version {
		return nil
	}
	if target.Version == 0 {
		s.activate([]step{{config: base}})
		return nil
	}
	errs := []error{fmt.Errorf("version %d has no source that verifies", target.Version)}
	for _, source := range s.sources(target, c) {
		steps, err := source.steps(ctx, base, target)
		if err == nil {
			s.activate(steps)
			return nil
		}
		s.recordSourceFailure(source.name, target, err)
		errs = append(errs, fmt.Errorf("%s: %w", source.name, err))
	}
	return errors.Join(errs...)
}

// rebuild replaces the active state by the store's version, from a snapshot or from
// the first record on.
func (s *Syncer) rebuild(ctx context.Context, active *state, stored storedHead) error {
	select {
	case s.updateLock <- struct{}{}:
		defer func() { <-s.updateLock }()
	case <-ctx.Done():
		return ctx.Err()
	}
	errs := []error{fmt.Errorf("version %d has no source that verifies", stored.head.Version)}
	for _, source := range s.sources(stored.head, &stored.compaction) {
		if source.fromEmpty {
			continue // the same as the table service before it
		}
		source.fromEmpty = true
		steps, err := source.steps(ctx, config.Empty(), stored.head)
		if err == nil {
			s.replace(active, steps)
			return nil
		}
		s.recordSourceFailure(source.name, stored.head, err)
		errs = append(errs, fmt.Errorf("%s: %w", source.name, err))
	}
	return errors.Join(errs...)
}

// replace makes the last of the verified versions active unless the active one has
// changed meanwhile.
func (s *Syncer) replace(active *state, steps []step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var next *state
	for _, st := range steps {
		next = next.with(st)
	}
	if s.state != active || !s.options.Holder.Replace(active.config, next.config) {
		return
	}
	s.state = next
	s.activatedAt = time.Now()
	s.notReady = nil
	s.options.Log.Warn("configuration replaced by that of the table service", "version", next.config.Version, "hash", next.config.Hash)
}

// recordSourceFailure logs that target was not reached from a source, and counts
// the bundles that do not verify.
func (s *Syncer) recordSourceFailure(source string, target Head, err error) {
	var problem config.Problem
	if errors.As(err, &problem) {
		s.rejected.Inc()
		s.options.Log.Error("configuration update rejected: verification failed", "source", source, "version", target.Version, "error", err)
		return
	}
	s.options.Log.Warn("configuration update not fetched", "source", source, "version", target.Version, "error", err)
}

// base returns the configuration to which records are applied.
func (s *Syncer) base() *config.Config {
	if st := s.current(); st != nil {
		return st.config
	}
	return config.Empty()
}

// source is a source of bundles that lead from a version to a target head.
type source struct {
	name  string
	fetch func(ctx context.Context, after uint64, target Head) (bundle, error)
	// fromEmpty requests a bundle that starts at version 0, for the case that the
	// own state of this VM is what does not verify.
	fromEmpty bool
}

func (s *Syncer) sources(target Head, c *compaction) []source {
	var list []source
	for _, address := range s.peersAtLeast(target) {
		list = append(list, source{name: "peer " + address, fetch: s.peerFetcher(address)})
	}
	if c == nil {
		return list
	}
	fromStore := func(ctx context.Context, after uint64, target Head) (bundle, error) {
		return s.fetchFromStore(ctx, after, target, *c)
	}
	list = append(list, source{name: "table service", fetch: fromStore})
	if s.Head().Version > 0 {
		list = append(list, source{name: "table service, from the beginning", fetch: fromStore, fromEmpty: true})
	}
	return list
}

// peersAtLeast returns, in random order, up to maxPeersPerVersion peers whose last
// reported head is target or has a higher version.
func (s *Syncer) peersAtLeast(target Head) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, p := range s.options.Peers() {
		h, ok := s.heads[p.Instance.Address]
		if ok && (h == target || h.Version > target.Version) {
			addresses = append(addresses, p.Instance.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxPeersPerVersion)]
}

// step is one verified version between the base and a target head.
type step struct {
	config   *config.Config
	previous string
	record   []byte
	decoded  config.Record
}

// steps fetches a bundle and verifies that it leads to target.
func (src source) steps(ctx context.Context, base *config.Config, target Head) ([]step, error) {
	if src.fromEmpty {
		base = config.Empty()
	}
	b, err := src.fetch(ctx, base.Version, target)
	if err != nil {
		return nil, err
	}
	return verify(base, b, target)
}

// verify applies a bundle to base and checks that the result has the version and
// hash of target. The hash chain covers every record, and the record of a
// snapshot's version carries a digest of the snapshot's objects.
func verify(base *config.Config, b bundle, target Head) ([]step, error) {
	var steps []step
	current := base
	if len(b.Snapshot) > 0 {
		snapshot, c, err := config.DecodeSnapshot(b.Snapshot)
		if err != nil {
			return nil, err
		}
		r, _, err := config.DecodeRecord(snapshot.Record)
		if err != nil {
			return nil, err
		}
		steps = append(steps, step{config: c, previous: snapshot.PreviousHash, record: snapshot.Record, decoded: r})
		current = c
	}
	for _, record := range b.Records {
		next, err := config.Replay(current, record)
		if err != nil {
			return nil, err
		}
		r, _, err := config.DecodeRecord(record)
		if err != nil {
			return nil, err
		}
		steps = append(steps, step{config: next, previous: current.Hash, record: record, decoded: r})
		current = next
	}
	reached := Head{Version: current.Version, Hash: current.Hash}
	if len(steps) == 0 || reached != target {
		return nil, config.Problem{Key: "hash chain", Found: fmt.Sprintf("version %d, hash %s", reached.Version, reached.Hash), Allowed: fmt.Sprintf("version %d, hash %s", target.Version, target.Hash)}
	}
	return steps, nil
}

// activate makes verified versions the active configuration, one after the other.
func (s *Syncer) activate(steps []step) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.state
	for _, st := range steps {
		next = next.with(st)
		if s.options.Holder.PublishIfNewer(st.config) && st.record != nil {
			s.propagationDelay.Update(max(0, time.Since(time.UnixMilli(st.decoded.AcceptedMillis)).Seconds()))
		}
	}
	if s.state == nil || next.config.Version > s.state.config.Version {
		s.state = next
		s.activatedAt = time.Now()
	}
	s.notReady = nil
	s.options.Log.Info("configuration activated", "version", s.state.config.Version, "hash", s.state.config.Hash)
}

// with returns the state after a step. Records older than the previous
// checkpoint are dropped; peers that need them get the last checkpoint instead.
func (st *state) with(p step) *state {
	next := &state{config: p.config}
	if p.record == nil {
		return next
	}
	if st != nil {
		next.checkpoint = st.checkpoint
		if st.config.Hash == p.previous {
			next.records = append(next.records, st.records...)
			next.baseHash = st.baseHash
		}
	}
	if len(next.records) == 0 {
		next.baseHash = p.previous
	}
	next.records = append(next.records, p.record)
	if p.config.Version%config.SnapshotInterval == 0 {
		next.checkpoint = newCheckpoint(p)
		next.dropRecords(len(next.records) - config.SnapshotInterval)
	}
	return next
}

// dropRecords drops the n oldest records; n may be negative.
func (st *state) dropRecords(n int) {
	for range n {
		st.baseHash = config.ChainHash(st.baseHash, st.records[0])
		st.records = st.records[1:]
	}
}

func newCheckpoint(p step) *checkpoint {
	c := &checkpoint{config: p.config, previous: p.previous, record: p.record}
	c.encoded = sync.OnceValue(func() []byte {
		return encode(config.NewSnapshot(c.config, c.previous, c.record))
	})
	return c
}
