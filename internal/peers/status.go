package peers

import (
	"slices"
	"sort"
	"time"
)

// Status summarizes the state of the fleet as seen by this VM.
type Status struct {
	// LiveVMs is the number of live VMs, including this one.
	LiveVMs int
	// AnyPeerLive is true when at least one other VM is live.
	AnyPeerLive bool
	// KnownPeers is the number of other VMs from which a heartbeat was received
	// and that were not removed since, live or not.
	KnownPeers int
	// StoreAge is the time since the store last responded to any VM.
	StoreAge time.Duration
}

// maxStoreContactAge is the time since its last store contact up to which a VM is
// considered able to reach the store.
const maxStoreContactAge = 6 * time.Second

// Status returns the current state of the fleet.
func (m *Mesh) Status() Status {
	now := time.Now()
	s := Status{LiveVMs: 1, StoreAge: noContactAge}
	if at := m.lastStoreContact(); !at.IsZero() {
		s.StoreAge = now.Sub(at)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.lastHeartbeatAt.IsZero() {
			continue
		}
		s.KnownPeers++
		if !p.live() {
			continue
		}
		s.LiveVMs++
		s.AnyPeerLive = true
		s.StoreAge = min(s.StoreAge, p.storeContactAge(now))
	}
	return s
}

// live reports whether heartbeats arrive from the VM, and it is not about to leave.
func (p *peer) live() bool {
	return !p.lastHeartbeatAt.IsZero() && !p.suspect && !p.status.Leaving
}

// storeContactAge returns the time since the VM's last contact with the store.
func (p *peer) storeContactAge(now time.Time) time.Duration {
	return p.status.storeAge() + now.Sub(p.statusReceivedAt)
}

// StoreReaders returns the sorted names of this VM and of the live VMs of this
// zone that can reach the store.
func (m *Mesh) StoreReaders() []string {
	now := time.Now()
	names := []string{m.self.Name}
	m.mu.Lock()
	for _, p := range m.peers {
		if p.live() && p.status.Zone == m.self.Zone && p.reachesStore(now) {
			names = append(names, p.status.Name)
		}
	}
	m.mu.Unlock()
	sort.Strings(names)
	return slices.Compact(names)
}

// VMZones returns the zones of the other VMs that have been heard, by the names that the registry
// has of them.
func (m *Mesh) VMZones() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	zones := make(map[string]string, len(m.peers))
	for name, p := range m.peers {
		if p.live() {
			zones[name] = p.status.Zone
		}
	}
	return zones
}
