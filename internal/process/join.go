package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/oriolefront/oriolefront/internal/wait"
)

const (
	joinRetryInterval = time.Second // between attempts to register
	joinTimeout       = 2 * time.Second
)

// vmRow is the value of a VM's row in the store, from which other VMs learn its
// addresses.
type vmRow struct {
	HeartbeatAddress string `json:"datagrams"`
	LinkAddress      string `json:"links"`
	Zone             string `json:"zone"`
}

// join registers this VM in the store and discovers the other VMs.
func (p *Process) join(ctx context.Context) {
	p.addSeeds()
	for ctx.Err() == nil {
		err := p.register(ctx)
		if err == nil {
			return
		}
		p.log.Warn("failed to register in the store; retrying", "error", err)
		wait.For(ctx, joinRetryInterval)
	}
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

func (p *Process) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	row, err := json.Marshal(vmRow{HeartbeatAddress: p.listenAddresses.Datagrams, LinkAddress: p.listenAddresses.Links, Zone: p.vm.Zone})
	if err != nil {
		return fmt.Errorf("encode the VM's row: %w", err)
	}
	if err := p.store.Put(ctx, p.tables.VMs, p.vm.Name, row); err != nil {
		return fmt.Errorf("write the VM's row: %w", err)
	}
	listing, err := p.store.List(ctx, p.tables.VMs)
	if err != nil {
		return fmt.Errorf("list the VMs: %w", err)
	}
	for _, r := range listing.Records {
		var v vmRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			p.log.Warn("VM row ignored", "key", r.Key, "error", err)
			continue
		}
		p.mesh.AddPeer(v.HeartbeatAddress)
	}
	p.log.Info("registered in the store", "vms", len(listing.Records))
	p.mesh.ScheduleStatusHeartbeat()
	return nil
}
