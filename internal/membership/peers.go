package membership

import (
	"context"
	"maps"
	"slices"
	"time"
)

// peerState is what is known of the VM at one address.
type peerState struct {
	instance Instance // StartNumber 0 until it was heard
	zone     string
	seats    []LeasedSeat
	leaving  bool
	version  uint64
	// heard is when any message of the instance was received.
	heard time.Duration
	// confirmed is when the latest heartbeat that was answered was sent, and
	// leased are the seats of that answer.
	confirmed time.Duration
	leased    []LeasedSeat
	// current is confirmed for the latest answer that told of no newer
	// configuration than this VM had.
	current time.Duration
	// contact and direct are the store contacts that answers reported; contact
	// only those of answers that set current.
	contact, direct time.Duration

	added   time.Duration
	beating bool
	// replaced is the previous instance, if one was heard.
	replaced *Peer
}

// listState is what is known from the platform's list.
type listState struct {
	entries map[string]Entry // latest list, by peer address
	readAt  time.Duration
	// listedAt is when an address was last on the list, for RememberListed.
	listedAt map[string]time.Duration
	// missing are the addresses that were asked for and are not on the list.
	missing map[string]missing
}

// missing is since when an address is known not to be on the list, and when it
// was last asked for.
type missing struct{ since, asked time.Duration }

func newListState() listState {
	return listState{
		entries:  map[string]Entry{},
		readAt:   never,
		listedAt: map[string]time.Duration{},
		missing:  map[string]missing{},
	}
}

// update takes a new list.
func (l *listState) update(entries []Entry, now time.Duration) {
	l.readAt = now
	l.entries = make(map[string]Entry, len(entries))
	for _, e := range entries {
		l.entries[e.PeerAddress] = e
		l.listedAt[e.PeerAddress] = now
		delete(l.missing, e.PeerAddress)
	}
	maps.DeleteFunc(l.listedAt, func(_ string, at time.Duration) bool { return now-at > ListedRetention })
	maps.DeleteFunc(l.missing, func(_ string, m missing) bool { return now-m.asked > MissingRetention })
}

// interval returns the time between two reads. It grows with the number of VMs
// listed, so that the whole fleet stays below FleetListReads.
func (l *listState) interval(o *Options) time.Duration {
	return max(o.ListInterval, time.Duration(len(l.entries))*time.Second/FleetListReadsPerSecond)
}

// gone reports whether the list shows that the VM at address no longer exists.
// An address that was never seen on the list has to be missing for
// AbsentWindow after it was first asked for.
func (l *listState) gone(address string, now time.Duration, o *Options) bool {
	if now-l.readAt > 3*l.interval(o)+o.CallTimeout {
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
	m.asked = now
	l.missing[address] = m
	return now-m.since >= o.AbsenceTimeout
}

// ReadList reads the platform's list once.
func (v *View) ReadList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, v.o.CallTimeout)
	defer cancel()
	started := v.Now()
	entries, err := v.o.Lister.List(ctx)
	if err != nil {
		v.o.Log.Warn("VM list could not be read; the last one stays in use", "error", err)
		return
	}
	v.mu.Lock()
	v.list.update(entries, started)
	for _, e := range entries {
		if e.PeerAddress != v.o.Self.Address {
			v.peer(e.PeerAddress).zone = e.Zone
		}
	}
	v.dropUnlisted(v.Now())
	v.mu.Unlock()
	v.Refresh()
}

// peer returns the state of an address and adds it if needed. v.mu is held.
func (v *View) peer(address string) *peerState {
	p, ok := v.peers[address]
	if !ok {
		p = &peerState{
			instance:  Instance{Address: address},
			heard:     never,
			confirmed: never,
			current:   never,
			contact:   never,
			direct:    never,
			added:     v.Now(),
		}
		v.peers[address] = p
	}
	return p
}

// dropUnlisted forgets VMs that are neither listed nor heard. v.mu is held.
func (v *View) dropUnlisted(now time.Duration) {
	for address, p := range v.peers {
		_, listed := v.list.entries[address]
		if !listed && now-max(p.heard, p.added) > UnlistedRetention {
			delete(v.peers, address)
			v.o.forget(address)
		}
	}
}

// learn takes a heartbeat. It returns nil when the heartbeat comes from an
// instance that has been replaced. v.mu is held.
func (v *View) learn(h *Heartbeat, now time.Duration) *peerState {
	p := v.peer(h.From.Address)
	if h.From.StartNumber < p.instance.StartNumber {
		return nil
	}
	if h.From.StartNumber > p.instance.StartNumber {
		p.replace(h.From, v.o.Log.Info)
	}
	p.heard = now
	p.zone = h.Zone
	p.seats = h.Seats
	p.leaving = h.Leaving
	p.version = max(p.version, h.ConfigVersion)
	return p
}

// replace starts a new life of the VM: nothing known of the old one holds.
func (p *peerState) replace(next Instance, log func(string, ...any)) {
	if p.instance.StartNumber != 0 {
		old := p.export(Replaced, time.Time{})
		old.Seats = nil
		p.replaced = &old
		log("peer was replaced", "peer", next.Address, "old", p.instance.StartNumber, "new", next.StartNumber)
	}
	p.instance = next
	p.confirmed, p.current, p.contact, p.direct = never, never, never, never
	p.leased = nil
	p.version = 0
}

func (p *peerState) export(state State, heard time.Time) Peer {
	out := Peer{Instance: p.instance, Zone: p.zone, State: state, LastHeard: heard, ConfigVersion: p.version}
	for _, c := range p.seats {
		out.Seats = append(out.Seats, c.Index)
	}
	return out
}

// state classifies the present instance at an address. v.mu is held.
func (v *View) state(address string, p *peerState, now time.Duration) State {
	heard := now-p.heard <= v.o.HeartbeatTimeout
	switch {
	case !heard && v.list.gone(address, now, &v.o):
		return Removed
	case p.leaving || v.list.entries[address].Leaving:
		return Leaving
	case heard:
		return Live
	default:
		return Suspect
	}
}

// StateOf returns what is known of one instance. An instance that was never
// heard or listed is silent until the list shows that it is gone.
func (v *View) StateOf(i Instance) State {
	now := v.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if i.Address == v.o.Self.Address {
		if i.StartNumber < v.o.Self.StartNumber {
			return Replaced
		}
		return Live
	}
	p, ok := v.peers[i.Address]
	if !ok {
		p = &peerState{heard: never}
	}
	if i.StartNumber < p.instance.StartNumber {
		return Replaced
	}
	return v.state(i.Address, p, now)
}

// LastHeard returns how long ago a message of the instance was received, and
// false when none was.
func (v *View) LastHeard(i Instance) (age time.Duration, ok bool) {
	now := v.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	p, known := v.peers[i.Address]
	if !known || p.instance != i || p.heard == never {
		return 0, false
	}
	return now - p.heard, true
}

// PeersWithStoreContact returns the addresses of peers that had own store contact lately,
// for the relay of renewals, in an order that differs between VMs.
func (v *View) PeersWithStoreContact() []string {
	now := v.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for address, p := range v.peers {
		if now-p.direct <= v.o.StoreContactTimeout {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	after, _ := slices.BinarySearch(out, v.o.Self.Address)
	return slices.Concat(out[after:], out[:after])
}

// Refresh recomputes the snapshot and calls the OnUpdate functions.
func (v *View) Refresh() {
	v.mu.Lock()
	now := v.Now()
	s := &snapshot{at: now, peerContact: never}
	for _, address := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.peers[address]
		s.peerContact = max(s.peerContact, p.contact)
		s.peers = append(s.peers, p.export(v.state(address, p, now), v.wall(p.heard)))
		if p.replaced != nil {
			s.peers = append(s.peers, *p.replaced)
		}
	}
	s.quorumUntil = v.quorumUntil(now, func(p *peerState) time.Duration { return p.confirmed })
	s.currentUntil = v.quorumUntil(now, func(p *peerState) time.Duration { return p.current })
	v.snapshot.Store(s)
	v.mu.Unlock()
	for _, f := range v.updates {
		f()
	}
}

// wall converts a time of Now, and never to the zero time.
func (v *View) wall(at time.Duration) time.Time {
	if at == never {
		return time.Time{}
	}
	return v.base.Add(at)
}

// quorumUntil returns the time until which more than half of the held seats
// count as heard, by a time of each peer. The own seats count as heard now, so
// that the result is never later than one window ahead. v.mu is held.
func (v *View) quorumUntil(now time.Duration, heard func(*peerState) time.Duration) time.Duration {
	confirmed := map[int]time.Duration{}
	for _, p := range v.peers {
		for _, c := range p.leased {
			confirmed[c.Index] = max(valueOr(confirmed, c.Index), heard(p))
		}
	}
	for _, c := range v.seats.Leased() {
		confirmed[c.Index] = now
	}
	need := v.seats.Occupied()/2 + 1
	times := slices.Sorted(maps.Values(confirmed))
	if len(times) < need {
		return never
	}
	return times[len(times)-need] + v.o.HeartbeatTimeout
}

func valueOr(m map[int]time.Duration, key int) time.Duration {
	if value, ok := m[key]; ok {
		return value
	}
	return never
}
