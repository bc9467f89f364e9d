// Package peers connects the entry VMs: heartbeats by datagram carry what each
// VM has in flight and how far its copies of the store's tables reach; a VM that
// hears of newer changes fetches them over a link.
package peers

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/replica"
)

// Times of the mesh.
const (
	// minInterval is the time between heartbeats of a small fleet; perPeer is
	// added for each other VM, so that the cost of a VM grows slowly.
	minInterval = 250 * time.Millisecond
	perPeer     = 5 * time.Millisecond
	// wholeInterval is the time between heartbeats with all jobs, and so the
	// longest time for which a lost one matters.
	wholeInterval = time.Second
	// coalesce gathers changes that come together into one heartbeat.
	coalesce = time.Millisecond
	// lostAfter is the silence after which a VM counts as lost and its jobs as
	// ended.
	lostAfter = 2 * time.Second
	// forgetAfter is the silence after which a VM is not sent to any more.
	forgetAfter = 5 * time.Minute
	maxDatagram = 60 << 10
)

// Self describes this VM.
type Self struct {
	Name             string
	Zone             string
	HeartbeatAddress string
	LinkAddress      string
}

// Mesh is this VM's side of the connections to the others.
type Mesh struct {
	self    Self
	log     *slog.Logger
	board   *inflight.Registry
	copies  map[string]*replica.Replica
	merge   func(replica.Delta)
	refresh func(ctx context.Context, table string) error
	contact func() time.Time // last answer of the store
	lost    func() bool      // whether the last call of the store failed
	doubts  TargetReachability

	conn    *net.UDPConn
	client  *link.Client
	server  *link.Server
	started uint64
	wake    chan struct{}
	// changed is true when the status is to be sent with the next heartbeat.
	changed atomic.Bool
	// whole is true when the next heartbeat is to hold all jobs; wholeAt is when
	// one last did.
	whole   atomic.Bool
	wholeAt time.Time
	leaving atomic.Bool

	mu       sync.Mutex
	peers    map[string]*peer // by datagram address
	sequence uint64
	fetching map[string]bool // by table
}

// peer is what is known of another VM.
type peer struct {
	datagrams *net.UDPAddr
	last      status
	started   uint64
	sequence  uint64
	heardAt   time.Time // zero when never heard
	statusAt  time.Time // when last was told
	addedAt   time.Time
	lost      bool
	// earlier is the start before the last one heard; its late datagrams are
	// ignored.
	earlier uint64
}

// TargetReachability keeps which targets cannot be reached.
type TargetReachability interface {
	// UnreachableTargets returns the targets that this VM cannot reach.
	UnreachableTargets() []string
	// MarkSuspect takes those that another VM cannot reach.
	MarkSuspect(targets []string)
}

// Options are the parts that a Mesh works with.
type Options struct {
	Self     Self
	Log      *slog.Logger
	Registry *inflight.Registry
	Copies   []*replica.Replica
	// Merge takes changes that another VM has sent.
	Merge func(replica.Delta)
	// Refresh reads the changes of a table from the store.
	Refresh func(ctx context.Context, table string) error
	// LastStoreContact returns when the store last answered this VM.
	LastStoreContact func() time.Time
	// StoreUnreachable reports whether the store failed to answer this VM's last call.
	StoreUnreachable func() bool
	Reachability     TargetReachability
}

// New opens the mesh's sockets.
func New(o Options) (*Mesh, error) {
	address, err := net.ResolveUDPAddr("udp4", o.Self.HeartbeatAddress)
	if err != nil {
		return nil, fmt.Errorf("datagram address %q: %w", o.Self.HeartbeatAddress, err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fmt.Errorf("listen for heartbeats: %w", err)
	}
	m := &Mesh{
		self: o.Self, log: o.Log, board: o.Registry, merge: o.Merge, refresh: o.Refresh, contact: o.LastStoreContact, lost: o.StoreUnreachable, doubts: o.Reachability,
		copies: map[string]*replica.Replica{}, conn: conn, started: rand.Uint64(),
		client: link.NewClient(link.PrivateNetwork(), o.Log), server: link.NewServer(link.PrivateNetwork(), o.Log),
		wake: make(chan struct{}, 1), peers: map[string]*peer{}, fetching: map[string]bool{},
	}
	for _, c := range o.Copies {
		m.copies[c.Table()] = c
	}
	m.server.Handle(kindChanges, m.changes)
	if _, err := m.server.Listen(o.Self.LinkAddress); err != nil {
		conn.Close()
		return nil, fmt.Errorf("listen for links: %w", err)
	}
	return m, nil
}

// Close closes the sockets.
func (m *Mesh) Close() {
	m.conn.Close()
	m.client.Close()
	m.server.Close()
}

// AddPeer makes a VM known by its datagram address.
func (m *Mesh) AddPeer(address string) {
	if address == m.self.HeartbeatAddress {
		return
	}
	parsed, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		m.log.Warn("peer ignored: its address cannot be read", "address", address, "error", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[address] == nil {
		m.peers[address] = &peer{datagrams: parsed, addedAt: time.Now()}
	}
}

// ScheduleHeartbeat sends a heartbeat soon.
func (m *Mesh) ScheduleHeartbeat() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// ScheduleStatusHeartbeat sends a heartbeat with the whole status soon.
func (m *Mesh) ScheduleStatusHeartbeat() {
	m.changed.Store(true)
	m.ScheduleHeartbeat()
}

// Leave tells the others that this VM stops.
func (m *Mesh) Leave() {
	m.leaving.Store(true)
	m.ScheduleStatusHeartbeat()
}

// Run sends and receives heartbeats until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.receive(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			time.Sleep(coalesce)
		case <-timer.C:
			m.changed.Store(true)
			timer.Reset(m.interval())
		}
		m.expire()
		m.broadcast()
	}
}

func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return minInterval + time.Duration(len(m.peers))*perPeer
}

// broadcast sends one heartbeat to every VM known.
func (m *Mesh) broadcast() {
	data, err := m.encode()
	if err != nil {
		m.log.Error("heartbeat not sent", "error", err)
		return
	}
	m.mu.Lock()
	addresses := make([]*net.UDPAddr, 0, len(m.peers))
	for _, p := range m.peers {
		addresses = append(addresses, p.datagrams)
	}
	m.mu.Unlock()
	for _, a := range addresses {
		if _, err := m.conn.WriteToUDP(data, a); err != nil {
			m.log.Debug("heartbeat not sent", "peer", a.String(), "error", err)
		}
	}
}

func (m *Mesh) encode() ([]byte, error) {
	select {
	case <-m.wake:
	default:
	}
	m.mu.Lock()
	m.sequence++
	h := heartbeat{Started: m.started, Sequence: m.sequence}
	m.mu.Unlock()
	if m.whole.Swap(false) || time.Since(m.wholeAt) >= wholeInterval {
		m.wholeAt = time.Now()
		h.Whole, h.Jobs = true, encodeJobs(m.board.FullReport())
	} else {
		changed, gone := m.board.DeltaReport()
		h.Jobs, h.Gone = encodeJobs(changed), gone
	}
	h.Unreachable = m.doubts.UnreachableTargets()
	if m.changed.Swap(false) {
		h.Status = m.status()
	}
	data, err := msgpack.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	if len(data) > maxDatagram {
		return nil, fmt.Errorf("heartbeat has %d bytes, more than the limit of %d", len(data), maxDatagram)
	}
	return data, nil
}

func (m *Mesh) status() *status {
	s := &status{
		From: m.self.Name, Zone: m.self.Zone, Datagrams: m.self.HeartbeatAddress, Links: m.self.LinkAddress,
		Leaving: m.leaving.Load(), StoreAgeMs: unknownAge.Milliseconds(), StoreLost: m.lost(), Positions: map[string]uint64{},
	}
	if at := m.contact(); !at.IsZero() {
		s.StoreAgeMs = time.Since(at).Milliseconds()
	}
	for table, c := range m.copies {
		s.Positions[table] = c.Position()
	}
	return s
}

// unknownAge stands for the age of a contact with the store that never was.
const unknownAge = 365 * 24 * time.Hour

func (m *Mesh) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, from, err := m.conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				m.log.Warn("heartbeat not received", "error", err)
				time.Sleep(coalesce)
			}
			continue
		}
		var h heartbeat
		if err := msgpack.Unmarshal(buffer[:n], &h); err != nil {
			m.log.Warn("heartbeat ignored: it cannot be decoded", "bytes", n, "error", err)
			continue
		}
		m.accept(ctx, from.String(), h)
	}
}

// accept takes a heartbeat that came from an address, unless it is older than one
// that was taken. The first of a start must tell the status.
func (m *Mesh) accept(ctx context.Context, from string, h heartbeat) {
	if h.Started == m.started {
		return
	}
	if h.Status != nil {
		m.AddPeer(from)
	}
	m.mu.Lock()
	p := m.peers[from]
	if p == nil || h.Started == p.earlier || h.Started == p.started && h.Sequence <= p.sequence {
		m.mu.Unlock()
		return
	}
	restarted := h.Started != p.started
	if restarted && h.Status == nil {
		m.mu.Unlock()
		return
	}
	if restarted {
		p.earlier = p.started
	}
	first := p.heardAt.IsZero() || p.lost || restarted
	p.started, p.sequence, p.heardAt, p.lost = h.Started, h.Sequence, time.Now(), false
	if h.Status != nil {
		p.last, p.statusAt = *h.Status, p.heardAt
	}
	last := p.last
	m.mu.Unlock()
	if first {
		m.log.Info("peer heard", "peer", last.From, "zone", last.Zone, "address", from)
		m.whole.Store(true)
		m.ScheduleStatusHeartbeat()
	}
	if h.Whole || restarted {
		m.board.ReplacePeer(from, decodeJobs(h.Jobs))
	} else {
		m.board.UpdatePeer(from, decodeJobs(h.Jobs), h.Gone)
	}
	m.doubts.MarkSuspect(h.Unreachable)
	if h.Status != nil {
		m.fetchNewer(ctx, *h.Status)
	}
}

// expire drops the jobs of VMs that are silent.
func (m *Mesh) expire() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		silent := now.Sub(p.heardAt)
		if p.heardAt.IsZero() {
			silent = now.Sub(p.addedAt)
		}
		if silent > lostAfter && !p.lost && !p.heardAt.IsZero() {
			p.lost = true
			m.log.Warn("peer lost", "peer", p.last.From, "silent", silent, "leaving", p.last.Leaving)
			m.board.ReplacePeer(address, nil)
		}
		if silent > forgetAfter {
			delete(m.peers, address)
		}
	}
}

// Status is what the mesh knows of the fleet.
type Status struct {
	// LiveVMs counts the VMs heard, this one included.
	LiveVMs int
	// AnyPeerLive is false when no other VM is heard though some are known.
	AnyPeerLive bool
	// KnownPeers counts the other VMs that were ever heard.
	KnownPeers int
	// StoreAge is the age of the freshest contact of any VM with the store.
	StoreAge time.Duration
}

// storeFresh is the age of a contact with the store below which a VM counts as
// reaching it.
const storeFresh = 6 * time.Second

// Status returns what is known now.
func (m *Mesh) Status() Status {
	now := time.Now()
	s := Status{LiveVMs: 1, StoreAge: unknownAge}
	if at := m.contact(); !at.IsZero() {
		s.StoreAge = now.Sub(at)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.heardAt.IsZero() {
			continue
		}
		s.KnownPeers++
		if p.lost || p.last.Leaving {
			continue
		}
		s.LiveVMs++
		s.AnyPeerLive = true
		s.StoreAge = min(s.StoreAge, p.storeAge(now))
	}
	return s
}

// storeAge returns the age of the VM's last contact with the store.
func (p *peer) storeAge(now time.Time) time.Duration {
	return time.Duration(p.last.StoreAgeMs)*time.Millisecond + now.Sub(p.statusAt)
}

// StoreReaders returns the names of the VMs of this zone that are heard and reach the
// store, this one included, in order.
func (m *Mesh) StoreReaders() []string {
	now := time.Now()
	names := []string{m.self.Name}
	m.mu.Lock()
	for _, p := range m.peers {
		heard := !p.heardAt.IsZero() && !p.lost && !p.last.Leaving
		if heard && p.last.Zone == m.self.Zone && p.storeAge(now) < storeFresh && !p.last.StoreLost {
			names = append(names, p.last.From)
		}
	}
	m.mu.Unlock()
	sort.Strings(names)
	return slices.Compact(names)
}
