// Package entry wires the parts of an entry process together and runs them
// from start to graceful shutdown.
package entry

import (
	"context"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/admission"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/gateway"
	"github.com/oriolefront/oriolefront/internal/load"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/resume"
	"github.com/oriolefront/oriolefront/internal/scheduler"
	"github.com/oriolefront/oriolefront/internal/settings"
)

// socketWriteBuffer bounds what the kernel holds for a caller that reads
// slowly.
const socketWriteBuffer = 16 << 10

// Process is one entry process.
type Process struct {
	settings  *settings.Settings
	log       *slog.Logger
	holder    *config.Holder
	collector *load.Collector
	admission *admission.Controller
	gateway   *gateway.Gateway
	set       *metrics.Set
	server    *http.Server
}

// New builds a process from settings; nothing is started.
func New(s *settings.Settings, log *slog.Logger) (*Process, error) {
	key, err := hex.DecodeString(s.Keys.Resume)
	if err != nil {
		return nil, merry.Prepend(err, "keys.resume")
	}
	sealer, err := resume.NewSealer(key)
	if err != nil {
		return nil, merry.Prepend(err, "keys.resume")
	}
	p := &Process{settings: s, log: log, holder: &config.Holder{}, set: metrics.NewSet()}
	if err := p.loadDeclarations(); err != nil {
		return nil, err
	}
	clients := newClients()
	room := newDeclaredCapacity(p.holder)
	p.collector = load.NewCollector(load.Options{
		Config: p.holder, Clients: clients.get, Capacity: room, Zone: s.VM.Zone, Log: log,
	})
	p.admission = admission.NewController(admission.Options{
		Config: p.holder, Clients: clients.get, Capacity: room, Collector: p.collector,
		Verdict: func() membership.Verdict { return membership.Connected },
		Policy:  scheduler.DefaultPolicy(), Log: log,
	})
	limits := gateway.DefaultLimits()
	limits.BodyBytes = s.Limits.BodyBytes
	limits.HeldBytes = s.Limits.HeldBytes
	p.gateway = gateway.New(gateway.Options{
		Config:   p.holder,
		Admitter: p.admission,
		Identity: fixedIdentity(fmt.Sprintf("0.%d", time.Now().UnixNano())),
		Clients:  clients.get,
		Sealer:   sealer,
		Log:      log,
		Limits:   limits,
		Metrics:  gateway.NewMetrics(p.set),
	})
	p.server = &http.Server{
		Handler:           p.handler(),
		ReadHeaderTimeout: s.Limits.HeaderTimeout.Std(),
		MaxHeaderBytes:    s.Limits.HeaderBytes,
		IdleTimeout:       2 * time.Minute,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	return p, nil
}

func (p *Process) loadDeclarations() error {
	text, err := os.ReadFile(p.settings.Declarations)
	if err != nil {
		return merry.Prepend(err, "read declarations")
	}
	cfg, err := config.Parse(string(text))
	if err != nil {
		return merry.Prepend(err, p.settings.Declarations)
	}
	cfg.Version = 1
	p.holder.Raise(cfg)
	return nil
}

type fixedIdentity string

func (f fixedIdentity) AttemptPrefix() (string, error) { return string(f), nil }

// handler adds metrics to the callers' interface.
func (p *Process) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.Handle("/", p.gateway.Handler())
	return mux
}

// Run serves until ctx ends and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	listenConfig := net.ListenConfig{Control: limitWriteBuffer}
	listener, err := listenConfig.Listen(ctx, "tcp", p.settings.Listen.Callers)
	if err != nil {
		return merry.Prepend(err, "listen.callers")
	}
	p.log.Info("serving callers", "address", listener.Addr().String(), "zone", p.settings.VM.Zone)
	stop := p.background()
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- p.server.Serve(listener) }()
	select {
	case err := <-failed:
		return merry.Prepend(err, "serve callers")
	case <-ctx.Done():
	}
	return p.shutdown()
}

// background runs what admits requests. It ends after the shutdown, because
// requests that wait are still served during it.
func (p *Process) background() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.collector.Run(ctx) })
	running.Go(func() { p.admission.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// shutdown stops readiness first, leaves the balancer time to notice, and
// then waits for all requests and cancellations.
func (p *Process) shutdown() error {
	p.log.Info("graceful shutdown begins", "drain_delay", p.settings.Limits.DrainDelay.Std())
	p.gateway.StartDrain()
	time.Sleep(p.settings.Limits.DrainDelay.Std())
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Limits.DrainTimeout.Std())
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		return merry.Prepend(err, "graceful shutdown was not complete in time")
	}
	if err := p.gateway.Wait(ctx); err != nil {
		return merry.Prepend(err, "cancellations were not confirmed in time")
	}
	p.log.Info("graceful shutdown complete")
	return nil
}

// limitWriteBuffer sets the send buffer of accepted connections, which
// inherit it from the listener.
func limitWriteBuffer(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketWriteBuffer)
	})
	if err != nil {
		return err
	}
	return sockErr
}

// clients keeps one engine client for each address.
type clients struct {
	transport *http.Transport
	byAddress sync.Map // string to engine.Client
}

func newClients() *clients { return &clients{transport: engine.NewTransport()} }

func (c *clients) get(address string) engine.Client {
	if client, ok := c.byAddress.Load(address); ok {
		return client.(engine.Client)
	}
	client, _ := c.byAddress.LoadOrStore(address, engine.NewHTTPClient(address, c.transport))
	return client.(engine.Client)
}
