package capacity

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/seat"
)

var errLost, errNoSeat = errors.New("message lost"), errors.New("no seat")

// delivery is the fate of a message between two VMs.
type delivery int

const (
	delivered delivery = iota
	requestLost
	responseLost
	late // the request arrives after the caller timed out
)

type message struct {
	to, kind string
	payload  []byte
}

// cluster is a set of VMs with one engine per target, a seat table and an
// in-memory network, on a simulated clock.
type cluster struct {
	mu         sync.Mutex
	clock      time.Time
	config     *config.Holder
	vms        map[string]*vm // by address, the current instance
	table      map[int]row
	deliveries map[string]delivery // by "from>to"
	late       []message
	calls      int
	// onLoanResponse, if set, runs once between the next response to a loan
	// request and its arrival.
	onLoanResponse func()
	engines        map[string]map[string]*runningAttempt
	seq            int
	stage          WarmupStage // of all engines
	// coldSeq is the number of the last attempt before the latest cold reset.
	coldSeq int
}

type row struct {
	address string
	epoch   uint64
}

// runningAttempt is one attempt in an engine.
type runningAttempt struct {
	id          string
	seq, tokens int
	vm          *vm
	reservation *Reservation
	attached    bool
	detachedAt  time.Time // when its reader disconnected
}

// vm is one entry VM. Its views of the seat table and the membership are as of
// its last maintenance.
type vm struct {
	c        *cluster
	self     membership.Instance
	alive    bool
	handlers map[string]link.Handler
	ledger   *Ledger

	mu    sync.Mutex
	seats []seat.Seat
	rows  map[int]row
	peers []membership.Peer
}

func newCluster(targets map[string]config.Target, seats int) *cluster {
	c := &cluster{
		clock: time.Unix(1_000_000, 0), config: &config.Holder{},
		vms: map[string]*vm{}, table: map[int]row{}, deliveries: map[string]delivery{},
		engines: map[string]map[string]*runningAttempt{},
	}
	c.config.PublishIfNewer(&config.Config{Version: 1, Seats: seats, SharesPerTarget: seats, Targets: targets})
	for id := range targets {
		c.engines[id] = map[string]*runningAttempt{}
	}
	return c
}

func (c *cluster) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock
}

// start starts a VM that takes over the given seats.
func (c *cluster) start(address string, start uint64, seats ...int) *vm {
	v := &vm{c: c, self: membership.Instance{Address: address, StartNumber: start}, alive: true, handlers: map[string]link.Handler{}}
	c.vms[address] = v
	for _, s := range seats {
		c.assignSeat(v, s)
	}
	v.refreshViews()
	v.ledger = New(Options{Config: c.config, Seats: v, Members: v, Caller: v, Log: slog.New(slog.DiscardHandler), Now: c.now}, v)
	return v
}

// assignSeat writes the VM into the row of a seat.
func (c *cluster) assignSeat(v *vm, s int) {
	r := row{v.self.Address, c.table[s].epoch + 1}
	c.table[s] = r
	v.mu.Lock()
	defer v.mu.Unlock()
	v.seats = append(v.seats[:len(v.seats):len(v.seats)], seat.Seat{Index: s, Epoch: r.epoch})
}

// refreshViews refreshes the VM's view of the seat table and of the other VMs.
func (v *vm) refreshViews() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rows, v.peers = maps.Clone(v.c.table), nil
	for _, o := range v.c.vms {
		state := membership.Live
		if !o.alive {
			state = membership.Removed
		}
		if o.self.Address != v.self.Address {
			v.peers = append(v.peers, membership.Peer{Instance: o.self, State: state})
		}
	}
}

// runRound advances the clock; then every VM refreshes its views, reads each
// engine's inventory and does its maintenance.
func (c *cluster) runRound(d time.Duration) {
	c.mu.Lock()
	c.clock = c.clock.Add(d)
	c.mu.Unlock()
	for _, attempts := range c.engines { // as sweeps do in production
		maps.DeleteFunc(attempts, func(_ string, w *runningAttempt) bool {
			return !w.attached && c.now().Sub(w.detachedAt) > 10*time.Second
		})
	}
	for _, address := range sortedKeys(c.vms) {
		if v := c.vms[address]; v.alive {
			v.refreshViews()
			v.ledger.maintain(context.Background())
			for id := range c.engines {
				v.ledger.ApplyInventory(id, c.now(), c.inventory(id))
			}
		}
	}
	c.observeAll()
}

// observeAll gives every VM fresh evidence from every engine.
func (c *cluster) observeAll() {
	for _, v := range c.vms {
		for id := range c.engines {
			v.ledger.Observe(id, Observation{At: c.now(), StartNumber: 1})
		}
	}
}

func (c *cluster) inventory(target string) engine.Inventory {
	inv := engine.Inventory{StartNumber: 1}
	for _, w := range c.engines[target] {
		inv.Attempts = append(inv.Attempts, engine.Attempt{ID: w.id, KVTokens: w.tokens, Attached: w.attached})
	}
	return inv
}

// startAttempt reserves capacity and starts an attempt.
func (v *vm) startAttempt(target string, tokens int) *runningAttempt {
	prefix, err := v.AttemptPrefix()
	if err != nil {
		return nil
	}
	r, ok := v.ledger.Reserve(target, tokens)
	if !ok {
		return nil
	}
	v.c.seq++
	w := &runningAttempt{id: fmt.Sprintf("%s.%d.1", prefix, v.c.seq), seq: v.c.seq, tokens: tokens, vm: v, reservation: r, attached: true}
	r.AddAttempt(w.id)
	v.c.engines[target][w.id] = w
	return w
}

func (c *cluster) finish(target string, w *runningAttempt) {
	delete(c.engines[target], w.id)
	if w.vm.alive {
		w.reservation.Release()
	}
}

// kill ends the process. Its attempts lose their reader unless the callers
// resume them through another VM.
func (c *cluster) kill(v *vm, resumed bool) {
	v.alive = false
	for _, attempts := range c.engines {
		for _, w := range attempts {
			if w.vm == v {
				w.attached, w.detachedAt = resumed, c.now()
			}
		}
	}
}

// dropSeats makes the VM isolated: it may use none of its seats.
func (v *vm) dropSeats() []int {
	v.mu.Lock()
	defer v.mu.Unlock()
	var lost []int
	for _, s := range v.seats {
		lost = append(lost, s.Index)
	}
	v.seats = nil
	return lost
}

func (c *cluster) inUse(target string) Resources { return c.inUseSince(target, 0) }

// inUseSince sums the attempts after the one with the given number.
func (c *cluster) inUseSince(target string, seq int) (total Resources) {
	for _, w := range c.engines[target] {
		if w.seq > seq {
			total = total.add(Resources{w.tokens, 1})
		}
	}
	return total
}

func (c *cluster) available(target string) (total Resources) {
	for _, v := range c.vms {
		if v.alive {
			total = total.add(v.ledger.Available(target))
		}
	}
	return total
}

// warm tells every VM that all targets are warm.
func (c *cluster) warm() {
	c.stage = WarmupStage{StartNumber: 1, ColdResets: c.stage.ColdResets, Doublings: maxDoublings}
	c.publishStage()
}

// publishStage tells every VM the current stage.
func (c *cluster) publishStage() {
	for _, v := range c.vms {
		for id := range c.engines {
			v.ledger.mergeStage(id, c.stage)
		}
	}
	c.observeAll()
}

// resetToCold makes all engines cold. One VM observes it and the others learn
// of it by heartbeat.
func (c *cluster) resetToCold(v *vm) {
	for id := range c.engines {
		v.ledger.Observe(id, Observation{At: c.now(), StartNumber: 1, Cold: true})
	}
	data := v.ledger.encodeStages()
	for _, o := range c.vms {
		o.ledger.mergeStages(v.self, data)
	}
	if s := v.ledger.WarmupStage("e1"); s != c.stage {
		c.stage, c.coldSeq = s, c.seq
	}
}

func (v *vm) Handle(kind string, h link.Handler) { v.handlers[kind] = h }

func (v *vm) Seats() []seat.Seat {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seats
}

func (v *vm) HolderOf(index int) (string, uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.rows[index]
	return r.address, r.epoch, ok
}

func (v *vm) AttemptPrefix() (string, error) {
	s := v.Seats()
	if len(s) == 0 {
		return "", errNoSeat
	}
	return fmt.Sprintf("%d.%d", s[0].Index, s[0].Epoch), nil
}

func (v *vm) Connectivity() membership.Connectivity { return membership.Connected }
func (v *vm) Quorum() bool                          { return true }
func (v *vm) Self() membership.Instance             { return v.self }

func (v *vm) Peers() []membership.Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.peers
}

func (v *vm) Call(_ context.Context, address, kind string, request, reply any) error {
	payload, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	e := message{address, kind, payload}
	c := v.c
	c.mu.Lock()
	c.calls++
	f := c.deliveries[v.self.Address+">"+address]
	if f == late {
		c.late = append(c.late, e)
	}
	c.mu.Unlock()
	if f == requestLost || f == late {
		return errLost
	}
	answer, err := c.deliver(e)
	if during := c.onLoanResponse; during != nil && kind == kindLoanRequest {
		c.onLoanResponse = nil
		during()
	}
	if err != nil || f == responseLost {
		return errLost
	}
	raw, err := msgpack.Marshal(answer)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(raw, reply)
}

// deliver hands a message to the process that currently runs at the address.
func (c *cluster) deliver(e message) (any, error) {
	to := c.vms[e.to]
	if to == nil || !to.alive {
		return nil, errLost
	}
	return to.handlers[e.kind](context.Background(), e.payload)
}
