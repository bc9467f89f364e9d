package capacity

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/seat"
)

// source is an amount from which reservations are taken.
type source struct {
	used Resources
}

// bucket is this VM's account of one seat's share of one target. It outlives
// the loss of the seat as long as something of it is in use.
type bucket struct {
	source
	seat     int
	epoch    uint64
	position int
	// active is true while this VM holds the seat.
	active bool
	// fencedBelow is the lowest epoch at which the seat may be used again,
	// after another VM said that it took the seat over.
	fencedBelow uint64
	lent        map[string]*lentLoan
	lentSum     Resources
	// orphans are attempts of this seat on the target that no reservation
	// counts.
	orphans Resources

	takeover
}

// usable reports whether anything may be granted from the bucket.
func (b *bucket) usable() bool { return b.active && b.epoch >= b.fencedBelow && b.settled() }

// free returns what a share leaves after everything that counts against it.
func (b *bucket) free(share Resources) Resources {
	if !b.usable() {
		return Resources{}
	}
	return share.sub(b.used).sub(b.lentSum).sub(b.orphans).sub(b.unconfirmed).atLeastZero()
}

// loan is an amount borrowed from a seat of another VM.
type loan struct {
	source
	id      string
	seat    int
	epoch   uint64
	amount  Resources
	expires time.Time // on this VM's clock, never later than the lender's
	stage   WarmupStage
	// cold is true when the amount came from the lender's cold share and so
	// needs no evidence that the target is warm.
	cold bool
	// hidden is true until the Borrow that asked for it is complete.
	hidden    bool
	idleSince time.Time
}

// usable reports whether a new reservation may use the loan.
func (n *loan) usable(b *book, fresh bool, now time.Time) bool {
	return !n.hidden && n.valid(b, fresh, now)
}

// valid reports whether the loan may be used once it is no longer hidden.
func (n *loan) valid(b *book, fresh bool, now time.Time) bool {
	if !now.Before(n.expires) || b.fences[n.seat] > n.epoch {
		return false
	}
	if n.stage.Start == b.warmth.stage.Start && n.stage.Relapses != b.warmth.stage.Relapses {
		return false // granted before a relapse, after which nothing is granted
	}
	return n.cold || (fresh && n.stage.sameWarmth(b.warmth.stage))
}

// book is this VM's account of one target.
type book struct {
	id string

	// cold and warm hold the packed room without and with evidence that the
	// target is warm; evidenceUntil says until when warm applies, in
	// nanoseconds since the ledger's start.
	cold, warm    atomic.Uint64
	evidenceUntil atomic.Int64
	epoch         time.Time // the ledger's start
	// stageKind lets heartbeats choose targets without the lock.
	stageKind atomic.Uint32

	mu     sync.Mutex
	limits limits
	// previous holds the limits of the configuration before, which also
	// apply until previousUntil.
	previous      *limits
	previousUntil time.Time
	warmth        warmth
	buckets       []*bucket
	loans         map[string]*loan
	// asked holds the ids of loans that were asked for and not yet answered.
	// Only these can be accepted.
	asked  map[string]struct{}
	fences map[int]uint64 // lowest epoch of each seat from which loans are accepted

	// running is what each seat's attempts held by the list of attempts taken
	// at runningAt.
	running   map[int]Resources
	runningAt time.Time

	attempts map[string]*lease
	// released holds attempts that ended a short time ago, because a list of
	// attempts taken before may still show them.
	released map[string]time.Time
	// borrowing is held by the one Borrow that is under way.
	borrowing chan struct{}
}

// The values of stageKind.
const (
	stageUnknown uint32 = iota
	stageCold           // cold or warming
	stageWarm
)

func newBook(id string, l limits, epoch time.Time) *book {
	return &book{
		id:        id,
		limits:    l,
		epoch:     epoch,
		loans:     map[string]*loan{},
		asked:     map[string]struct{}{},
		fences:    map[int]uint64{},
		attempts:  map[string]*lease{},
		released:  map[string]time.Time{},
		borrowing: make(chan struct{}, 1),
	}
}

// lease is what one reservation took, by source.
type lease struct {
	takes    []take
	attempts []string
	released bool
}

type take struct {
	from   *source
	loan   *loan // nil for an own seat
	amount Resources
}

// share returns what the bucket's seat may use. While a new configuration
// spreads, other VMs may still use the shares of the one before, so the smaller
// of both applies.
func (b *book) share(k *bucket, fresh bool, now time.Time) Resources {
	doublings := 0
	if fresh {
		doublings = b.warmth.stage.Doublings
	}
	share := b.relapseShare(k, doublings)
	if b.previous == nil || !now.Before(b.previousUntil) {
		return share
	}
	return share.lesser(b.previous.share(b.previous.position(k.seat), doublings))
}

// room returns what may be reserved now.
func (b *book) room(fresh bool, now time.Time) Resources {
	var total Resources
	for _, k := range b.buckets {
		total = total.add(k.free(b.share(k, fresh, now)))
	}
	for _, n := range b.loans {
		if n.usable(b, fresh, now) {
			total = total.add(n.amount.sub(n.used).atLeastZero())
		}
	}
	return total
}

// publish makes the present room visible to readers without the lock.
func (b *book) publish(now time.Time) {
	cold := b.room(false, now)
	warm := cold
	if b.warmth.fresh(now) {
		warm = b.room(true, now)
	}
	b.cold.Store(pack(cold))
	b.warm.Store(pack(warm))
	until := int64(0)
	if !b.warmth.evidence.IsZero() {
		until = int64(b.warmth.evidence.Add(evidenceAge).Sub(b.epoch))
	}
	b.evidenceUntil.Store(until)
	b.stageKind.Store(b.kindOfStage())
}

func (b *book) kindOfStage() uint32 {
	switch s := b.warmth.stage; {
	case s == WarmupStage{}:
		return stageUnknown
	case b.limits.isWarm(s.Doublings):
		return stageWarm
	}
	return stageCold
}

// read returns the published room.
func (b *book) read(now time.Time) Resources {
	if int64(now.Sub(b.epoch)) <= b.evidenceUntil.Load() {
		return unpack(b.warm.Load())
	}
	return unpack(b.cold.Load())
}

const slotBits = 24

func pack(r Resources) uint64 {
	return uint64(r.Tokens)<<slotBits | uint64(min(r.Slots, 1<<slotBits-1))
}

func unpack(v uint64) Resources {
	return Resources{Tokens: int(v >> slotBits), Slots: int(v & (1<<slotBits - 1))}
}

// take takes the need from own seats first and then from loans, all or none.
// The caller holds b.mu.
func (b *book) take(need Resources, now time.Time) *lease {
	fresh := b.warmth.fresh(now)
	if !b.room(fresh, now).covers(need) {
		return nil
	}
	e := &lease{takes: make([]take, 0, 1)}
	for _, k := range b.buckets {
		need = e.takeFrom(&k.source, nil, k.free(b.share(k, fresh, now)), need)
	}
	for _, n := range b.loans {
		if need.isZero() {
			break
		}
		if n.usable(b, fresh, now) {
			need = e.takeFrom(&n.source, n, n.amount.sub(n.used), need)
		}
	}
	return e
}

// takeFrom takes what the source can give and returns what is still needed.
func (e *lease) takeFrom(s *source, n *loan, free, need Resources) Resources {
	part := need.lesser(free).atLeastZero()
	if part.isZero() {
		return need
	}
	s.used = s.used.add(part)
	e.takes = append(e.takes, take{from: s, loan: n, amount: part})
	return need.sub(part)
}

// giveBack returns exactly what the lease took. The caller holds b.mu.
func (b *book) giveBack(e *lease, now time.Time) {
	if e.released {
		return
	}
	e.released = true
	for _, t := range e.takes {
		t.from.used = t.from.used.sub(t.amount)
		if t.loan != nil && t.loan.used.isZero() {
			t.loan.idleSince = now
		}
	}
	for _, id := range e.attempts {
		delete(b.attempts, id)
		b.released[id] = now
	}
}

// bucketOf returns the bucket of a seat, or nil.
func (b *book) bucketOf(index int) *bucket {
	for _, k := range b.buckets {
		if k.seat == index {
			return k
		}
	}
	return nil
}

// sync brings the buckets in line with the seats that this VM holds. It returns
// the seats that are new and need a takeover.
func (b *book) sync(held []seat.Seat, now time.Time) (taken []seat.Seat) {
	for _, k := range b.buckets {
		k.active = false
	}
	for _, s := range held {
		position := b.limits.position(s.Index)
		k := b.bucketOf(s.Index)
		if k == nil && position < 0 {
			continue
		}
		if k == nil {
			k = &bucket{seat: s.Index, lent: map[string]*lentLoan{}}
			b.buckets = append(b.buckets, k)
		}
		k.position = position
		k.active = true
		if k.epoch != s.Epoch {
			k.begin(s.Epoch)
			taken = append(taken, s)
		}
	}
	b.publish(now)
	return taken
}

// begin starts the takeover of the bucket's seat at a new epoch. What the last
// epoch lent is learned again from the borrowers.
func (k *bucket) begin(epoch uint64) {
	k.epoch = epoch
	k.lent = map[string]*lentLoan{}
	k.lentSum = Resources{}
	k.orphans = Resources{}
	k.takeover = takeover{}
}
