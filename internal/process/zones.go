package process

import "github.com/oriolefront/oriolefront/internal/forward"

// relaysHeartbeats reports whether heartbeats to other zones are relayed.
func (p *Process) relaysHeartbeats() bool {
	return p.settings.Load().Zones.Relays && p.zoneDistances.Distant(p.viewHolder.Get().Config)
}

// zonePolicy returns what decides on calls that may leave the zone.
func (p *Process) zonePolicy() *forward.ZonePolicy {
	return &forward.ZonePolicy{
		TrafficCost: func() float64 { return p.settings.Load().Zones.TrafficCost },
		VMZones:     p.mesh.VMZones, Distances: &p.zoneDistances,
	}
}
