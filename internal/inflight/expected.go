package inflight

import "time"

// Expect records that the caller of a call that was refused under overload will probably return
// within the given time, and tells the other VMs. The identity is that of its request.
func (reg *Registry) Expect(service, identity string, within time.Duration) {
	w := reg.Wait(WaitingCall{Service: service, Identity: identity, LateAfter: within})
	time.AfterFunc(within, w.Done)
}

// Expected reports whether a call was refused under overload, by any VM, and its caller is expected
// to return. identity is called only if there are such calls.
func (reg *Registry) Expected(service string, identity func() string) bool {
	reg.mu.Lock()
	known := map[string]bool{}
	add := func(c WaitingCall) {
		if c.Identity != "" && c.Service == service {
			known[c.Identity] = true
		}
	}
	for w := range reg.waiting.local {
		add(w.call)
	}
	for _, calls := range reg.waiting.peers {
		for _, c := range calls {
			add(c.WaitingCall)
		}
	}
	reg.mu.Unlock()
	return len(known) > 0 && known[identity()]
}
