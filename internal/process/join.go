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
	joinInterval = time.Second // between tries to register
	joinLimit    = 2 * time.Second
)

// vmRow is this VM's row in the store, by which others find it.
type vmRow struct {
	Datagrams string `json:"datagrams"`
	Links     string `json:"links"`
	Zone      string `json:"zone"`
}

// join makes this VM known to the others and finds them.
func (p *Process) join(ctx context.Context) {
	p.addSeeds()
	for ctx.Err() == nil {
		err := p.register(ctx)
		if err == nil {
			return
		}
		p.log.Warn("not registered in the store; trying again", "error", err)
		wait.For(ctx, joinInterval)
	}
}

// addSeeds adds the VMs that the settings name. Their datagram port is the same
// as here.
func (p *Process) addSeeds() {
	own, err := netip.ParseAddrPort(p.listens.Datagrams)
	if err != nil {
		return // checked with the settings
	}
	for _, seed := range p.settings.Load().Peers.Seeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			p.mesh.AddPeer(netip.AddrPortFrom(a.Addr(), own.Port()).String())
		}
	}
}

func (p *Process) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	row, err := json.Marshal(vmRow{Datagrams: p.listens.Datagrams, Links: p.listens.Links, Zone: p.vm.Zone})
	if err != nil {
		return fmt.Errorf("encode the VM's row: %w", err)
	}
	if err := p.store.Put(ctx, p.tables.VMs, p.vm.Name, row); err != nil {
		return fmt.Errorf("write the VM's row: %w", err)
	}
	rows, _, err := p.store.List(ctx, p.tables.VMs)
	if err != nil {
		return fmt.Errorf("list the VMs: %w", err)
	}
	for _, r := range rows {
		var v vmRow
		if err := json.Unmarshal(r.Value, &v); err != nil {
			p.log.Warn("VM row ignored", "key", r.Key, "error", err)
			continue
		}
		p.mesh.AddPeer(v.Datagrams)
	}
	p.log.Info("registered in the store", "vms", len(rows))
	p.mesh.ScheduleStatusHeartbeat()
	return nil
}
