package capacity

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
)

// Lent capacity comes back to its owner within these bounds:
//
//   - returned: one maintenance round of the borrower (100 ms) and one
//     message;
//   - response or return lost, borrower reachable: the next check, at most two
//     check intervals (4 s) after the grant or the return;
//   - borrower dead: the expiry of the loan (request deadline + 5 s), then the
//     first inventory that lists no attempt of the borrower;
//   - lender dead or replaced: the next holder of the seat learns of the loan
//     from the borrower before it uses the seat, and the bounds above apply;
//   - borrower running but unreachable: the expiry, then the longest request
//     of any contract and 35 s.
//
// The message kinds of this package.
const (
	kindLoanRequest = "LoanRequest"
	kindLoanReturn  = "LoanReturn"
	kindLoanQuery   = "LoanQuery"
)

const (
	// loanExpiryGrace is added to a request's deadline to get the expiry of its
	// loan.
	loanExpiryGrace = 5 * time.Second
	// maxLoanDuration bounds the time for which new reservations may use a
	// loan.
	maxLoanDuration = 10 * time.Minute
	// releaseGrace is how long after its deadline a request may still hold its
	// reservation while its cancellation is being confirmed.
	releaseGrace = 35 * time.Second
	// lenderReserveTokens and lenderReserveSlots are held back by a warm lender
	// for its own short requests, but never more than a fraction of its share.
	lenderReserveTokens        = 4096
	lenderReserveTokensDivisor = 8
	lenderReserveSlots         = 1
	lenderReserveSlotsDivisor  = 4
)

// loanRequest asks the holder of a seat for a loan.
type loanRequest struct {
	ID        string              `msgpack:"i"`
	From      membership.Instance `msgpack:"f"`
	Owners    []owner             `msgpack:"o"`
	Target    string              `msgpack:"t"`
	Seat      int                 `msgpack:"s"`
	Requested Resources           `msgpack:"n"`
	// Lifetime is the time until the expiry. It is a duration and not a
	// wall-clock time because the clocks of VMs differ.
	Lifetime time.Duration `msgpack:"l"`
}

// loanGrant is the response to a loanRequest. A zero amount lends nothing.
type loanGrant struct {
	Epoch  uint64      `msgpack:"e"`
	Amount Resources   `msgpack:"a"`
	Cold   bool        `msgpack:"c"`
	Stage  WarmupStage `msgpack:"s"`
}

// loanReturn ends a loan.
type loanReturn struct {
	ID     string `msgpack:"i"`
	Target string `msgpack:"t"`
	Seat   int    `msgpack:"s"`
}

// lentLoan is capacity lent to another VM.
type lentLoan struct {
	id       string
	borrower membership.Instance
	owners   []owner
	amount   Resources
	granted  time.Time
	// expires ends the loan of a dead borrower once the target's inventory
	// lists none of its attempts. hardExpiry ends the loan of an unreachable
	// borrower: by then no request that uses it can still run.
	expires    time.Time
	hardExpiry time.Time
	// formerHolderUse is true for an entry that counts what an earlier holder
	// of the seat itself still uses.
	formerHolderUse bool
	borrowerDead    bool
}

// decodingHandler returns a handler that decodes the payload of a message for
// f.
func decodingHandler[Q, R any](f func(Q) R) link.Handler {
	return func(_ context.Context, payload []byte) (any, error) {
		var q Q
		if err := msgpack.Unmarshal(payload, &q); err != nil {
			return nil, err
		}
		return f(q), nil
	}
}

// handleLoanRequest lends what is available above the lender's reserve. The
// amount is subtracted before the response is sent, so that a lost response
// wastes capacity but never overcommits the target.
func (l *Ledger) handleLoanRequest(q loanRequest) loanGrant {
	b := l.currentBudget(q.Target)
	if b == nil {
		return loanGrant{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := l.Now()
	s := b.seatShareOf(q.Seat)
	if s == nil || !s.usable() {
		return loanGrant{}
	}
	if old := s.lentLoans[q.ID]; old != nil {
		return loanGrant{Epoch: s.epoch, Amount: old.amount, Stage: b.warmup.stage}
	}
	g := b.grant(s, q.Requested, now)
	if g.Amount.isZero() {
		return g
	}
	lifetime := min(max(q.Lifetime, 0), maxLoanDuration)
	s.addLentLoan(&lentLoan{
		id:         q.ID,
		borrower:   q.From,
		owners:     q.Owners,
		amount:     g.Amount,
		granted:    now,
		expires:    now.Add(lifetime),
		hardExpiry: now.Add(lifetime + l.maxRequestDuration() + releaseGrace),
	})
	b.publish(now)
	return g
}

// grant decides how much the seat share lends. The caller holds b.mu.
func (b *targetBudget) grant(s *seatShare, need Resources, now time.Time) loanGrant {
	fresh := b.warmup.evidenceFresh(now)
	share := b.currentShare(s, fresh, now)
	free := s.available(share)
	if fresh && b.limits.isWarm(b.warmup.stage.Doublings) {
		free = free.sub(Resources{
			Tokens: min(lenderReserveTokens, share.Tokens/lenderReserveTokensDivisor),
			Slots:  min(lenderReserveSlots, share.Slots/lenderReserveSlotsDivisor),
		}).clampToZero()
	}
	amount := need.componentMin(free).clampToZero()
	cold := s.available(b.currentShare(s, false, now)).covers(amount)
	return loanGrant{Epoch: s.epoch, Amount: amount, Cold: cold, Stage: b.warmup.stage}
}

func (s *seatShare) addLentLoan(n *lentLoan) {
	s.lentLoans[n.id] = n
	s.lentTotal = s.lentTotal.add(n.amount)
}

// reclaimLoan takes a lent amount back.
func (s *seatShare) reclaimLoan(id string) bool {
	n := s.lentLoans[id]
	if n == nil {
		return false
	}
	delete(s.lentLoans, id)
	s.lentTotal = s.lentTotal.sub(n.amount)
	return true
}

// reduceLoan lowers a lent amount to what the borrower still holds of it.
func (s *seatShare) reduceLoan(n *lentLoan, to Resources) {
	to = n.amount.componentMin(to)
	s.lentTotal = s.lentTotal.sub(n.amount).add(to)
	n.amount = to
}

// handleLoanReturn takes a loan back. A repeated or late return has no effect.
func (l *Ledger) handleLoanReturn(q loanReturn) bool {
	b := l.snapshot.Load().budgets[q.Target]
	if b == nil {
		return false
	}
	b.mu.Lock()
	now := l.Now()
	s := b.seatShareOf(q.Seat)
	found := s != nil && s.reclaimLoan(q.ID)
	b.publish(now)
	b.mu.Unlock()
	if found {
		l.notify()
	}
	return found
}

// maxRequestDuration is the longest time for which any contract lets a request
// run.
func (l *Ledger) maxRequestDuration() time.Duration {
	maximum := maxLoanDuration
	snap := l.snapshot.Load()
	if snap.config == nil {
		return maximum
	}
	for _, c := range snap.config.Contracts {
		maximum = max(maximum, c.MaxDeadline.Std())
	}
	return maximum
}
