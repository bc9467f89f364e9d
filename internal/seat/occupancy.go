package seat

import (
	"sync"
	"sync/atomic"
	"time"
)

// occupancy counts the held seats of which a quorum needs a majority.
//
// Any two quorums have a seat in common only if nobody counts too few seats.
// So a vacant seat is claimed only after the holders of all others have
// recorded the claim in their occupancy, and a resigned seat is counted for
// one more takeover timeout.
type occupancy struct {
	mu sync.Mutex
	// lastHeld is when each seat was last read as held.
	lastHeld map[int]time.Duration
	// announced holds the announced claims of vacant seats, with the revision
	// of the change row on which each claim is conditional.
	announced map[int]uint64
	total     *atomic.Int64
}

func newOccupancy() occupancy {
	return occupancy{lastHeld: map[int]time.Duration{}, announced: map[int]uint64{}, total: new(atomic.Int64)}
}

func (o *occupancy) count() int { return int(o.total.Load()) }

// update records the rows that were read, at a time after the read.
func (o *occupancy) update(t *seatTable, now, retention time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for index, r := range t.rows {
		if !r.vacant() {
			o.lastHeld[index] = now
		}
	}
	for index, at := range o.lastHeld {
		if now-at > retention {
			delete(o.lastHeld, index)
		}
	}
	// A claim conditional on an older revision has either succeeded, and is
	// among the rows, or can no longer succeed.
	for index, revision := range o.announced {
		if t.changes > revision {
			delete(o.announced, index)
		}
	}
	o.recount()
}

// addAnnounced records a claim that may be in flight.
func (o *occupancy) addAnnounced(index int, revision uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.announced[index] = max(o.announced[index], revision)
	o.recount()
}

// addClaimed records a claim that this VM has written.
func (o *occupancy) addClaimed(index int, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastHeld[index] = now
	o.recount()
}

func (o *occupancy) recount() {
	total := len(o.lastHeld)
	for index := range o.announced {
		if _, ok := o.lastHeld[index]; !ok {
			total++
		}
	}
	o.total.Store(int64(total))
}
