package peers

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/duty"
	"github.com/oriolefront/oriolefront/internal/usage"
)

// Duties exchanges the state of the duties with the other VMs.
type Duties interface {
	// Report returns what is to be told; each part may be nil.
	Report() (*duty.Status, *usage.Report)
	// Merge records what an instance of another VM has told; each part may be nil.
	Merge(instance uint64, d *duty.Status, u *usage.Report)
}

// LiveVM is another VM from which heartbeats arrive.
type LiveVM struct {
	Name string
	// ReachesStore is true if the store has answered the VM lately, StoreFails while its calls
	// to the store fail.
	ReachesStore bool
	StoreFails   bool
	Uptime       time.Duration
	// Duty is what the VM last told of the duties, or nil.
	Duty *duty.Status
}

// LiveVMs returns the other VMs that are live.
func (m *Mesh) LiveVMs() []LiveVM {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var vms []LiveVM
	for _, p := range m.peers {
		if p.live() {
			vms = append(vms, LiveVM{Name: p.status.Name, Duty: p.status.Duty, ReachesStore: p.reachesStore(now), StoreFails: p.status.StoreUnreachable,
				Uptime: p.status.uptime() + now.Sub(p.statusReceivedAt)})
		}
	}
	return vms
}

// RecentInstances returns the instances of the other VMs that were heard of within a time and are
// not about to leave. Some of them may be cut off or suspended and come back.
func (m *Mesh) RecentInstances(within time.Duration) []uint64 {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []uint64
	for _, p := range m.peers {
		if !p.lastHeartbeatAt.IsZero() && now.Sub(p.lastHeartbeatAt) < within && !p.status.Leaving {
			ids = append(ids, p.instanceID)
		}
	}
	return ids
}

// reachesStore reports whether the store has answered the VM lately.
func (p *peer) reachesStore(now time.Time) bool {
	return p.storeContactAge(now) < maxStoreContactAge && !p.status.StoreUnreachable
}

// ReachesStore reports whether the store has answered this VM lately.
func (m *Mesh) ReachesStore() bool {
	at := m.lastStoreContact()
	return !at.IsZero() && time.Since(at) < maxStoreContactAge && !m.storeUnreachable()
}

// Uptime returns the time since this VM's process started.
func (m *Mesh) Uptime() time.Duration { return time.Since(m.startedAt) }
