package capacity

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/seat"
)

const (
	// maintenanceInterval is the time between two rounds of periodic work.
	maintenanceInterval = 100 * time.Millisecond
	// previousConfigOverlap is how long the shares of the previous
	// configuration still limit this VM. A new version is active everywhere
	// within 11 s, and a VM that does not receive it is isolated after 3 s.
	previousConfigOverlap = 15 * time.Second
	// releasedRetention is how long an ended attempt is remembered: longer than
	// an inventory request can be in flight.
	releasedRetention = 30 * time.Second
)

// Errors of Borrow and ReserveAll.
var (
	// ErrNoCapacity reports that the other seats do not lend what is missing.
	ErrNoCapacity = errors.New("no seat lends the missing capacity; use another target or try again later")
	// ErrTooLarge reports a request above the target's limit at its warm-up
	// stage.
	ErrTooLarge = errors.New("the request exceeds the limit of the target; split it over several targets")
	// ErrUnknownTarget reports a target that is not declared.
	ErrUnknownTarget = errors.New("the target is not declared; declare it in the configuration")
)

// Options configure a Ledger.
type Options struct {
	Config  *config.Holder
	Seats   seat.Reader
	Members membership.Reader
	Caller  link.Caller
	Log     *slog.Logger
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Ledger implements Allocator for the seats that this VM holds.
type Ledger struct {
	Options
	started  time.Time
	snapshot atomic.Pointer[snapshot]
	loanSeq  atomic.Uint64
	gossip   stageGossip

	mu sync.Mutex
	// owners lists every seat and epoch that this process has held.
	owners    map[owner]struct{}
	takeovers map[int]*seatTakeover

	returnMu sync.Mutex
	returns  []loanReturn
	// nextLoanCheck is used by maintain only.
	nextLoanCheck time.Time

	waitMu  sync.Mutex
	waiting atomic.Bool
	changed chan struct{}
}

// snapshot is an immutable set of the target budgets with the configuration
// and the seats that they were built for.
type snapshot struct {
	config    *config.Config
	heldSeats []seat.Seat
	budgets   map[string]*targetBudget
	sorted    []*targetBudget // by target
}

var _ Allocator = (*Ledger)(nil)

// New returns a ledger and registers its message handlers.
func New(o Options, r link.Registrar) *Ledger {
	if o.Now == nil {
		o.Now = time.Now
	}
	l := &Ledger{
		Options:   o,
		started:   o.Now(),
		owners:    map[owner]struct{}{},
		takeovers: map[int]*seatTakeover{},
		changed:   make(chan struct{}),
	}
	l.snapshot.Store(&snapshot{})
	r.Handle(kindLoanRequest, decodingHandler(l.handleLoanRequest))
	r.Handle(kindLoanReturn, decodingHandler(l.handleLoanReturn))
	r.Handle(kindLoanQuery, decodingHandler(l.handleLoanQuery))
	l.refresh()
	return l
}

// Run does the ledger's periodic work until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.maintain(ctx)
		}
	}
}

// maintain does one round of periodic work.
func (l *Ledger) maintain(ctx context.Context) {
	l.refresh()
	now := l.Now()
	for _, b := range l.snapshot.Load().sorted {
		l.maintainTarget(b, now)
	}
	l.sendReturns(ctx)
	l.advanceTakeovers(ctx)
	l.checkLoans(ctx)
}

// maintainTarget returns idle loans, drops old attempts and publishes the
// available resources.
func (l *Ledger) maintainTarget(b *targetBudget, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.seatShares)+len(b.loans)+len(b.recentlyReleased) == 0 {
		return
	}
	for _, n := range b.loans {
		if n.shouldReturn(b, now) {
			l.returnLoan(b, n)
		}
	}
	for id, at := range b.recentlyReleased {
		if now.Sub(at) > releasedRetention {
			delete(b.recentlyReleased, id)
		}
	}
	b.completePlainTakeovers(now)
	before := b.publishedAvailable(now)
	b.publish(now)
	if after := b.publishedAvailable(now); after.Tokens > before.Tokens || after.Slots > before.Slots {
		l.notify()
	}
}

// Available implements Allocator.
func (l *Ledger) Available(target string) Resources {
	b := l.snapshot.Load().budgets[target]
	if b == nil {
		return Resources{}
	}
	return b.publishedAvailable(l.Now())
}

// Reserve implements Allocator.
func (l *Ledger) Reserve(target string, tokens int) (*Reservation, bool) {
	b := l.currentBudget(target)
	if b == nil || len(l.snapshot.Load().heldSeats) == 0 {
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := l.Now()
	if b.limits.plain {
		tokens = 0
	}
	a := b.allocate(Resources{Tokens: max(tokens, 0), Slots: 1}, now)
	if a == nil {
		return nil, false
	}
	b.publish(now)
	return NewReservation(target, tokens, func(id string) { b.addAttempt(a, id) }, func() { l.release(b, a) }), true
}

// addAttempt registers an attempt as active.
func (b *targetBudget) addAttempt(a *allocation, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.released {
		return
	}
	a.attempts = append(a.attempts, id)
	b.attempts[id] = a
}

func (l *Ledger) release(b *targetBudget, a *allocation) {
	b.mu.Lock()
	now := l.Now()
	b.releaseAllocation(a, now)
	b.publish(now)
	b.mu.Unlock()
	l.notify()
}

// Observe implements Allocator.
func (l *Ledger) Observe(target string, o Observation) {
	b := l.snapshot.Load().budgets[target]
	if b == nil {
		return
	}
	b.mu.Lock()
	now := l.Now()
	before := b.publishedAvailable(now)
	stage := b.warmup.stage
	if o.At.After(now) || o.At.IsZero() {
		o.At = now
	}
	b.warmup.observe(o, &b.limits, now)
	raised := b.warmup.stage != stage
	b.publish(now)
	after := b.publishedAvailable(now)
	b.mu.Unlock()
	if raised {
		l.gossip.add(target, now)
	}
	if after.Tokens > before.Tokens || after.Slots > before.Slots {
		l.notify()
	}
}

// WarmupStage returns the known warm-up stage of a target.
func (l *Ledger) WarmupStage(target string) WarmupStage {
	b := l.snapshot.Load().budgets[target]
	if b == nil {
		return WarmupStage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.warmup.stage
}

// Changed implements Allocator.
func (l *Ledger) Changed() <-chan struct{} {
	l.waitMu.Lock()
	defer l.waitMu.Unlock()
	l.waiting.Store(true)
	return l.changed
}

// notify wakes those who wait for available resources.
func (l *Ledger) notify() {
	if !l.waiting.Load() {
		return
	}
	l.waitMu.Lock()
	defer l.waitMu.Unlock()
	if l.waiting.Swap(false) {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// currentBudget returns the budget of a target, refreshed first if the
// configuration or the held seats have changed.
func (l *Ledger) currentBudget(target string) *targetBudget {
	snap := l.snapshot.Load()
	if snap.config != l.Config.Current() || !slices.Equal(snap.heldSeats, l.Seats.Seats()) {
		l.refresh()
		snap = l.snapshot.Load()
	}
	return snap.budgets[target]
}

// refresh publishes the budgets for the current configuration and seats.
func (l *Ledger) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.snapshot.Load()
	cfg := l.Config.Current()
	held := l.Seats.Seats()
	if cfg == nil || (old.config == cfg && slices.Equal(old.heldSeats, held)) {
		return
	}
	next := &snapshot{config: cfg, heldSeats: slices.Clone(held), budgets: old.budgets}
	if old.config != cfg {
		next.budgets = l.budgetsFor(cfg, old)
	}
	next.sorted = sortBudgets(next.budgets)
	for _, s := range held {
		l.owners[owner{s.Index, s.Epoch}] = struct{}{}
	}
	now := l.Now()
	for _, b := range next.budgets {
		b.mu.Lock()
		newSeats := b.syncSeats(held, now)
		b.mu.Unlock()
		for _, s := range newSeats {
			l.startTakeover(b, s, now)
		}
	}
	l.snapshot.Store(next)
}

// budgetsFor returns the budgets of a configuration: existing ones with new
// limits, and new ones.
func (l *Ledger) budgetsFor(cfg *config.Config, old *snapshot) map[string]*targetBudget {
	now := l.Now()
	reorder := old.config == nil || old.config.Seats != cfg.Seats || old.config.SharesPerTarget != cfg.SharesPerTarget
	budgets := make(map[string]*targetBudget, len(cfg.Targets))
	for id := range cfg.Targets {
		b := old.budgets[id]
		var order []int
		if b == nil || reorder || b.limits.seatOrder == nil {
			order = seatOrder(id, cfg.Seats, cfg.SharesPerTarget)
		} else {
			order = b.limits.seatOrder
		}
		limits := newLimits(cfg, id, order)
		if b == nil {
			b = newTargetBudget(id, limits, l.started)
		} else {
			b.setLimits(limits, now)
		}
		budgets[id] = b
	}
	for id, b := range old.budgets {
		if budgets[id] == nil && b.retire(now) {
			budgets[id] = b
		}
	}
	return budgets
}

func (b *targetBudget) setLimits(l limits, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits.equal(&l) {
		return
	}
	previous := b.limits
	if b.previousLimits != nil && now.Before(b.previousLimitsUntil) {
		previous = minLimits(*b.previousLimits, previous)
	}
	b.previousLimits = &previous
	b.previousLimitsUntil = now.Add(previousConfigOverlap)
	b.limits = l
}

// minLimits combines two earlier configurations when a third one follows
// quickly: both bound the totals, and the shares are those of the newer one.
func minLimits(a, b limits) limits {
	b.warm = b.warm.componentMin(a.warm)
	b.cold = b.cold.componentMin(a.cold)
	return b
}

// retire drops the limits of a target that is no longer declared. It reports
// whether any part of the budget is still in use; such a budget must be kept.
func (b *targetBudget) retire(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits{plain: b.limits.plain}
	inUse := len(b.loans)+len(b.pendingRequests) > 0
	for _, s := range b.seatShares {
		inUse = inUse || !s.used.isZero() || len(s.lentLoans) > 0
	}
	b.publish(now)
	return inUse
}
