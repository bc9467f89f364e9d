package capacity

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/seat"
)

// usageCounter sums what reservations have taken from one seat share or loan.
type usageCounter struct {
	used Resources
}

// seatShare is this VM's accounting of one seat's share of one target. It is
// kept after the seat is lost for as long as any part of it is in use.
type seatShare struct {
	usageCounter
	seat     int
	epoch    uint64
	position int
	// active is true while this VM holds the seat.
	active bool
	// minUsableEpoch is the lowest epoch at which the seat may be used again
	// after another VM reported that it took the seat over.
	minUsableEpoch uint64
	lentLoans      map[string]*lentLoan
	lentTotal      Resources
	// orphans is the usage of this seat's attempts on the target that no
	// reservation accounts for.
	orphans Resources

	shareTakeover
}

// usable reports whether anything may be granted from the seat share.
func (s *seatShare) usable() bool { return s.active && s.epoch >= s.minUsableEpoch && s.complete() }

// available returns what remains of a share after everything that counts
// against it.
func (s *seatShare) available(share Resources) Resources {
	if !s.usable() {
		return Resources{}
	}
	return share.sub(s.used).sub(s.lentTotal).sub(s.orphans).sub(s.unconfirmed).clampToZero()
}

// loan is capacity borrowed from a seat that another VM holds.
type loan struct {
	usageCounter
	id      string
	seat    int
	epoch   uint64
	amount  Resources
	expires time.Time // on this VM's clock, never later than the lender's
	stage   WarmupStage
	// cold is true when the amount came from the lender's cold share and
	// therefore needs no evidence that the target is warm.
	cold bool
	// pending is true until the Borrow call that requested the loan is
	// complete.
	pending   bool
	idleSince time.Time
}

// usable reports whether a new reservation may use the loan.
func (n *loan) usable(b *targetBudget, fresh bool, now time.Time) bool {
	return !n.pending && n.valid(b, fresh, now)
}

// valid reports whether the loan may be used once it is no longer pending.
func (n *loan) valid(b *targetBudget, fresh bool, now time.Time) bool {
	if !now.Before(n.expires) || b.minLoanEpochs[n.seat] > n.epoch {
		return false
	}
	if n.stage.StartNumber == b.warmup.stage.StartNumber && n.stage.ColdResets != b.warmup.stage.ColdResets {
		return false // granted before a cold reset, after which nothing is granted
	}
	return n.cold || (fresh && n.stage.sameWarmPeriod(b.warmup.stage))
}

// targetBudget is this VM's accounting of one target.
type targetBudget struct {
	id string

	// publishedCold and publishedWarm hold the packed available resources
	// without and with evidence that the target is warm. publishedWarm applies
	// until evidenceUntil, in nanoseconds since ledgerStart.
	publishedCold, publishedWarm atomic.Uint64
	evidenceUntil                atomic.Int64
	ledgerStart                  time.Time // base of evidenceUntil
	// warmupKind lets the heartbeat encoder select targets without the lock.
	warmupKind atomic.Uint32

	mu     sync.Mutex
	limits limits
	// previousLimits holds the limits of the previous configuration, which also
	// apply until previousLimitsUntil.
	previousLimits      *limits
	previousLimitsUntil time.Time
	warmup              warmupState
	seatShares          []*seatShare
	loans               map[string]*loan
	// pendingRequests holds the ids of loan requests without a response. Only
	// these loans can be accepted.
	pendingRequests map[string]struct{}
	minLoanEpochs   map[int]uint64 // by seat: the lowest epoch from which loans are accepted

	// inventoryUse is the usage of each seat's attempts according to the
	// inventory taken at inventoryTakenAt.
	inventoryUse     map[int]Resources
	inventoryTakenAt time.Time

	attempts map[string]*allocation
	// recentlyReleased holds the times of recently ended attempts, because an
	// inventory taken before the end may still list them.
	recentlyReleased map[string]time.Time
	// borrowSlot serializes Borrow calls for the target.
	borrowSlot chan struct{}
}

// The values of warmupKind.
const (
	warmupUnknown uint32 = iota
	warmupCold           // cold or warming
	warmupWarm
)

func newTargetBudget(id string, l limits, ledgerStart time.Time) *targetBudget {
	return &targetBudget{
		id:               id,
		limits:           l,
		ledgerStart:      ledgerStart,
		loans:            map[string]*loan{},
		pendingRequests:  map[string]struct{}{},
		minLoanEpochs:    map[int]uint64{},
		attempts:         map[string]*allocation{},
		recentlyReleased: map[string]time.Time{},
		borrowSlot:       make(chan struct{}, 1),
	}
}

// allocation records what one reservation took, by usage counter.
type allocation struct {
	parts    []allocationPart
	attempts []string
	released bool
}

type allocationPart struct {
	from   *usageCounter
	loan   *loan // nil for this VM's own seat
	amount Resources
}

// currentShare returns what the holder of the seat may use. While a new
// configuration spreads, other VMs may still use the shares of the previous
// one, so the smaller of both applies.
func (b *targetBudget) currentShare(s *seatShare, fresh bool, now time.Time) Resources {
	doublings := 0
	if fresh {
		doublings = b.warmup.stage.Doublings
	}
	share := b.shareAfterReset(s, doublings)
	if b.previousLimits == nil || !now.Before(b.previousLimitsUntil) {
		return share
	}
	return share.componentMin(b.previousLimits.share(b.previousLimits.position(s.seat), doublings))
}

// available returns what can be reserved now.
func (b *targetBudget) available(fresh bool, now time.Time) Resources {
	var total Resources
	for _, s := range b.seatShares {
		total = total.add(s.available(b.currentShare(s, fresh, now)))
	}
	for _, n := range b.loans {
		if n.usable(b, fresh, now) {
			total = total.add(n.amount.sub(n.used).clampToZero())
		}
	}
	return total
}

// publish makes the available resources visible to lock-free readers.
func (b *targetBudget) publish(now time.Time) {
	cold := b.available(false, now)
	warm := cold
	if b.warmup.evidenceFresh(now) {
		warm = b.available(true, now)
	}
	b.publishedCold.Store(pack(cold))
	b.publishedWarm.Store(pack(warm))
	until := int64(0)
	if !b.warmup.lastEvidence.IsZero() {
		until = int64(b.warmup.lastEvidence.Add(maxEvidenceAge).Sub(b.ledgerStart))
	}
	b.evidenceUntil.Store(until)
	b.warmupKind.Store(b.currentWarmupKind())
}

func (b *targetBudget) currentWarmupKind() uint32 {
	switch s := b.warmup.stage; {
	case s == WarmupStage{}:
		return warmupUnknown
	case b.limits.isWarm(s.Doublings):
		return warmupWarm
	}
	return warmupCold
}

// publishedAvailable returns the published available resources.
func (b *targetBudget) publishedAvailable(now time.Time) Resources {
	if int64(now.Sub(b.ledgerStart)) <= b.evidenceUntil.Load() {
		return unpack(b.publishedWarm.Load())
	}
	return unpack(b.publishedCold.Load())
}

const slotBits = 24

func pack(r Resources) uint64 {
	return uint64(r.Tokens)<<slotBits | uint64(min(r.Slots, 1<<slotBits-1))
}

func unpack(v uint64) Resources {
	return Resources{Tokens: int(v >> slotBits), Slots: int(v & (1<<slotBits - 1))}
}

// allocate takes the requested resources from this VM's own seats first and
// then from loans; it takes everything or nothing. The caller holds b.mu.
func (b *targetBudget) allocate(need Resources, now time.Time) *allocation {
	fresh := b.warmup.evidenceFresh(now)
	if !b.available(fresh, now).covers(need) {
		return nil
	}
	a := &allocation{parts: make([]allocationPart, 0, 1)}
	for _, s := range b.seatShares {
		need = a.allocateFrom(&s.usageCounter, nil, s.available(b.currentShare(s, fresh, now)), need)
	}
	for _, n := range b.loans {
		if need.isZero() {
			break
		}
		if n.usable(b, fresh, now) {
			need = a.allocateFrom(&n.usageCounter, n, n.amount.sub(n.used), need)
		}
	}
	return a
}

// allocateFrom takes what the counter's owner has available and returns what
// is still missing.
func (a *allocation) allocateFrom(counter *usageCounter, n *loan, available, need Resources) Resources {
	part := need.componentMin(available).clampToZero()
	if part.isZero() {
		return need
	}
	counter.used = counter.used.add(part)
	a.parts = append(a.parts, allocationPart{from: counter, loan: n, amount: part})
	return need.sub(part)
}

// releaseAllocation returns exactly what the allocation took. The caller holds
// b.mu.
func (b *targetBudget) releaseAllocation(a *allocation, now time.Time) {
	if a.released {
		return
	}
	a.released = true
	for _, t := range a.parts {
		t.from.used = t.from.used.sub(t.amount)
		if t.loan != nil && t.loan.used.isZero() {
			t.loan.idleSince = now
		}
	}
	for _, id := range a.attempts {
		delete(b.attempts, id)
		b.recentlyReleased[id] = now
	}
}

// seatShareOf returns the share of a seat, or nil.
func (b *targetBudget) seatShareOf(index int) *seatShare {
	for _, s := range b.seatShares {
		if s.seat == index {
			return s
		}
	}
	return nil
}

// syncSeats updates the seat shares to the seats that this VM holds. It
// returns the newly held seats, which need a takeover.
func (b *targetBudget) syncSeats(held []seat.Seat, now time.Time) (newSeats []seat.Seat) {
	for _, s := range b.seatShares {
		s.active = false
	}
	for _, s := range held {
		position := b.limits.position(s.Index)
		share := b.seatShareOf(s.Index)
		if share == nil && position < 0 {
			continue
		}
		if share == nil {
			share = &seatShare{seat: s.Index, lentLoans: map[string]*lentLoan{}}
			b.seatShares = append(b.seatShares, share)
		}
		share.position = position
		share.active = true
		if share.epoch != s.Epoch {
			share.resetForEpoch(s.Epoch)
			newSeats = append(newSeats, s)
		}
	}
	b.publish(now)
	return newSeats
}

// resetForEpoch starts the takeover of the seat at a new epoch. What was lent
// in the previous epoch is learned again from the borrowers.
func (s *seatShare) resetForEpoch(epoch uint64) {
	s.epoch = epoch
	s.lentLoans = map[string]*lentLoan{}
	s.lentTotal = Resources{}
	s.orphans = Resources{}
	s.shareTakeover = shareTakeover{}
}
