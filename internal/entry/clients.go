package entry

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/connlimit"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/settings"
)

const (
	// protectedIdle is how long callers may expect to use an idle connection again.
	protectedIdle = idleTimeout * 4 / 5
	// callerReadTimeout bounds the time to read a request that its handler doesn't read itself.
	callerReadTimeout = 30 * time.Second
	// linkShare of the memory limit is for messages from other VMs that are received and handled.
	linkShare = 8
)

// clientLimits are the limits of what clients of the process occupy.
type clientLimits struct {
	budget *connlimit.Budget
	shares connlimit.Shares
	links  link.Limits
}

// newClientLimits derives the limits from the settings and the descriptor limit of the process.
func newClientLimits(l settings.Limits) (*clientLimits, error) {
	descriptors, err := connlimit.Descriptors()
	if err != nil {
		return nil, err
	}
	shares := connlimit.Divide(descriptors)
	if l.Connections > 0 {
		most := shares.MaxCallers(descriptors)
		if l.Connections > most {
			return nil, fmt.Errorf("limits.connections: found %d, allowed: at most %d with a descriptor limit of %d", l.Connections, most, descriptors)
		}
		shares.Callers = l.Connections
	}
	return &clientLimits{
		budget: connlimit.NewBudget(l.ClientBytes),
		shares: shares,
		links:  link.Limits{Connections: shares.Links, FrameBytes: max(int64(l.MemoryMB)<<20/linkShare, link.MinFrameBytes)},
	}, nil
}

// protect puts a guard between a listener and the server that serves it.
func (p *Process) protect(s *http.Server, l net.Listener, name string, connections, requests int) net.Listener {
	g := p.limits.budget.NewGuard(connlimit.Options{
		Name: name, Connections: connections, Requests: requests, HeadBytes: s.MaxHeaderBytes, HeadFields: connlimit.MaxHeadFields,
		HeaderTimeout: s.ReadHeaderTimeout, ProtectedIdle: func() time.Duration { return protectedIdle }, Log: p.log,
		Count: p.clientCounter(name),
	})
	gauge(p, fmt.Sprintf("client_connections{listener=%q}", name), g.Open)
	return g.Protect(s, l)
}

// clientCounter returns a function that counts closed connections and refused requests by reason.
func (p *Process) clientCounter(listener string) func(string) {
	counters := map[string]*metrics.Counter{}
	for _, reason := range connlimit.Reasons() {
		counters[reason] = p.metrics.NewCounter(fmt.Sprintf("oriolefront_clients_rejected_total{listener=%q,reason=%q}", listener, reason))
	}
	return func(reason string) { counters[reason].Inc() }
}
