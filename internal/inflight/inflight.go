// Package inflight tracks the in-flight requests of all entry VMs: this VM's own,
// and those that the other VMs last reported. The load of a target is the sum of
// both.
package inflight

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Request describes a request that was sent to a target.
type Request struct {
	Target string
	// Helpers are further engines that prefill parts of the prompt.
	Helpers []string
	// Reserved is true when each of these engines holds a KV reservation for its
	// part of the prompt.
	Reserved bool
	// PromptTokens and OutputTokens are 0 for plain services.
	PromptTokens int
	OutputTokens int
	// MaxEventGap is the longest gap between events that still counts as on time.
	MaxEventGap time.Duration
}

// RequestState is the state of a request at one moment.
type RequestState struct {
	Request
	// ID is unique among the requests of one VM.
	ID  uint64
	Age time.Duration
	// Decoding is true once the first event has arrived, which was DecodingFor
	// ago.
	Decoding    bool
	DecodingFor time.Duration
	// Ended is true for a request that ended a short time ago. Other prompts on
	// the engine had to wait for its prefill.
	Ended bool
}

// MaxPeerRequests bounds the requests of another VM that are held. It is more than the
// reports of a VM have room for.
const MaxPeerRequests = 8192

// Requests with at least retainTokens prompt tokens are still reported for
// retainFor after their end.
const (
	retainTokens = 20_000
	retainFor    = 3 * time.Second
)

// Running is an in-flight request of this VM.
type Running struct {
	registry        *Registry
	id              uint64
	request         Request
	started         time.Time
	firstEventAfter atomic.Int64 // time from started to the first event; 0 before it
	ended           time.Time
}

// FirstEvent records that the response has begun.
func (r *Running) FirstEvent() {
	if r.firstEventAfter.CompareAndSwap(0, int64(max(time.Since(r.started), 1))) {
		r.registry.mu.Lock()
		r.registry.changed[r] = struct{}{}
		r.registry.mu.Unlock()
		r.registry.notify()
	}
}

// StartedAt returns when the request was started.
func (r *Running) StartedAt() time.Time { return r.started }

// FirstEventAt returns when the response began; ok is false before that.
func (r *Running) FirstEventAt() (at time.Time, ok bool) {
	after := time.Duration(r.firstEventAfter.Load())
	return r.started.Add(after), after > 0
}

// Done removes the request.
func (r *Running) Done() {
	r.registry.mu.Lock()
	delete(r.registry.local, r)
	r.registry.recordEnd(r.request.Target)
	if r.request.PromptTokens >= retainTokens && r.firstEventAfter.Load() > 0 {
		r.ended = time.Now()
		r.registry.ended = append(r.registry.ended, r)
		r.registry.changed[r] = struct{}{}
	} else {
		delete(r.registry.changed, r)
		r.registry.removed = append(r.registry.removed, r.id)
	}
	r.registry.mu.Unlock()
	r.registry.notify()
}

func (r *Running) state(now time.Time) RequestState {
	s := RequestState{Request: r.request, ID: r.id, Age: now.Sub(r.started), Ended: !r.ended.IsZero()}
	if first := time.Duration(r.firstEventAfter.Load()); first > 0 {
		s.Decoding, s.DecodingFor = true, s.Age-first
	}
	return s
}

// Registry holds the in-flight requests of all VMs.
type Registry struct {
	// OnChange is called after each change of this VM's own requests.
	OnChange func()
	// OnPeerChange is called after each change of another VM's requests.
	OnPeerChange func()

	mu     sync.Mutex
	local  map[*Running]struct{}
	ended  []*Running // retained requests, in the order in which they ended
	lastID uint64     // id of the newest request
	// changed and removed have not been reported to the other VMs yet.
	changed map[*Running]struct{}
	removed []uint64
	peers   map[string]map[uint64]peerRequest
	// sends are the times at which this VM sent requests to each target within
	// the last second, including requests that have ended.
	sends map[string][]time.Time
	// loadSizes are the numbers of requests at each target when Loads was last called, so that it
	// allocates about as much as it needs.
	loadSizes map[string]int
	// waiting are the calls that no engine has room for yet.
	waiting waitingSet
	// ends are the times at which requests at each target ended within the last second.
	ends map[string][]time.Time
	// reports are the times at which the other VMs last reported.
	reports map[string]time.Time
}

// peerRequest is a request as another VM reported it.
type peerRequest struct {
	RequestState
	reportedAt time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{local: map[*Running]struct{}{}, changed: map[*Running]struct{}{}, peers: map[string]map[uint64]peerRequest{}, sends: map[string][]time.Time{}, waiting: newWaitingSet(), ends: map[string][]time.Time{}, reports: map[string]time.Time{}}
}

func (reg *Registry) notify() {
	if reg.OnChange != nil {
		reg.OnChange()
	}
}

// Start adds a request of this VM.
func (reg *Registry) Start(req Request) *Running {
	r := &Running{registry: reg, request: req, started: time.Now()}
	reg.mu.Lock()
	reg.lastID++
	r.id = reg.lastID
	reg.local[r] = struct{}{}
	reg.changed[r] = struct{}{}
	reg.recordSends(r)
	reg.mu.Unlock()
	reg.notify()
	return r
}

// recordSends records a request at its target and helpers. The lock must be held.
func (reg *Registry) recordSends(r *Running) {
	for _, target := range append([]string{r.request.Target}, r.request.Helpers...) {
		reg.sends[target] = append(lastSecond(reg.sends[target], r.started), r.started)
	}
}

// lastSecond returns the times that are less than a second before now. The times
// must be in order.
func lastSecond(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) >= time.Second {
		times = times[1:]
	}
	return times
}

// RecentSends returns the number of requests that this VM sent to a target in the
// last second.
func (reg *Registry) RecentSends(target string) int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	times := lastSecond(reg.sends[target], time.Now())
	if len(times) == 0 {
		delete(reg.sends, target)
	}
	return len(times)
}

// FullReport returns all requests of this VM and marks them as reported.
func (reg *Registry) FullReport() []RequestState {
	now := time.Now()
	reg.mu.Lock()
	defer reg.mu.Unlock()
	clear(reg.changed)
	reg.removed = nil
	reg.forgetEnds(now)
	return reg.localRequests(now)
}

// localRequests returns this VM's requests, including retained ones. The lock
// must be held.
func (reg *Registry) localRequests(now time.Time) []RequestState {
	states := make([]RequestState, 0, len(reg.local)+len(reg.ended))
	for r := range reg.local {
		states = append(states, r.state(now))
	}
	for _, r := range reg.retained(now) {
		states = append(states, r.state(now))
	}
	return states
}

// DeltaReport returns this VM's requests that have changed since the last report
// and the ids of those that were removed, and marks them as reported.
func (reg *Registry) DeltaReport() (changed []RequestState, removed []uint64) {
	now := time.Now()
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for r := range reg.changed {
		changed = append(changed, r.state(now))
	}
	clear(reg.changed)
	removed, reg.removed = reg.removed, nil
	return changed, removed
}

// retained returns the requests that ended a short time ago. The lock must be
// held.
func (reg *Registry) retained(now time.Time) []*Running {
	for len(reg.ended) > 0 && now.Sub(reg.ended[0].ended) > retainFor {
		reg.ended = reg.ended[1:]
	}
	return reg.ended
}

// ReplacePeer replaces the requests of another VM by those of its full report, and removes its
// waiting calls. States is nil if the VM has fallen silent.
func (reg *Registry) ReplacePeer(name string, states []RequestState) {
	defer reg.notifyPeerChange()
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.recordReport(name, states != nil)
	delete(reg.peers, name)
	delete(reg.waiting.peers, name)
	reg.mergePeer(name, states)
}

func (reg *Registry) notifyPeerChange() {
	if reg.OnPeerChange != nil {
		reg.OnPeerChange()
	}
}

// UpdatePeer applies a delta report of another VM.
func (reg *Registry) UpdatePeer(name string, changed []RequestState, removed []uint64) {
	if len(changed)+len(removed) > 0 {
		defer reg.notifyPeerChange()
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.recordReport(name, true)
	reg.mergePeer(name, changed)
	for _, id := range removed {
		if ended, ok := reg.peers[name][id]; ok && !ended.Ended {
			reg.recordEnd(ended.Target)
		}
		delete(reg.peers[name], id)
		delete(reg.waiting.peers[name], id)
	}
}

// RemoveEnded removes the requests of another VM that had ended when it made a full report, for one
// that arrives after a newer delta report. IDs increase, so requests with higher ones than those of
// the full report may have begun later. Nothing is added: the delta may have removed it.
func (reg *Registry) RemoveEnded(name string, states []RequestState) {
	var last uint64
	listed := make(map[uint64]bool, len(states))
	for _, s := range states {
		last, listed[s.ID] = max(last, s.ID), true
	}
	removed := false
	reg.mu.Lock()
	for id := range reg.peers[name] {
		if id <= last && !listed[id] {
			delete(reg.peers[name], id)
			removed = true
		}
	}
	reg.mu.Unlock()
	if removed {
		reg.notifyPeerChange()
	}
}

// mergePeer adds or updates requests of another VM, up to MaxPeerRequests. The lock must be held.
func (reg *Registry) mergePeer(name string, states []RequestState) {
	now := time.Now()
	for _, s := range states {
		if reg.peers[name] == nil {
			reg.peers[name] = map[uint64]peerRequest{}
		}
		if _, known := reg.peers[name][s.ID]; !known && len(reg.peers[name]) >= MaxPeerRequests {
			continue
		}
		reg.peers[name][s.ID] = peerRequest{s, now}
	}
}

// Count returns the number of requests of all VMs at a target.
func (reg *Registry) Count(target string) int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	n := 0
	for r := range reg.local {
		if r.request.Target == target {
			n++
		}
	}
	for _, requests := range reg.peers {
		for _, r := range requests {
			if r.Target == target && !r.Ended {
				n++
			}
		}
	}
	return n
}

// Load is the in-flight load of one target from all VMs.
type Load struct {
	Requests []RequestState
	// Parts are requests at other targets that have a part of their prompt
	// prefilled by this one.
	Parts []RequestState
	// Ended are requests of both kinds that ended a short time ago.
	Ended []RequestState
}

// Loads maps targets to their load.
type Loads map[string]*Load

// Of returns the load of a target.
func (l Loads) Of(target string) Load {
	if load := l[target]; load != nil {
		return *load
	}
	return Load{}
}

// entry returns the load of a target, new with room for as many requests as sizes has for it.
func (l Loads) entry(target string, sizes map[string]int) *Load {
	load := l[target]
	if load == nil {
		load = &Load{Requests: make([]RequestState, 0, sizes[target])}
		l[target] = load
	}
	return load
}

func (l Loads) add(s RequestState, sizes map[string]int) {
	if s.Ended {
		for _, target := range append([]string{s.Target}, s.Helpers...) {
			at := l.entry(target, sizes)
			at.Ended = append(at.Ended, s)
		}
		return
	}
	at := l.entry(s.Target, sizes)
	at.Requests = append(at.Requests, s)
	for _, helper := range s.Helpers {
		at := l.entry(helper, sizes)
		at.Parts = append(at.Parts, s)
	}
}

// LoadOf returns the load of one target from all VMs, as Loads().Of(target) but without copying the
// requests of all others.
func (reg *Registry) LoadOf(target string) Load {
	now := time.Now()
	loads := Loads{}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for r := range reg.local {
		if r.request.uses(target) {
			loads.add(r.state(now), nil)
		}
	}
	for _, r := range reg.retained(now) {
		if r.request.uses(target) {
			loads.add(r.state(now), nil)
		}
	}
	for _, requests := range reg.peers {
		for _, r := range requests {
			if r.uses(target) {
				loads.add(r.at(now), nil)
			}
		}
	}
	return loads.Of(target)
}

// uses reports whether a target serves the request or a part of its prompt.
func (r *Request) uses(target string) bool {
	return r.Target == target || slices.Contains(r.Helpers, target)
}

// Loads returns the requests of all VMs by target.
func (reg *Registry) Loads() Loads {
	now := time.Now()
	reg.mu.Lock()
	defer reg.mu.Unlock()
	loads, sizes := make(Loads, len(reg.loadSizes)), reg.loadSizes
	for _, s := range reg.localRequests(now) {
		loads.add(s, sizes)
	}
	for _, p := range reg.peers {
		for _, s := range p {
			loads.add(s.at(now), sizes)
		}
	}
	reg.loadSizes = make(map[string]int, len(loads))
	for target, load := range loads {
		if n := len(load.Requests); n > 0 {
			reg.loadSizes[target] = n
		}
	}
	return loads
}
