package process

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/wait"
)

const (
	joinRetryInterval = time.Second // between attempts to register
	joinTimeout       = 2 * time.Second
	// registrationInterval is the mean time between the registrations of different VMs in
	// a new epoch of the store.
	registrationInterval = 10 * time.Millisecond
)

// vmRow is the value of a VM's row in the store, from which other VMs learn its
// addresses.
type vmRow struct {
	HeartbeatAddress string `json:"datagrams"`
	LinkAddress      string `json:"links"`
	Zone             string `json:"zone"`
}

// join registers this VM in the store and discovers the other VMs. It registers again in
// each epoch of the store, because the row may be lost when the store is restored.
func (p *Process) join(ctx context.Context) {
	p.addSeeds()
	for ctx.Err() == nil {
		epoch, err := p.register(ctx)
		if err != nil {
			p.log.Warn("failed to register in the store; retrying", "error", err)
			wait.For(ctx, joinRetryInterval)
			continue
		}
		for p.storeEpoch() <= epoch && wait.For(ctx, joinRetryInterval) {
		}
		wait.For(ctx, rand.N(p.registrationSpread()))
	}
}

// registrationSpread returns the time over which the VMs spread their registrations in a new
// epoch. The store serializes the writes of all VMs and those of the operator.
func (p *Process) registrationSpread() time.Duration {
	return time.Duration(p.mesh.Status().KnownPeers+1) * registrationInterval
}

// addSeeds adds the seed VMs of the settings as peers. All VMs use the same port
// for heartbeats.
func (p *Process) addSeeds() {
	own, err := netip.ParseAddrPort(p.listenAddresses.Datagrams)
	if err != nil {
		return // the settings were validated when they were loaded
	}
	for _, seed := range p.settings.Load().Peers.Seeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			p.mesh.AddPeer(netip.AddrPortFrom(a.Addr(), own.Port()).String())
		}
	}
}

// register writes this VM's row and adds the VMs in the store as peers. It returns the
// epoch of the store in which the row was there.
func (p *Process) register(ctx context.Context) (epoch uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	row, err := json.Marshal(vmRow{HeartbeatAddress: p.listenAddresses.Datagrams, LinkAddress: p.listenAddresses.Links, Zone: p.vm.Zone})
	if err != nil {
		return 0, fmt.Errorf("encode the VM's row: %w", err)
	}
	if err := p.store.Put(ctx, p.tables.VMs, p.vm.Name, row); err != nil {
		return 0, fmt.Errorf("write the VM's row: %w", err)
	}
	listing, err := p.store.List(ctx, p.tables.VMs)
	if err != nil {
		return 0, fmt.Errorf("list the VMs: %w", err)
	}
	registered := slices.ContainsFunc(listing.Records, func(r replica.Record) bool { return r.Key == p.vm.Name })
	if !registered {
		return 0, fmt.Errorf("the store lacks the VM's row in epoch %d after it was written; the store may have been restored meanwhile", listing.Epoch)
	}
	for _, r := range listing.Records {
		var v vmRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			p.log.Warn("VM row ignored", "key", r.Key, "error", err)
			continue
		}
		p.mesh.AddPeer(v.HeartbeatAddress)
	}
	p.log.Info("registered in the store", "epoch", listing.Epoch, "vms", len(listing.Records))
	p.mesh.ScheduleStatusHeartbeat()
	return listing.Epoch, nil
}
