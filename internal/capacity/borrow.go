package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/oriolefront/oriolefront/internal/membership"
)

const (
	// loanCallTimeout bounds one loan message; the round trip between zones is
	// a few milliseconds.
	loanCallTimeout = 100 * time.Millisecond
	// maxLoanIdle is how long an unused loan is kept, so that an uneven
	// balancer does not cost a message for every request.
	maxLoanIdle = time.Second
	// maxQueuedReturns bounds the queue of unsent returns. The lender's
	// periodic check finds the loans that did not fit.
	maxQueuedReturns = 4096
)

// Borrow implements Allocator. It asks each seat of the target at most once.
// If the request cannot be met, all loans obtained for it are given
// up immediately. No lender ever blocks, so VMs that borrow from each other
// cannot deadlock. If ctx ends first, the error wraps both ErrNoCapacity and the
// error of ctx: nothing was obtained.
func (l *Ledger) Borrow(ctx context.Context, target string, need Resources, until time.Time) error {
	b := l.currentBudget(target)
	if b == nil {
		return fmt.Errorf("borrow for %q: %w", target, ErrUnknownTarget)
	}
	if _, err := l.Seats.AttemptPrefix(); err != nil {
		return fmt.Errorf("borrow for %q: %w", target, err)
	}
	select {
	case b.borrowSlot <- struct{}{}:
		defer func() { <-b.borrowSlot }()
	case <-ctx.Done():
		return fmt.Errorf("borrow for %q: %w (%w)", target, ErrNoCapacity, ctx.Err())
	}
	if b.currentLimits().plain {
		need.Tokens = 0
	}
	if !b.withinWarmupLimit(need) {
		return fmt.Errorf("borrow %d tokens and %d slots of %q: %w", need.Tokens, need.Slots, target, ErrTooLarge)
	}
	return l.borrowFromSeats(ctx, b, need, until)
}

// withinWarmupLimit reports whether the requested resources are within the
// limit of the current warm-up stage.
func (b *targetBudget) withinWarmupLimit(need Resources) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits.limitAt(b.warmup.stage.Doublings).covers(need)
}

// borrowFromSeats asks one seat after the other until the request is met.
func (l *Ledger) borrowFromSeats(ctx context.Context, b *targetBudget, need Resources, until time.Time) error {
	var loans []*loan
	defer func() { l.returnLoans(b, loans) }()
	order := b.currentLimits().seatOrder
	start := rand.IntN(max(len(order), 1))
	for i := range order {
		missing := b.missing(need, loans, l.Now())
		if missing.isZero() || ctx.Err() != nil {
			break
		}
		n := l.requestLoan(ctx, b, order[(start+i)%len(order)], missing, until)
		if n != nil {
			loans = append(loans, n)
		}
	}
	if !b.missing(need, loans, l.Now()).isZero() {
		return fmt.Errorf("borrow %d tokens and %d slots of %q: %w", need.Tokens, need.Slots, b.id, ErrNoCapacity)
	}
	b.activateLoans(loans, l.Now())
	loans = nil
	l.notify()
	return nil
}

func (b *targetBudget) currentLimits() limits {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits
}

// missing returns the requested resources that neither the available resources
// nor the loans collected so far cover.
func (b *targetBudget) missing(need Resources, loans []*loan, now time.Time) Resources {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := b.warmup.evidenceFresh(now)
	have := b.available(fresh, now)
	for _, n := range loans {
		if b.loans[n.id] == n && n.valid(b, fresh, now) {
			have = have.add(n.amount)
		}
	}
	return need.sub(have).clampToZero()
}

// activateLoans makes the collected loans usable by reservations.
func (b *targetBudget) activateLoans(loans []*loan, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range loans {
		n.pending = false
		n.idleSince = now
	}
	b.publish(now)
}

// returnLoans returns the loans of a failed Borrow call.
func (l *Ledger) returnLoans(b *targetBudget, loans []*loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range loans {
		l.returnLoan(b, n)
	}
}

// requestLoan requests a loan from the holder of a seat. It returns nil when
// nothing was lent or the response did not arrive in time.
func (l *Ledger) requestLoan(ctx context.Context, b *targetBudget, index int, need Resources, until time.Time) *loan {
	self := l.Members.Self()
	address, _, ok := l.Seats.HolderOf(index)
	if !ok || address == self.Address || !l.shouldCall(address) {
		return nil
	}
	now := l.Now()
	lifetime := min(until.Sub(now)+loanExpiryGrace, maxLoanDuration)
	if lifetime <= 0 {
		return nil
	}
	q := loanRequest{
		ID:        fmt.Sprintf("%s/%d/%d", self.Address, self.StartNumber, l.loanSeq.Add(1)),
		From:      self,
		Owners:    l.currentOwners(),
		Target:    b.id,
		Seat:      index,
		Requested: need,
		Lifetime:  lifetime,
	}
	b.mu.Lock()
	b.pendingRequests[q.ID] = struct{}{}
	b.mu.Unlock()
	var g loanGrant
	err := l.call(ctx, address, kindLoanRequest, q, &g)
	n := l.acceptLoan(b, q, g, err, now.Add(lifetime))
	if n == nil && (err != nil || !g.Amount.isZero()) {
		l.queueReturn(loanReturn{ID: q.ID, Target: b.id, Seat: index})
	}
	return n
}

// acceptLoan records a granted loan, unless the lender asked about it in the
// meantime and was told that this VM does not have it, or the seat has a new
// holder.
func (l *Ledger) acceptLoan(b *targetBudget, q loanRequest, g loanGrant, err error, expires time.Time) *loan {
	_, currentEpoch, known := l.Seats.HolderOf(q.Seat)
	now := l.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	_, expected := b.pendingRequests[q.ID]
	delete(b.pendingRequests, q.ID)
	replaced := b.minLoanEpochs[q.Seat] > g.Epoch || (known && currentEpoch > g.Epoch)
	if err != nil || !expected || replaced || g.Amount.isZero() || !q.Requested.covers(g.Amount) {
		return nil
	}
	b.warmup.advance(g.Stage, now)
	n := &loan{
		id:        q.ID,
		seat:      q.Seat,
		epoch:     g.Epoch,
		amount:    g.Amount,
		expires:   expires,
		stage:     g.Stage,
		cold:      g.Cold,
		pending:   true,
		idleSince: now,
	}
	b.loans[n.id] = n
	return n
}

// shouldReturn reports whether a loan should go back to its lender.
func (n *loan) shouldReturn(b *targetBudget, now time.Time) bool {
	if n.pending || !n.used.isZero() {
		return false
	}
	return now.Sub(n.idleSince) >= maxLoanIdle || !n.usable(b, true, now)
}

// returnLoan removes an unused loan and queues its return. It is removed
// first, so that the amount is never in use on both sides. The caller holds
// b.mu.
func (l *Ledger) returnLoan(b *targetBudget, n *loan) {
	if b.loans[n.id] != n || !n.used.isZero() {
		return
	}
	delete(b.loans, n.id)
	l.queueReturn(loanReturn{ID: n.id, Target: b.id, Seat: n.seat})
}

// queueReturn queues a return for the next maintenance round.
func (l *Ledger) queueReturn(r loanReturn) {
	l.returnMu.Lock()
	defer l.returnMu.Unlock()
	if len(l.returns) < maxQueuedReturns {
		l.returns = append(l.returns, r)
	}
}

// sendReturns sends the queued returns to the current holders of the seats. A
// lost return is found by the holder's periodic loan check.
func (l *Ledger) sendReturns(ctx context.Context) {
	l.returnMu.Lock()
	queued := l.returns
	l.returns = nil
	l.returnMu.Unlock()
	byAddress := map[string][]loanReturn{}
	for _, r := range queued {
		if address, _, ok := l.Seats.HolderOf(r.Seat); ok && l.shouldCall(address) {
			byAddress[address] = append(byAddress[address], r)
		}
	}
	l.forEachAddress(keys(byAddress), func(address string) {
		for _, r := range byAddress[address] {
			var found bool
			if l.call(ctx, address, kindLoanReturn, r, &found) != nil {
				return
			}
		}
	})
}

// shouldCall reports whether a VM is likely enough to respond to be called.
func (l *Ledger) shouldCall(address string) bool {
	for _, p := range l.Members.Peers() {
		if p.Instance.Address == address {
			return p.State == membership.Live || p.State == membership.Leaving
		}
	}
	return true
}
