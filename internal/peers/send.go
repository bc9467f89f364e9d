package peers

import (
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/vmihailenco/msgpack/v5"
)

func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return minInterval + time.Duration(len(m.peers))*intervalPerPeer
}

// outgoing is an encoded heartbeat.
type outgoing struct {
	// near is for the own zone, remote for other zones.
	near, remote []byte
	// full is true for a full heartbeat. changed is true for one that is sent because the
	// status has changed or a VM became live, so that it goes to each VM directly.
	full, changed bool
	// traffic counts what is sent to other zones directly.
	traffic *metrics.Counter
}

// broadcast sends one heartbeat to every known VM, directly or through relays.
func (m *Mesh) broadcast() {
	relaying := m.relaying()
	o, err := m.encode(relaying)
	if err != nil {
		m.log.Error("heartbeat not sent", "error", err)
		return
	}
	r := m.currentRoutes(time.Now())
	for _, a := range r.near {
		m.send(o.near, a)
	}
	set, relayed := m.relaySet(o, relaying)
	if !relayed {
		m.sendDirectly(o, r.remote)
		return
	}
	if o.full {
		m.sendDirectly(o, r.fullDirect)
	} else {
		m.sendDirectly(o, r.direct)
	}
	if len(r.relays[set]) == 0 {
		return
	}
	request := encodeRelayRequest(o.full, o.remote)
	for _, a := range r.relays[set] {
		m.send(request, a)
		m.traffic.relay.Add(len(request))
	}
}

// relaySet returns which relays a heartbeat goes through; ok is false if it goes to each VM
// directly.
func (m *Mesh) relaySet(o outgoing, relaying bool) (set int, ok bool) {
	ok = relaying && !o.changed && len(o.remote) <= maxRelayBytes
	if !o.full {
		return 0, ok
	}
	if !ok || m.relayedFulls == maxRelayedFulls {
		m.relayedFulls = 0
		return 0, false
	}
	m.relayedFulls++
	return m.relayedFulls, true
}

// sendDirectly sends a heartbeat to VMs of other zones.
func (m *Mesh) sendDirectly(o outgoing, to []*net.UDPAddr) {
	for _, a := range to {
		m.send(o.remote, a)
		o.traffic.Add(len(o.remote))
	}
}

// send sends a datagram.
func (m *Mesh) send(data []byte, to *net.UDPAddr) {
	if err := m.write(data, to); err != nil {
		m.log.Debug("heartbeat not sent", "peer", to.String(), "error", err)
	}
}

// encode encodes the next heartbeat. Where heartbeats are relayed, a full one has the status, so
// that one datagram a second suffices for other zones, and the status that is due by time alone
// goes to the own zone only.
func (m *Mesh) encode(relaying bool) (outgoing, error) {
	select {
	case <-m.wake:
	default:
	}
	m.mu.Lock()
	m.sequence++
	h := heartbeat{Started: m.instanceID, Sequence: m.sequence}
	m.mu.Unlock()
	fullDue := m.fullDue.Swap(false)
	if fullDue || time.Since(m.lastFullAt) >= fullInterval {
		m.lastFullAt = time.Now()
		h.Whole, h.Jobs = true, encodeRequests(m.registry.FullReport())
		h.Jobs = append(h.Jobs, encodeWaiting(m.registry.FullWaiting())...)
	} else {
		jobs, gone := m.registry.DeltaReport()
		h.Jobs, h.Gone = append(encodeRequests(jobs), encodeWaiting(m.registry.DeltaWaiting())...), gone
	}
	h.Unreachable = m.reachability.UnreachableTargets()
	statusByTime := m.statusByTime.Swap(false)
	statusChanged := m.statusDue.Swap(false)
	if statusChanged || relaying && h.Whole || !relaying && statusByTime {
		h.Status, statusByTime = m.status(), false
	}
	o := outgoing{full: h.Whole, changed: fullDue || statusChanged, traffic: m.traffic.of(h)}
	var err error
	if o.remote, err = m.marshal(h); err != nil {
		return o, err
	}
	o.near = o.remote
	if statusByTime {
		h.Status = m.status()
		o.near, err = m.marshal(h)
	}
	return o, err
}

// marshal encodes a heartbeat. One that would be too large is sent without quarantined parts and
// counts of requests.
func (m *Mesh) marshal(h heartbeat) ([]byte, error) {
	data, err := msgpack.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("encode heartbeat: %w", err)
	}
	if len(data) > maxDatagramBytes && h.Status != nil && (h.Status.Quarantine != nil || h.Status.Usage != nil) {
		m.log.Warn("heartbeat sent without quarantined parts and usage: it is too large", "bytes", len(data))
		h.Status.Quarantine, h.Status.Usage = nil, nil
		if data, err = msgpack.Marshal(h); err != nil {
			return nil, fmt.Errorf("encode heartbeat: %w", err)
		}
	}
	if len(data) > maxDatagramBytes {
		return nil, fmt.Errorf("heartbeat has %d bytes, more than the limit of %d", len(data), maxDatagramBytes)
	}
	return data, nil
}

func (m *Mesh) status() *status {
	s := &status{
		Relays: m.relaying(),
		Name:   m.self.Name, Zone: m.self.Zone, HeartbeatAddress: m.self.HeartbeatAddress, LinkAddress: m.self.LinkAddress,
		Leaving: m.leaving.Load(), UptimeMs: time.Since(m.startedAt).Milliseconds(), StoreAgeMs: noContactAge.Milliseconds(), StoreUnreachable: m.storeUnreachable(),
		Versions: map[string]uint64{}, Confirmed: map[string]int64{}, Quarantine: m.quarantine.Report(time.Now()),
		Pace: m.pace.Report(time.Now()),
	}
	if m.duties != nil {
		s.Duty, s.Usage = m.duties.Report()
	}
	if at := m.lastStoreContact(); !at.IsZero() {
		s.StoreAgeMs = time.Since(at).Milliseconds()
	}
	for _, c := range m.replicas {
		s.Epoch = max(s.Epoch, c.Position().Epoch)
	}
	for table, c := range m.replicas {
		// The position is read after the time, so that it is never too old for it.
		epoch, storeTime, confirmed := m.confirmed(table)
		position, base := c.PositionAndBase()
		if position.Epoch != s.Epoch {
			continue
		}
		s.Versions[table] = position.Version
		if confirmed && epoch == s.Epoch {
			s.Confirmed[table] = storeTime.Milliseconds()
		}
		if s.Base == 0 || base < s.Base {
			s.Base = base
		}
	}
	return s
}

// noContactAge is the reported age when there was no contact with the store.
const noContactAge = 365 * 24 * time.Hour
