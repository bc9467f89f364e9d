// Package faultproxy provides a TCP proxy that injects network faults in tests and
// experiments.
package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/tcp"
)

// Mode determines how the proxy handles connections and data.
type Mode int

const (
	// Forward forwards both directions.
	Forward Mode = iota
	// Disconnect resets all connections and closes new ones at once.
	Disconnect
	// Stall keeps connections open and forwards nothing until the mode changes.
	Stall
	// DropResponses forwards data from clients and discards data from the server. Clients
	// are not told either that the server has closed a connection, as on a link that loses
	// all packets in one direction.
	DropResponses
)

// Proxy forwards connections to one target address.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	mode    Mode
	delay   time.Duration
	conns   map[net.Conn]struct{}
	closed  bool
}

// Start returns a running proxy that listens on a free loopback port.
func Start(target string) (*Proxy, error) {
	listener, err := tcp.ListenReserved()
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode and the delay added to each chunk of data.
func (p *Proxy) SetMode(mode Mode, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.delay = delay
	if mode == Disconnect {
		p.resetConnectionsLocked()
	}
	p.changed.Broadcast()
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	p.resetConnectionsLocked()
	p.changed.Broadcast()
	p.mu.Unlock()
	return p.listener.Close()
}

func (p *Proxy) resetConnectionsLocked() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0) // send a reset, as from a host that has failed
		}
		c.Close()
		delete(p.conns, c)
	}
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client)
	}
}

// track registers a connection, or reports false when it must be closed.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == Disconnect {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) untrack(c net.Conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) serve(client net.Conn) {
	if !p.track(client) {
		client.Close()
		return
	}
	defer p.untrack(client)
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	if !p.track(server) {
		server.Close()
		return
	}
	defer p.untrack(server)
	done := make(chan struct{}, 2)
	go func() {
		p.copy(server, client, false)
		done <- struct{}{}
	}()
	go func() {
		p.copy(client, server, true)
		done <- struct{}{}
	}()
	<-done
}

const copyBufferBytes = 32 << 10

func (p *Proxy) copy(dst, src net.Conn, responses bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buffer)
		forward, ok := p.applyFaults(responses)
		if !ok {
			return
		}
		if n > 0 && forward {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, isTCP := dst.(*net.TCPConn); isTCP && forward {
				tcp.CloseWrite()
			}
			p.holdWhileDropping(responses)
			return
		}
		if err != nil {
			return
		}
	}
}

// holdWhileDropping blocks while the mode is DropResponses, if the data are responses.
func (p *Proxy) holdWhileDropping(responses bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for responses && p.mode == DropResponses && !p.closed {
		p.changed.Wait()
	}
}

// applyFaults applies the delay and blocks while the mode is Stall. It reports
// whether to forward the data and whether the connection stays open.
func (p *Proxy) applyFaults(responses bool) (forward, open bool) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.mode == Stall && !p.closed {
		p.changed.Wait()
	}
	if p.closed || p.mode == Disconnect {
		return false, false
	}
	return p.mode != DropResponses || !responses, true
}
