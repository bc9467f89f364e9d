// Package connlimit bounds what the clients of the HTTP listeners of a process can occupy:
// connections, and the memory of connections and of request heads. Each listener has a Guard,
// which accepts a limited number of connections. Its connections withhold the bytes of a head from
// net/http until the head is complete, so that an incomplete one costs its bytes and not the maps
// and strings of the parser. All guards of a process charge the memory to one Budget. If something
// is used up, the connection that has gone longest without a whole request is closed, never one
// with a request in service. See docs/design/client-limits.md.
package connlimit

import (
	"log/slog"
	"sync"
	"time"
)

// Memory that is charged, in bytes. The figures are from docs/design/client-limits.md.
const (
	// connectionBytes is charged for each open connection: its goroutine, the buffers of net/http
	// and the objects of both.
	connectionBytes = 16 << 10
	// requestBytes is charged for each request in service in addition to its head.
	requestBytes = 16 << 10
	// fieldBytes is charged for each field of a head in service: its entry in the parsed header
	// and in the copy that is forwarded.
	fieldBytes = 384
)

// headCost is the memory that a parsed head occupies until its request ends.
func headCost(bytes, fields int) int64 {
	return requestBytes + 2*int64(bytes) + fieldBytes*int64(fields)
}

// Budget is the memory that the connections and request heads of a process may occupy.
type Budget struct {
	mu     sync.Mutex
	free   int64
	guards []*Guard
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget { return &Budget{free: size} }

// Free returns the number of bytes that are not charged.
func (b *Budget) Free() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free
}

// minWait is how long a connection is safe from being closed for the memory of another one. A
// caller whose head is on its way needs less, so that a crowd of large heads is refused instead of
// taking the connections of callers that have just come.
const minWait = time.Second

// acquire charges n bytes to a connection. If too few are free, it closes other connections.
// b.mu must be held.
func (b *Budget) acquire(c *conn, n int64, now time.Time) bool {
	for b.free < n {
		victim := b.oldest(now)
		if victim == nil || victim == c || now.Sub(victim.since) < minWait {
			return false
		}
		victim.evict(reasonMemory)
	}
	b.free -= n
	c.charge += n
	return true
}

// oldest returns the connection of all guards that is to be closed first, or nil.
func (b *Budget) oldest(now time.Time) *conn {
	var found *conn
	for _, g := range b.guards {
		if c := g.waiting.first; c != nil && (found == nil || c.since.Before(found.since)) {
			found = c
		}
		if c := g.idle.first; c != nil && now.Sub(c.since) >= g.options.protectedIdle() && (found == nil || c.since.Before(found.since)) {
			found = c
		}
	}
	if found != nil {
		return found
	}
	for _, g := range b.guards {
		if c := g.idle.first; c != nil && (found == nil || c.since.Before(found.since)) {
			found = c
		}
	}
	return found
}

// CloseUpload closes the connection that has waited longest for the rest of a body of which a part
// is held, to free memory for other bodies. It reports whether there was one that has waited for
// minWait. It looks at all connections that wait, but is called only when the memory for bodies is
// used up.
func (b *Budget) CloseUpload() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found *conn
	for _, g := range b.guards {
		for c := g.waiting.first; c != nil && (found == nil || c.since.Before(found.since)); c = c.next {
			if c.upload.Load() && !c.discarding.Load() {
				found = c
				break
			}
		}
	}
	if found == nil || time.Since(found.since) < minWait {
		return false
	}
	found.evict(reasonBodies)
	return true
}

// reason says why a connection was closed or a request refused.
type reason string

// Reasons, as in metrics and in the log.
const (
	reasonConnections reason = "connections"
	reasonRequests    reason = "requests"
	reasonMemory      reason = "memory"
	reasonBodies      reason = "bodies"
	reasonHeadBytes   reason = "head_bytes"
	reasonHeadFields  reason = "head_fields"
)

// Reasons returns all reasons that are passed to Options.Count.
func Reasons() []string {
	return []string{string(reasonConnections), string(reasonRequests), string(reasonMemory), string(reasonBodies), string(reasonHeadBytes), string(reasonHeadFields)}
}

// logInterval is the least time between two log lines of a guard.
const logInterval = 5 * time.Second

// report counts what was closed or refused, and logs the counts since the last line.
// g.budget.mu must be held.
func (g *Guard) report(r reason) {
	if g.options.Count != nil {
		g.options.Count(string(r))
	}
	g.unreported[r]++
	now := time.Now()
	if g.options.Log == nil || !g.reported.IsZero() && now.Sub(g.reported) < logInterval {
		return
	}
	g.reported = now
	args := []any{slog.String("listener", g.options.Name), slog.Int("open", g.open), slog.Int("serving", g.serving), slog.Int64("memory_free", g.budget.free)}
	for r, n := range g.unreported {
		args = append(args, slog.Int(string(r), n))
	}
	clear(g.unreported)
	// The output of the log may block.
	go g.options.Log.Warn("clients beyond the limits were closed or refused", args...)
}
