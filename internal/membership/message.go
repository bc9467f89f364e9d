package membership

import "time"

// Kinds of the messages between VMs that concern membership and seats.
const (
	// KindHeartbeat carries a Heartbeat both ways. The View handles it.
	KindHeartbeat = "Heartbeat"
	// KindLastHeard asks when a VM last heard from an instance. The View
	// handles it.
	KindLastHeard = "LastHeard"
	// KindRelayRenew asks a VM with store contact to renew the sender's seats.
	// Package seat registers the handler.
	KindRelayRenew = "RelayRenew"
	// KindSeatClaim announces the claim of a vacant seat to the holders of the
	// others. Package seat registers the handler.
	KindSeatClaim = "SeatClaim"
)

// LeasedSeat is a seat as reported by its holder. Only seats with a valid
// lease are reported.
type LeasedSeat struct {
	Index int    `msgpack:"i"`
	Epoch uint64 `msgpack:"e"`
	// HeldMs is how long the sender has held the seat, rounded down.
	HeldMs int64 `msgpack:"h"`
}

// Heartbeat is the state that a VM reports of itself, in the request and in
// the reply.
type Heartbeat struct {
	From          Instance     `msgpack:"f"`
	Zone          string       `msgpack:"z"`
	Seats         []LeasedSeat `msgpack:"s"`
	ConfigVersion uint64       `msgpack:"c"`
	// StoreContactAgeMs is the age of the most recent store contact that the
	// sender knows of, its own or another VM's, rounded up; unknownAge when it
	// knows none. Ages are sent because the clocks of VMs are not comparable.
	StoreContactAgeMs int64 `msgpack:"a"`
	// OwnStoreContactAgeMs is the age of the sender's own store contact.
	OwnStoreContactAgeMs int64             `msgpack:"d"`
	Leaving              bool              `msgpack:"l"`
	Attachments          map[string][]byte `msgpack:"x,omitempty"`
}

// unknownAge is the age of an event that is not known to have happened.
const unknownAge = -1

// lastHeardRequest asks when the receiver last heard from an instance.
type lastHeardRequest struct {
	Instance Instance `msgpack:"i"`
}

// lastHeardReply is the response. AgeMs is rounded down, so that the instance
// never appears to have been silent for longer than it was.
type lastHeardReply struct {
	From  Instance     `msgpack:"f"`
	AgeMs int64        `msgpack:"a"`
	Seats []LeasedSeat `msgpack:"s"`
}

// LastHeardReport is what one VM reports about when it last heard from an
// instance.
type LastHeardReport struct {
	From Instance
	// Heard is false when the VM has not heard from the instance since it
	// started.
	Heard bool
	Age   time.Duration
	// Seats are those that the VM holds with a valid lease.
	Seats []LeasedSeat
}

// ageRoundedUp returns now-at in milliseconds rounded up, for ages that must
// not be understated.
func ageRoundedUp(now, at time.Duration) int64 {
	if at == never {
		return unknownAge
	}
	return int64((max(now-at, 0) + time.Millisecond - 1) / time.Millisecond)
}

// ageRoundedDown returns now-at in milliseconds rounded down, for ages that
// must not be overstated.
func ageRoundedDown(now, at time.Duration) int64 {
	if at == never {
		return unknownAge
	}
	return max(now-at, 0).Milliseconds()
}
