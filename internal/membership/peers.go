package membership

import (
	"context"
	"maps"
	"slices"
	"time"
)

// peerState is the known state of the VM at one address.
type peerState struct {
	instance      Instance // StartNumber is 0 until it was heard from
	zone          string
	seats         []LeasedSeat
	leaving       bool
	configVersion uint64
	// lastHeard is when any message of the instance was last received.
	lastHeard time.Duration
	// confirmedAt is when the latest heartbeat that got a response was sent,
	// and leasedSeats are the seats of that response.
	confirmedAt time.Duration
	leasedSeats []LeasedSeat
	// confirmedSyncedAt is confirmedAt for the latest response that reported no
	// newer configuration than this VM had.
	confirmedSyncedAt time.Duration
	// storeContact and ownStoreContact are the store contacts that responses
	// reported; storeContact only those of responses that set
	// confirmedSyncedAt.
	storeContact, ownStoreContact time.Duration

	addedAt           time.Duration
	heartbeatInFlight bool
	// replacedPeer is the previous instance, if this VM heard from one.
	replacedPeer *Peer
}

// listState is what is known from the platform's VM list.
type listState struct {
	entries map[string]Entry // latest list, by peer address
	readAt  time.Duration
	// listedAt is when an address was last on the list. Entries expire after
	// ListedRetention.
	listedAt map[string]time.Duration
	// missing holds the addresses that were looked up and are not on the list.
	missing map[string]missingAddress
}

// missingAddress records since when an address is known not to be on the list,
// and when it was last looked up.
type missingAddress struct{ since, lastQueried time.Duration }

func newListState() listState {
	return listState{
		entries:  map[string]Entry{},
		readAt:   never,
		listedAt: map[string]time.Duration{},
		missing:  map[string]missingAddress{},
	}
}

// update replaces the list.
func (l *listState) update(entries []Entry, now time.Duration) {
	l.readAt = now
	l.entries = make(map[string]Entry, len(entries))
	for _, e := range entries {
		l.entries[e.PeerAddress] = e
		l.listedAt[e.PeerAddress] = now
		delete(l.missing, e.PeerAddress)
	}
	maps.DeleteFunc(l.listedAt, func(_ string, at time.Duration) bool { return now-at > ListedRetention })
	maps.DeleteFunc(l.missing, func(_ string, m missingAddress) bool { return now-m.lastQueried > MissingRetention })
}

// readInterval returns the time between two reads. It grows with the number of
// VMs listed, so that the whole fleet stays below FleetListReadsPerSecond.
func (l *listState) readInterval(o *Options) time.Duration {
	return max(o.ListInterval, time.Duration(len(l.entries))*time.Second/FleetListReadsPerSecond)
}

// removed reports whether the list shows that the VM at address no longer
// exists. An address that was never seen on the list has to be missing for
// AbsenceTimeout after it was first looked up.
func (l *listState) removed(address string, now time.Duration, o *Options) bool {
	if now-l.readAt > 3*l.readInterval(o)+o.CallTimeout {
		return false
	}
	if _, listed := l.entries[address]; listed {
		return false
	}
	if _, ever := l.listedAt[address]; ever {
		return true
	}
	m, ok := l.missing[address]
	if !ok {
		m.since = now
	}
	m.lastQueried = now
	l.missing[address] = m
	return now-m.since >= o.AbsenceTimeout
}

// ReadList reads the platform's list once.
func (v *View) ReadList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, v.options.CallTimeout)
	defer cancel()
	started := v.Now()
	entries, err := v.options.Lister.List(ctx)
	if err != nil {
		v.options.Log.Warn("VM list could not be read; the last one stays in use", "error", err)
		return
	}
	v.mu.Lock()
	v.vmList.update(entries, started)
	for _, e := range entries {
		if e.PeerAddress != v.options.Self.Address {
			v.peerAt(e.PeerAddress).zone = e.Zone
		}
	}
	v.dropUnlisted(v.Now())
	v.mu.Unlock()
	v.Refresh()
}

// peerAt returns the state of an address and adds it if needed. The caller
// holds v.mu.
func (v *View) peerAt(address string) *peerState {
	p, ok := v.peers[address]
	if !ok {
		p = &peerState{
			instance:          Instance{Address: address},
			lastHeard:         never,
			confirmedAt:       never,
			confirmedSyncedAt: never,
			storeContact:      never,
			ownStoreContact:   never,
			addedAt:           v.Now(),
		}
		v.peers[address] = p
	}
	return p
}

// dropUnlisted drops VMs that are neither listed nor heard from. The caller
// holds v.mu.
func (v *View) dropUnlisted(now time.Duration) {
	for address, p := range v.peers {
		_, listed := v.vmList.entries[address]
		if !listed && now-max(p.lastHeard, p.addedAt) > UnlistedRetention {
			delete(v.peers, address)
			v.options.disconnect(address)
		}
	}
}

// updatePeer records a heartbeat. It returns nil when the heartbeat comes from
// an instance that has been replaced. The caller holds v.mu.
func (v *View) updatePeer(h *Heartbeat, now time.Duration) *peerState {
	p := v.peerAt(h.From.Address)
	if h.From.StartNumber < p.instance.StartNumber {
		return nil
	}
	if h.From.StartNumber > p.instance.StartNumber {
		p.startInstance(h.From, v.options.Log.Info)
	}
	p.lastHeard = now
	p.zone = h.Zone
	p.seats = h.Seats
	p.leaving = h.Leaving
	p.configVersion = max(p.configVersion, h.ConfigVersion)
	return p
}

// startInstance switches to a new instance of the VM and discards what was
// known of the old one.
func (p *peerState) startInstance(next Instance, log func(string, ...any)) {
	if p.instance.StartNumber != 0 {
		old := p.toPeer(Replaced, time.Time{})
		old.Seats = nil
		p.replacedPeer = &old
		log("peer was replaced", "peer", next.Address, "old", p.instance.StartNumber, "new", next.StartNumber)
	}
	p.instance = next
	p.confirmedAt, p.confirmedSyncedAt, p.storeContact, p.ownStoreContact = never, never, never, never
	p.leasedSeats = nil
	p.configVersion = 0
}

func (p *peerState) toPeer(state State, heard time.Time) Peer {
	out := Peer{Instance: p.instance, Zone: p.zone, State: state, LastHeard: heard, ConfigVersion: p.configVersion}
	for _, c := range p.seats {
		out.Seats = append(out.Seats, c.Index)
	}
	return out
}

// peerStateAt classifies the current instance at an address. The caller holds
// v.mu.
func (v *View) peerStateAt(address string, p *peerState, now time.Duration) State {
	heard := now-p.lastHeard <= v.options.HeartbeatTimeout
	switch {
	case !heard && v.vmList.removed(address, now, &v.options):
		return Removed
	case p.leaving || v.vmList.entries[address].Leaving:
		return Leaving
	case heard:
		return Live
	default:
		return Suspect
	}
}

// StateOf returns the known state of one instance. An instance that was never
// heard from or listed is suspect until the list shows that it was removed.
func (v *View) StateOf(i Instance) State {
	now := v.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if i.Address == v.options.Self.Address {
		if i.StartNumber < v.options.Self.StartNumber {
			return Replaced
		}
		return Live
	}
	p, ok := v.peers[i.Address]
	if !ok {
		p = &peerState{lastHeard: never}
	}
	if i.StartNumber < p.instance.StartNumber {
		return Replaced
	}
	return v.peerStateAt(i.Address, p, now)
}

// LastHeard returns how long ago a message of the instance was received, and
// false when none was.
func (v *View) LastHeard(i Instance) (age time.Duration, ok bool) {
	now := v.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	p, known := v.peers[i.Address]
	if !known || p.instance != i || p.lastHeard == never {
		return 0, false
	}
	return now - p.lastHeard, true
}

// SeatsOfPeers returns the seats that peers reported as leased in their latest
// heartbeat, each with the highest epoch, as far as the peers were heard from
// within the heartbeat timeout.
func (v *View) SeatsOfPeers() map[int]uint64 {
	now := v.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	epochs := map[int]uint64{}
	for _, p := range v.peers {
		if now-p.lastHeard > v.options.HeartbeatTimeout {
			continue
		}
		for _, s := range p.seats {
			epochs[s.Index] = max(epochs[s.Index], s.Epoch)
		}
	}
	return epochs
}

// PeersWithStoreContact returns the addresses of peers with recent store
// contact of their own, for the relay of renewals, in an order that differs
// between VMs.
func (v *View) PeersWithStoreContact() []string {
	now := v.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for address, p := range v.peers {
		if now-p.ownStoreContact <= v.options.StoreContactTimeout {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	after, _ := slices.BinarySearch(out, v.options.Self.Address)
	return slices.Concat(out[after:], out[:after])
}

// Refresh recomputes the snapshot and calls the OnUpdate functions.
func (v *View) Refresh() {
	v.mu.Lock()
	now := v.Now()
	s := &snapshot{at: now, peerStoreContact: never}
	for _, address := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.peers[address]
		s.peerStoreContact = max(s.peerStoreContact, p.storeContact)
		s.peers = append(s.peers, p.toPeer(v.peerStateAt(address, p, now), v.wallTime(p.lastHeard)))
		if p.replacedPeer != nil {
			s.peers = append(s.peers, *p.replacedPeer)
		}
	}
	s.quorumUntil = v.quorumUntil(now, func(p *peerState) time.Duration { return p.confirmedAt })
	s.syncedQuorumUntil = v.quorumUntil(now, func(p *peerState) time.Duration { return p.confirmedSyncedAt })
	v.snapshot.Store(s)
	v.mu.Unlock()
	for _, f := range v.onUpdate {
		f()
	}
}

// wallTime converts a time of Now to wall-clock time, and never to the zero
// time.
func (v *View) wallTime(at time.Duration) time.Time {
	if at == never {
		return time.Time{}
	}
	return v.clockBase.Add(at)
}

// quorumUntil returns the time until which more than half of the held seats
// count as confirmed, given a confirmation time for each peer. This VM's own
// seats count as confirmed now, so the result is never later than one
// heartbeat timeout ahead. The caller holds v.mu.
func (v *View) quorumUntil(now time.Duration, heard func(*peerState) time.Duration) time.Duration {
	confirmed := map[int]time.Duration{}
	for _, p := range v.peers {
		for _, c := range p.leasedSeats {
			confirmed[c.Index] = max(valueOrNever(confirmed, c.Index), heard(p))
		}
	}
	for _, c := range v.seats.LeasedSeats() {
		confirmed[c.Index] = now
	}
	need := v.seats.OccupiedSeats()/2 + 1
	times := slices.Sorted(maps.Values(confirmed))
	if len(times) < need {
		return never
	}
	return times[len(times)-need] + v.options.HeartbeatTimeout
}

func valueOrNever(m map[int]time.Duration, key int) time.Duration {
	if value, ok := m[key]; ok {
		return value
	}
	return never
}
