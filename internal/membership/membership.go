// Package membership tracks the other entry VMs through the platform's lagging
// VM list, heartbeats, and what the links show. It also tells whether this VM
// is isolated.
package membership

import "time"

// Instance is one run of an entry VM. A VM that is replaced in place keeps its
// address and gets a higher start number.
type Instance struct {
	Address     string `msgpack:"a" json:"address"` // peer address, IP:port
	StartNumber uint64 `msgpack:"s" json:"start_number"`
}

// Connectivity is what this VM can reach of the rest of the system.
type Connectivity int

// The values of Connectivity; section 5 of docs/design.md gives their
// conditions.
const (
	Isolated Connectivity = iota
	Connected
	StoreOutage
)

// String returns the name of the value.
func (v Connectivity) String() string {
	return [...]string{"isolated", "connected", "outage"}[v]
}

// State is the known state of another VM.
type State string

// The states of a VM.
const (
	Live     State = "live"
	Suspect  State = "silent"
	Leaving  State = "leaving"
	Replaced State = "replaced"
	Removed  State = "gone"
)

// Peer is another entry VM as seen by this one.
type Peer struct {
	Instance      Instance
	Zone          string
	Seats         []int
	State         State
	LastHeard     time.Time
	ConfigVersion uint64
}

// Reader gives other packages access to the membership.
type Reader interface {
	// Connectivity is computed for the current moment on the monotonic clock.
	Connectivity() Connectivity
	// Quorum reports whether more than half of the held seats responded to a
	// heartbeat that was sent within the last 3 s.
	Quorum() bool
	// Peers returns the other VMs; the slice must not be modified.
	Peers() []Peer
	// Self returns the instance of this process.
	Self() Instance
}

// Attachment adds data of another package to each heartbeat.
type Attachment struct {
	Name string
	// Produce returns the data to send; nil sends nothing.
	Produce func() []byte
	// Consume processes the data that a peer sent.
	Consume func(from Instance, data []byte)
}
