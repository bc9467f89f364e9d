package seat

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// lateRegistrar lets a server learn its address before its handlers exist.
type lateRegistrar struct {
	ready    chan struct{}
	handlers map[string]link.Handler
}

func (l *lateRegistrar) Handle(kind string, h link.Handler) { l.handlers[kind] = h }

func (l *lateRegistrar) call(kind string) link.Handler {
	return func(ctx context.Context, p []byte) (any, error) {
		<-l.ready
		return l.handlers[kind](ctx, p)
	}
}

// Guards against data races and deadlocks between links, membership and seats,
// which the single-threaded simulation cannot show, and against a service that
// stops in a store outage over real links.
func TestRunOverLoopback(t *testing.T) {
	const vms = 3
	log := slog.New(slog.DiscardHandler)
	table := storefake.NewTable()
	var mu sync.Mutex
	var list []membership.Entry
	lister := membership.ListerFunc(func(context.Context) ([]membership.Entry, error) {
		mu.Lock()
		defer mu.Unlock()
		return append([]membership.Entry(nil), list...), nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var holders []*Manager
	for range vms {
		late := &lateRegistrar{ready: make(chan struct{}), handlers: map[string]link.Handler{}}
		server, client := link.NewServer(link.Plaintext(), log), link.NewClient(link.Plaintext(), log)
		for _, kind := range []string{membership.KindHeartbeat, membership.KindLastHeard, membership.KindRelayRenew, membership.KindSeatClaim} {
			server.Handle(kind, late.call(kind))
		}
		address, err := server.Listen("127.0.0.1:0")
		assert.NilError(t, err)
		defer server.Close()
		defer client.Close()
		view := membership.New(membership.Options{Self: membership.Instance{Address: address, StartNumber: 1},
			Caller: client, Lister: lister, HeartbeatInterval: 50 * time.Millisecond, HeartbeatTimeout: time.Second,
			StoreContactTimeout: 500 * time.Millisecond, CallTimeout: 300 * time.Millisecond, ListInterval: 100 * time.Millisecond})
		h := New(Options{Table: store.Table(table), Membership: view, Caller: client, SeatCount: func() int { return vms },
			MinRenewInterval: 100 * time.Millisecond, MinTakeoverTimeout: 3 * time.Second, HeartbeatTimeout: time.Second})
		view.Register(late)
		h.Register(late)
		close(late.ready)
		mu.Lock()
		list = append(list, membership.Entry{PeerAddress: address})
		mu.Unlock()
		running.Go(func() { view.Run(ctx) })
		running.Go(func() { h.Run(ctx) })
		holders = append(holders, h)
	}
	usable := func() (n int) {
		for _, h := range holders {
			n += len(h.Seats())
		}
		return n
	}
	until := func(what string, f func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), what)
		}
	}
	until("all seats held", func() bool { return usable() == vms })
	table.SetFaults(storefake.Faults{Down: true})
	until("outage", func() bool { return holders[0].options.Membership.Connectivity() == membership.StoreOutage })
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		_, err := holders[0].AttemptPrefix()
		assert.NilError(t, err)
	}
	table.SetFaults(storefake.Faults{})
	assert.NilError(t, holders[0].Resign(ctx))
	until("resigned", func() bool { return usable() == vms-1 })
}

// failingTable fails the reads that begin while it is down.
type failingTable struct {
	store.Table
	down  atomic.Bool
	reads atomic.Int32
}

func (f *failingTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	down := f.down.Load()
	f.reads.Add(1)
	if down {
		return nil, store.ErrUnavailable
	}
	return f.Table.Scan(ctx, prefix, after, limit)
}

// startSingleVM runs a VM that is alone, with the default renewal interval.
func startSingleVM(t *testing.T, table store.Table) *Manager {
	client := link.NewClient(link.Plaintext(), slog.New(slog.DiscardHandler))
	self := membership.Instance{Address: "127.0.0.1:1", StartNumber: 1}
	lister := membership.ListerFunc(func(context.Context) ([]membership.Entry, error) {
		return []membership.Entry{{PeerAddress: self.Address}}, nil
	})
	view := membership.New(membership.Options{Self: self, Caller: client, Lister: lister})
	m := New(Options{Table: table, Membership: view, Caller: client, SeatCount: func() int { return 1 }})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { view.Run(ctx) })
	running.Go(func() { m.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		client.Close()
	})
	return m
}

// Guards against requests that wait for a whole renewal interval after a VM was
// paused during a store call: the call fails when the VM wakes up, and the VM has
// no usable seat until the next round. Seen in lease_lapse/accepted of the fault
// matrix, which allows 2 s.
func TestSeatIsUsableSoonAfterAFailedRound(t *testing.T) {
	table := &failingTable{Table: storefake.NewTable()}
	table.down.Store(true)
	m := startSingleVM(t, table)
	for end := time.Now().Add(10 * time.Second); table.reads.Load() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	table.down.Store(false)
	began := time.Now()
	for len(m.LeasedSeats()) == 0 {
		assert.Assert(t, time.Since(began) < MinRenewInterval/2, "no usable seat")
		time.Sleep(time.Millisecond)
	}
}

// Guards against a store that is flooded with reads by VMs that have no seat, such
// as spare ones: their retries must slow down to the renewal interval.
func TestRetriesWithoutASeatSlowDown(t *testing.T) {
	m := New(Options{Membership: membership.New(membership.Options{}), SeatCount: func() int { return 1 }})
	for rounds := range 50 {
		pause := m.roundPause(rounds)
		assert.Assert(t, pause <= MinRenewInterval && pause > 0)
		if rounds == 0 || rounds > 5 {
			assert.Assert(t, pause >= MinRenewInterval*9/10-1, "round %d: %s", rounds, pause)
		}
	}
}
