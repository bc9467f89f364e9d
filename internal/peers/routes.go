package peers

import (
	"cmp"
	"hash/fnv"
	"net"
	"slices"
	"strconv"
	"time"
)

const (
	// relaysPerZone is the number of relays for a heartbeat in each other zone. With two, a dead
	// one loses nothing while the other one is live.
	relaysPerZone = 2
	// maxRelayedFulls is the number of full heartbeats in a row that go through relays. Each of
	// them and the ordinary ones have relays of their own, so that two relays that fail at once
	// cost a VM either ordinary heartbeats or one of three full ones, and it does not look dead.
	// If more fail at once, the next full heartbeat that is sent directly arrives all the same.
	maxRelayedFulls = 2
	// minRelayedZone is the number of live VMs of another zone from which heartbeats to them are
	// relayed. With fewer, direct sending saves a hop and costs hardly more. For full ones there
	// must be as many as make all these relays different.
	minRelayedZone     = 5
	minFullRelayedZone = relaysPerZone * (1 + maxRelayedFulls)
	// relaySlot is how long a VM keeps its relays. It bounds how long two relays that are both cut
	// off from a part of their zone matter.
	relaySlot = 3 * time.Second
)

// vm is another VM as the choice of routes sees it.
type vm struct {
	name    string // its heartbeat address
	zone    string // empty before its status was received
	address *net.UDPAddr
	live    bool
	relays  bool   // whether it knows relay messages
	hash    uint64 // orders the VMs of a zone
}

// routes are the recipients of the heartbeats of this VM.
type routes struct {
	// near are all VMs of the own zone and those whose zone is not known; remote are all others.
	near, remote []*net.UDPAddr
	// direct are the remote VMs to which ordinary heartbeats are sent directly, fullDirect those
	// to which full ones are, even if they are relayed to the others. VMs that are silent get
	// only full heartbeats.
	direct, fullDirect []*net.UDPAddr
	// relays pass heartbeats on to the rest: the first ones ordinary heartbeats, the others the
	// first full one after one that was sent directly, and the second.
	relays [1 + maxRelayedFulls][]*net.UDPAddr
	// passOn are the VMs of the own zone to which this VM passes heartbeats on.
	passOn []*net.UDPAddr

	slot int64
}

// chooseRoutes divides the other VMs into recipients. self is this VM, live and with its zone.
// The VMs of a zone that know the same VMs draw relays that differ as far as possible: those of a
// zone are put into an order that depends on the slot, and the nth VM of this zone takes the nth
// pair.
func chooseRoutes(self vm, others []vm, slot int64) *routes {
	r := &routes{slot: slot}
	zones := map[string][]vm{}
	senders := []vm{self}
	for _, v := range others {
		if v.zone == self.zone && v.live && v.relays {
			r.passOn = append(r.passOn, v.address)
		}
		switch {
		case v.zone == self.zone && v.live:
			senders = append(senders, v)
			r.near = append(r.near, v.address)
		case v.zone == self.zone || v.zone == "":
			r.near = append(r.near, v.address)
		default:
			r.remote = append(r.remote, v.address)
			zones[v.zone] = append(zones[v.zone], v)
		}
	}
	orderBySlot(senders, slot)
	rank := slices.IndexFunc(senders, func(v vm) bool { return v.name == self.name })
	for _, members := range zones {
		r.addZone(members, rank, slot)
	}
	return r
}

// addZone chooses the recipients of relayed heartbeats in another zone.
func (r *routes) addZone(members []vm, rank int, slot int64) {
	capable := slices.DeleteFunc(slices.Clone(members), func(v vm) bool { return !v.live || !v.relays })
	ordinary, full := len(capable) >= minRelayedZone, len(capable) >= minFullRelayedZone
	for _, v := range members {
		if !ordinary || !v.relays {
			r.direct = append(r.direct, v.address)
		}
		if !full || !v.relays || !v.live {
			r.fullDirect = append(r.fullDirect, v.address)
		}
	}
	orderBySlot(capable, slot)
	for set := range r.relays {
		if set == 0 && !ordinary || set > 0 && !full {
			continue
		}
		for i := range relaysPerZone {
			r.relays[set] = append(r.relays[set], capable[((rank+set)*relaysPerZone+i)%len(capable)].address)
		}
	}
}

// orderBySlot sorts VMs by a hash of their names and the slot.
func orderBySlot(vms []vm, slot int64) {
	text := strconv.FormatInt(slot, 36)
	hash := fnv.New64a()
	for i, v := range vms {
		hash.Reset()
		hash.Write([]byte(text + "/" + v.name + "/" + text))
		vms[i].hash = hash.Sum64()
	}
	slices.SortFunc(vms, func(a, b vm) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
}

// currentRoutes returns the routes of this VM, computed again when a slot begins and when the VMs
// have changed, which sets them to nil.
func (m *Mesh) currentRoutes(now time.Time) *routes {
	slot := now.UnixNano() / int64(relaySlot)
	m.mu.Lock()
	defer m.mu.Unlock()
	if r := m.routes; r != nil && r.slot == slot {
		return r
	}
	others := make([]vm, 0, len(m.peers))
	for name, p := range m.peers {
		others = append(others, vm{name: name, zone: p.status.Zone, address: p.address, live: p.live(), relays: p.status.Relays})
	}
	self := vm{name: m.self.HeartbeatAddress, zone: m.self.Zone, live: true}
	m.routes = chooseRoutes(self, others, slot)
	return m.routes
}
