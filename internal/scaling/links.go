package scaling

import (
	"context"
	"log/slog"
	"net"
	"sync"

	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
)

// beatsPerSecond is how often a VM sends heartbeats to each peer.
const beatsPerSecond = 2

// fixedSeats is one leased seat among a number of held ones.
type fixedSeats struct{ own, held int }

// LeasedSeats implements membership.Seats.
func (s fixedSeats) LeasedSeats() []membership.LeasedSeat {
	return []membership.LeasedSeat{{Index: s.own, Epoch: 3, HeldMs: 1_000_000}}
}

// OccupiedSeats implements membership.Seats.
func (s fixedSeats) OccupiedSeats() int { return s.held }

// linkedVM is a View with real links.
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

// loopbackAddress returns a loopback address that nobody listens on.
func loopbackAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startLinked starts n Views that know each other. Their heartbeats carry no
// attachments; the measures stages and fleet show those.
func startLinked(n int) (vms []*linkedVM, err error) {
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

// beatAll lets every VM send a number of rounds of heartbeats.
func beatAll(ctx context.Context, vms []*linkedVM, rounds int) {
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
	bytes := &series{name: "link_bytes", unit: "bytes/s of a VM, in and out, per VM", planX: planVMs}
	messages := &series{name: "link_messages", unit: "messages/s of a VM, in and out, per VM", planX: planVMs}
	cpu := &series{name: "link_cpu", unit: "cores of a VM per VM", planX: planVMs}
	heap := &series{name: "link_heap", unit: "bytes of heap and stacks of a VM per VM", planX: planVMs}
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
	vms, err := startLinked(n)
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
	beatAll(ctx, vms, 2) // connections are open afterwards
	before := totalStats(vms)
	beatAll(ctx, vms, rounds)
	after := totalStats(vms)
	perSecond := beatsPerSecond / float64(rounds*n)
	bytes.add(float64(n), float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut)*perSecond)
	messages.add(float64(n), float64(after.MessagesIn+after.MessagesOut-before.MessagesIn-before.MessagesOut)*perSecond)
	used := lowestCPU(5, func() { beatAll(ctx, vms, rounds) })
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
