package connlimit

import (
	"log/slog"
	"net"
	"net/http"
	"time"
)

// Options configure the guard of a listener.
type Options struct {
	// Name identifies the listener in the log.
	Name string
	// Connections is the largest number of open connections.
	Connections int
	// Requests is the largest number of requests in service, without those whose bodies are on
	// their way. 0 means no limit.
	Requests int
	// HeadBytes and HeadFields bound a request head. More is refused with 431.
	HeadBytes, HeadFields int
	// HeaderTimeout is the time from the first byte of a head to its last, the same as in
	// http.Server.
	HeaderTimeout time.Duration
	// ProtectedIdle returns how long an idle connection on which a request was served is kept as
	// long as another one can be closed. A nil function means no protection.
	ProtectedIdle func() time.Duration
	Log           *slog.Logger
	// Count counts a closed connection or a refused request by its reason. It may be nil and must
	// not block.
	Count func(reason string)
}

func (o *Options) protectedIdle() time.Duration {
	if o.ProtectedIdle == nil {
		return 0
	}
	return o.ProtectedIdle()
}

// Guard limits the clients of one listener.
type Guard struct {
	options Options
	budget  *Budget

	// The fields below are guarded by budget.mu. waiting holds the connections that wait for their
	// first request or for the rest of a head or of a body, idle those that wait for another request.
	waiting, idle list
	open, serving int
	unreported    map[reason]int
	reported      time.Time
}

// NewGuard returns the guard of a listener.
func (b *Budget) NewGuard(o Options) *Guard {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := &Guard{options: o, budget: b, unreported: map[reason]int{}}
	b.guards = append(b.guards, g)
	return g
}

// Open returns the number of open connections.
func (g *Guard) Open() int {
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	return g.open
}

// Protect makes a server take its connections from the returned listener, which accepts those of l
// within the limits. l must accept TCP connections.
func (g *Guard) Protect(s *http.Server, l net.Listener) net.Listener {
	s.ConnState = g.connState
	return &listener{Listener: l, guard: g}
}

// connState is the hook of a server. A connection that becomes idle has ended its request.
func (g *Guard) connState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.endRequest()
	}
}

// listener accepts connections within the limits of its guard.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		if c := l.guard.admit(tcp); c != nil {
			return c, nil
		}
		refuseAtAccept(tcp)
	}
}

// admit returns the guarded connection, or nil if there is no room for it.
func (g *Guard) admit(tcp *net.TCPConn) *conn {
	c := &conn{TCPConn: tcp, guard: g}
	c.framer.reset()
	now := time.Now()
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	for g.open >= g.options.Connections {
		victim := g.oldest(now)
		if victim == nil {
			g.report(reasonConnections)
			return nil
		}
		victim.evict(reasonConnections)
	}
	if !g.budget.acquire(c, connectionBytes, now) {
		g.report(reasonMemory)
		return nil
	}
	g.open++
	g.waiting.add(c, now)
	return c
}

// oldest returns the connection of the guard that is to be closed first, or nil.
func (g *Guard) oldest(now time.Time) *conn {
	waiting, idle := g.waiting.first, g.idle.first
	switch {
	case waiting == nil || idle == nil:
		if waiting != nil {
			return waiting
		}
		return idle
	case now.Sub(idle.since) >= g.options.protectedIdle() && idle.since.Before(waiting.since):
		return idle
	}
	return waiting
}
