// Package entry builds the components of an entry process and runs them until
// graceful shutdown.
package entry

import (
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/admission"
	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/budget"
	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/claim"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/confsync"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/gateway"
	"github.com/oriolefront/oriolefront/internal/httpclient"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/load"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/operator"
	"github.com/oriolefront/oriolefront/internal/order"
	"github.com/oriolefront/oriolefront/internal/plain"
	"github.com/oriolefront/oriolefront/internal/quarantine"
	"github.com/oriolefront/oriolefront/internal/resume"
	"github.com/oriolefront/oriolefront/internal/scheduler"
	"github.com/oriolefront/oriolefront/internal/seat"
	"github.com/oriolefront/oriolefront/internal/settings"
	"github.com/oriolefront/oriolefront/internal/store/httpstore"
	"github.com/oriolefront/oriolefront/internal/sweep"
)

// Process is one entry process.
type Process struct {
	settings *settings.Settings
	log      *slog.Logger
	metrics  *metrics.Set
	config   *config.Holder
	clients  *clientCache

	store      *httpstore.Client
	linkClient *link.Client
	linkServer *link.Server
	members    *membership.View
	seats      *seat.Manager
	syncer     *confsync.Syncer

	ledger     *capacity.Ledger
	sweeper    *sweep.Sweeper
	collector  *load.Collector
	admission  *admission.Controller
	claims     *claim.Executor
	orders     *order.Manager
	gateway    *gateway.Gateway
	quarantine *quarantine.Detector

	limits         *clientLimits
	callerServer   *http.Server
	operatorServer *http.Server

	abort chan struct{}
}

// New builds a process from settings without starting it.
func New(s *settings.Settings, log *slog.Logger) (*Process, error) {
	p := &Process{
		settings: s,
		log:      log,
		metrics:  metrics.NewSet(),
		config:   &config.Holder{},
		clients:  newClientCache(),
		abort:    make(chan struct{}),
	}
	security, err := peerSecurity(s.Peers)
	if err != nil {
		return nil, err
	}
	p.linkClient = link.NewClient(security, log)
	if p.limits, err = newClientLimits(s.Limits); err != nil {
		return nil, err
	}
	p.linkServer = link.NewLimitedServer(security, log, p.limits.links)
	p.buildCoordination()
	if err := p.buildRequestPath(); err != nil {
		return nil, err
	}
	p.buildServers()
	p.registerMetrics()
	return p, nil
}

// buildCoordination builds the components through which the VMs coordinate: the
// store client, the membership, the seats and the configuration.
func (p *Process) buildCoordination() {
	s := p.settings
	p.store = httpstore.New(httpstore.Options{
		TableURL:   s.Platform.Table,
		ObjectsURL: s.Platform.Objects,
		VMsURL:     s.Platform.VMs,
		OnContact:  func() { p.members.RecordStoreContact() },
	})
	// The start number orders the instances of a VM at one address. VMs have no
	// disk, so it is taken from the wall clock.
	self := membership.Instance{Address: s.Listen.PeerAddress(), StartNumber: uint64(time.Now().UnixNano())}
	p.members = membership.New(membership.Options{
		Self:   self,
		Zone:   s.VM.Zone,
		Caller: p.linkClient,
		Lister: p.vmLister(),
		Log:    p.log,
	})
	p.members.SetConfigVersion(func() uint64 { return p.syncer.Head().Version })
	p.seats = seat.New(seat.Options{
		Table:      p.store.Table(),
		Membership: p.members,
		Caller:     p.linkClient,
		SeatCount:  p.configuredSeats,
		MaxSeats:   s.VM.MaxSeats,
		Log:        p.log,
	})
	p.syncer = confsync.New(confsync.Options{
		Table:     p.store.Table(),
		Objects:   p.store.Objects(),
		Holder:    p.config,
		Caller:    p.linkClient,
		HasQuorum: p.canSubmitPatches,
		Peers:     p.members.Peers,
		HeldSeats: p.seats.OccupiedSeats,
		Now:       p.members.Now,
		OnSynced:  p.members.RecordConfigSync,
		Log:       p.log,
		Metrics:   p.metrics,
	})
	p.members.Register(p.linkServer)
	p.seats.Register(p.linkServer)
	p.syncer.Register(p.linkServer)
	p.members.Attach(p.syncer.Attachment())
}

// buildRequestPath builds the components that handle requests.
func (p *Process) buildRequestPath() error {
	s := p.settings
	key, err := hex.DecodeString(s.Keys.Resume)
	if err != nil {
		return merry.Prepend(err, "keys.resume")
	}
	sealer, err := resume.NewSealer(key)
	if err != nil {
		return merry.Prepend(err, "keys.resume")
	}
	policy, err := scheduler.PolicyByName(s.Scheduler.Policy)
	if err != nil {
		return merry.Prepend(err, "scheduler.policy")
	}
	p.ledger = capacity.New(capacity.Options{
		Config: p.config, Seats: p.seats, Members: p.members, Caller: p.linkClient, Log: p.log,
	}, p.linkServer)
	p.members.Attach(p.ledger.Attachment())
	p.sweeper = sweep.New(sweep.Options{Ledger: p.ledger, Seats: p.seats, Client: p.clientOf, Log: p.log})
	p.collector = load.NewCollector(load.Options{
		Config: p.config, Clients: p.clients.get, Capacity: p.ledger, Zone: s.VM.Zone, Log: p.log,
	})
	p.admission = admission.NewController(admission.Options{
		Config: p.config, Clients: p.clients.get, Capacity: p.ledger, GroupReserver: p.ledger, Collector: p.collector,
		Connectivity: p.members.Connectivity, Seats: p.seatCounts, Policy: policy, Log: p.log,
		Metrics: p.metrics,
	})
	p.members.Attach(p.admission.Attachment())
	p.claims = claim.New(claim.Options{
		Table: p.store.Table(), Objects: p.store.Objects(), Holder: p.instanceName(), AuthorizeSend: p.checkMayStart, Log: p.log,
	})
	p.orders = order.New(order.Options{Table: p.store.Table(), Holder: p.instanceName(), CheckMayStart: p.checkMayStart, Log: p.log})
	p.quarantine = quarantine.New(p.log)
	p.members.Attach(p.quarantineAttachment())
	limits := gateway.DefaultLimits()
	limits.BodyBytes = s.Limits.BodyBytes
	limits.HeldBytes = s.Limits.HeldBytes
	limits.Bodies = budget.NewBytes(limits.HeldBytes)
	limits.Bodies.SetReclaim(p.limits.budget.CloseUpload)
	p.gateway = gateway.New(gateway.Options{
		Config:   p.config,
		Admitter: p.admission,
		Identity: identity{p},
		Clients:  p.clients.get,
		Plain: plain.New(plain.Options{
			Config: p.config, AccountFromContext: gateway.AccountFromContext, AuthorizeSend: p.checkMayStart, Claims: p.claims,
			Share: p.plainConcurrency, Log: p.log, Limits: limits,
		}),
		Sealer:     sealer,
		Log:        p.log,
		Limits:     limits,
		Metrics:    gateway.NewMetrics(p.metrics),
		Quarantine: p.quarantine,
	})
	return nil
}

func (p *Process) buildServers() {
	s := p.settings
	errorLog := slog.NewLogLogger(p.log.Handler(), slog.LevelDebug)
	p.callerServer = &http.Server{
		Handler:           p.callersHandler(),
		ReadHeaderTimeout: s.Limits.HeaderTimeout.Std(),
		ReadTimeout:       callerReadTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          errorLog,
	}
	hashes := map[string][]string{}
	for name, hash := range s.Keys.Operators {
		hashes[name] = []string{hash}
	}
	p.operatorServer = &http.Server{
		Handler: operator.Handler(operator.Options{
			Configuration: p.syncer,
			Current:       p.config.Current,
			Status:        p.status,
			Keys:          auth.NewKeys(hashes),
			Log:           p.log,
		}),
		ReadHeaderTimeout: s.Limits.HeaderTimeout.Std(),
		ReadTimeout:       operatorReadTimeout,
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          errorLog,
	}
}

const (
	idleTimeout         = 2 * time.Minute
	operatorReadTimeout = 30 * time.Second
)

// callersHandler returns the handler of the callers' interface, including /metrics.
func (p *Process) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.Handle("/", p.gateway.Handler())
	return mux
}

// Config returns the active configuration, or nil before the first.
func (p *Process) Config() *config.Config { return p.config.Current() }

// LinkStats returns the counts of messages and bytes between this VM and others.
func (p *Process) LinkStats() link.Stats { return p.linkClient.Stats().Add(p.linkServer.Stats()) }

// StoreStats returns the counts of calls to the platform's services.
func (p *Process) StoreStats() httpstore.Stats { return p.store.Stats() }

// instanceName identifies this instance of the VM in rows of the store.
func (p *Process) instanceName() string {
	self := p.members.Self()
	return fmt.Sprintf("%s#%d", self.Address, self.StartNumber)
}

// configuredSeats returns the number of seats in the configuration, or 0 before the
// first patch, because that patch may set the number.
func (p *Process) configuredSeats() int {
	cfg := p.config.Current()
	if cfg == nil || cfg.Version == 0 {
		return 0
	}
	return cfg.Seats
}

// canSubmitPatches reports whether this VM may accept patches. The first patch needs
// no quorum: nothing is declared before it, so no VM can be using an older version.
func (p *Process) canSubmitPatches() bool {
	return p.syncer.Head().Version == 0 || p.members.Quorum()
}

// seatCounts returns the numbers of seats held by this VM and by all VMs.
func (p *Process) seatCounts() (own, held int) {
	return len(p.seats.Seats()), p.seats.OccupiedSeats()
}

// plainConcurrency returns this VM's share of the concurrency limit of a plain
// target, which is proportional to its seats.
func (p *Process) plainConcurrency(_ string, maxRunning int) int {
	seats := max(1, p.configuredSeats())
	return max(1, maxRunning*len(p.seats.Seats())/seats)
}

// identity provides the identity of this VM for attempt IDs.
type identity struct{ p *Process }

// errTargetsNotMonitored keeps a starting VM from being ready between the arrival of
// its configuration and the first snapshot of the targets.
var errTargetsNotMonitored = errors.New("the declared targets are not followed yet; try again, or another VM")

// AttemptPrefix implements gateway.Identity.
func (i identity) AttemptPrefix() (string, error) {
	if err := i.p.syncer.Ready(); err != nil {
		return "", err
	}
	if !i.p.collector.HasDeclaredTargets() {
		return "", errTargetsNotMonitored
	}
	return i.p.seats.AttemptPrefix()
}

// clientOf returns the client of a target, or nil if the target is not declared.
func (p *Process) clientOf(target string) engine.Client {
	cfg := p.config.Current()
	if cfg == nil {
		return nil
	}
	t, ok := cfg.Targets[target]
	if !ok {
		return nil
	}
	return p.clients.get(t.Address)
}

// sendsCommandsTo reports whether this VM holds the first occupied seat in the
// target's seat order. This only avoids write conflicts in the store; commands are
// made safe by the order lease.
func (p *Process) sendsCommandsTo(target string) bool {
	f, ok := p.ledger.MonitoredTarget(target)
	if !ok {
		return false
	}
	for _, index := range f.SeatOrder {
		if address, _, ok := p.seats.HolderOf(index); ok {
			return address == p.members.Self().Address
		}
	}
	return false
}

// UsesWarmShare reports whether this VM may use its warm share of an engine, that is,
// whether more than half of a full share is available.
func (p *Process) UsesWarmShare(target string) bool {
	cfg := p.config.Current()
	t := cfg.Targets[target]
	available := p.ledger.Available(target)
	return available.Tokens*cfg.SharesPerTarget > t.KVTokens/2 && available.Slots*cfg.SharesPerTarget > t.MaxRunning/2
}

// Available returns the capacity of an engine that is available to this VM.
func (p *Process) Available(target string) capacity.Resources { return p.ledger.Available(target) }

// checkMayStart returns an error while this VM may not start new requests.
func (p *Process) checkMayStart() error {
	_, err := identity{p}.AttemptPrefix()
	return err
}

func peerSecurity(s settings.Peers) (link.Security, error) {
	if s.Plaintext {
		return link.Plaintext(), nil
	}
	security, err := link.LoadMutualTLS(s.Certificate, s.PrivateKey, s.Authority)
	return security, merry.Prepend(err, "peers")
}

// clientCache keeps one engine client per address.
type clientCache struct {
	transport *httpclient.Transport
	byAddress sync.Map // string to engine.Client
}

func newClientCache() *clientCache { return &clientCache{transport: engine.NewTransport()} }

func (c *clientCache) get(address string) engine.Client {
	if client, ok := c.byAddress.Load(address); ok {
		return client.(engine.Client)
	}
	client, _ := c.byAddress.LoadOrStore(address, engine.NewHTTPClient(address, c.transport))
	return client.(engine.Client)
}
