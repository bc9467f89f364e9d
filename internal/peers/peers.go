// Package peers exchanges state between the entry VMs. Heartbeats over UDP carry
// each VM's requests in flight and the versions of its replicas of the store's
// tables. A VM that learns of a newer version fetches the changes over a link.
package peers

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/pace"
	"github.com/oriolefront/oriolefront/internal/quarantine"
	"github.com/oriolefront/oriolefront/internal/replica"
)

// Heartbeat timing and limits.
const (
	// minInterval is the time between heartbeats in a small fleet. For each other
	// VM intervalPerPeer is added, so that the heartbeat cost per VM grows slowly
	// with the size of the fleet.
	minInterval     = 250 * time.Millisecond
	intervalPerPeer = 5 * time.Millisecond
	// fullInterval is the time between full heartbeats. It bounds how long a lost
	// datagram leaves the receiver with outdated requests.
	fullInterval = time.Second
	// coalesceDelay batches changes that occur together into one heartbeat.
	coalesceDelay = time.Millisecond
	// suspectAfter is the heartbeat timeout. A VM without a heartbeat for this long
	// becomes suspect, and its requests are treated as ended.
	suspectAfter = 2 * time.Second
	// removeAfter is the time without a heartbeat after which no more heartbeats
	// are sent to a VM.
	removeAfter      = 5 * time.Minute
	maxDatagramBytes = 60 << 10
	// maxPeers bounds the VMs to which heartbeats are sent. The planned fleet has 590.
	maxPeers = 2048
)

// Self is this VM's identity and addresses.
type Self struct {
	Name             string
	Zone             string
	HeartbeatAddress string
	LinkAddress      string
}

// Mesh exchanges heartbeats and table changes with the other VMs.
type Mesh struct {
	self             Self
	log              *slog.Logger
	rejections       rejections
	registry         *inflight.Registry
	replicas         map[string]*replica.Replica
	applyDelta       func(replica.Delta)
	refresh          func(ctx context.Context, table string) error
	lastStoreContact func() time.Time // last response of the store
	storeUnreachable func() bool      // whether the last call of the store failed
	reachability     TargetReachability
	confirmed        func(table string) (epoch uint64, storeTime time.Duration, ok bool)
	confirm          func(table string, to replica.Position, storeTime time.Duration)
	observeBase      func(epoch, base uint64)
	clock            func(table string) (epoch uint64, storeTime time.Duration, ok bool)
	observeClock     func(table string, epoch uint64, sentAt, storeTime time.Duration)
	quarantine       *quarantine.Detector
	pace             *pace.Tracker
	duties           Duties
	distant          func() bool // nil where heartbeats are not relayed
	traffic          *traffic
	relayRates       relayRates

	conn *net.UDPConn
	// write sends a datagram through conn.
	write      func(data []byte, to *net.UDPAddr) error
	client     *link.Client
	server     *link.Server
	instanceID uint64
	startedAt  time.Time
	wake       chan struct{}
	// statusDue is true when the next heartbeat must include the status.
	statusDue atomic.Bool
	// statusByTime is true when the status is due only because time has passed.
	statusByTime atomic.Bool
	// fullDue is true when the next heartbeat must be a full one; lastFullAt is the
	// time of the last full heartbeat.
	fullDue    atomic.Bool
	lastFullAt time.Time
	// relayedFulls is the number of full heartbeats since one was sent directly to all VMs. The
	// first one is sent directly.
	relayedFulls int
	// names caches the texts of addresses and passOnBuffer holds the message that is passed
	// on. Both are used by the receiver only.
	names        map[netip.AddrPort]string
	passOnBuffer []byte
	leaving      atomic.Bool

	mu       sync.Mutex
	peers    map[string]*peer // by heartbeat address
	sequence uint64
	fetching map[string]bool // by table
	routes   *routes         // nil when they have to be computed again
}

// peer is the state of another VM as last received.
type peer struct {
	address          *net.UDPAddr
	status           status
	instanceID       uint64
	sequence         uint64    // of the last heartbeat
	fullSequence     uint64    // of the last full one
	statusSequence   uint64    // of the last one with a status
	lastHeartbeatAt  time.Time // zero before the first heartbeat
	directAt         time.Time // of the last heartbeat that no relay passed on
	statusReceivedAt time.Time // when status was received
	addedAt          time.Time
	suspect          bool
	// previousInstanceID identifies the instance before the current one, whose
	// delayed datagrams are ignored.
	previousInstanceID uint64
	// passedOn is the sequence of the last heartbeat of the instance that this VM relayed,
	// fullPassedOn that of the last full one.
	passedOn, fullPassedOn uint64
}

// TargetReachability tracks which targets cannot be reached.
type TargetReachability interface {
	// UnreachableTargets returns the targets that this VM cannot reach.
	UnreachableTargets() []string
	// MarkSuspect records targets that another VM reports as unreachable.
	MarkSuspect(targets []string)
}

// Options are the dependencies of a Mesh.
type Options struct {
	Self     Self
	Log      *slog.Logger
	Registry *inflight.Registry
	Replicas []*replica.Replica
	// ApplyDelta applies changes received from another VM.
	ApplyDelta func(replica.Delta)
	// Refresh reads the changes of a table from the store.
	Refresh func(ctx context.Context, table string) error
	// LastStoreContact returns when the store last responded to this VM.
	LastStoreContact func() time.Time
	// StoreUnreachable reports whether this VM's last call to the store failed.
	StoreUnreachable func() bool
	Reachability     TargetReachability
	// Confirmed returns up to which time of the store's clock in an epoch the replica of a
	// table is known to be current. Confirm records what another VM knows about a position.
	Confirmed func(table string) (epoch uint64, storeTime time.Duration, ok bool)
	Confirm   func(table string, to replica.Position, storeTime time.Duration)
	// ObserveBase records the lowest version of the store that another VM knows of an epoch.
	ObserveBase func(epoch, base uint64)
	// Clock returns an upper bound of the store's clock in an epoch. ObserveClock records
	// that of another VM in the response to a request that was sent at sentAt, an uptime.
	Clock        func(table string) (epoch uint64, storeTime time.Duration, ok bool)
	ObserveClock func(table string, epoch uint64, sentAt, storeTime time.Duration)
	// Quarantine is told to the other VMs, and learns from them.
	Quarantine *quarantine.Detector
	// Pace is told to the other VMs, and learns from them; nil if it is not learned.
	Pace *pace.Tracker
	// Duties is told to the other VMs, and learns from them. Nil where there are none.
	Duties Duties
	// Distant reports whether zones are distant, so that heartbeats between them are relayed.
	// Nil means never.
	Distant func() bool
	// Metrics gets the counters of the traffic between zones. It may be nil.
	Metrics *metrics.Set
	// LinkLimits bound the links from other VMs. The default is link.DefaultLimits.
	LinkLimits link.Limits
}

// New opens the UDP socket and the link server.
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
		self: o.Self, log: o.Log, rejections: rejections{log: o.Log}, registry: o.Registry, applyDelta: o.ApplyDelta, refresh: o.Refresh, lastStoreContact: o.LastStoreContact, storeUnreachable: o.StoreUnreachable, reachability: o.Reachability,
		confirmed: o.Confirmed, confirm: o.Confirm, observeBase: o.ObserveBase, clock: o.Clock, observeClock: o.ObserveClock, quarantine: o.Quarantine, duties: o.Duties, pace: o.Pace,
		distant: o.Distant, traffic: newTraffic(o.Metrics),
		replicas: map[string]*replica.Replica{}, conn: conn, instanceID: rand.Uint64(), startedAt: time.Now(),
		client: link.NewClient(link.PrivateNetwork(), o.Log), server: link.NewLimitedServer(link.PrivateNetwork(), o.Log, cmp.Or(o.LinkLimits, link.DefaultLimits())),
		wake: make(chan struct{}, 1), peers: map[string]*peer{}, fetching: map[string]bool{}, names: map[netip.AddrPort]string{},
		relayedFulls: maxRelayedFulls,
	}
	m.write = func(data []byte, to *net.UDPAddr) error {
		_, err := conn.WriteToUDP(data, to)
		return err
	}
	for _, c := range o.Replicas {
		m.replicas[c.Table()] = c
	}
	m.server.Handle(kindChanges, m.handleChangesRequest)
	m.server.Handle(kindDeletions, m.handleDeletionsRequest)
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

// AddPeer adds a VM by its heartbeat address.
func (m *Mesh) AddPeer(address string) {
	if address == m.self.HeartbeatAddress {
		return
	}
	parsed, err := parsePeerAddress(address)
	if err != nil {
		m.rejections.record(address, err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers[address] != nil {
		return
	}
	if len(m.peers) >= maxPeers {
		m.rejections.record(address, fmt.Errorf("more than %d peers", maxPeers))
		return
	}
	m.peers[address] = &peer{address: parsed, addedAt: time.Now()}
	m.routes = nil
}

// parsePeerAddress parses the IPv4:port of one VM. A name is not looked up.
func parsePeerAddress(address string) (*net.UDPAddr, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return nil, fmt.Errorf("heartbeat address: found %.40q, allowed: IPv4:port of one VM", address)
	}
	return net.UDPAddrFromAddrPort(a), nil
}

// ScheduleHeartbeat triggers a heartbeat without waiting for the interval.
func (m *Mesh) ScheduleHeartbeat() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// ScheduleStatusHeartbeat triggers a heartbeat that includes the status.
func (m *Mesh) ScheduleStatusHeartbeat() {
	m.statusDue.Store(true)
	m.ScheduleHeartbeat()
}

// Leave announces to the other VMs that this VM is shutting down.
func (m *Mesh) Leave() {
	m.leaving.Store(true)
	m.ScheduleStatusHeartbeat()
}

// Run sends and receives heartbeats until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	go m.receive(ctx)
	for _, c := range m.replicas {
		go m.learnDeletions(ctx, c)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			time.Sleep(coalesceDelay)
		case <-timer.C:
			m.statusByTime.Store(true)
			timer.Reset(m.interval())
		}
		m.expirePeers()
		m.broadcast()
	}
}
