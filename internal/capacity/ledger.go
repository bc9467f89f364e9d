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
	// tickInterval is the pace of the ledger's own work.
	tickInterval = 100 * time.Millisecond
	// configSettle is how long the shares of the configuration before still
	// bound this VM. A new version is in force everywhere within 11 s, and a VM
	// that does not hear of it is isolated after 3 s.
	configSettle = 15 * time.Second
	// releasedMemory is how long an ended attempt is remembered: longer than a
	// list of attempts can be under way.
	releasedMemory = 30 * time.Second
)

// Errors of Borrow and ReserveAll.
var (
	// ErrNoCapacity reports that the other seats do not lend what is missing.
	ErrNoCapacity = errors.New("no seat lends the missing capacity; use another target or try again later")
	// ErrTooLarge reports a need above what the target bears at its stage.
	ErrTooLarge = errors.New("the need is above the bound of the target; split it over several targets")
	// ErrUnknownTarget reports a target that is not declared.
	ErrUnknownTarget = errors.New("the target is not declared; declare it in the configuration")
)

// Options are what a Ledger works with.
type Options struct {
	Config  *config.Holder
	Seats   seat.Reader
	Members membership.Reader
	Caller  link.Caller
	Log     *slog.Logger
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Ledger implements Capacity for the seats that this VM holds.
type Ledger struct {
	Options
	started time.Time
	view    atomic.Pointer[view]
	loanSeq atomic.Uint64
	gossip  gossip

	mu sync.Mutex
	// owners lists every seat and epoch that this process has held.
	owners    map[owner]struct{}
	takeovers map[int]*seatTakeover

	returnMu sync.Mutex
	returns  []loanReturn
	// nextCheck is used by maintain alone.
	nextCheck time.Time

	waitMu  sync.Mutex
	waiting atomic.Bool
	changed chan struct{}
}

// view is an immutable snapshot of the books, by target.
type view struct {
	config *config.Config
	held   []seat.Seat
	books  map[string]*book
	sorted []*book // by target
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
	l.view.Store(&view{})
	r.Handle(kindLoanRequest, handler(l.handleRequest))
	r.Handle(kindLoanReturn, handler(l.handleReturn))
	r.Handle(kindLoanQuery, handler(l.handleQuery))
	l.refresh()
	return l
}

// Run does the ledger's periodic work until ctx ends.
func (l *Ledger) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
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
	for _, b := range l.view.Load().sorted {
		l.tend(b, now)
	}
	l.sendReturns(ctx)
	l.advanceTakeovers(ctx)
	l.checkLoans(ctx)
}

// tend returns idle loans, forgets old attempts and publishes the room.
func (l *Ledger) tend(b *book, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buckets)+len(b.loans)+len(b.released) == 0 {
		return
	}
	for _, n := range b.loans {
		if n.idle(b, now) {
			l.giveUp(b, n)
		}
	}
	for id, at := range b.released {
		if now.Sub(at) > releasedMemory {
			delete(b.released, id)
		}
	}
	b.settlePlain(now)
	before := b.read(now)
	b.publish(now)
	if after := b.read(now); after.Tokens > before.Tokens || after.Slots > before.Slots {
		l.notify()
	}
}

// Available implements Capacity.
func (l *Ledger) Available(target string) Resources {
	b := l.view.Load().books[target]
	if b == nil {
		return Resources{}
	}
	return b.read(l.Now())
}

// Reserve implements Capacity.
func (l *Ledger) Reserve(target string, tokens int) (*Reservation, bool) {
	b := l.current(target)
	if b == nil || len(l.view.Load().held) == 0 {
		return nil, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := l.Now()
	if b.limits.plain {
		tokens = 0
	}
	e := b.take(Resources{Tokens: max(tokens, 0), Slots: 1}, now)
	if e == nil {
		return nil, false
	}
	b.publish(now)
	return NewReservation(target, tokens, func(id string) { b.name(e, id) }, func() { l.release(b, e) }), true
}

// name enters an attempt into the table of active attempts.
func (b *book) name(e *lease, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.released {
		return
	}
	e.attempts = append(e.attempts, id)
	b.attempts[id] = e
}

func (l *Ledger) release(b *book, e *lease) {
	b.mu.Lock()
	now := l.Now()
	b.giveBack(e, now)
	b.publish(now)
	b.mu.Unlock()
	l.notify()
}

// Observe implements Capacity.
func (l *Ledger) Observe(target string, o Observation) {
	b := l.view.Load().books[target]
	if b == nil {
		return
	}
	b.mu.Lock()
	now := l.Now()
	before := b.read(now)
	stage := b.warmth.stage
	if o.At.After(now) || o.At.IsZero() {
		o.At = now
	}
	b.warmth.observe(o, &b.limits, now)
	raised := b.warmth.stage != stage
	b.publish(now)
	after := b.read(now)
	b.mu.Unlock()
	if raised {
		l.gossip.add(target, now)
	}
	if after.Tokens > before.Tokens || after.Slots > before.Slots {
		l.notify()
	}
}

// WarmupStage returns what is known of a target's warm-up.
func (l *Ledger) WarmupStage(target string) WarmupStage {
	b := l.view.Load().books[target]
	if b == nil {
		return WarmupStage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.warmth.stage
}

// Changed implements Capacity.
func (l *Ledger) Changed() <-chan struct{} {
	l.waitMu.Lock()
	defer l.waitMu.Unlock()
	l.waiting.Store(true)
	return l.changed
}

// notify wakes those who wait for room.
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

// current returns the book of a target after a change of the held seats has
// been taken into account.
func (l *Ledger) current(target string) *book {
	v := l.view.Load()
	if v.config != l.Config.Current() || !slices.Equal(v.held, l.Seats.Seats()) {
		l.refresh()
		v = l.view.Load()
	}
	return v.books[target]
}

// refresh publishes the books for the present configuration and seats.
func (l *Ledger) refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.view.Load()
	cfg := l.Config.Current()
	held := l.Seats.Seats()
	if cfg == nil || (old.config == cfg && slices.Equal(old.held, held)) {
		return
	}
	next := &view{config: cfg, held: slices.Clone(held), books: old.books}
	if old.config != cfg {
		next.books = l.booksFor(cfg, old)
	}
	next.sorted = sortBooks(next.books)
	for _, s := range held {
		l.owners[owner{s.Index, s.Epoch}] = struct{}{}
	}
	now := l.Now()
	for _, b := range next.books {
		b.mu.Lock()
		taken := b.sync(held, now)
		b.mu.Unlock()
		for _, s := range taken {
			l.beginTakeover(b, s, now)
		}
	}
	l.view.Store(next)
}

// booksFor returns the books of a configuration: those that exist, with new
// limits, and new ones.
func (l *Ledger) booksFor(cfg *config.Config, old *view) map[string]*book {
	now := l.Now()
	reorder := old.config == nil || old.config.Seats != cfg.Seats || old.config.SharesPerTarget != cfg.SharesPerTarget
	books := make(map[string]*book, len(cfg.Targets))
	for id := range cfg.Targets {
		b := old.books[id]
		var order []int
		if b == nil || reorder || b.limits.order == nil {
			order = seatOrder(id, cfg.Seats, cfg.SharesPerTarget)
		} else {
			order = b.limits.order
		}
		limits := newLimits(cfg, id, order)
		if b == nil {
			b = newBook(id, limits, l.started)
		} else {
			b.setLimits(limits, now)
		}
		books[id] = b
	}
	for id, b := range old.books {
		if books[id] == nil && b.retire(now) {
			books[id] = b
		}
	}
	return books
}

func (b *book) setLimits(l limits, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits.equal(&l) {
		return
	}
	previous := b.limits
	if b.previous != nil && now.Before(b.previousUntil) {
		previous = lesserLimits(*b.previous, previous)
	}
	b.previous = &previous
	b.previousUntil = now.Add(configSettle)
	b.limits = l
}

// lesserLimits bounds by both of two earlier configurations when a third one
// follows quickly. The shares of the newer of both apply.
func lesserLimits(a, b limits) limits {
	b.warm = b.warm.lesser(a.warm)
	b.cold = b.cold.lesser(a.cold)
	return b
}

// retire removes the room of a target that is no longer declared and reports
// whether something of it is still in use, which must not be forgotten.
func (b *book) retire(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits{plain: b.limits.plain}
	inUse := len(b.loans)+len(b.asked) > 0
	for _, k := range b.buckets {
		inUse = inUse || !k.used.isZero() || len(k.lent) > 0
	}
	b.publish(now)
	return inUse
}
