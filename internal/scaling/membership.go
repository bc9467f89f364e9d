package scaling

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
)

// answering stands in for the links to all peers: it answers heartbeats at
// once, so that a View can be measured with more peers than one process could
// run.
type answering struct{ seats map[string]int }

// Call implements link.Caller.
func (a answering) Call(_ context.Context, address, _ string, _, reply any) error {
	if h, ok := reply.(*membership.Heartbeat); ok {
		*h = a.heartbeat(address)
	}
	return nil
}

func (a answering) heartbeat(address string) membership.Heartbeat {
	return membership.Heartbeat{
		From: membership.Instance{Address: address, StartNumber: 1}, Zone: "zone-01",
		Seats: []membership.LeasedSeat{{Index: a.seats[address], Epoch: 3, HeldMs: 1_000_000}},
	}
}

// handlers collects the handlers that a module registers.
type handlers map[string]link.Handler

// Handle implements link.Registrar.
func (h handlers) Handle(kind string, handler link.Handler) { h[kind] = handler }

// membershipCPU measures what a View does for its peers, without links: its own
// heartbeats and their answers, and the peers' heartbeats.
func membershipCPU(ctx context.Context) ([]Result, error) {
	cpu := &series{name: "membership_cpu", unit: "cores of a VM per peer", planX: planVMs}
	refresh := &series{name: "membership_refresh", unit: "seconds of one refresh per peer", planX: planVMs}
	for _, n := range []int{30, 100, 200, 400, planVMs} {
		view, payloads, h, err := viewWith(ctx, n)
		if err != nil {
			return nil, err
		}
		const rounds = 3
		used := lowestCPU(5, func() {
			for range rounds {
				view.SendHeartbeats(ctx)
				for _, p := range payloads {
					h[membership.KindHeartbeat](ctx, p)
				}
			}
		})
		cpu.add(float64(n), used.Seconds()/rounds*beatsPerSecond)
		const refreshes = 200
		used = lowestCPU(5, func() {
			for range refreshes {
				view.Refresh()
			}
		})
		refresh.add(float64(n), used.Seconds()/refreshes)
	}
	return resultsOf(cpu, refresh), nil
}

// viewWith returns a View that has heard n peers, the peers' heartbeats as they
// come from links, and the View's handlers.
func viewWith(ctx context.Context, n int) (*membership.View, [][]byte, handlers, error) {
	caller := answering{seats: map[string]int{}}
	var list []membership.Entry
	var payloads [][]byte
	for i := range n {
		address := fmt.Sprintf("10.%d.%d.7:7946", i/250, i%250)
		caller.seats[address] = i
		list = append(list, membership.Entry{PeerAddress: address, Zone: "zone-01"})
		payload, err := msgpack.Marshal(caller.heartbeat(address))
		if err != nil {
			return nil, nil, nil, err
		}
		payloads = append(payloads, payload)
	}
	view := membership.New(membership.Options{
		Self: membership.Instance{Address: "10.9.9.9:7946", StartNumber: 1}, Zone: "zone-01", Caller: caller,
		Lister: membership.ListerFunc(func(context.Context) ([]membership.Entry, error) { return list, nil }),
	})
	view.SetSeatSource(fixedSeats{n, n + 1})
	h := handlers{}
	view.Register(h)
	view.ReadList(ctx)
	view.SendHeartbeats(ctx)
	return view, payloads, h, nil
}
