package process

import (
	"fmt"

	"github.com/oriolefront/oriolefront/internal/forward"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/overload"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/vmsettings"
)

// overloadPolicy returns what decides whether waiting calls are served in one order over all VMs.
func (p *Process) overloadPolicy() *forward.OverloadPolicy {
	return &forward.OverloadPolicy{Active: p.ordersCalls, VM: p.listenAddresses.Datagrams, VMZones: p.mesh.VMZones}
}

// registerOverloadGauges registers the numbers of calls of this VM that wait for a slot.
func (p *Process) registerOverloadGauges() {
	for class, late := range map[string]bool{"on_time": false, "late": true} {
		p.metrics.NewGauge(fmt.Sprintf(`oriole_overload_waiting{class=%q}`, class), func() float64 { return float64(p.waitingCalls(late)) })
	}
}

func (p *Process) waitingCalls(late bool) int {
	n := 0
	p.registry.EachWaiting(func(vm string, c inflight.WaitingCall) {
		if vm == "" && (c.Age >= c.LateAfter) == late {
			n++
		}
	})
	return n
}

// ordersCalls reports whether the order applies under a configuration.
func (p *Process) ordersCalls(config *topology.Config) bool {
	switch p.settings.Load().Overload.Mode {
	case vmsettings.OverloadOn:
		return true
	case vmsettings.OverloadOff:
		return false
	}
	return overload.RanksDiffer(config) || p.zoneDistances.Distant(config)
}
