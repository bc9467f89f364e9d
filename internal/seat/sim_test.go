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

// world runs several VMs on one simulated clock, with real Views and Holders, a
// simulated network and the fake table.
type world struct {
	mu    sync.Mutex // guards now and cut
	now   time.Duration
	cut   map[[2]string]bool // messages from the first address to the second are lost
	table *storefake.Table
	seats int
	nodes map[string]*node
	list  []listing
	lag   time.Duration // of the VM list
	check func()
}

// listing is a VM on the list; until is zero while it exists.
type listing struct {
	address     string
	from, until time.Duration
}

// node is one life of a VM.
type node struct {
	w        *world
	self     membership.Instance
	view     *membership.View
	holder   *Manager
	handlers map[string]link.Handler
	noStore  bool
	frozen   bool
	// busy is set during a step: a VM that freezes in a call takes no others.
	busy bool
	// stall, if not nil, runs once around the next commit and says whether it
	// comes before the write.
	stall       func()
	stallBefore bool
}

const tickTime = 250 * time.Millisecond

func newWorld(seats int) *world {
	return &world{now: time.Hour, cut: map[[2]string]bool{}, table: storefake.NewTable(), seats: seats,
		nodes: map[string]*node{}, check: func() {}}
}

func (w *world) clock() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.now
}

// boot starts a VM, or its next life at the same address.
func (w *world) boot(address string, maxSeats int) *node {
	n := &node{w: w, self: membership.Instance{Address: address, StartNumber: 1}, handlers: map[string]link.Handler{}}
	if old, ok := w.nodes[address]; ok {
		n.self.StartNumber = old.self.StartNumber + 1
	} else {
		w.list = append(w.list, listing{address: address, from: w.now})
	}
	n.view = membership.New(membership.Options{Self: n.self, Caller: n, Lister: membership.ListerFunc(w.listed), Now: w.clock, Sequential: true})
	n.holder = New(Options{Table: storeOf{n}, Membership: n.view, Caller: n, Seats: func() int { return w.seats }, MaxSeats: maxSeats})
	n.view.Register(n)
	n.holder.Register(n)
	w.nodes[address] = n
	return n
}

func (w *world) listed(context.Context) ([]membership.Entry, error) {
	var out []membership.Entry
	seen := w.clock() - w.lag
	for _, l := range w.list {
		if l.from <= seen && (l.until == 0 || l.until > seen) {
			out = append(out, membership.Entry{PeerAddress: l.address})
		}
	}
	return out, nil
}

// kill ends a VM for good.
func (w *world) kill(address string) {
	delete(w.nodes, address)
	for i := range w.list {
		if w.list[i].address == address {
			w.list[i].until = w.now
		}
	}
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	for ; d > 0; d -= tickTime {
		w.mu.Lock()
		w.now += tickTime
		w.mu.Unlock()
		w.check()
		for i, address := range slices.Sorted(maps.Keys(w.nodes)) {
			if n := w.nodes[address]; n != nil && !n.frozen && !n.busy {
				n.tick(i)
				w.check()
			}
		}
	}
}

// tick does what is due; i spreads the renewals of the VMs.
func (n *node) tick(i int) {
	n.busy = true
	defer func() { n.busy = false }()
	turn := int(n.w.clock()/tickTime) + i
	if turn%4 == 0 {
		n.view.ReadList(context.Background())
	}
	if turn%2 == 0 {
		n.view.SendHeartbeats(context.Background())
	}
	if turn%4 == 1 {
		n.compare()
	}
	if turn%8 == 0 {
		n.holder.RunRound(context.Background())
	}
}

// compare plays the poll of the configuration, which nobody changes here.
func (n *node) compare() {
	began := n.view.Now()
	if _, err := (storeOf{n}).Get(context.Background(), "head"); err == nil {
		n.view.RecordConfigSync(began)
	}
}

// Handle implements link.Registrar.
func (n *node) Handle(kind string, h link.Handler) { n.handlers[kind] = h }

var errNetwork = errors.New("simulated network: no answer")

// Call implements link.Caller.
func (n *node) Call(ctx context.Context, address, kind string, request, reply any) error {
	n.w.mu.Lock()
	lost, replyLost := n.w.cut[[2]string{n.self.Address, address}], n.w.cut[[2]string{address, n.self.Address}]
	n.w.mu.Unlock()
	to, ok := n.w.nodes[address]
	if !ok || lost || to.frozen {
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

// storeOf is a VM's way to the table.
type storeOf struct{ n *node }

func (s storeOf) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if s.n.noStore {
		return nil, store.ErrUnavailable
	}
	return s.n.w.table.Get(ctx, keys...)
}

func (s storeOf) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if s.n.noStore {
		return nil, store.ErrUnavailable
	}
	return s.n.w.table.Scan(ctx, prefix, after, limit)
}

func (s storeOf) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	if s.n.noStore {
		return 0, store.ErrUnavailable
	}
	stall, before := s.n.stall, s.n.stallBefore
	s.n.stall = nil
	if stall != nil && before {
		s.n.frozen = true
		stall()
		s.n.frozen = false
	}
	revision, err := s.n.w.table.Commit(ctx, txn)
	if stall != nil && !before {
		s.n.frozen = true
		stall()
		s.n.frozen = false
	}
	return revision, err
}

// isolate cuts all links between the VM and the others, and its store.
func (w *world) isolate(address string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other := range w.nodes {
		w.cut[[2]string{address, other}] = cut
		w.cut[[2]string{other, address}] = cut
	}
	w.nodes[address].noStore = cut
}

// doubles returns a description of a seat that two VMs may use now, or "". A
// frozen VM counts with what it would see in its first call after the freeze.
func (w *world) doubles() string {
	users := map[int]string{}
	for _, address := range slices.Sorted(maps.Keys(w.nodes)) {
		for _, s := range w.nodes[address].holder.Seats() {
			if other, ok := users[s.Index]; ok {
				return fmt.Sprintf("seat %d is usable by %s and by %s at %v", s.Index, other, address, w.clock())
			}
			users[s.Index] = address
		}
	}
	return ""
}

// startWorld returns a world with VMs that run and hold seats, and fails the test on
// any double use.
func startWorld(t *testing.T, vms, seats, maxSeats int) *world {
	w := newWorld(seats)
	w.check = func() {
		if d := w.doubles(); d != "" {
			t.Fatal(d)
		}
	}
	for i := range vms {
		w.boot(vm(i), maxSeats)
	}
	w.run(30 * time.Second)
	return w
}

func vm(i int) string { return fmt.Sprintf("10.0.0.%d:7", i+1) }
