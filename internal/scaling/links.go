package scaling

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
)

// heartbeatsPerSecond is the rate at which a VM sends heartbeats to each peer.
const heartbeatsPerSecond = 2

// fixedSeats is a VM that leases one seat out of a fixed number of occupied ones.
type fixedSeats struct{ own, occupied int }

// LeasedSeats implements membership.Seats.
func (s fixedSeats) LeasedSeats() []membership.LeasedSeat {
	return []membership.LeasedSeat{{Index: s.own, Epoch: 3, HeldMs: 1_000_000}}
}

// OccupiedSeats implements membership.Seats.
func (s fixedSeats) OccupiedSeats() int { return s.occupied }

// linkedVM is a membership view with real links.
type linkedVM struct {
	server *link.Server
	client *link.Client
	view   *membership.View
}

func (v *linkedVM) stats() link.Stats { return v.client.Stats().Add(v.server.Stats()) }

func (v *linkedVM) close() {
	v.client.Close()
	v.server.Close()
}

// loopbackAddress returns a free loopback address.
func loopbackAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startLinkedVMs starts n membership views that list each other. Their heartbeats
// carry no attachments; the experiments stages and fleet include those.
func startLinkedVMs(n int) (vms []*linkedVM, err error) {
	log := slog.New(slog.DiscardHandler)
	var list []membership.Entry
	lister := membership.ListerFunc(func(context.Context) ([]membership.Entry, error) { return list, nil })
	for i := range n {
		address, err := loopbackAddress()
		if err != nil {
			return vms, err
		}
		vm := &linkedVM{server: link.NewServer(link.Plaintext(), log), client: link.NewClient(link.Plaintext(), log)}
		vm.view = membership.New(membership.Options{
			Self: membership.Instance{Address: address, StartNumber: 1}, Zone: "zone-01", Caller: vm.client, Lister: lister,
		})
		vm.view.SetSeatSource(fixedSeats{i, n})
		vm.view.Register(vm.server)
		vms = append(vms, vm)
		if _, err := vm.server.Listen(address); err != nil {
			return vms, err
		}
		list = append(list, membership.Entry{PeerAddress: address, Zone: "zone-01"})
	}
	return vms, nil
}

// sendHeartbeats makes all VMs concurrently send a number of rounds of
// heartbeats.
func sendHeartbeats(ctx context.Context, vms []*linkedVM, rounds int) {
	var running sync.WaitGroup
	for _, vm := range vms {
		running.Go(func() {
			for range rounds {
				vm.view.SendHeartbeats(ctx)
			}
		})
	}
	running.Wait()
}

// links measures heartbeats between all VMs over loopback.
func links(ctx context.Context) ([]Result, error) {
	bytes := &series{name: "link_bytes", unit: "bytes/s of a VM, in and out, per VM", planX: plannedVMs}
	messages := &series{name: "link_messages", unit: "messages/s of a VM, in and out, per VM", planX: plannedVMs}
	cpu := &series{name: "link_cpu", unit: "cores of a VM per VM", planX: plannedVMs}
	heap := &series{name: "link_heap", unit: "bytes of heap and stacks of a VM per VM", planX: plannedVMs}
	for _, n := range []int{3, 10, 20, 40, 60} {
		if err := linkPoint(ctx, n, bytes, messages, cpu, heap); err != nil {
			return nil, err
		}
	}
	return resultsOf(bytes, messages, cpu, heap), nil
}

func linkPoint(ctx context.Context, n int, bytes, messages, cpu, heap *series) error {
	const rounds = 10
	heapBefore := heapBytes()
	vms, err := startLinkedVMs(n)
	defer func() {
		for _, vm := range vms {
			vm.close()
		}
	}()
	if err != nil {
		return err
	}
	for _, vm := range vms {
		vm.view.ReadList(ctx)
	}
	sendHeartbeats(ctx, vms, 2) // opens the connections
	before := totalStats(vms)
	sendHeartbeats(ctx, vms, rounds)
	after := totalStats(vms)
	perSecond := heartbeatsPerSecond / float64(rounds*n)
	bytes.add(float64(n), float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut)*perSecond)
	messages.add(float64(n), float64(after.MessagesIn+after.MessagesOut-before.MessagesIn-before.MessagesOut)*perSecond)
	used := lowestCPU(5, func() { sendHeartbeats(ctx, vms, rounds) })
	cpu.add(float64(n), used.Seconds()*perSecond)
	heap.add(float64(n), (heapBytes()-heapBefore)/float64(n))
	return nil
}

func totalStats(vms []*linkedVM) (sum link.Stats) {
	for _, vm := range vms {
		sum = sum.Add(vm.stats())
	}
	return sum
}
