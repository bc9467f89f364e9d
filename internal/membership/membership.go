// Package membership knows the other entry VMs: from the platform's lagging
// list, from heartbeats, and from what the links show. It also tells whether
// this VM is isolated.
package membership

import "time"

// Instance is one life of an entry VM. A VM that is replaced in place keeps
// its address and gets a higher start number.
type Instance struct {
	Address     string `msgpack:"a" json:"address"` // peer address, IP:port
	StartNumber uint64 `msgpack:"s" json:"start_number"`
}

// Connectivity says what this VM can know about the rest of the system.
type Connectivity int

// The verdicts; section 5 of docs/design.md gives their conditions.
const (
	Isolated Connectivity = iota
	Connected
	StoreOutage
)

// String returns the name of the verdict.
func (v Connectivity) String() string {
	return [...]string{"isolated", "connected", "outage"}[v]
}

// State is what is known of another VM.
type State string

// The states of a VM.
const (
	Live     State = "live"
	Suspect  State = "silent"
	Leaving  State = "leaving"
	Replaced State = "replaced"
	Removed  State = "gone"
)

// Peer is another entry VM as this one sees it.
type Peer struct {
	Instance      Instance
	Zone          string
	Seats         []int
	State         State
	LastHeard     time.Time
	ConfigVersion uint64
}

// Reader is what other packages ask about membership.
type Reader interface {
	// Connectivity is computed for the present moment on the monotonic clock.
	Connectivity() Connectivity
	// Quorum reports whether more than half of the held seats answered a
	// heartbeat that was sent within the last 3 s.
	Quorum() bool
	// Peers returns the other VMs; the slice must not be modified.
	Peers() []Peer
	// Self is this process.
	Self() Instance
}

// Attachment adds data of another package to each heartbeat.
type Attachment struct {
	Name string
	// Produce returns what is sent; nil sends nothing.
	Produce func() []byte
	// Consume takes what a peer sent.
	Consume func(from Instance, data []byte)
}
