package capacity

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/seat"
)

const (
	// takeoverRetry is the pace at which peers that did not answer are asked
	// again about a seat that this VM took over.
	takeoverRetry = 500 * time.Millisecond
	// lateSend is how long after the last answer about a seat the target's list
	// of attempts is taken, so that it shows what a dead VM sent last.
	lateSend = time.Second
	// loanCheckInterval is the pace at which a lender asks whether its loans
	// are still held. It bounds the cost of a lost answer or a lost return.
	loanCheckInterval = 2 * time.Second
	// callsAtOnce bounds the calls that run at the same time.
	callsAtOnce = 8
)

// owner is a seat at an epoch: the prefix of an attempt's id.
type owner struct {
	Seat  int    `msgpack:"s"`
	Epoch uint64 `msgpack:"e"`
}

// takeover is the state of a bucket whose seat was taken over.
type takeover struct {
	// answered is set once every peer that may hold a loan of the seat has
	// told or is dead; listed once the target's list of attempts has been seen
	// after that.
	answered, listed bool
	answeredAt       time.Time
	// clean is set once the list showed no attempt of an owner that did not
	// tell what it borrowed. Until then these attempts count as unconfirmed
	// use of the seat.
	clean       bool
	unconfirmed Resources
}

func (t *takeover) settled() bool { return t.answered && t.listed }

// seatTakeover collects what the peers hold of a seat, over all targets. It is
// guarded by Ledger.mu.
type seatTakeover struct {
	seat.Seat
	since    time.Time
	next     time.Time
	answered map[string]struct{} // addresses
	// confirmed holds the owners whose use of the seat is known. The map is
	// replaced and not modified.
	confirmed map[owner]struct{}
	done      bool
	// again is set when a list of attempts shows an unknown owner.
	again bool
}

// loanQuery asks a VM which loans it holds: those listed, and all that came
// from a seat below an epoch when Epoch is not 0.
type loanQuery struct {
	From  membership.Instance `msgpack:"f"`
	Seat  int                 `msgpack:"s"`
	Epoch uint64              `msgpack:"e"`
	Loans []loanRef           `msgpack:"l"`
}

// loanRef names a loan. With Use set it names what an earlier holder of the
// seat itself still uses of it.
type loanRef struct {
	Target string `msgpack:"t"`
	ID     string `msgpack:"i"`
	Seat   int    `msgpack:"s"`
	Use    bool   `msgpack:"u"`
}

type heldLoan struct {
	loanRef `msgpack:",inline"`
	Amount  Resources     `msgpack:"a"`
	Left    time.Duration `msgpack:"x"`
}

type loanAnswer struct {
	Instance membership.Instance `msgpack:"n"`
	Owners   []owner             `msgpack:"o"`
	Held     []heldLoan          `msgpack:"h"`
}

// handleQuery tells what this VM holds. A loan that it does not have it will
// never accept, and it accepts no loan of the seat from an earlier epoch.
func (l *Ledger) handleQuery(q loanQuery) loanAnswer {
	self := l.Members.Self()
	a := loanAnswer{Instance: self}
	now := l.Now()
	books := l.view.Load().books
	for _, r := range q.Loans {
		if b := books[r.Target]; b != nil {
			a.Held = append(a.Held, b.tell(r, now)...)
		}
	}
	if q.Epoch > 0 {
		for _, b := range books {
			a.Held = append(a.Held, b.tellSeat(q, self, now)...)
		}
	}
	a.Owners = l.ownersNow()
	return a
}

// tell reports a loan, if it is held, and otherwise makes sure that a grant
// that is still under way will not be accepted.
func (b *book) tell(r loanRef, now time.Time) []heldLoan {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.asked, r.ID)
	if r.Use {
		return b.tellUse(r, now)
	}
	n := b.loans[r.ID]
	if n == nil {
		return nil
	}
	return []heldLoan{{loanRef: r, Amount: n.amount, Left: n.expires.Sub(now)}}
}

func (b *book) tellUse(r loanRef, now time.Time) []heldLoan {
	k := b.bucketOf(r.Seat)
	if k == nil || k.used.isZero() {
		return nil
	}
	return []heldLoan{{loanRef: r, Amount: k.used}}
}

// tellSeat reports everything that is held of a seat and gives it up for new
// reservations.
func (b *book) tellSeat(q loanQuery, self membership.Instance, now time.Time) (held []heldLoan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fences[q.Seat] = max(b.fences[q.Seat], q.Epoch)
	for _, n := range b.loans {
		if n.seat == q.Seat {
			r := loanRef{Target: b.id, ID: n.id, Seat: n.seat}
			held = append(held, heldLoan{loanRef: r, Amount: n.amount, Left: n.expires.Sub(now)})
		}
	}
	if k := b.bucketOf(q.Seat); k != nil && q.From != self {
		k.fencedBelow = max(k.fencedBelow, q.Epoch)
		id := fmt.Sprintf("use/%s/%d/%d", self.Address, self.StartNumber, q.Seat)
		held = append(held, b.tellUse(loanRef{Target: b.id, ID: id, Seat: q.Seat, Use: true}, now)...)
	}
	b.publish(now)
	return held
}

// beginTakeover starts to ask the peers about a seat. The caller holds l.mu.
func (l *Ledger) beginTakeover(b *book, s seat.Seat, now time.Time) {
	t := l.takeovers[s.Index]
	if t == nil || t.Epoch != s.Epoch {
		l.takeovers[s.Index] = &seatTakeover{Seat: s, since: now, answered: map[string]struct{}{}}
		return
	}
	if t.done {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.markAnswered(t.Seat, now)
	}
}

// advanceTakeovers asks peers that have not answered yet.
func (l *Ledger) advanceTakeovers(ctx context.Context) {
	now := l.Now()
	for _, t := range l.dueTakeovers(now) {
		peers := l.mayHoldLoans()
		l.each(peers, func(address string) { l.askAbout(ctx, t, address) })
		l.finishTakeover(t, peers, now)
	}
}

func (l *Ledger) dueTakeovers(now time.Time) (due []*seatTakeover) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.view.Load().held
	for _, t := range l.takeovers {
		if !slices.Contains(held, t.Seat) {
			continue
		}
		if (t.done && !t.again) || now.Before(t.next) {
			continue
		}
		t.next = now.Add(takeoverRetry)
		t.again = false
		due = append(due, t)
	}
	return due
}

// mayHoldLoans returns the addresses of all VMs that are not known to be dead,
// this one included.
func (l *Ledger) mayHoldLoans() []string {
	found := map[string]struct{}{l.Members.Self().Address: {}}
	for _, p := range l.Members.Peers() {
		found[p.Instance.Address] = struct{}{}
	}
	if v := l.view.Load(); v.config != nil {
		for i := range v.config.Seats {
			if address, _, ok := l.Seats.HolderOf(i); ok {
				found[address] = struct{}{}
			}
		}
	}
	for address := range found {
		if l.isDead(address) {
			delete(found, address)
		}
	}
	return keys(found)
}

// isDead reports whether no process can be running at the address.
func (l *Ledger) isDead(address string) bool {
	dead := false
	for _, p := range l.Members.Peers() {
		if p.Instance.Address != address {
			continue
		}
		if p.State != membership.Removed && p.State != membership.Replaced {
			return false
		}
		dead = true
	}
	return dead
}

// askAbout asks one VM what it holds of a seat.
func (l *Ledger) askAbout(ctx context.Context, t *seatTakeover, address string) {
	q := loanQuery{From: l.Members.Self(), Seat: t.Index, Epoch: t.Epoch}
	var a loanAnswer
	if l.call(ctx, address, kindLoanQuery, q, &a) != nil {
		return
	}
	now := l.Now()
	for _, h := range a.Held {
		if b := l.view.Load().books[h.Target]; b != nil {
			b.register(t.Seat, h, a, l.longestRequest(), now)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.answered[address] = struct{}{}
	confirmed := make(map[owner]struct{}, len(t.confirmed)+len(a.Owners))
	for o := range t.confirmed {
		confirmed[o] = struct{}{}
	}
	for _, o := range a.Owners {
		confirmed[o] = struct{}{}
	}
	t.confirmed = confirmed
}

// register counts a loan that an earlier holder of the seat made.
func (b *book) register(s seat.Seat, h heldLoan, a loanAnswer, longest time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucketOf(s.Index)
	if k == nil || k.epoch != s.Epoch || k.lent[h.ID] != nil {
		return
	}
	left := max(h.Left, 0)
	k.lend(&lentLoan{
		id:       h.ID,
		borrower: a.Instance,
		owners:   a.Owners,
		amount:   h.Amount,
		granted:  now,
		expires:  now.Add(left),
		hardEnd:  now.Add(left + longest + releaseGrace),
		use:      h.Use,
	})
	b.publish(now)
}

// finishTakeover opens the seat once all peers have answered or are dead, or
// once no loan that a silent one may hold can still be valid.
func (l *Ledger) finishTakeover(t *seatTakeover, peers []string, now time.Time) {
	if l.awaits(t, peers) && now.Sub(t.since) < longestLoan+l.longestRequest()+releaseGrace {
		return
	}
	l.mu.Lock()
	t.done = true
	l.mu.Unlock()
	for _, b := range l.view.Load().books {
		b.mu.Lock()
		b.markAnswered(t.Seat, now)
		b.publish(now)
		b.mu.Unlock()
	}
}

func (l *Ledger) awaits(t *seatTakeover, peers []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range peers {
		if _, ok := t.answered[address]; !ok {
			return true
		}
	}
	return false
}

// markAnswered notes that all peers told about the seat. The caller holds b.mu.
func (b *book) markAnswered(s seat.Seat, now time.Time) {
	k := b.bucketOf(s.Index)
	if k == nil || k.epoch != s.Epoch || k.answered {
		return
	}
	k.answered = true
	k.answeredAt = now
}

// settlePlain opens the seats of a target that has no list of attempts.
func (b *book) settlePlain(now time.Time) {
	if !b.limits.plain {
		return
	}
	for _, k := range b.buckets {
		if k.answered && now.Sub(k.answeredAt) >= lateSend {
			k.listed, k.clean = true, true
		}
	}
}

// checkLoans asks the borrowers whether they still hold what was lent to them.
func (l *Ledger) checkLoans(ctx context.Context) {
	now := l.Now()
	if now.Before(l.nextCheck) {
		return
	}
	l.nextCheck = now.Add(loanCheckInterval)
	byAddress := map[string][]loanRef{}
	for _, b := range l.view.Load().sorted {
		b.lentBefore(now.Add(-loanCheckInterval), byAddress)
	}
	l.each(keys(byAddress), func(address string) { l.check(ctx, address, byAddress[address]) })
}

// lentBefore adds the loans granted before a time, by the borrower's address.
func (b *book) lentBefore(before time.Time, byAddress map[string][]loanRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.buckets {
		for _, n := range k.lent {
			if n.granted.Before(before) {
				r := loanRef{Target: b.id, ID: n.id, Seat: k.seat, Use: n.use}
				byAddress[n.borrower.Address] = append(byAddress[n.borrower.Address], r)
			}
		}
	}
}

// check asks one borrower and takes back what it does not hold.
func (l *Ledger) check(ctx context.Context, address string, refs []loanRef) {
	var a loanAnswer
	var err error
	if !l.isDead(address) {
		err = l.call(ctx, address, kindLoanQuery, loanQuery{From: l.Members.Self(), Loans: refs}, &a)
	}
	held := make(map[string]Resources, len(a.Held))
	for _, h := range a.Held {
		held[h.Target+"\x00"+h.ID] = h.Amount
	}
	now := l.Now()
	for _, r := range refs {
		if b := l.view.Load().books[r.Target]; b != nil {
			amount := held[r.Target+"\x00"+r.ID]
			b.settleCheck(r, a, err, amount, now)
		}
	}
	l.notify()
}

// settleCheck applies a borrower's answer to one loan. An answer of another
// instance means that the borrower is dead, and its attempts may still run.
func (b *book) settleCheck(r loanRef, a loanAnswer, err error, held Resources, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucketOf(r.Seat)
	if k == nil || k.lent[r.ID] == nil {
		return
	}
	n := k.lent[r.ID]
	if err == nil && a.Instance == n.borrower {
		n.owners = a.Owners
		k.shrink(n, held)
	}
	if err == nil && a.Instance != n.borrower {
		n.die(now)
	}
	expired := n.dead && b.limits.plain && now.After(n.expires)
	if n.amount.isZero() || expired || now.After(n.hardEnd) {
		k.reclaim(r.ID)
	}
	b.publish(now)
}

// die notes that the borrower no longer runs. What an earlier holder used has
// no expiry of its own; it waits for what the holder sent last.
func (n *lentLoan) die(now time.Time) {
	if n.use && !n.dead {
		n.expires = now.Add(loanGrace)
	}
	n.dead = true
}

// call sends a message, or handles it here when it is for this VM.
func (l *Ledger) call(ctx context.Context, address, kind string, request, reply any) error {
	if address == l.Members.Self().Address {
		l.callSelf(request, reply)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loanCallTimeout)
	defer cancel()
	return l.Caller.Call(ctx, address, kind, request, reply)
}

func (l *Ledger) callSelf(request, reply any) {
	switch q := request.(type) {
	case loanQuery:
		*reply.(*loanAnswer) = l.handleQuery(q)
	case loanReturn:
		*reply.(*bool) = l.handleReturn(q)
	case loanRequest:
		*reply.(*loanGrant) = loanGrant{}
	}
}

// each runs f for each address, a few at a time, and waits for all.
func (l *Ledger) each(addresses []string, f func(address string)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, callsAtOnce)
	for _, address := range addresses {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			f(address)
		})
	}
	wait.Wait()
}

func (l *Ledger) ownersNow() []owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return keys(l.owners)
}

func keys[K comparable, V any](m map[K]V) []K {
	all := make([]K, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	return all
}
