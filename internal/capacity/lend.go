package capacity

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
)

// An amount that is lent comes back to its owner within these bounds:
//   - returned: one round of the borrower's maintenance (100 ms) and one message;
//   - answer or return lost, borrower reachable: the next check, at most two
//     check intervals (4 s) after the grant or the return;
//   - borrower dead: its expiry (request deadline + 5 s), then the first list of
//     attempts that shows none of the borrower's;
//   - lender dead or replaced: the next holder of the seat learns of the loan
//     from the borrower before it uses the seat, and the bounds above apply;
//   - borrower runs and cannot be reached: the expiry, then the longest request
//     of any contract and 35 s.
//
// The message kinds of this package.
const (
	kindLoanRequest = "LoanRequest"
	kindLoanReturn  = "LoanReturn"
	kindLoanQuery   = "LoanQuery"
)

const (
	// loanGrace is added to a request's deadline for the loan's expiry.
	loanGrace = 5 * time.Second
	// longestLoan bounds the life of a loan for new reservations.
	longestLoan = 10 * time.Minute
	// releaseGrace is how long after its deadline a request may still hold its
	// reservation, while its cancellation is being confirmed.
	releaseGrace = 35 * time.Second
	// floorTokens and floorSlots stay with a warm lender for its own short
	// requests, but never more than a part of its share.
	floorTokens     = 4096
	floorTokensPart = 8
	floorSlots      = 1
	floorSlotsPart  = 4
)

// loanRequest asks the holder of a seat for a loan.
type loanRequest struct {
	ID     string              `msgpack:"i"`
	From   membership.Instance `msgpack:"f"`
	Owners []owner             `msgpack:"o"`
	Target string              `msgpack:"t"`
	Seat   int                 `msgpack:"s"`
	Need   Resources           `msgpack:"n"`
	// Life is the time until the expiry. It is not a time of day, because the
	// clocks of VMs differ.
	Life time.Duration `msgpack:"l"`
}

// loanGrant answers a loanRequest. A zero amount lends nothing.
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

// lentLoan is an amount lent to another VM.
type lentLoan struct {
	id       string
	borrower membership.Instance
	owners   []owner
	amount   Resources
	granted  time.Time
	// expires ends the loan for a dead borrower once the target's list of
	// attempts shows none of it. hardEnd ends it for a borrower that cannot be
	// asked: no request that uses it can still run then.
	expires time.Time
	hardEnd time.Time
	// use is true for what an earlier holder of the seat itself still uses.
	use  bool
	dead bool
}

// handler decodes the payload of a message for f.
func handler[Q, R any](f func(Q) R) link.Handler {
	return func(_ context.Context, payload []byte) (any, error) {
		var q Q
		if err := msgpack.Unmarshal(payload, &q); err != nil {
			return nil, err
		}
		return f(q), nil
	}
}

// handleRequest lends what is free above the floor. The amount is subtracted
// before the answer leaves, so that a lost answer costs room and never safety.
func (l *Ledger) handleRequest(q loanRequest) loanGrant {
	b := l.current(q.Target)
	if b == nil {
		return loanGrant{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := l.Now()
	k := b.bucketOf(q.Seat)
	if k == nil || !k.usable() {
		return loanGrant{}
	}
	if old := k.lent[q.ID]; old != nil {
		return loanGrant{Epoch: k.epoch, Amount: old.amount, Stage: b.warmth.stage}
	}
	g := b.grant(k, q.Need, now)
	if g.Amount.isZero() {
		return g
	}
	life := min(max(q.Life, 0), longestLoan)
	k.lend(&lentLoan{
		id:       q.ID,
		borrower: q.From,
		owners:   q.Owners,
		amount:   g.Amount,
		granted:  now,
		expires:  now.Add(life),
		hardEnd:  now.Add(life + l.longestRequest() + releaseGrace),
	})
	b.publish(now)
	return g
}

// grant decides what the bucket lends. The caller holds b.mu.
func (b *book) grant(k *bucket, need Resources, now time.Time) loanGrant {
	fresh := b.warmth.fresh(now)
	share := b.share(k, fresh, now)
	free := k.free(share)
	if fresh && b.limits.isWarm(b.warmth.stage.Doublings) {
		free = free.sub(Resources{
			Tokens: min(floorTokens, share.Tokens/floorTokensPart),
			Slots:  min(floorSlots, share.Slots/floorSlotsPart),
		}).atLeastZero()
	}
	amount := need.lesser(free).atLeastZero()
	cold := k.free(b.share(k, false, now)).covers(amount)
	return loanGrant{Epoch: k.epoch, Amount: amount, Cold: cold, Stage: b.warmth.stage}
}

func (k *bucket) lend(n *lentLoan) {
	k.lent[n.id] = n
	k.lentSum = k.lentSum.add(n.amount)
}

// reclaim takes a lent amount back.
func (k *bucket) reclaim(id string) bool {
	n := k.lent[id]
	if n == nil {
		return false
	}
	delete(k.lent, id)
	k.lentSum = k.lentSum.sub(n.amount)
	return true
}

// shrink lowers a lent amount to what the borrower still holds of it.
func (k *bucket) shrink(n *lentLoan, to Resources) {
	to = n.amount.lesser(to)
	k.lentSum = k.lentSum.sub(n.amount).add(to)
	n.amount = to
}

// handleReturn takes a loan back. A repeated or late return finds nothing.
func (l *Ledger) handleReturn(q loanReturn) bool {
	b := l.view.Load().books[q.Target]
	if b == nil {
		return false
	}
	b.mu.Lock()
	now := l.Now()
	k := b.bucketOf(q.Seat)
	found := k != nil && k.reclaim(q.ID)
	b.publish(now)
	b.mu.Unlock()
	if found {
		l.notify()
	}
	return found
}

// longestRequest is the longest time that a request may run by its contract.
func (l *Ledger) longestRequest() time.Duration {
	longest := longestLoan
	v := l.view.Load()
	if v.config == nil {
		return longest
	}
	for _, c := range v.config.Contracts {
		longest = max(longest, c.MaxDeadline.Std())
	}
	return longest
}
