package seat

import (
	"context"
	"log/slog"
	"sync"
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
