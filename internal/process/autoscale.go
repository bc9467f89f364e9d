package process

import (
	"github.com/oriolefront/oriolefront/internal/autoscale"
)

// minHeardShare is the part of the known VMs that must be heard of for the load of the fleet to
// be known. A zone whose VMs are cut off is a third of them or more.
const minHeardShare = 0.75

// newScaler returns the task that orders servers while this VM holds the duties.
func newScaler(p *Process, holding func() bool, orders autoscale.Orderer) *autoscale.Task {
	return autoscale.NewTask(autoscale.Options{
		Views: p.viewHolder, Registry: p.registry, Orders: orders, Holding: holding, LoadKnown: p.loadKnown, Log: p.log, Metrics: p.metrics,
	})
}

// loadKnown reports whether this VM hears of enough others to know the load of the fleet.
func (p *Process) loadKnown() bool {
	s := p.mesh.Status()
	return float64(s.LiveVMs) >= minHeardShare*float64(s.KnownPeers+1)
}
