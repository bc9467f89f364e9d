// Package freshness tracks up to which time a replica of a table of the store is known
// to be current. Times are those of the store's steady clock, so that evidence can be
// passed on between VMs whose clocks differ, and a delayed message only looks old. The
// clock is not assumed to go on when the store begins a new epoch.
package freshness

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Unknown is the age of a replica without evidence.
const Unknown = time.Duration(math.MaxInt64)

// maxClockDrift bounds how much faster the store's clock runs than that of a VM, as a fraction.
// Crystals deviate by up to 100 ppm, in either direction.
const maxClockDrift = 200e-6

// Uptime returns the time since the VM was started. Unlike the monotonic clock of
// package time, it includes the time for which the VM was suspended.
func Uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error()) // it is in every supported kernel
	}
	return time.Duration(ts.Nano())
}

// Tracker holds the evidence for one replica. It is safe for concurrent use.
type Tracker struct {
	// uptime is replaced in tests.
	uptime func() time.Duration

	mu sync.Mutex
	// clockKnown is true after the first response of the store. offset is then an upper
	// bound of the store's clock minus the uptime, at the uptime observedAt.
	clockKnown bool
	offset     time.Duration
	observedAt time.Duration
	// confirmed is true once there is evidence; confirmedAt is the latest.
	confirmed   bool
	confirmedAt time.Duration
	// carried is true if there was evidence in an earlier epoch of the store. carriedAt
	// is then the latest, as an uptime.
	carried   bool
	carriedAt time.Duration
}

// New returns a Tracker without evidence.
func New() *Tracker { return &Tracker{uptime: Uptime} }

// BeginEpoch records that the store has begun a new epoch: times of its clock from before
// cannot be compared with later ones. The evidence from before goes on aging.
func (t *Tracker) BeginEpoch() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clockKnown && t.confirmed && t.possible(t.confirmedAt) {
		if at := t.uptime() - (t.clock() - t.confirmedAt); !t.carried || at > t.carriedAt {
			t.carried, t.carriedAt = true, at
		}
	}
	t.clockKnown, t.confirmed, t.confirmedAt = false, false, 0
}

// ObserveResponse is like ObserveClock, for a response of the store itself. One that shows a time
// which the store's clock cannot have reached proves the bound of it wrong: the VM's clock has stood
// still, as that of a virtual machine may whose host pauses it, or was slowed down. The bound is
// dropped, which never makes an age too small.
func (t *Tracker) ObserveResponse(sentAt, storeTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.possible(storeTime) {
		t.clockKnown = false
	}
	t.observeClock(sentAt, storeTime)
}

// ObserveClock records that the response to a call sent at sentAt, an Uptime, showed the
// store's clock at storeTime. The store's clock is never underestimated, because the
// response was made after the call was sent. A response without a time is ignored.
func (t *Tracker) ObserveClock(sentAt, storeTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeClock(sentAt, storeTime)
}

// observeClock implements ObserveClock. The caller must hold mu.
func (t *Tracker) observeClock(sentAt, storeTime time.Duration) {
	if storeTime <= 0 {
		return
	}
	// Both bounds are compared as of now.
	now := t.uptime()
	offset := storeTime - sentAt + maxDrift(now-sentAt)
	if !t.clockKnown || offset < t.clock()-now {
		t.clockKnown, t.offset, t.observedAt = true, offset, now
	}
}

// maxDrift returns by how much the store's clock may gain on that of the VM in a time.
func maxDrift(d time.Duration) time.Duration { return time.Duration(float64(d) * maxClockDrift) }

// clock returns an upper bound of the store's clock now. The caller must hold mu; the clock must
// be known.
func (t *Tracker) clock() time.Duration {
	now := t.uptime()
	return now + t.offset + maxDrift(now-t.observedAt)
}

// Clock returns an upper bound of the store's clock now, if it is known.
func (t *Tracker) Clock() (storeTime time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clock(), t.clockKnown
}

// Confirm records that the replica held all changes up to storeTime. A time that is missing,
// or that the store's clock cannot have reached, is ignored.
func (t *Tracker) Confirm(storeTime time.Duration) {
	if storeTime <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.possible(storeTime) {
		return
	}
	if !t.confirmed || storeTime > t.confirmedAt || !t.possible(t.confirmedAt) {
		t.confirmed, t.confirmedAt = true, storeTime
	}
}

// possible reports whether the store's clock can have reached storeTime, as far as is known.
// The caller must hold mu.
func (t *Tracker) possible(storeTime time.Duration) bool {
	return !t.clockKnown || storeTime <= t.clock()
}

// Confirmed returns the store's time up to which the replica is known to be current.
func (t *Tracker) Confirmed() (storeTime time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt, t.confirmed
}

// Age returns an upper bound of the time since the replica was last known to be current,
// or Unknown.
func (t *Tracker) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := Unknown
	if t.carried {
		age = t.uptime() - t.carriedAt
	}
	if t.confirmed && t.clockKnown && t.possible(t.confirmedAt) {
		age = min(age, t.clock()-t.confirmedAt)
	}
	return age
}
