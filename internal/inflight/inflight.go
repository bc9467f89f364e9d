// Package inflight keeps what all entry VMs have in flight: this VM's own
// requests and what the others last told of theirs. Capacity of a target is
// judged by the sum.
package inflight

import (
	"sync"
	"sync/atomic"
	"time"
)

// Request describes a request that is at a target.
type Request struct {
	Target string
	// Helpers are further engines that read parts of the prompt.
	Helpers []string
	// Reserved is true when each of these engines keeps its part of the prompt.
	Reserved bool
	// PromptTokens and AnswerTokens are 0 for plain services.
	PromptTokens int
	OutputTokens int
	// MaxEventGap is the longest pause between events on time.
	MaxEventGap time.Duration
}

// RequestState is a job as seen at one moment.
type RequestState struct {
	Request
	// ID tells the jobs of one VM apart.
	ID  uint64
	Age time.Duration
	// Decoding is true once the first event has come, WritingFor ago.
	Decoding    bool
	DecodingFor time.Duration
	// Ended is true for a job that has ended a short time ago. Its reading took
	// time that other prompts on the engine had to wait.
	Ended bool
}

// Jobs with prompts of rememberTokens or more are told for rememberFor after
// their end.
const (
	rememberTokens = 20_000
	rememberFor    = 3 * time.Second
)

// Running is a job of this VM.
type Running struct {
	board   *Registry
	id      uint64
	job     Request
	started time.Time
	first   atomic.Int64 // time of the first event after started; 0 before
	ended   time.Time
}

// FirstEvent notes that the answer has begun.
func (r *Running) FirstEvent() {
	if r.first.CompareAndSwap(0, int64(max(time.Since(r.started), 1))) {
		r.board.mu.Lock()
		r.board.changed[r] = struct{}{}
		r.board.mu.Unlock()
		r.board.notify()
	}
}

// Done removes the job.
func (r *Running) Done() {
	r.board.mu.Lock()
	delete(r.board.own, r)
	if r.job.PromptTokens >= rememberTokens && r.first.Load() > 0 {
		r.ended = time.Now()
		r.board.ended = append(r.board.ended, r)
		r.board.changed[r] = struct{}{}
	} else {
		delete(r.board.changed, r)
		r.board.gone = append(r.board.gone, r.id)
	}
	r.board.mu.Unlock()
	r.board.notify()
}

func (r *Running) item(now time.Time) RequestState {
	i := RequestState{Request: r.job, ID: r.id, Age: now.Sub(r.started), Ended: !r.ended.IsZero()}
	if first := time.Duration(r.first.Load()); first > 0 {
		i.Decoding, i.DecodingFor = true, i.Age-first
	}
	return i
}

// Registry holds the jobs of all VMs.
type Registry struct {
	// OnChange is called after each change of this VM's own jobs.
	OnChange func()

	mu    sync.Mutex
	own   map[*Running]struct{}
	ended []*Running // that are remembered, in order of their ends
	last  uint64     // id of the newest job
	// changed and gone are what the others have not been told yet.
	changed map[*Running]struct{}
	gone    []uint64
	peers   map[string]map[uint64]peerItem
	// sends are the times of this VM's sends to each target in the last second,
	// also of jobs that have ended.
	sends map[string][]time.Time
}

// peerItem is a job of another VM as told at a moment.
type peerItem struct {
	RequestState
	at time.Time
}

// New returns an empty board.
func New() *Registry {
	return &Registry{own: map[*Running]struct{}{}, changed: map[*Running]struct{}{}, peers: map[string]map[uint64]peerItem{}, sends: map[string][]time.Time{}}
}

func (b *Registry) notify() {
	if b.OnChange != nil {
		b.OnChange()
	}
}

// Start adds a job of this VM.
func (b *Registry) Start(j Request) *Running {
	r := &Running{board: b, job: j, started: time.Now()}
	b.mu.Lock()
	b.last++
	r.id = b.last
	b.own[r] = struct{}{}
	b.changed[r] = struct{}{}
	b.noteSends(r)
	b.mu.Unlock()
	b.notify()
	return r
}

// noteSends counts a job at its target and helpers. The lock must be held.
func (b *Registry) noteSends(r *Running) {
	for _, target := range append([]string{r.job.Target}, r.job.Helpers...) {
		b.sends[target] = append(recent(b.sends[target], r.started), r.started)
	}
}

// recent returns the times within a second before now. Times are in order.
func recent(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) >= time.Second {
		times = times[1:]
	}
	return times
}

// RecentSends returns how many requests this VM sent to a target in the last
// second.
func (b *Registry) RecentSends(target string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	times := recent(b.sends[target], time.Now())
	if len(times) == 0 {
		delete(b.sends, target)
	}
	return len(times)
}

// FullReport returns this VM's jobs. They count as told.
func (b *Registry) FullReport() []RequestState {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.changed)
	b.gone = nil
	return b.ownItems(now)
}

// ownItems returns this VM's jobs and those that are remembered. The lock must be
// held.
func (b *Registry) ownItems(now time.Time) []RequestState {
	items := make([]RequestState, 0, len(b.own)+len(b.ended))
	for r := range b.own {
		items = append(items, r.item(now))
	}
	for _, r := range b.remembered(now) {
		items = append(items, r.item(now))
	}
	return items
}

// DeltaReport returns this VM's jobs that have changed since they were told, and the
// ids of those that are gone. They count as told.
func (b *Registry) DeltaReport() (changed []RequestState, gone []uint64) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for r := range b.changed {
		changed = append(changed, r.item(now))
	}
	clear(b.changed)
	gone, b.gone = b.gone, nil
	return changed, gone
}

// remembered returns the jobs that have ended a short time ago. The lock must be
// held.
func (b *Registry) remembered(now time.Time) []*Running {
	for len(b.ended) > 0 && now.Sub(b.ended[0].ended) > rememberFor {
		b.ended = b.ended[1:]
	}
	return b.ended
}

// ReplacePeer replaces the jobs of another VM by those that it has told now.
func (b *Registry) ReplacePeer(name string, items []RequestState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, name)
	b.addPeer(name, items)
}

// UpdatePeer takes the changes of another VM's jobs that it has told now.
func (b *Registry) UpdatePeer(name string, changed []RequestState, gone []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addPeer(name, changed)
	for _, id := range gone {
		delete(b.peers[name], id)
	}
}

// addPeer takes jobs of another VM. The lock must be held.
func (b *Registry) addPeer(name string, items []RequestState) {
	now := time.Now()
	for _, i := range items {
		if b.peers[name] == nil {
			b.peers[name] = map[uint64]peerItem{}
		}
		b.peers[name][i.ID] = peerItem{i, now}
	}
}

// Load is what all VMs have in flight at one target.
type Load struct {
	Requests []RequestState
	// Parts are jobs at other targets of whose prompts this one reads a part.
	Parts []RequestState
	// Ended are jobs of both kinds that have ended a short time ago.
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

func (l Loads) at(target string) *Load {
	load := l[target]
	if load == nil {
		load = &Load{}
		l[target] = load
	}
	return load
}

func (l Loads) add(i RequestState) {
	if i.Ended {
		for _, target := range append([]string{i.Target}, i.Helpers...) {
			at := l.at(target)
			at.Ended = append(at.Ended, i)
		}
		return
	}
	at := l.at(i.Target)
	at.Requests = append(at.Requests, i)
	for _, helper := range i.Helpers {
		at := l.at(helper)
		at.Parts = append(at.Parts, i)
	}
}

// Loads returns the jobs of all VMs by target.
func (b *Registry) Loads() Loads {
	now := time.Now()
	loads := Loads{}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range b.ownItems(now) {
		loads.add(i)
	}
	for _, p := range b.peers {
		for _, i := range p {
			lag := now.Sub(i.at)
			i.Age += lag
			if i.Decoding {
				i.DecodingFor += lag
			}
			loads.add(i.RequestState)
		}
	}
	return loads
}
