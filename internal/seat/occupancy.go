package seat

import (
	"sync"
	"sync/atomic"
	"time"
)

// occupancy counts the held seats that a quorum refers to.
//
// Two quorums have a seat in common only if nobody counts too few seats. So a
// vacant seat is claimed only after the holders of all others have noted the
// claim here, and a resigned seat is counted for one more silence.
type occupancy struct {
	mu sync.Mutex
	// seen is when each seat was last read as held.
	seen map[int]time.Duration
	// announced are claims of vacant seats, with the revision of the change row
	// on which the claim is conditional.
	announced map[int]uint64
	total     *atomic.Int64
}

func newOccupancy() occupancy {
	return occupancy{seen: map[int]time.Duration{}, announced: map[int]uint64{}, total: new(atomic.Int64)}
}

func (o *occupancy) count() int { return int(o.total.Load()) }

// read takes the rows that were read, at a time after the read.
func (o *occupancy) read(t *table, now, keep time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for index, r := range t.rows {
		if !r.vacant() {
			o.seen[index] = now
		}
	}
	for index, at := range o.seen {
		if now-at > keep {
			delete(o.seen, index)
		}
	}
	// A claim conditional on an older revision has succeeded, and is among the
	// rows, or can no longer succeed.
	for index, revision := range o.announced {
		if t.changes > revision {
			delete(o.announced, index)
		}
	}
	o.recount()
}

// announce notes a claim that may be under way.
func (o *occupancy) announce(index int, revision uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.announced[index] = max(o.announced[index], revision)
	o.recount()
}

// claimed notes an own claim that was written.
func (o *occupancy) claimed(index int, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seen[index] = now
	o.recount()
}

func (o *occupancy) recount() {
	total := len(o.seen)
	for index := range o.announced {
		if _, ok := o.seen[index]; !ok {
			total++
		}
	}
	o.total.Store(int64(total))
}
