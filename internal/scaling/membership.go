package scaling

import (
	"context"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
)

// fakeCaller replaces the links to all peers: it responds to heartbeats
// immediately, so that a membership view can be measured with more peers than
// one process could run.
type fakeCaller struct{ seats map[string]int }

// Call implements link.Caller.
func (a fakeCaller) Call(_ context.Context, address, _ string, _, reply any) error {
	if h, ok := reply.(*membership.Heartbeat); ok {
		*h = a.heartbeatFrom(address)
	}
	return nil
}

func (a fakeCaller) heartbeatFrom(address string) membership.Heartbeat {
	return membership.Heartbeat{
		From: membership.Instance{Address: address, StartNumber: 1}, Zone: "zone-01",
		Seats: []membership.LeasedSeat{{Index: a.seats[address], Epoch: 3, HeldMs: 1_000_000}},
	}
}

// handlers collects the handlers that a module registers, by message kind.
type handlers map[string]link.Handler

// Handle implements link.Registrar.
func (h handlers) Handle(kind string, handler link.Handler) { h[kind] = handler }

// membershipCPU measures the processor time of a membership view per peer,
// without links: sending heartbeats, reading the responses, and handling the
// heartbeats of the peers.
func membershipCPU(ctx context.Context) ([]Result, error) {
	cpu := &series{name: "membership_cpu", unit: "cores of a VM per peer", planX: plannedVMs}
	refresh := &series{name: "membership_refresh", unit: "seconds of one refresh per peer", planX: plannedVMs}
	for _, n := range []int{30, 100, 200, 400, plannedVMs} {
		view, payloads, h, err := newViewWithPeers(ctx, n)
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
		cpu.add(float64(n), used.Seconds()/rounds*heartbeatsPerSecond)
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

// newViewWithPeers returns a membership view that has received a heartbeat
// response from each of n peers, the encoded heartbeats of these peers, and the
// handlers of the view.
func newViewWithPeers(ctx context.Context, n int) (*membership.View, [][]byte, handlers, error) {
	caller := fakeCaller{seats: map[string]int{}}
	var list []membership.Entry
	var payloads [][]byte
	for i := range n {
		address := fmt.Sprintf("10.%d.%d.7:7946", i/250, i%250)
		caller.seats[address] = i
		list = append(list, membership.Entry{PeerAddress: address, Zone: "zone-01"})
		payload, err := msgpack.Marshal(caller.heartbeatFrom(address))
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
