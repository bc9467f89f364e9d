package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// LimitIdle bounds the idle connections to all targets together. It must be called before the pool
// is used.
func (p *Pool) LimitIdle(n int) { p.limit = n }

func (p *Pool) keepIdle(c *conn, h http.Header) {
	keep := idleTimeout
	if announced, ok := keepAliveTimeout(h); ok {
		keep = min(keep, announced-idleMargin)
	}
	if keep <= 0 {
		c.Close()
		return
	}
	c.idleUntil = time.Now().Add(keep)
	p.addIdle(c)
}

func (p *Pool) addIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.key]) >= maxIdle || p.limit > 0 && p.kept >= p.limit {
		c.Close()
		return
	}
	p.kept++
	p.idle[c.key] = append(p.idle[c.key], c)
}

// takeIdle returns the most recently used idle connection that is still healthy, or nil. It
// closes those to an earlier address of the target, and those whose latest request had the same
// id: a second copy of its response could not be told from the response to this one.
func (p *Pool) takeIdle(key, address, id string) *conn {
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[key] = list[:len(list)-1]
		p.kept--
		p.mu.Unlock()
		if c.address == address && c.lastID != id && time.Now().Before(c.idleUntil) && c.checkIdle() == nil {
			return c
		}
		c.Close()
	}
}

// CloseIdle closes the idle connections to a target.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		c.Close()
	}
	p.kept -= len(p.idle[key])
	delete(p.idle, key)
}

// Sweep closes idle connections that have expired or whose target is not in use any more.
func (p *Pool) Sweep(inUse func(key string) bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) && inUse(key) {
				kept = append(kept, c)
			} else {
				c.Close()
				p.kept--
			}
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.Sweep(func(string) bool { return false })
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
}

// keepAliveTimeout returns the timeout that a Keep-Alive header announces.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			n, err := strconv.Atoi(seconds)
			return time.Duration(n) * time.Second, err == nil
		}
	}
	return 0, false
}
