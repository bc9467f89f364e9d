package inflight

import "time"

// WaitingCall is a call that waits at a VM until an engine of its service has room.
type WaitingCall struct {
	Service string
	Account string
	// Rank is the priority of the call; 0 is the highest.
	Rank         int
	PromptTokens int
	// Age is the time since the call began to wait, and LateAfter the age from which it can no
	// longer be on time.
	Age       time.Duration
	LateAfter time.Duration
	// Returned is true for a call whose caller was refused before under overload.
	Returned bool
	// Identity is set for a call that does not wait: it was refused, and its caller is expected to
	// return with the same request before LateAfter.
	Identity string
	// ID is unique among the requests and waiting calls of one VM.
	ID uint64
}

// MaxReportedWaiting bounds the waiting calls of a VM in a heartbeat, and those that are held of
// another VM. The others of a VM wait unreported: the order then counts fewer than there are.
const MaxReportedWaiting = 256

// Waiting is a waiting call of this VM.
type Waiting struct {
	registry *Registry
	call     WaitingCall
	began    time.Time
}

// peerWaiting is a waiting call as another VM reported it.
type peerWaiting struct {
	WaitingCall
	reportedAt time.Time
}

// waitingSet holds the waiting calls of all VMs. It is guarded by the lock of the registry.
type waitingSet struct {
	local map[*Waiting]struct{}
	// changed have not been reported to the other VMs yet.
	changed map[*Waiting]struct{}
	peers   map[string]map[uint64]peerWaiting
}

func newWaitingSet() waitingSet {
	return waitingSet{local: map[*Waiting]struct{}{}, changed: map[*Waiting]struct{}{}, peers: map[string]map[uint64]peerWaiting{}}
}

// Wait adds a call of this VM that begins to wait, and sets its ID.
func (reg *Registry) Wait(call WaitingCall) *Waiting {
	w := &Waiting{registry: reg, call: call, began: time.Now()}
	reg.mu.Lock()
	reg.lastID++
	w.call.ID = reg.lastID
	reg.waiting.local[w] = struct{}{}
	reg.waiting.changed[w] = struct{}{}
	reg.mu.Unlock()
	reg.notify()
	return w
}

// ID returns the ID of the call.
func (w *Waiting) ID() uint64 { return w.call.ID }

// UntilLate returns the time until the call is late, 0 if it is.
func (w *Waiting) UntilLate() time.Duration { return max(w.call.LateAfter-time.Since(w.began), 0) }

// Done removes a call that no longer waits.
func (w *Waiting) Done() {
	reg := w.registry
	reg.mu.Lock()
	delete(reg.waiting.local, w)
	_, unreported := reg.waiting.changed[w]
	if unreported {
		delete(reg.waiting.changed, w)
	} else {
		reg.removed = append(reg.removed, w.call.ID)
	}
	reg.mu.Unlock()
	if !unreported {
		reg.notify()
	}
}

func (w *Waiting) state(now time.Time) WaitingCall {
	call := w.call
	call.Age = now.Sub(w.began)
	return call
}

// FullWaiting returns the waiting calls of this VM and marks them as reported.
func (reg *Registry) FullWaiting() []WaitingCall { return reg.reportWaiting(true) }

// DeltaWaiting returns the waiting calls of this VM that were not reported yet and marks them as
// reported. Those that no longer wait are among the removed ones of DeltaReport.
func (reg *Registry) DeltaWaiting() []WaitingCall { return reg.reportWaiting(false) }

func (reg *Registry) reportWaiting(full bool) []WaitingCall {
	now := time.Now()
	reg.mu.Lock()
	defer reg.mu.Unlock()
	from := reg.waiting.changed
	if full {
		from = reg.waiting.local
	}
	var calls []WaitingCall
	for w := range from {
		if len(calls) < MaxReportedWaiting {
			calls = append(calls, w.state(now))
		}
	}
	clear(reg.waiting.changed)
	return calls
}

// MergeWaiting adds waiting calls that another VM has reported. Those that no longer wait are
// removed by UpdatePeer and ReplacePeer.
func (reg *Registry) MergeWaiting(name string, calls []WaitingCall) {
	if len(calls) == 0 {
		return
	}
	now := time.Now()
	reg.mu.Lock()
	of := reg.waiting.peers[name]
	if of == nil {
		of = map[uint64]peerWaiting{}
		reg.waiting.peers[name] = of
	}
	for _, c := range calls {
		if _, known := of[c.ID]; known || len(of) < MaxReportedWaiting {
			of[c.ID] = peerWaiting{c, now}
		}
	}
	reg.mu.Unlock()
	reg.notifyPeerChange()
}

// EachWaiting calls f for each waiting call of each VM, except those that were refused, with the name of the VM that reported it,
// "" for this one. f must not use the registry.
func (reg *Registry) EachWaiting(f func(vm string, call WaitingCall)) {
	now := time.Now()
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for w := range reg.waiting.local {
		if w.call.Identity == "" {
			f("", w.state(now))
		}
	}
	for name, calls := range reg.waiting.peers {
		for _, c := range calls {
			call := c.WaitingCall
			if call.Identity != "" {
				continue
			}
			call.Age += now.Sub(c.reportedAt)
			f(name, call)
		}
	}
}
