// Package load collects what is known of targets: their load reports and cache
// events, how attempts of this VM ended, and this VM's own work in progress. It
// publishes the snapshots that the scheduler decides on, and passes evidence
// about targets to the capacity ledger.
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

// Options are what a Collector is wired to. Zero values select the defaults.
type Options struct {
	Config   *config.Holder
	Clients  func(address string) engine.Client
	Capacity capacity.Allocator
	// TargetFilter says which targets are followed; nil follows all.
	TargetFilter func(cfg *config.Config, target string) bool
	// Zone is the zone of this VM.
	Zone string
	Log  *slog.Logger
	// PollInterval is the time between two polls of a target. Evidence may be
	// used for 1 s, so that two lost polls in a row must fit. Default 250 ms.
	PollInterval time.Duration
	// PollTimeout bounds one poll. Default 400 ms.
	PollTimeout time.Duration
	// PollConcurrency bounds the polls at one time. Default 32.
	PollConcurrency int
	// CacheInterval is the time between two fetches of cache events. Default
	// 500 ms.
	CacheInterval time.Duration
	// PublishInterval is the least time between two snapshots. Default 20 ms.
	PublishInterval time.Duration
	// ReportLag is how old a load report can be. Default 100 ms.
	ReportLag time.Duration
	// PrefixEntries bounds the prefix index. Default DefaultPrefixEntries.
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

// Collector follows targets and publishes snapshots of them.
type Collector struct {
	options  Options
	index    *prefixIndex
	snapshot atomic.Pointer[scheduler.Snapshot]
	wake     chan struct{}
	polls    chan struct{} // semaphore
	follows  atomic.Bool   // the snapshot has the targets of a declared configuration

	mu      sync.RWMutex
	byName  map[string]*followed
	slots   []*followed // by id
	free    []uint32
	config  *config.Config // in force in byName
	offers  []scheduler.Offer
	layout  *scheduler.CandidateIndex
	version uint64
	changed chan struct{}

	bytesMu sync.Mutex
	bytes   map[string]float64
}

// NewCollector returns a collector with a first snapshot; Run makes it work.
func NewCollector(o Options) *Collector {
	o.applyDefaults()
	c := &Collector{
		options: o,
		index:   newPrefixIndex(o.PrefixEntries),
		wake:    make(chan struct{}, 1),
		polls:   make(chan struct{}, o.PollConcurrency),
		byName:  map[string]*followed{},
		bytes:   map[string]float64{},
		changed: make(chan struct{}),
	}
	c.publish(context.Background(), false)
	return c
}

// Snapshot returns the latest snapshot.
func (c *Collector) Snapshot() *scheduler.Snapshot { return c.snapshot.Load() }

// HasDeclaredTargets reports whether the snapshot has the targets of a declared
// configuration. Until then a request would be refused because no target is
// known.
func (c *Collector) HasDeclaredTargets() bool { return c.follows.Load() }

// Prefixes returns the index of prefixes that targets hold.
func (c *Collector) Prefixes() scheduler.PrefixIndex { return c.index }

// Changed returns a channel that is closed when the next snapshot is published.
func (c *Collector) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// configCheckInterval bounds the delay until a new configuration is seen. It
// is small against the 3 s in which a leaving zone must get no new work.
const configCheckInterval = 100 * time.Millisecond

// Run polls the followed targets and publishes snapshots until ctx ends.
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

// touch asks for a new snapshot.
func (c *Collector) touch() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Collector) byID(id uint32) *followed {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if int(id) >= len(c.slots) {
		return nil
	}
	return c.slots[id]
}

// publish follows the configuration and stores a new snapshot. It returns the
// targets that need a poller; adopt is false before Run.
func (c *Collector) publish(ctx context.Context, adopt bool) (added []*followed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cfg := c.options.Config.Current(); cfg != nil && cfg != c.config {
		c.followLocked(cfg)
	}
	if adopt {
		added = c.adoptLocked(ctx)
	}
	now := scheduler.Now()
	targets := make([]scheduler.Target, len(c.slots))
	offers := make([]scheduler.Offer, 0, len(c.byName))
	for id, f := range c.slots {
		if f == nil {
			continue
		}
		targets[id] = f.view(now)
		offers = append(offers, scheduler.Offer{
			ID: uint32(id), Name: f.name, Service: targets[id].Declared.Service,
			Models: f.models(), KVTokens: targets[id].Declared.KVTokens,
		})
	}
	if c.layout == nil || !slices.EqualFunc(offers, c.offers, sameOffer) {
		c.offers, c.layout = offers, scheduler.NewCandidateIndex(offers)
	}
	c.version++
	c.snapshot.Store(&scheduler.Snapshot{Version: c.version, Targets: targets, Index: c.layout})
	if c.config != nil && c.config.Version > 0 {
		c.follows.Store(true)
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return added
}

func sameOffer(a, b scheduler.Offer) bool {
	return a.ID == b.ID && a.Name == b.Name && a.Service == b.Service && a.KVTokens == b.KVTokens && slices.Equal(a.Models, b.Models)
}

// followLocked starts and stops following targets as cfg says.
func (c *Collector) followLocked(cfg *config.Config) {
	for name, f := range c.byName {
		t, ok := cfg.Targets[name]
		if !ok || t.Address != f.declared.Address || !c.options.TargetFilter(cfg, name) {
			c.dropLocked(f)
		}
	}
	for name, t := range cfg.Targets {
		if !c.options.TargetFilter(cfg, name) {
			continue
		}
		f := c.byName[name]
		if f == nil {
			f = c.newFollowedLocked(name, t)
		}
		f.declare(t, cfg.Zones[t.Zone].OutOfService, 2*oneWay(cfg, c.options.Zone, t.Zone))
		f.setPolled(cfg.Services[t.Service].Kind == config.ModelService)
	}
	c.config = cfg
}

func (c *Collector) newFollowedLocked(name string, t config.Target) *followed {
	f := &followed{
		name: name, live: &scheduler.LocalCounters{}, client: c.options.Clients(t.Address),
		health: newHealth(), attempts: map[*Attempt]struct{}{},
		declared: config.Target{Address: t.Address},
	}
	if n := len(c.free); n > 0 {
		f.id, c.free = c.free[n-1], c.free[:n-1]
		c.slots[f.id] = f
	} else {
		f.id = uint32(len(c.slots))
		c.slots = append(c.slots, f)
	}
	f.reader = cacheReader{index: c.index, id: f.id}
	c.byName[name] = f
	return f
}

// dropLocked stops following a target. Its attempts go on.
func (c *Collector) dropLocked(f *followed) {
	if f.stop != nil {
		f.stop()
	}
	c.index.drop(f.id)
	delete(c.byName, f.name)
	c.slots[f.id] = nil
	c.free = append(c.free, f.id)
}

// adoptLocked returns the targets that have no poller yet.
func (c *Collector) adoptLocked(ctx context.Context) (added []*followed) {
	for _, f := range c.byName {
		if f.stop == nil && f.polled {
			pollCtx, cancel := context.WithCancel(ctx)
			f.stop = cancel
			f.ctx = pollCtx
			added = append(added, f)
		}
	}
	return added
}

// oneWay returns the delay between two zones, 0 within a zone or when no link
// is declared.
func oneWay(cfg *config.Config, from, to string) time.Duration {
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

// jitter spreads polls over up to a quarter of the interval, so that VMs and
// targets do not fall into step.
func jitter(d time.Duration) time.Duration {
	return d - d/8 + rand.N(d/4+1)
}
