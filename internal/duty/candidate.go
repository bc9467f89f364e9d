package duty

import "time"

// Status is what a VM tells the others of the duties in its heartbeats.
type Status struct {
	// Claims is true while the VM holds the lease, as far as it knows, and can renew it.
	Claims bool `msgpack:"c,omitempty"`
	// Abstains is true while the VM does not try to hold the lease.
	Abstains bool `msgpack:"a,omitempty"`
	// Tries is true while the VM tries to acquire the lease and the store answers it.
	Tries bool `msgpack:"y,omitempty"`
	// Token is the highest fencing token that the VM has heard of.
	Token uint64 `msgpack:"t,omitempty"`
}

// VM is a VM of the fleet as a possible holder.
type VM struct {
	Name string
	// ReachesStore is true if the store has answered the VM lately. One that does not watch
	// a table hears nothing of the store.
	ReachesStore bool
	// StoreFails is true while the VM's calls to the store fail.
	StoreFails bool
	Claims     bool
	Abstains   bool
	Tries      bool
	// Uptime is the time since the VM's process started.
	Uptime time.Duration
}

// settledUptime is the uptime from which a VM has heard what the others know of the last
// windows. A VM that was restarted is preferred as a holder only if all of them were.
const settledUptime = 15 * time.Second

// IsCandidate reports whether self is the VM that tries to acquire the lease: no live VM claims
// it, self is the first of those that reach the store, and no other one tries already.
func IsCandidate(self VM, others []VM) bool {
	if self.Abstains || !self.ReachesStore {
		return false
	}
	for _, v := range others {
		first := (v.ReachesStore || v.Tries) && !v.Abstains && v.precedes(self)
		already := v.Tries && !self.Tries && (v.settled() || !self.settled())
		if v.Claims || first || already {
			return false
		}
	}
	return true
}

// precedes reports whether v is preferred to other as a holder.
func (v VM) precedes(other VM) bool {
	if a, b := v.settled(), other.settled(); a != b {
		return a
	}
	return v.Name < other.Name
}

func (v VM) settled() bool { return v.Uptime >= settledUptime }
