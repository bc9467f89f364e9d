package seat

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// simulation runs several VMs on one simulated clock, with real Views and
// Managers, a simulated network and the fake table.
type simulation struct {
	mu           sync.Mutex // guards now and lostMessages
	now          time.Duration
	lostMessages map[[2]string]bool // messages from the first address to the second are lost
	table        *storefake.Table
	seats        int
	nodes        map[string]*node
	list         []listedVM
	listLag      time.Duration // of the VM list
	check        func()
}

// listedVM is a VM on the list; until is zero while it exists.
type listedVM struct {
	address     string
	from, until time.Duration
}

// node is one instance of a VM.
type node struct {
	sim      *simulation
	self     membership.Instance
	view     *membership.View
	manager  *Manager
	handlers map[string]link.Handler
	noStore  bool
	paused   bool
	// busy is set during a step: a VM that is paused in a call handles no
	// others.
	busy bool
	// duringCommit, if not nil, runs once around the next commit while the VM
	// is paused; pauseBeforeWrite says whether that is before or after the
	// write.
	duringCommit     func()
	pauseBeforeWrite bool
}

const simulationStep = 250 * time.Millisecond

func newSimulation(seats int) *simulation {
	return &simulation{now: time.Hour, lostMessages: map[[2]string]bool{}, table: storefake.NewTable(), seats: seats,
		nodes: map[string]*node{}, check: func() {}}
}

func (sim *simulation) clock() time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.now
}

// startVM starts a VM, or its next instance at the same address.
func (sim *simulation) startVM(address string, maxSeats int) *node {
	n := &node{sim: sim, self: membership.Instance{Address: address, StartNumber: 1}, handlers: map[string]link.Handler{}}
	if old, ok := sim.nodes[address]; ok {
		n.self.StartNumber = old.self.StartNumber + 1
	} else {
		sim.list = append(sim.list, listedVM{address: address, from: sim.now})
	}
	n.view = membership.New(membership.Options{Self: n.self, Caller: n, Lister: membership.ListerFunc(sim.listed), Now: sim.clock, Sequential: true})
	n.manager = New(Options{Table: nodeTable{n}, Membership: n.view, Caller: n, SeatCount: func() int { return sim.seats }, MaxSeats: maxSeats})
	n.view.Register(n)
	n.manager.Register(n)
	sim.nodes[address] = n
	return n
}

func (sim *simulation) listed(context.Context) ([]membership.Entry, error) {
	var out []membership.Entry
	seen := sim.clock() - sim.listLag
	for _, l := range sim.list {
		if l.from <= seen && (l.until == 0 || l.until > seen) {
			out = append(out, membership.Entry{PeerAddress: l.address})
		}
	}
	return out, nil
}

// kill ends a VM for good.
func (sim *simulation) kill(address string) {
	delete(sim.nodes, address)
	for i := range sim.list {
		if sim.list[i].address == address {
			sim.list[i].until = sim.now
		}
	}
}

// run advances the time.
func (sim *simulation) run(d time.Duration) {
	for ; d > 0; d -= simulationStep {
		sim.mu.Lock()
		sim.now += simulationStep
		sim.mu.Unlock()
		sim.check()
		for i, address := range slices.Sorted(maps.Keys(sim.nodes)) {
			if n := sim.nodes[address]; n != nil && !n.paused && !n.busy {
				n.tick(i)
				sim.check()
			}
		}
	}
}

// tick does what is due; i staggers the renewals of the VMs.
func (n *node) tick(i int) {
	n.busy = true
	defer func() { n.busy = false }()
	turn := int(n.sim.clock()/simulationStep) + i
	if turn%4 == 0 {
		n.view.ReadList(context.Background())
	}
	if turn%2 == 0 {
		n.view.SendHeartbeats(context.Background())
	}
	if turn%4 == 1 {
		n.syncConfig()
	}
	if turn%8 == 0 {
		n.manager.RunRound(context.Background())
	}
}

// syncConfig simulates the poll of the configuration, which does not change
// here.
func (n *node) syncConfig() {
	began := n.view.Now()
	if _, err := (nodeTable{n}).Get(context.Background(), "head"); err == nil {
		n.view.RecordConfigSync(began)
	}
}

// Handle implements link.Registrar.
func (n *node) Handle(kind string, h link.Handler) { n.handlers[kind] = h }

var errNetwork = errors.New("simulated network: no answer")

// Call implements link.Caller.
func (n *node) Call(ctx context.Context, address, kind string, request, reply any) error {
	n.sim.mu.Lock()
	lost, replyLost := n.sim.lostMessages[[2]string{n.self.Address, address}], n.sim.lostMessages[[2]string{address, n.self.Address}]
	n.sim.mu.Unlock()
	to, ok := n.sim.nodes[address]
	if !ok || lost || to.paused {
		return errNetwork
	}
	payload, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	value, err := to.handlers[kind](ctx, payload)
	if err != nil {
		return err
	}
	data, err := msgpack.Marshal(value)
	if err != nil || replyLost {
		return errNetwork
	}
	return msgpack.Unmarshal(data, reply)
}

// nodeTable is a VM's connection to the table.
type nodeTable struct{ n *node }

func (s nodeTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if s.n.noStore {
		return nil, store.ErrUnavailable
	}
	return s.n.sim.table.Get(ctx, keys...)
}

func (s nodeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if s.n.noStore {
		return nil, store.ErrUnavailable
	}
	return s.n.sim.table.Scan(ctx, prefix, after, limit)
}

func (s nodeTable) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if s.n.noStore {
		return 0, store.ErrUnavailable
	}
	duringCommit, before := s.n.duringCommit, s.n.pauseBeforeWrite
	s.n.duringCommit = nil
	if duringCommit != nil && before {
		s.n.paused = true
		duringCommit()
		s.n.paused = false
	}
	revision, err := s.n.sim.table.Commit(ctx, txn)
	if duringCommit != nil && !before {
		s.n.paused = true
		duringCommit()
		s.n.paused = false
	}
	return revision, err
}

// isolate cuts, or restores, all links between the VM and the others, and its
// connection to the store.
func (sim *simulation) isolate(address string, cut bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for other := range sim.nodes {
		sim.lostMessages[[2]string{address, other}] = cut
		sim.lostMessages[[2]string{other, address}] = cut
	}
	sim.nodes[address].noStore = cut
}

// doubleUse returns a description of a seat that two VMs may use now, or "". A
// paused VM counts with what it would see in its first call after the pause.
func (sim *simulation) doubleUse() string {
	users := map[int]string{}
	for _, address := range slices.Sorted(maps.Keys(sim.nodes)) {
		for _, s := range sim.nodes[address].manager.Seats() {
			if other, ok := users[s.Index]; ok {
				return fmt.Sprintf("seat %d is usable by %s and by %s at %v", s.Index, other, address, sim.clock())
			}
			users[s.Index] = address
		}
	}
	return ""
}

// startSimulation returns a simulation whose VMs run and hold seats. It fails
// the test when two VMs may use the same seat.
func startSimulation(t *testing.T, vms, seats, maxSeats int) *simulation {
	sim := newSimulation(seats)
	sim.check = func() {
		if d := sim.doubleUse(); d != "" {
			t.Fatal(d)
		}
	}
	for i := range vms {
		sim.startVM(vm(i), maxSeats)
	}
	sim.run(30 * time.Second)
	return sim
}

func vm(i int) string { return fmt.Sprintf("10.0.0.%d:7", i+1) }
