package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oriolefront/oriolefront/internal/membership"
)

const (
	// loanCallTimeout bounds one message about a loan; the round trip between
	// zones is a few milliseconds.
	loanCallTimeout = 100 * time.Millisecond
	// loanIdle is how long an unused loan is kept, so that an uneven balancer
	// does not cost a message for every request.
	loanIdle = time.Second
	// maxReturns bounds the returns that wait to be sent. Those above it are
	// found by the lender's check.
	maxReturns = 4096
)

// Borrow implements Capacity. It asks each seat of the target at most once.
// What was lent in vain goes back at once, and no lender waits for anything, so
// VMs that borrow from each other cannot block each other.
func (l *Ledger) Borrow(ctx context.Context, target string, need Resources, until time.Time) error {
	b := l.current(target)
	if b == nil {
		return fmt.Errorf("borrow for %q: %w", target, ErrUnknownTarget)
	}
	if _, err := l.Seats.AttemptPrefix(); err != nil {
		return fmt.Errorf("borrow for %q: %w", target, err)
	}
	select {
	case b.borrowing <- struct{}{}:
		defer func() { <-b.borrowing }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if b.limitsNow().plain {
		need.Tokens = 0
	}
	if !b.bears(need) {
		return fmt.Errorf("borrow %d tokens and %d slots of %q: %w", need.Tokens, need.Slots, target, ErrTooLarge)
	}
	return l.collect(ctx, b, need, until)
}

// bears reports whether the need is within the bound of the present stage.
func (b *book) bears(need Resources) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.bound(b.warmth.stage.Doublings).covers(need)
}

// collect asks one seat after the other until the need is met.
func (l *Ledger) collect(ctx context.Context, b *book, need Resources, until time.Time) error {
	var got []*loan
	defer func() { l.abandon(b, got) }()
	order := b.limitsNow().order
	first := rand.IntN(max(len(order), 1))
	for i := range order {
		missing := b.missing(need, got, l.Now())
		if missing.isZero() || ctx.Err() != nil {
			break
		}
		n := l.ask(ctx, b, order[(first+i)%len(order)], missing, until)
		if n != nil {
			got = append(got, n)
		}
	}
	if !b.missing(need, got, l.Now()).isZero() {
		return fmt.Errorf("borrow %d tokens and %d slots of %q: %w", need.Tokens, need.Slots, b.id, ErrNoCapacity)
	}
	b.reveal(got, l.Now())
	got = nil
	l.notify()
	return nil
}

func (b *book) limitsNow() limits {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits
}

// missing returns what the need lacks beside the room and the loans collected
// so far.
func (b *book) missing(need Resources, got []*loan, now time.Time) Resources {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := b.warmth.fresh(now)
	have := b.room(fresh, now)
	for _, n := range got {
		if b.loans[n.id] == n && n.valid(b, fresh, now) {
			have = have.add(n.amount)
		}
	}
	return need.sub(have).atLeastZero()
}

// reveal lets reservations use the collected loans.
func (b *book) reveal(got []*loan, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range got {
		n.hidden = false
		n.idleSince = now
	}
	b.publish(now)
}

// abandon returns loans that were collected in vain.
func (l *Ledger) abandon(b *book, got []*loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range got {
		l.giveUp(b, n)
	}
}

// ask requests a loan from the holder of a seat. It returns nil when nothing
// was lent or the answer is not known in time.
func (l *Ledger) ask(ctx context.Context, b *book, index int, need Resources, until time.Time) *loan {
	self := l.Members.Self()
	address, _, ok := l.Seats.HolderOf(index)
	if !ok || address == self.Address || !l.mayAnswer(address) {
		return nil
	}
	now := l.Now()
	life := min(until.Sub(now)+loanGrace, longestLoan)
	if life <= 0 {
		return nil
	}
	q := loanRequest{
		ID:     fmt.Sprintf("%s/%d/%d", self.Address, self.StartNumber, l.loanSeq.Add(1)),
		From:   self,
		Owners: l.ownersNow(),
		Target: b.id,
		Seat:   index,
		Need:   need,
		Life:   life,
	}
	b.mu.Lock()
	b.asked[q.ID] = struct{}{}
	b.mu.Unlock()
	var g loanGrant
	err := l.call(ctx, address, kindLoanRequest, q, &g)
	n := l.accept(b, q, g, err, now.Add(life))
	if n == nil && (err != nil || !g.Amount.isZero()) {
		l.queueReturn(loanReturn{ID: q.ID, Target: b.id, Seat: index})
	}
	return n
}

// accept enters a granted loan, unless the lender asked for it in the meantime
// and was told that this VM does not have it, or the seat has a new holder.
func (l *Ledger) accept(b *book, q loanRequest, g loanGrant, err error, expires time.Time) *loan {
	_, present, known := l.Seats.HolderOf(q.Seat)
	now := l.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	_, expected := b.asked[q.ID]
	delete(b.asked, q.ID)
	replaced := b.fences[q.Seat] > g.Epoch || (known && present > g.Epoch)
	if err != nil || !expected || replaced || g.Amount.isZero() || !q.Need.covers(g.Amount) {
		return nil
	}
	b.warmth.raise(g.Stage, now)
	n := &loan{
		id:        q.ID,
		seat:      q.Seat,
		epoch:     g.Epoch,
		amount:    g.Amount,
		expires:   expires,
		stage:     g.Stage,
		cold:      g.Cold,
		hidden:    true,
		idleSince: now,
	}
	b.loans[n.id] = n
	return n
}

// idle reports whether a loan should go back to its owner.
func (n *loan) idle(b *book, now time.Time) bool {
	if n.hidden || !n.used.isZero() {
		return false
	}
	return now.Sub(n.idleSince) >= loanIdle || !n.usable(b, true, now)
}

// giveUp removes an unused loan and queues its return. The removal comes first,
// so that the amount is never in use on both sides. The caller holds b.mu.
func (l *Ledger) giveUp(b *book, n *loan) {
	if b.loans[n.id] != n || !n.used.isZero() {
		return
	}
	delete(b.loans, n.id)
	l.queueReturn(loanReturn{ID: n.id, Target: b.id, Seat: n.seat})
}

// queueReturn leaves a return to the next round of maintenance.
func (l *Ledger) queueReturn(r loanReturn) {
	l.returnMu.Lock()
	defer l.returnMu.Unlock()
	if len(l.returns) < maxReturns {
		l.returns = append(l.returns, r)
	}
}

// sendReturns sends the queued returns to the present holders of the seats. A
// return that is lost is found by the holder's check.
func (l *Ledger) sendReturns(ctx context.Context) {
	l.returnMu.Lock()
	queued := l.returns
	l.returns = nil
	l.returnMu.Unlock()
	byAddress := map[string][]loanReturn{}
	for _, r := range queued {
		if address, _, ok := l.Seats.HolderOf(r.Seat); ok && l.mayAnswer(address) {
			byAddress[address] = append(byAddress[address], r)
		}
	}
	l.each(keys(byAddress), func(address string) {
		for _, r := range byAddress[address] {
			var found bool
			if l.call(ctx, address, kindLoanReturn, r, &found) != nil {
				return
			}
		}
	})
}

// mayAnswer reports whether asking a VM is worth its time.
func (l *Ledger) mayAnswer(address string) bool {
	for _, p := range l.Members.Peers() {
		if p.Instance.Address == address {
			return p.State == membership.Live || p.State == membership.Leaving
		}
	}
	return true
}
