package process

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/connlimit"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/vmsettings"
)

const (
	// idleReuse is the part of the idle timeout of the configuration within which callers may
	// use a connection again.
	idleReuse = 0.8
	// readTimeout bounds the time to read a request that its handler doesn't read itself.
	readTimeout = 30 * time.Second
	// linkShare of the memory limit is for messages from other VMs that are received and handled.
	linkShare = 8
	mb        = 1 << 20
)

// clientLimits are the limits of what clients of the process occupy.
type clientLimits struct {
	budget *connlimit.Budget
	shares connlimit.Shares
	links  link.Limits
}

// newClientLimits derives the limits from the settings and the descriptor limit of the process.
func newClientLimits(s *vmsettings.Settings) (*clientLimits, error) {
	descriptors, err := connlimit.Descriptors()
	if err != nil {
		return nil, err
	}
	shares := connlimit.Divide(descriptors)
	if n := s.Clients.Connections; n > 0 {
		most := shares.MaxCallers(descriptors)
		if n > most {
			return nil, fmt.Errorf("clients.connections: found %d, allowed: at most %d with a descriptor limit of %d", n, most, descriptors)
		}
		shares.Callers = n
	}
	return &clientLimits{
		budget: connlimit.NewBudget(int64(s.Clients.MemoryMB) * mb),
		shares: shares,
		links:  link.Limits{Connections: shares.Links, FrameBytes: max(int64(s.Memory.LimitMB)*mb/linkShare, link.MinFrameBytes)},
	}, nil
}

// protect puts a guard between a listener and the server that serves it.
func (p *Process) protect(s *http.Server, l net.Listener, name string, connections, requests int) net.Listener {
	g := p.clients.budget.NewGuard(connlimit.Options{
		Name: name, Connections: connections, Requests: requests, HeadBytes: s.MaxHeaderBytes, HeadFields: connlimit.MaxHeadFields,
		HeaderTimeout: s.ReadHeaderTimeout, ProtectedIdle: p.protectedIdle, Log: p.log, Count: clientCounter(p.metrics, name),
	})
	p.metrics.NewGauge(fmt.Sprintf("oriole_client_connections{listener=%q}", name), func() float64 { return float64(g.Open()) })
	return g.Protect(s, l)
}

// clientCounter returns a function that counts closed connections and refused requests by reason.
func clientCounter(set *metrics.Set, listener string) func(string) {
	counters := map[string]*metrics.Counter{}
	for _, reason := range connlimit.Reasons() {
		counters[reason] = set.NewCounter(fmt.Sprintf("oriole_clients_rejected_total{listener=%q,reason=%q}", listener, reason))
	}
	return func(reason string) { counters[reason].Inc() }
}

// protectedIdle returns how long callers may expect to use an idle connection again.
func (p *Process) protectedIdle() time.Duration {
	timeout := idleTimeout
	if c := p.viewHolder.Get().Config; c != nil && c.Limits.IdleTimeout > 0 {
		timeout = min(timeout, c.Limits.IdleTimeout)
	}
	return time.Duration(idleReuse * float64(timeout))
}

// newServer returns a server with the timeouts that all listeners have.
func newServer(h http.Handler, headBytes int, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headBytes, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}
