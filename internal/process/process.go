// Package process wires the parts of oriolegate, runs and stops them.
package process

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/forward"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/peers"
	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/storesync"
	"github.com/oriolefront/oriolefront/internal/tcp"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/upstream"
	"github.com/oriolefront/oriolefront/internal/vmsettings"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// Times of a process.
const (
	// isolatedAfter is the time without any word from the store or another VM
	// after which no new work is started: the operator may have taken a zone, a
	// key or a target out of use meanwhile.
	isolatedAfter = 4 * time.Second
	// outageSettle is how long after an outage rows may still be missing.
	outageSettle = 2 * time.Second
	// acceptAfterStop is how long a stopping VM still takes connections: until
	// the balancer has seen two failed readiness checks, one a second.
	acceptAfterStop = 2500 * time.Millisecond
	// stopReserve is left of the grace time when the process ends by itself.
	stopReserve  = 400 * time.Millisecond
	tickInterval = 100 * time.Millisecond
	headerBytes  = 64 << 10
	// headerTimeout and idleTimeout bound slow and idle callers; both lie above
	// what configurations name.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// operatorReaders and targetReaders are the numbers of VMs of a zone that
	// read these tables of the store; the others hear from them. Targets change
	// often, so fewer VMs watch them, with targetSpacing between two reads.
	operatorReaders = 2
	targetReaders   = 1
	targetSpacing   = 250 * time.Millisecond
)

// Tables names the tables of the store.
type Tables struct {
	Operator string
	Targets  string
	// VMs is this system's own table, in which VMs find each other.
	VMs string
}

// Process is one entry VM's process.
type Process struct {
	// settings holds what is in force; addresses stay as at the start.
	settings atomic.Pointer[vmsettings.Settings]
	file     string
	listens  vmsettings.Listen
	vm       vmsettings.VM
	log      *slog.Logger
	store    storesync.Store
	tables   Tables

	views     *views
	holder    *topology.Holder
	board     *inflight.Registry
	mesh      *peers.Mesh
	operator  *storesync.Syncer
	targets   *storesync.Syncer
	pool      *upstream.Pool
	health    *forward.Health
	handler   *forward.Handler
	metrics   *metrics.Set
	isolated  atomic.Bool
	stopping  atomic.Bool
	outage    atomic.Pointer[time.Time] // when the store was last in an outage
	callers   *http.Server
	readiness *http.Server
	observers *http.Server
}

// Options are what a Process needs from outside.
type Options struct {
	Settings *vmsettings.Settings
	// File is read again on Reload and when it has changed.
	File     string
	Log      *slog.Logger
	Store    storesync.Store
	Tables   Tables
	Decoder  Decoder
	Protocol forward.Protocol
	// DroppedLogLines returns the number of log lines that were dropped.
	DroppedLogLines func() int64
}

// New builds a process.
func New(o Options) (*Process, error) {
	p := &Process{file: o.File, listens: o.Settings.Listen, vm: o.Settings.VM, log: o.Log, store: o.Store, tables: o.Tables,
		holder: topology.NewHolder(), board: inflight.New(), health: forward.NewHealth(), metrics: metrics.NewSet()}
	p.settings.Store(o.Settings)
	p.views = newViews(o.Log, o.Decoder, p.holder, p.unsettled)
	p.operator = &storesync.Syncer{Store: o.Store, Replica: replica.New(o.Tables.Operator), Log: o.Log, OnChange: p.operatorChanged,
		ShouldWatch: func() bool { return p.reading(operatorReaders) }}
	p.targets = &storesync.Syncer{Store: o.Store, Replica: replica.New(o.Tables.Targets), Log: o.Log, OnChange: p.targetsChanged,
		ShouldWatch: func() bool { return p.reading(targetReaders) }, MinWatchInterval: targetSpacing}
	mesh, err := peers.New(peers.Options{
		Self: peers.Self{Name: o.Settings.VM.Name, Zone: o.Settings.VM.Zone,
			HeartbeatAddress: o.Settings.Listen.Datagrams, LinkAddress: o.Settings.Listen.Links},
		Log: o.Log, Registry: p.board, Copies: []*replica.Replica{p.operator.Replica, p.targets.Replica},
		Merge: p.merge, Refresh: p.refresh, LastStoreContact: p.storeContact, StoreUnreachable: p.storeLost, Reachability: p.health,
	})
	if err != nil {
		return nil, err
	}
	p.mesh = mesh
	p.board.OnChange = mesh.ScheduleHeartbeat
	dialed := p.metrics.NewCounter("oriole_target_connections_total")
	p.pool = upstream.NewPool(dialed.Inc)
	vms := func() int { return mesh.Status().KnownPeers + 1 }
	p.handler = &forward.Handler{
		Zone: p.vm.Zone, Instance: strconv.FormatUint(rand.Uint64(), 36),
		Views: p.holder, Protocol: o.Protocol, Pool: p.pool, Registry: p.board, Health: p.health, Log: o.Log,
		RetryBudget: forward.NewRetryBudget(p.retryLimits, vms), VMCount: vms,
		Metrics: forward.NewMetrics(p.metrics), Isolated: p.isolated.Load,
	}
	p.handler.Init()
	p.registerGauges(o.DroppedLogLines)
	return p, nil
}

func (p *Process) registerGauges(logDropped func() int64) {
	p.metrics.NewGauge("oriole_requests_active", func() float64 { return float64(p.handler.Active()) })
	p.metrics.NewGauge("oriole_peers_heard", func() float64 { return float64(p.mesh.Status().LiveVMs - 1) })
	p.metrics.NewGauge("oriole_store_age_seconds", func() float64 { return p.mesh.Status().StoreAge.Seconds() })
	p.metrics.NewGauge("oriole_targets", func() float64 { return float64(len(p.holder.Get().Targets())) })
	if logDropped != nil {
		p.metrics.NewGauge("oriole_log_lines_dropped", func() float64 { return float64(logDropped()) })
	}
}

func (p *Process) retryLimits() forward.RetryLimits {
	r := p.settings.Load().Retries
	return forward.RetryLimits{Ratio: r.Ratio, Slack: r.Slack, Window: r.Window.Std()}
}

// refresh reads the changes of a table from the store.
func (p *Process) refresh(ctx context.Context, table string) error {
	for _, f := range p.followers() {
		if f.Replica.Table() == table {
			return f.Refresh(ctx)
		}
	}
	return fmt.Errorf("table %q is not copied here", table)
}

func (p *Process) followers() []*storesync.Syncer {
	return []*storesync.Syncer{p.operator, p.targets}
}

// merge takes changes that another VM has sent.
func (p *Process) merge(d replica.Delta) {
	for _, f := range p.followers() {
		if f.Replica.Table() == d.Table {
			f.Apply(d)
		}
	}
}

func (p *Process) operatorChanged(changed []replica.Record) {
	p.views.operatorChanged(changed)
	p.mesh.ScheduleStatusHeartbeat()
}

func (p *Process) targetsChanged(changed []replica.Record) {
	p.views.targetsChanged(changed)
	p.mesh.ScheduleStatusHeartbeat()
}

// storeContact returns the last moment at which the store answered this VM.
func (p *Process) storeContact() time.Time {
	a, b := p.operator.LastContact(), p.targets.LastContact()
	if a.After(b) {
		return a
	}
	return b
}

// storeLost reports whether the store failed to answer this VM's last call.
func (p *Process) storeLost() bool { return p.operator.Failing() || p.targets.Failing() }

// reading reports whether this VM reads a table of the store: it is among the
// first of its zone that reach it, or does not hear them.
func (p *Process) reading(readers int) bool {
	return slices.Index(p.mesh.StoreReaders(), p.vm.Name) < readers
}

// unsettled reports whether rows may have lapsed in an outage of the store.
func (p *Process) unsettled() bool {
	at := p.outage.Load()
	return at != nil && time.Since(*at) < outageSettle
}

// Run serves until ctx ends, then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer p.mesh.Close()
	failures := make(chan error, 3)
	if err := p.listen(failures); err != nil {
		return err
	}
	p.log.Info("started", "vm", p.vm.Name, "zone", p.vm.Zone, "callers", p.listens.Callers)
	var tasks sync.WaitGroup
	for _, task := range []func(context.Context){p.operator.Run, p.targets.Run, p.mesh.Run, p.join, p.tick, p.followFile} {
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

func (p *Process) listen(failures chan<- error) error {
	listener, err := tcp.Listen(context.Background(), p.listens.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	errorLog := slog.NewLogLogger(p.log.Handler(), slog.LevelDebug)
	p.callers = &http.Server{Handler: p.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ErrorLog: errorLog}
	ready := http.NewServeMux()
	ready.HandleFunc("GET /ready", p.ready)
	p.readiness = &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: errorLog}
	observe := http.NewServeMux()
	observe.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { p.metrics.WritePrometheus(w) })
	p.observers = &http.Server{Handler: observe, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: errorLog}
	go serve(p.callers, listener, failures)
	for _, s := range []struct {
		server  *http.Server
		address string
	}{{p.readiness, p.listens.Readiness}, {p.observers, p.listens.Metrics}} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return fmt.Errorf("listen at %s: %w", s.address, err)
		}
		go serve(s.server, l, failures)
	}
	return nil
}

func serve(s *http.Server, l net.Listener, failures chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failures <- fmt.Errorf("serve %s: %w", l.Addr(), err)
	}
}

// ready answers the balancer's check.
func (p *Process) ready(w http.ResponseWriter, _ *http.Request) {
	view := p.holder.Get()
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
	}
	if reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// tick does what depends on time alone.
func (p *Process) tick(ctx context.Context) {
	toldLost := false
	for wait.For(ctx, tickInterval) {
		if lost := p.storeLost(); lost != toldLost {
			toldLost = lost
			p.mesh.ScheduleStatusHeartbeat() // others read the store in this VM's place
		}
		if at := p.storeContact(); p.operator.Failing() && !at.IsZero() {
			now := time.Now()
			p.outage.Store(&now)
		}
		p.views.tick()
		p.judgeIsolation()
		view := p.holder.Get()
		known := map[string]bool{}
		for _, t := range view.Targets() {
			known[t.ID] = true
		}
		inUse := func(id string) bool { return known[id] }
		p.pool.Sweep(inUse)
		p.health.Retain(inUse)
	}
}

func (p *Process) judgeIsolation() {
	s := p.mesh.Status()
	isolated := !s.AnyPeerLive && s.KnownPeers > 0 && s.StoreAge > isolatedAfter
	if isolated != p.isolated.Load() {
		p.log.Warn("isolation changed", "isolated", isolated, "store_age", s.StoreAge, "peers_known", s.KnownPeers)
		p.isolated.Store(isolated)
	}
}

// stop ends the process gracefully: readiness ends first, new connections are
// taken until the balancer has noticed, and requests are served to their end.
func (p *Process) stop() {
	grace := p.settings.Load().Stop.Grace.Std() - stopReserve
	p.log.Info("stopping", "active", p.handler.Active(), "grace", grace)
	p.stopping.Store(true)
	p.handler.StartDrain()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	wait.For(ctx, min(acceptAfterStop, grace/2))
	if err := p.callers.Shutdown(ctx); err != nil {
		p.log.Warn("requests cut off at the end of the grace time", "active", p.handler.Active(), "error", err)
	}
	p.mesh.Leave()
	wait.For(ctx, 20*time.Millisecond)
	p.pool.Close()
	p.log.Info("stopped", "active", p.handler.Active())
}
