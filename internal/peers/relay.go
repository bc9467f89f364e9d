package peers

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Where zones are distant, most heartbeats are not sent to each VM of another zone but to two of
// them, its relays, which pass them on within their zone. Relay messages wrap the encoded
// heartbeat: mark, kind, IPv4 address and port of the origin if it is passed on, heartbeat. Their
// first byte begins no msgpack value, so that programs that do not know them reject them.
const (
	relayMark = 0xc1
	// relayRequest and relayFullRequest are sent by the origin of a heartbeat to a relay.
	relayRequest     = 1
	relayFullRequest = 3
	// relayedHeartbeat and relayedFull are sent by a relay. They are not passed on again.
	relayedHeartbeat = 2
	relayedFull      = 4

	relayRequestHeader  = 2
	relayedHeaderLength = relayRequestHeader + 6
)

// Limits of what a relay passes on; what exceeds them is dropped and reaches the others with the
// next full heartbeat.
const (
	// maxRelayBytes bounds a relayed heartbeat. Larger ones are sent directly. An ordinary one
	// tells of a few requests, with some 50 bytes each.
	maxRelayBytes = 8 << 10
	// A VM sends some 5 ordinary heartbeats a second, 20 under the heaviest load measured
	// (460 requests a second over 83 VMs, three changes each).
	maxRelaysPerOrigin = 200 // in relayRateWindow
	maxRelaysPerWindow = 600 // of all origins together
	relayRateWindow    = time.Second
)

// Errors of relay messages that are rejected.
var (
	errRelayMalformed = errors.New("malformed relay message")
	errRelayUnknown   = errors.New("relay message: the sender or the origin is not known as a VM of the zone that it must be in")
	errRelayForbidden = errors.New("relay message: neither an ordinary heartbeat nor a full one with the status of its origin")
	errRelayRate      = errors.New("relay message: more than the rate that is passed on")
)

// isRelayMessage reports whether a datagram is a relay message.
func isRelayMessage(data []byte) bool { return len(data) > 0 && data[0] == relayMark }

// encodeRelayRequest wraps a heartbeat for a relay.
func encodeRelayRequest(full bool, data []byte) []byte {
	kind := byte(relayRequest)
	if full {
		kind = relayFullRequest
	}
	return append([]byte{relayMark, kind}, data...)
}

// appendRelayed appends a heartbeat that is passed on, with the address that it came from.
func appendRelayed(message []byte, full bool, origin netip.AddrPort, data []byte) []byte {
	kind := byte(relayedHeartbeat)
	if full {
		kind = relayedFull
	}
	address := origin.Addr().Unmap().As4()
	message = append(message, relayMark, kind)
	message = append(message, address[:]...)
	message = binary.BigEndian.AppendUint16(message, origin.Port())
	return append(message, data...)
}

// decodeRelayed returns the origin and the heartbeat of a message that was passed on.
func decodeRelayed(message []byte) (origin netip.AddrPort, data []byte, err error) {
	if len(message) <= relayedHeaderLength {
		return origin, nil, errRelayMalformed
	}
	address := netip.AddrFrom4([4]byte(message[relayRequestHeader : relayRequestHeader+4]))
	port := binary.BigEndian.Uint16(message[relayRequestHeader+4:])
	return netip.AddrPortFrom(address, port), message[relayedHeaderLength:], nil
}

// decodeRelayable decodes a heartbeat that may be relayed: an ordinary one, or a full one with the
// status.
func decodeRelayable(full bool, data []byte) (heartbeat, error) {
	if len(data) > maxRelayBytes {
		return heartbeat{}, fmt.Errorf("%w: %d bytes", errRelayMalformed, len(data))
	}
	h, err := decodeHeartbeat(data)
	if err == nil && (h.Whole != full || (h.Status != nil) != full) {
		err = errRelayForbidden
	}
	return h, err
}

// receiveRelayMessage handles a relay message that was received from an address.
func (m *Mesh) receiveRelayMessage(ctx context.Context, from netip.AddrPort, message []byte) error {
	if len(message) <= relayRequestHeader {
		return errRelayMalformed
	}
	switch kind := message[1]; kind {
	case relayRequest, relayFullRequest:
		return m.receiveRelayRequest(ctx, from, kind == relayFullRequest, message[relayRequestHeader:])
	case relayedHeartbeat, relayedFull:
		return m.receiveRelayed(ctx, from, kind == relayedFull, message)
	}
	return errRelayMalformed
}

// receiveRelayRequest applies a heartbeat of a VM of another zone and passes it on, unless a newer
// one is known or it was passed on before.
func (m *Mesh) receiveRelayRequest(ctx context.Context, from netip.AddrPort, full bool, data []byte) error {
	origin := m.nameOf(from)
	if zone, known := m.zoneOf(origin); !known || zone == m.self.Zone {
		return errRelayUnknown
	}
	h, err := decodeRelayable(full, data)
	if err != nil {
		return err
	}
	if err := m.applyRelayable(ctx, origin, h); err != nil {
		return err
	}
	if !m.relaying() || !m.markPassedOn(origin, h) {
		return nil
	}
	if !m.relayRates.allow(origin, time.Now()) {
		return errRelayRate
	}
	m.traffic.relayed.Inc()
	m.passOnBuffer = appendRelayed(m.passOnBuffer[:0], full, from, data)
	for _, a := range m.currentRoutes(time.Now()).passOn {
		m.send(m.passOnBuffer, a)
	}
	return nil
}

// receiveRelayed applies a heartbeat that a relay of this zone has passed on.
func (m *Mesh) receiveRelayed(ctx context.Context, from netip.AddrPort, full bool, message []byte) error {
	address, data, err := decodeRelayed(message)
	if err != nil {
		return err
	}
	if zone, known := m.zoneOf(m.nameOf(from)); !known || zone != m.self.Zone {
		return errRelayUnknown
	}
	origin := m.nameOf(address)
	if zone, known := m.zoneOf(origin); !known || zone == m.self.Zone {
		return errRelayUnknown
	}
	if m.outdated(origin, full, data) {
		return nil
	}
	h, err := decodeRelayable(full, data)
	if err != nil {
		return err
	}
	h.relayed = true
	return m.applyRelayable(ctx, origin, h)
}

// applyRelayable applies a heartbeat that may be relayed. Its status may not change what VM the
// origin is, nor tell of a new instance; only one that the VM itself has sent does that.
func (m *Mesh) applyRelayable(ctx context.Context, origin string, h heartbeat) error {
	if h.Status != nil {
		m.mu.Lock()
		p := m.peers[origin]
		same := p != nil && p.status.sameVM(h.Status)
		restarted := p != nil && p.instanceID != h.Started
		m.mu.Unlock()
		if !same {
			return errRelayForbidden
		}
		if restarted {
			return nil
		}
	}
	m.handleHeartbeat(ctx, origin, h)
	return nil
}

// outdated reports whether a heartbeat is known to be no news, from its first fields alone: each
// relayed one arrives once from each relay.
func (m *Mesh) outdated(origin string, full bool, data []byte) bool {
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.Reset(bytes.NewReader(data))
	if _, err := d.DecodeArrayLen(); err != nil {
		return false
	}
	started, errStarted := d.DecodeUint64()
	sequence, errSequence := d.DecodeUint64()
	if errStarted != nil || errSequence != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[origin]
	if p == nil || p.instanceID != started {
		return false
	}
	if full {
		return sequence <= p.fullSequence
	}
	return sequence <= p.sequence
}

// markPassedOn reports whether a heartbeat is the newest of its origin, or the newest full one, and
// was not passed on yet, and marks it as passed on. It may have been applied before, when the other
// relay passed it on.
func (m *Mesh) markPassedOn(origin string, h heartbeat) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[origin]
	if p == nil || p.instanceID != h.Started {
		return false
	}
	newest, passedOn := p.sequence, &p.passedOn
	if h.Whole {
		newest, passedOn = p.fullSequence, &p.fullPassedOn
	}
	if newest != h.Sequence || *passedOn >= h.Sequence {
		return false
	}
	*passedOn = h.Sequence
	return true
}

// nameOf returns the address of a VM as the peers have it. It is used by the receiver only.
func (m *Mesh) nameOf(address netip.AddrPort) string {
	name, ok := m.names[address]
	if !ok {
		if len(m.names) >= 2*maxPeers {
			clear(m.names) // anything may send datagrams
		}
		name = address.String()
		m.names[address] = name
	}
	return name
}

// zoneOf returns the zone of a VM by its heartbeat address; known is false before its status was
// received.
func (m *Mesh) zoneOf(address string) (zone string, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[address]
	if p == nil || p.lastHeartbeatAt.IsZero() {
		return "", false
	}
	return p.status.Zone, true
}

// relaying reports whether heartbeats to other zones are relayed.
func (m *Mesh) relaying() bool { return m.distant != nil && m.distant() }

// relayRates limits the heartbeats that are passed on, by origin and together.
type relayRates struct {
	mu       sync.Mutex
	windowAt time.Time
	byOrigin map[string]int
	total    int
}

// allow counts a heartbeat of an origin and reports whether it may be passed on.
func (r *relayRates) allow(origin string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.windowAt) >= relayRateWindow || r.byOrigin == nil {
		r.windowAt, r.byOrigin, r.total = now, map[string]int{}, 0
	}
	if r.total >= maxRelaysPerWindow || r.byOrigin[origin] >= maxRelaysPerOrigin {
		return false
	}
	r.byOrigin[origin]++
	r.total++
	return true
}
