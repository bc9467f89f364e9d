// Package process builds the components of oriolegate, runs them and shuts them
// down.
package process

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/connlimit"
	"github.com/oriolefront/oriolefront/internal/forward"
	"github.com/oriolefront/oriolefront/internal/freshness"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/pace"
	"github.com/oriolefront/oriolefront/internal/peers"
	"github.com/oriolefront/oriolefront/internal/quarantine"
	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/storesync"
	"github.com/oriolefront/oriolefront/internal/tcp"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
	"github.com/oriolefront/oriolefront/internal/vmsettings"
	"github.com/oriolefront/oriolefront/internal/wait"
	"github.com/oriolefront/oriolefront/internal/zones"
)

// Timeouts, intervals and limits of a process.
const (
	// isolationTimeout is the time without contact to the store or any other VM
	// after which this VM stops accepting new requests. In the meantime the
	// operator may have taken a zone, an API key or a target out of service.
	isolationTimeout = 4 * time.Second
	// outageRecoveryTime is how long after a store outage rows may still be missing.
	outageRecoveryTime = 2 * time.Second
	// drainAcceptTime is how long a stopping VM still accepts connections. The load
	// balancer probes readiness once a second and needs two failed probes.
	drainAcceptTime = 2500 * time.Millisecond
	// drainReadTime is how long a stopping VM still takes requests whose bodies arrive slowly.
	drainReadTime = 3 * time.Second
	// stopMargin is subtracted from the grace time, so that the process exits
	// before it is killed. Within it, the callers of requests that are not
	// complete get finalResponseTime to receive a response.
	stopMargin        = 400 * time.Millisecond
	finalResponseTime = 200 * time.Millisecond
	tickInterval      = 100 * time.Millisecond
	maxHeaderBytes    = 64 << 10
	// headerTimeout and idleTimeout limit slow and idle callers. Both are longer
	// than the timeouts that configurations set.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// operatorTableReaders and targetsTableReaders are the numbers of VMs per zone
	// that watch these tables in the store; the other VMs get the changes from
	// them. Targets change often, so fewer VMs watch their table, with at least
	// minTargetsReadInterval between two reads.
	operatorTableReaders   = 2
	targetsTableReaders    = 1
	minTargetsReadInterval = 250 * time.Millisecond
	// A target that has left must not get requests later than 2 s afterwards, also when
	// the VM that watches the targets gets no more responses. A VM that watches them
	// confirms its replica at the age of targetsConfirmAge; any other VM reads the store
	// itself at targetsTakeoverAge, which leaves 0.8 s for the spread of these calls, the
	// call and late timers.
	targetsConfirmAge  = 700 * time.Millisecond
	targetsTakeoverAge = 1200 * time.Millisecond
)

// Tables names the tables of the store.
type Tables struct {
	Operator string
	Targets  string
	// VMs is the table in which the VMs register to discover each other.
	VMs string
	// Duties holds the lease of the duties.
	Duties string
}

// Process is the process of one entry VM.
type Process struct {
	// settings are the active settings. Addresses, name and zone are fixed at the
	// start.
	settings        atomic.Pointer[vmsettings.Settings]
	settingsFile    string
	listenAddresses vmsettings.Listen
	vm              vmsettings.VM
	log             *slog.Logger
	store           storesync.Store
	tables          Tables

	viewBuilder      *viewBuilder
	viewHolder       *topology.Holder
	registry         *inflight.Registry
	mesh             *peers.Mesh
	operatorSyncer   *storesync.Syncer
	targetsSyncer    *storesync.Syncer
	targetsConfirmer *storesync.Confirmer
	pool             *upstream.Pool
	health           *forward.Health
	quarantine       *quarantine.Detector
	pace             *pace.Tracker // nil if the pace of targets is not learned
	handler          *forward.Handler
	duties           *duties // nil where there are none
	metrics          *metrics.Set
	clients          *clientLimits
	isolated         atomic.Bool
	// keysUnconfirmed is true while this VM cannot tell whether API keys were revoked.
	keysUnconfirmed atomic.Bool
	stopping        atomic.Bool
	zoneDistances   zones.Cache
	alignedEpoch    uint64                    // used by runPeriodicChecks only
	lastOutage      atomic.Pointer[time.Time] // when a store outage was last observed
	callerServer    *http.Server
	readinessServer *http.Server
	metricsServer   *http.Server
}

// Options are the settings and dependencies of a Process.
type Options struct {
	Settings *vmsettings.Settings
	// File is the settings file. It is read again on Reload and after changes.
	File     string
	Log      *slog.Logger
	Store    storesync.Store
	Tables   Tables
	Decoder  Decoder
	Protocol forward.Protocol
	// Control makes the calls of the duties. Nil where there are none.
	Control Control
	// DroppedLogLines returns the number of dropped log lines.
	DroppedLogLines func() int64
}

// New builds a process without starting it.
func New(o Options) (*Process, error) {
	clients, err := newClientLimits(o.Settings)
	if err != nil {
		return nil, err
	}
	p := &Process{clients: clients, settingsFile: o.File, listenAddresses: o.Settings.Listen, vm: o.Settings.VM, log: o.Log, store: o.Store, tables: o.Tables,
		viewHolder: topology.NewHolder(), registry: inflight.New(), health: forward.NewHealth(), metrics: metrics.NewSet(), quarantine: quarantine.New(o.Log)}
	p.settings.Store(o.Settings)
	p.learnPace(o.Settings.Placement)
	p.viewBuilder = newViewBuilder(o.Log, o.Decoder, p.viewHolder, p.recoveringFromOutage)
	p.operatorSyncer = &storesync.Syncer{Store: o.Store, Replica: replica.New(o.Tables.Operator), Log: o.Log, OnChange: p.operatorChanged,
		ShouldWatch: func() bool { return p.shouldWatch(operatorTableReaders) }, Freshness: freshness.New(),
		OnEpoch: p.viewBuilder.operatorTableRestored, EvidenceSuspended: p.viewBuilder.awaitingOperator}
	if o.Settings.Revocation.Strict {
		p.operatorSyncer.LongPoll = p.configurationPollInterval
	}
	p.targetsSyncer = &storesync.Syncer{Store: o.Store, Replica: replica.New(o.Tables.Targets), Log: o.Log, OnChange: p.targetsChanged,
		ShouldWatch: func() bool { return p.shouldWatch(targetsTableReaders) }, MinWatchInterval: minTargetsReadInterval, Freshness: freshness.New(),
		OnEpoch: p.viewBuilder.targetsTableRestored}
	p.targetsConfirmer = &storesync.Confirmer{Syncer: p.targetsSyncer, MaxAge: p.maxTargetsAge, Log: o.Log,
		OnConfirm: func() { p.mesh.ScheduleStatusHeartbeat() }}
	var exchanged peers.Duties
	if o.Settings.Duties != nil && o.Control != nil {
		p.duties = newDuties(p, o.Settings.Duties, o.Control)
		exchanged = p.duties
	}
	mesh, err := peers.New(peers.Options{
		Self: peers.Self{Name: o.Settings.VM.Name, Zone: o.Settings.VM.Zone,
			HeartbeatAddress: o.Settings.Listen.Datagrams, LinkAddress: o.Settings.Listen.Links},
		Log: o.Log, Registry: p.registry, Replicas: []*replica.Replica{p.operatorSyncer.Replica, p.targetsSyncer.Replica},
		ApplyDelta: p.applyDelta, Refresh: p.refresh, LastStoreContact: p.lastStoreContact, StoreUnreachable: p.storeUnreachable, Reachability: p.health,
		Confirmed: p.confirmed, Confirm: p.confirm, ObserveBase: p.observeBase, Clock: p.clock, ObserveClock: p.observeClock, Quarantine: p.quarantine,
		Duties: exchanged, Pace: p.pace,
		Distant: p.relaysHeartbeats, Metrics: p.metrics,
		LinkLimits: p.clients.links,
	})
	if err != nil {
		return nil, err
	}
	p.mesh = mesh
	dialed := p.metrics.NewCounter("oriole_target_connections_total")
	p.pool = upstream.NewPool(dialed.Inc)
	p.pool.LimitIdle(p.clients.shares.IdleTargets)
	vms := func() int { return mesh.Status().KnownPeers + 1 }
	p.handler = &forward.Handler{
		Zone: p.vm.Zone, Instance: strconv.FormatUint(rand.Uint64(), 36),
		Views: p.viewHolder, Protocol: o.Protocol, Pool: p.pool, Registry: p.registry, Health: p.health, Log: o.Log,
		RetryBudget: forward.NewRetryBudget(p.retryLimits, vms), VMCount: vms,
		Metrics: forward.NewMetrics(p.metrics), Isolated: p.isolated.Load, KeysUnconfirmed: p.keysAreUnconfirmed, Quarantine: p.quarantine, Pace: p.pace,
		Zones: p.zonePolicy(), Overload: p.overloadPolicy(),
		BufferedBytes: int64(o.Settings.Clients.BodyMemoryMB) * mb, ReclaimBody: p.clients.budget.CloseUpload,
	}
	p.handler.Init()
	if p.duties != nil && p.duties.reporter != nil {
		p.handler.CountUsage = p.duties.reporter.Count
	}
	p.registry.OnChange = func() {
		mesh.ScheduleHeartbeat()
		p.handler.LoadChanged()
	}
	p.quarantine.OnEvidence = mesh.ScheduleStatusHeartbeat
	p.quarantine.OnQuarantine = p.handler.CancelQuarantined
	p.registry.OnPeerChange = p.handler.LoadChanged
	p.registerGauges(o.DroppedLogLines)
	p.registerOverloadGauges()
	return p, nil
}

func (p *Process) registerGauges(droppedLogLines func() int64) {
	p.metrics.NewGauge("oriole_requests_active", func() float64 { return float64(p.handler.Active()) })
	p.metrics.NewGauge("oriole_peers_heard", func() float64 { return float64(p.mesh.Status().LiveVMs - 1) })
	p.metrics.NewGauge("oriole_store_age_seconds", func() float64 { return p.mesh.Status().StoreAge.Seconds() })
	p.metrics.NewGauge("oriole_configuration_age_seconds", func() float64 { return p.operatorSyncer.Freshness.Age().Seconds() })
	p.metrics.NewGauge("oriole_targets_age_seconds", func() float64 { return p.targetsSyncer.Freshness.Age().Seconds() })
	p.metrics.NewGauge("oriole_store_epoch", func() float64 { return float64(p.storeEpoch()) })
	p.metrics.NewGauge("oriole_targets", func() float64 { return float64(len(p.viewHolder.Get().Targets())) })
	p.metrics.NewGauge("oriole_quarantined_parts", func() float64 { return float64(p.quarantine.Active()) })
	if droppedLogLines != nil {
		p.metrics.NewGauge("oriole_log_lines_dropped", func() float64 { return float64(droppedLogLines()) })
	}
}

func (p *Process) retryLimits() forward.RetryLimits {
	r := p.settings.Load().Retries
	return forward.RetryLimits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std()}
}

// Run serves until ctx is done and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer p.mesh.Close()
	failures := make(chan error, 3)
	if err := p.startServers(failures); err != nil {
		return err
	}
	p.log.Info("started", "vm", p.vm.Name, "zone", p.vm.Zone, "callers", p.listenAddresses.Callers)
	var tasks sync.WaitGroup
	running := []func(context.Context){p.operatorSyncer.Run, p.targetsSyncer.Run, p.targetsConfirmer.Run, p.mesh.Run, p.join, p.runPeriodicChecks, p.watchSettingsFile}
	if p.duties != nil {
		running = append(running, p.duties.manager.Run)
		if p.duties.scaler != nil {
			running = append(running, p.duties.scaler.Watch)
		}
	}
	for _, task := range running {
		tasks.Go(func() { task(background) })
	}
	var err error
	select {
	case err = <-failures:
	case <-ctx.Done():
		p.stop()
	}
	cancel()
	return err
}

func (p *Process) startServers(failures chan<- error) error {
	listener, err := tcp.Listen(context.Background(), p.listenAddresses.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	p.callerServer = newServer(p.handler, maxHeaderBytes, p.log)
	p.callerServer.ConnContext = forward.CallerConnContext
	readinessMux := http.NewServeMux()
	readinessMux.HandleFunc("GET /ready", p.serveReadiness)
	p.readinessServer = newServer(readinessMux, connlimit.ServiceHead, p.log)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { p.metrics.WritePrometheus(w) })
	p.metricsServer = newServer(metricsMux, connlimit.ServiceHead, p.log)
	listener = p.protect(p.callerServer, listener, "callers", p.clients.shares.Callers, p.clients.shares.Requests)
	go serve(p.callerServer, listener, failures)
	for _, s := range []struct {
		server        *http.Server
		address, name string
	}{{p.readinessServer, p.listenAddresses.Readiness, "readiness"}, {p.metricsServer, p.listenAddresses.Metrics, "metrics"}} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return fmt.Errorf("listen at %s: %w", s.address, err)
		}
		go serve(s.server, p.protect(s.server, l, s.name, p.clients.shares.Service, 0), failures)
	}
	return nil
}

func serve(s *http.Server, l net.Listener, failures chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failures <- fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
}

// serveReadiness handles the load balancer's readiness probe.
func (p *Process) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	view := p.viewHolder.Get()
	reason := ""
	switch {
	case p.stopping.Load():
		reason = "stopping"
	case view.Config == nil:
		reason = "no configuration"
	case len(view.Targets()) == 0:
		reason = "no targets"
	case p.isolated.Load():
		reason = "isolated"
	case p.keysUnconfirmed.Load():
		reason = "API keys not confirmed"
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// runPeriodicChecks runs the checks that depend only on the passing of time.
func (p *Process) runPeriodicChecks(ctx context.Context) {
	reportedUnreachable := false
	for wait.For(ctx, tickInterval) {
		if unreachable := p.storeUnreachable(); unreachable != reportedUnreachable {
			reportedUnreachable = unreachable
			p.mesh.ScheduleStatusHeartbeat() // so that other VMs watch the store instead
		}
		if at := p.lastStoreContact(); p.operatorSyncer.Failing() && !at.IsZero() {
			now := time.Now()
			p.lastOutage.Store(&now)
		}
		p.viewBuilder.removeMissingTargets()
		p.viewBuilder.applyDeferred()
		p.alignTables()
		p.updateIsolation()
		p.updateKeysUnconfirmed()
		p.handler.RecordServed(time.Now())
		p.quarantine.Tick(time.Now())
		if p.duties != nil {
			p.duties.tick()
		}
		view := p.viewHolder.Get()
		known, pooled := map[string]bool{}, map[string]bool{}
		for _, t := range view.Targets() {
			known[t.ID], pooled[t.ID] = true, !p.health.Leaving(t)
		}
		p.pool.Sweep(func(id string) bool { return pooled[id] })
		p.health.Retain(func(id string) bool { return known[id] })
		p.pace.Retain(func(id string) bool { return known[id] })
	}
}

func (p *Process) updateIsolation() {
	s := p.mesh.Status()
	isolated := !s.AnyPeerLive && s.KnownPeers > 0 && s.StoreAge > isolationTimeout
	if isolated != p.isolated.Load() {
		p.log.Warn("isolation changed", "isolated", isolated, "store_age", s.StoreAge, "peers_known", s.KnownPeers)
		p.isolated.Store(isolated)
	}
}

// stop shuts the process down gracefully. Readiness probes fail first, new
// connections are accepted until the load balancer has noticed, and requests in
// flight are completed within the grace time.
func (p *Process) stop() {
	grace := p.settings.Load().Stop.Grace.Std() - stopMargin
	p.log.Info("stopping", "active", p.handler.Active(), "grace", grace)
	p.stopping.Store(true)
	p.handler.StartDrain(min(drainReadTime, grace/2))
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if p.duties != nil {
		go p.duties.manager.Stop(ctx)
	}
	wait.For(ctx, min(drainAcceptTime, grace/2))
	if err := p.callerServer.Shutdown(ctx); err != nil {
		p.endCalls()
	}
	p.mesh.Leave()
	wait.For(ctx, 20*time.Millisecond)
	p.pool.Close()
	p.log.Info("stopped", "active", p.handler.Active())
}

// endCalls ends the requests that are not complete at the end of the grace time, and gives
// their callers a moment to receive the final responses.
func (p *Process) endCalls() {
	p.log.Warn("requests ended at the end of the grace time", "active", p.handler.Active())
	p.handler.EndCalls()
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTime)
	defer cancel()
	if err := p.callerServer.Shutdown(ctx); err != nil {
		p.log.Warn("connections aborted", "active", p.handler.Active(), "error", err)
	}
}
