// Package load monitors targets. It polls their load reports and cache events, and
// tracks this VM's attempts in progress and the results of those that ended. It
// publishes the snapshots on which the scheduler bases its decisions, and passes
// observations of targets to the capacity ledger.
package load

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/scheduler"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// Options are the dependencies and parameters of a Collector. Zero values select
// the defaults.
type Options struct {
	Config   *config.Holder
	Clients  func(address string) engine.Client
	Capacity capacity.Allocator
	// TargetFilter selects the targets to monitor; nil selects all.
	TargetFilter func(cfg *config.Config, target string) bool
	// Zone is the zone of this VM.
	Zone string
	Log  *slog.Logger
	// PollInterval is the time between two polls of a target. An observation is
	// valid for 1 s, which must allow for two lost polls in a row. Default 250 ms.
	PollInterval time.Duration
	// PollTimeout is the timeout of one poll. Default 400 ms.
	PollTimeout time.Duration
	// PollConcurrency limits the concurrent polls. Default 32.
	PollConcurrency int
	// CacheInterval is the time between two fetches of cache events. Default
	// 500 ms.
	CacheInterval time.Duration
	// PublishInterval is the minimum time between two snapshots. Default 20 ms.
	PublishInterval time.Duration
	// ReportLag is the maximum age of the state that a load report describes.
	// Default 100 ms.
	ReportLag time.Duration
	// PrefixEntries limits the size of the prefix index. Default
	// DefaultPrefixEntries.
	PrefixEntries int
}

func (o *Options) applyDefaults() {
	setDefault(&o.PollInterval, 250*time.Millisecond)
	setDefault(&o.PollTimeout, 400*time.Millisecond)
	setDefault(&o.PollConcurrency, 32)
	setDefault(&o.CacheInterval, 500*time.Millisecond)
	setDefault(&o.PublishInterval, 20*time.Millisecond)
	setDefault(&o.ReportLag, 100*time.Millisecond)
	setDefault(&o.PrefixEntries, DefaultPrefixEntries)
	if o.TargetFilter == nil {
		o.TargetFilter = func(*config.Config, string) bool { return true }
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// Collector monitors targets and publishes snapshots of them.
type Collector struct {
	options            Options
	prefixIndex        *prefixIndex
	snapshot           atomic.Pointer[scheduler.Snapshot]
	wake               chan struct{}
	pollSlots          chan struct{} // semaphore
	hasDeclaredTargets atomic.Bool   // the snapshot includes the targets of a declared configuration

	mu             sync.RWMutex
	byName         map[string]*monitoredTarget
	targetsByID    []*monitoredTarget // indexed by id; nil if the id is free
	freeIDs        []uint32
	config         *config.Config // the configuration from which byName was built
	offers         []scheduler.Offer
	candidateIndex *scheduler.CandidateIndex
	version        uint64
	changed        chan struct{}

	bytesPerTokenMu sync.Mutex
	bytesPerToken   map[string]float64
}

// NewCollector returns a collector with an initial snapshot; Run starts polling.
func NewCollector(o Options) *Collector {
	o.applyDefaults()
	c := &Collector{
		options:       o,
		prefixIndex:   newPrefixIndex(o.PrefixEntries),
		wake:          make(chan struct{}, 1),
		pollSlots:     make(chan struct{}, o.PollConcurrency),
		byName:        map[string]*monitoredTarget{},
		bytesPerToken: map[string]float64{},
		changed:       make(chan struct{}),
	}
	c.publish(context.Background(), false)
	return c
}

// Snapshot returns the latest snapshot.
func (c *Collector) Snapshot() *scheduler.Snapshot { return c.snapshot.Load() }

// HasDeclaredTargets reports whether the snapshot includes the targets of a
// declared configuration. Before that, every request would be rejected because no
// target is known.
func (c *Collector) HasDeclaredTargets() bool { return c.hasDeclaredTargets.Load() }

// Prefixes returns the index of the prompt prefixes cached by targets.
func (c *Collector) Prefixes() scheduler.PrefixIndex { return c.prefixIndex }

// Changed returns a channel that is closed when the next snapshot is published.
func (c *Collector) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// configCheckInterval bounds the delay until a new configuration is noticed. It is
// short compared with the 3 s within which a zone taken out of service must stop
// receiving new requests.
const configCheckInterval = 100 * time.Millisecond

// Run polls the monitored targets and publishes snapshots until ctx is done.
func (c *Collector) Run(ctx context.Context) {
	var pollers sync.WaitGroup
	defer pollers.Wait()
	ticker := time.NewTicker(configCheckInterval)
	defer ticker.Stop()
	for {
		for _, f := range c.publish(ctx, true) {
			pollers.Add(1)
			go func() {
				defer pollers.Done()
				c.poll(f)
			}()
		}
		if !wait.For(ctx, c.options.PublishInterval) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-ticker.C:
		}
	}
}

// requestSnapshot triggers the publication of a new snapshot.
func (c *Collector) requestSnapshot() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Collector) targetByID(id uint32) *monitoredTarget {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if int(id) >= len(c.targetsByID) {
		return nil
	}
	return c.targetsByID[id]
}

// publish applies the active configuration and stores a new snapshot. If
// withPollers is set, which is the case only in Run, it returns the targets that
// need a poller.
func (c *Collector) publish(ctx context.Context, withPollers bool) (added []*monitoredTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg := c.options.Config.Current(); cfg != nil && cfg != c.config {
		c.applyConfigLocked(cfg)
	}
	if withPollers {
		added = c.preparePollersLocked(ctx)
	}
	now := scheduler.Now()
	targets := make([]scheduler.Target, len(c.targetsByID))
	offers := make([]scheduler.Offer, 0, len(c.byName))
	for id, f := range c.targetsByID {
		if f == nil {
			continue
		}
		targets[id] = f.schedulerTarget(now)
		offers = append(offers, scheduler.Offer{
			ID: uint32(id), Name: f.name, Service: targets[id].Declared.Service,
			Models: f.models(), KVTokens: targets[id].Declared.KVTokens,
		})
	}
	if c.candidateIndex == nil || !slices.EqualFunc(offers, c.offers, sameOffer) {
		c.offers, c.candidateIndex = offers, scheduler.NewCandidateIndex(offers)
	}
	c.version++
	c.snapshot.Store(&scheduler.Snapshot{Version: c.version, Targets: targets, Index: c.candidateIndex})
	if c.config != nil && c.config.Version > 0 {
		c.hasDeclaredTargets.Store(true)
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return added
}

func sameOffer(a, b scheduler.Offer) bool {
	return a.ID == b.ID && a.Name == b.Name && a.Service == b.Service && a.KVTokens == b.KVTokens && slices.Equal(a.Models, b.Models)
}

// applyConfigLocked starts and stops monitoring targets according to cfg.
func (c *Collector) applyConfigLocked(cfg *config.Config) {
	for name, f := range c.byName {
		t, ok := cfg.Targets[name]
		if !ok || t.Address != f.declared.Address || !c.options.TargetFilter(cfg, name) {
			c.removeTargetLocked(f)
		}
	}
	for name, t := range cfg.Targets {
		if !c.options.TargetFilter(cfg, name) {
			continue
		}
		f := c.byName[name]
		if f == nil {
			f = c.addTargetLocked(name, t)
		}
		f.setDeclaration(t, cfg.Zones[t.Zone].OutOfService, 2*oneWayDelay(cfg, c.options.Zone, t.Zone))
		f.setPolled(cfg.Services[t.Service].Kind == config.ModelService)
	}
	c.config = cfg
}

func (c *Collector) addTargetLocked(name string, t config.Target) *monitoredTarget {
	f := &monitoredTarget{
		name: name, local: &scheduler.LocalCounters{}, client: c.options.Clients(t.Address),
		health: newHealth(), attempts: map[*Attempt]struct{}{},
		declared: config.Target{Address: t.Address},
	}
	if n := len(c.freeIDs); n > 0 {
		f.id, c.freeIDs = c.freeIDs[n-1], c.freeIDs[:n-1]
		c.targetsByID[f.id] = f
	} else {
		f.id = uint32(len(c.targetsByID))
		c.targetsByID = append(c.targetsByID, f)
	}
	f.cacheReader = cacheReader{index: c.prefixIndex, id: f.id}
	c.byName[name] = f
	return f
}

// removeTargetLocked stops monitoring a target. Its attempts continue.
func (c *Collector) removeTargetLocked(f *monitoredTarget) {
	if f.stopPoller != nil {
		f.stopPoller()
	}
	c.prefixIndex.invalidate(f.id)
	delete(c.byName, f.name)
	c.targetsByID[f.id] = nil
	c.freeIDs = append(c.freeIDs, f.id)
}

// preparePollersLocked returns the targets that have no poller yet, with the
// context of the poller set.
func (c *Collector) preparePollersLocked(ctx context.Context) (added []*monitoredTarget) {
	for _, f := range c.byName {
		if f.stopPoller == nil && f.polled {
			pollCtx, cancel := context.WithCancel(ctx)
			f.stopPoller = cancel
			f.ctx = pollCtx
			added = append(added, f)
		}
	}
	return added
}

// oneWayDelay returns the network delay between two zones, 0 within a zone or if no
// link is declared.
func oneWayDelay(cfg *config.Config, from, to string) time.Duration {
	if from == to {
		return 0
	}
	for _, l := range cfg.Links {
		if (l.From == from && l.To == to) || (l.From == to && l.To == from) {
			return l.OneWay.Std()
		}
	}
	return 0
}

// jitter varies an interval by up to an eighth in both directions, so that the
// polls of different VMs and targets do not synchronize.
func jitter(d time.Duration) time.Duration {
	return d - d/8 + rand.N(d/4+1)
}
