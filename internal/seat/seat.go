// Package seat claims, renews, resigns and takes over seats. A seat is a
// leased right to use one share of every target's capacity.
package seat

// Seat is a seat that this VM holds.
type Seat struct {
	Index int
	// Epoch increases with each change of the holder.
	Epoch uint64
}

// Reader gives other packages access to the seats of this VM.
type Reader interface {
	// Seats returns the seats that may be used now; it is empty when there are
	// none. The slice must not be modified.
	Seats() []Seat
	// HolderOf returns the peer address and the epoch of a seat's holder as
	// last read, and false when the seat is vacant or unknown.
	HolderOf(index int) (address string, epoch uint64, ok bool)
	// AttemptPrefix returns "<seat>.<epoch>" for the ids of new attempts, or an
	// error that says why this VM may not start new work.
	AttemptPrefix() (string, error)
}
