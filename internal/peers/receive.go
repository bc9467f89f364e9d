package peers

import (
	"context"
	"fmt"
	"net/netip"
	"time"
)

func (m *Mesh) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, from, err := m.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				m.log.Warn("heartbeat not received", "error", err)
				time.Sleep(coalesceDelay)
			}
			continue
		}
		if err := m.receiveDatagram(ctx, from, buffer[:n]); err != nil {
			m.rejections.record(from.String(), fmt.Errorf("datagram of %d bytes: %w", n, err))
		}
	}
}

// receiveDatagram handles a datagram that was received from an address.
func (m *Mesh) receiveDatagram(ctx context.Context, from netip.AddrPort, data []byte) error {
	if isRelayMessage(data) {
		return m.receiveRelayMessage(ctx, from, data)
	}
	h, err := decodeHeartbeat(data)
	if err == nil {
		m.handleHeartbeat(ctx, m.nameOf(from), h)
	}
	return err
}

// handleHeartbeat applies a heartbeat received from an address. Of those that are
// older than the last one applied it uses only what applyOvertaken describes. The
// first heartbeat of an instance must include the status.
func (m *Mesh) handleHeartbeat(ctx context.Context, from string, h heartbeat) {
	if h.Started == m.instanceID {
		return
	}
	if h.Status != nil {
		if err := h.Status.check(); err != nil {
			m.rejections.record(from, err)
			return
		}
		m.AddPeer(from)
	}
	m.mu.Lock()
	p := m.peers[from]
	if p == nil || h.Started == p.previousInstanceID || h.Started != p.instanceID && h.Status == nil {
		m.mu.Unlock()
		return
	}
	restarted := h.Started != p.instanceID
	if !restarted && h.Sequence <= p.sequence {
		full, newStatus := m.recordParts(p, h)
		m.mu.Unlock()
		m.applyOvertaken(ctx, from, h, full, newStatus)
		return
	}
	if restarted {
		p.previousInstanceID = p.instanceID
		p.passedOn, p.fullPassedOn, p.fullSequence, p.statusSequence = 0, 0, 0, 0
	}
	becameLive := p.lastHeartbeatAt.IsZero() || p.suspect || restarted
	p.instanceID, p.sequence, p.lastHeartbeatAt, p.suspect = h.Started, h.Sequence, time.Now(), false
	if !h.relayed {
		p.directAt = p.lastHeartbeatAt
	}
	m.recordParts(p, h)
	if becameLive {
		m.routes = nil
	}
	latest := p.status
	m.mu.Unlock()
	if becameLive {
		m.log.Info("peer heard", "peer", latest.Name, "zone", latest.Zone, "address", from)
		m.fullDue.Store(true)
		m.ScheduleStatusHeartbeat()
	}
	if h.Whole || restarted {
		m.registry.ReplacePeer(from, decodeRequests(h.Jobs))
	} else {
		m.registry.UpdatePeer(from, decodeRequests(h.Jobs), h.Gone)
	}
	m.registry.MergeWaiting(from, decodeWaiting(h.Jobs))
	m.reachability.MarkSuspect(h.Unreachable)
	if h.Status != nil {
		m.applyStatus(ctx, from, h)
	}
}

// recordParts records the status of a heartbeat and that it is a full one, and reports which of
// both are newer than what was received before. The lock must be held.
func (m *Mesh) recordParts(p *peer, h heartbeat) (full, newStatus bool) {
	if h.Whole && h.Sequence > p.fullSequence {
		p.fullSequence, full = h.Sequence, true
	}
	if h.Status != nil && h.Sequence > p.statusSequence {
		if !p.status.sameRoute(h.Status) {
			m.routes = nil
		}
		p.status, p.statusReceivedAt, p.statusSequence, newStatus = *h.Status, time.Now(), h.Sequence, true
	}
	return full, newStatus
}

// applyOvertaken applies what an older heartbeat still tells after a newer one was applied: a full
// one which requests had ended, and its status. Otherwise both would be missing until the next full
// heartbeat. Heartbeats that take different ways often arrive in another order.
func (m *Mesh) applyOvertaken(ctx context.Context, from string, h heartbeat, full, newStatus bool) {
	if full {
		m.registry.RemoveEnded(from, decodeRequests(h.Jobs))
	}
	if newStatus {
		m.applyStatus(ctx, from, h)
	}
}

// applyStatus passes the parts of a status on to those that learn from them.
func (m *Mesh) applyStatus(ctx context.Context, from string, h heartbeat) {
	if h.Status.Quarantine != nil {
		m.quarantine.Merge(h.Status.Quarantine, time.Now())
	}
	m.pace.Merge(from, h.Status.Pace, time.Now())
	if m.duties != nil {
		m.duties.Merge(h.Started, h.Status.Duty, h.Status.Usage)
	}
	m.observeBase(h.Status.Epoch, h.Status.Base)
	for table, ms := range h.Status.Confirmed {
		if _, ok := h.Status.Versions[table]; !ok {
			continue
		}
		m.confirm(table, h.Status.position(table), time.Duration(ms)*time.Millisecond)
	}
	m.fetchNewer(ctx, *h.Status)
}

// expirePeers marks VMs without recent heartbeats as suspect and drops their
// requests. After removeAfter it removes them.
func (m *Mesh) expirePeers() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		sinceLastHeartbeat := now.Sub(p.lastHeartbeatAt)
		if p.lastHeartbeatAt.IsZero() {
			sinceLastHeartbeat = now.Sub(p.addedAt)
		}
		if sinceLastHeartbeat > suspectAfter && !p.suspect && !p.lastHeartbeatAt.IsZero() {
			p.suspect, m.routes = true, nil
			m.log.Warn("no heartbeat from peer", "peer", p.status.Name, "since_last_heartbeat", sinceLastHeartbeat, "leaving", p.status.Leaving)
			m.registry.ReplacePeer(address, nil)
		}
		if sinceLastHeartbeat > removeAfter {
			delete(m.peers, address)
			m.routes = nil
		}
	}
}
