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
	// takeoverRetryInterval is the time after which peers that did not respond
	// are queried again about a seat that this VM took over.
	takeoverRetryInterval = 500 * time.Millisecond
	// lateArrivalWindow is how long after the last response about a seat the
	// target's inventory is taken, so that it includes the last requests that a
	// dead VM sent.
	lateArrivalWindow = time.Second
	// loanCheckInterval is the interval at which a lender asks whether its
	// loans are still held. It bounds the cost of a lost response or a lost
	// return.
	loanCheckInterval = 2 * time.Second
	// maxConcurrentCalls bounds the number of concurrent calls.
	maxConcurrentCalls = 8
)

// owner is a seat at an epoch: the prefix of an attempt's id.
type owner struct {
	Seat  int    `msgpack:"s"`
	Epoch uint64 `msgpack:"e"`
}

// shareTakeover is the state of a seat share after the seat was taken over.
type shareTakeover struct {
	// peersResponded is set once every peer that may hold a loan of the seat
	// has responded or is dead, and inventorySeen once an inventory of the
	// target taken after that has been processed.
	peersResponded, inventorySeen bool
	peersRespondedAt              time.Time
	// noUnknownOwners is set once an inventory listed no attempt of an owner
	// that did not report what it borrowed. Until then these attempts count as
	// unconfirmed use of the seat.
	noUnknownOwners bool
	unconfirmed     Resources
}

func (t *shareTakeover) complete() bool { return t.peersResponded && t.inventorySeen }

// seatTakeover collects what the peers hold of a seat, over all targets. It is
// guarded by Ledger.mu.
type seatTakeover struct {
	seat.Seat
	startedAt time.Time
	nextQuery time.Time
	responded map[string]struct{} // addresses
	// confirmed holds the owners whose use of the seat is known. The map is
	// replaced, never modified.
	confirmed map[owner]struct{}
	done      bool
	// requery is set when an inventory lists an unknown owner.
	requery bool
}

// loanQuery asks a VM which of the listed loans it holds and, if Epoch is not
// 0, for all loans of a seat from earlier epochs.
type loanQuery struct {
	From  membership.Instance `msgpack:"f"`
	Seat  int                 `msgpack:"s"`
	Epoch uint64              `msgpack:"e"`
	Loans []loanRef           `msgpack:"l"`
}

// loanRef identifies a loan. With FormerHolderUse set it refers to what an
// earlier holder of the seat itself still uses.
type loanRef struct {
	Target          string `msgpack:"t"`
	ID              string `msgpack:"i"`
	Seat            int    `msgpack:"s"`
	FormerHolderUse bool   `msgpack:"u"`
}

type heldLoan struct {
	loanRef   `msgpack:",inline"`
	Amount    Resources     `msgpack:"a"`
	Remaining time.Duration `msgpack:"x"`
}

type loanQueryReply struct {
	Instance membership.Instance `msgpack:"n"`
	Owners   []owner             `msgpack:"o"`
	Held     []heldLoan          `msgpack:"h"`
}

// handleLoanQuery reports what this VM holds. A loan that it reports as not
// held will never be accepted later, and it accepts no loan of the seat from
// an earlier epoch.
func (l *Ledger) handleLoanQuery(q loanQuery) loanQueryReply {
	self := l.Members.Self()
	a := loanQueryReply{Instance: self}
	now := l.Now()
	budgets := l.snapshot.Load().budgets
	for _, r := range q.Loans {
		if b := budgets[r.Target]; b != nil {
			a.Held = append(a.Held, b.reportLoan(r, now)...)
		}
	}
	if q.Epoch > 0 {
		for _, b := range budgets {
			a.Held = append(a.Held, b.reportSeat(q, self, now)...)
		}
	}
	a.Owners = l.currentOwners()
	return a
}

// reportLoan reports a loan if it is held. Otherwise it makes sure that a
// grant still in flight will not be accepted.
func (b *targetBudget) reportLoan(r loanRef, now time.Time) []heldLoan {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pendingRequests, r.ID)
	if r.FormerHolderUse {
		return b.reportFormerHolderUse(r, now)
	}
	n := b.loans[r.ID]
	if n == nil {
		return nil
	}
	return []heldLoan{{loanRef: r, Amount: n.amount, Remaining: n.expires.Sub(now)}}
}

func (b *targetBudget) reportFormerHolderUse(r loanRef, now time.Time) []heldLoan {
	s := b.seatShareOf(r.Seat)
	if s == nil || s.used.isZero() {
		return nil
	}
	return []heldLoan{{loanRef: r, Amount: s.used}}
}

// reportSeat reports everything that is held of a seat and stops using it for
// new reservations.
func (b *targetBudget) reportSeat(q loanQuery, self membership.Instance, now time.Time) (held []heldLoan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.minLoanEpochs[q.Seat] = max(b.minLoanEpochs[q.Seat], q.Epoch)
	for _, n := range b.loans {
		if n.seat == q.Seat {
			r := loanRef{Target: b.id, ID: n.id, Seat: n.seat}
			held = append(held, heldLoan{loanRef: r, Amount: n.amount, Remaining: n.expires.Sub(now)})
		}
	}
	if s := b.seatShareOf(q.Seat); s != nil && q.From != self {
		s.minUsableEpoch = max(s.minUsableEpoch, q.Epoch)
		id := fmt.Sprintf("use/%s/%d/%d", self.Address, self.StartNumber, q.Seat)
		held = append(held, b.reportFormerHolderUse(loanRef{Target: b.id, ID: id, Seat: q.Seat, FormerHolderUse: true}, now)...)
	}
	b.publish(now)
	return held
}

// startTakeover starts querying the peers about a seat. The caller holds l.mu.
func (l *Ledger) startTakeover(b *targetBudget, s seat.Seat, now time.Time) {
	t := l.takeovers[s.Index]
	if t == nil || t.Epoch != s.Epoch {
		l.takeovers[s.Index] = &seatTakeover{Seat: s, startedAt: now, responded: map[string]struct{}{}}
		return
	}
	if t.done {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.markResponded(t.Seat, now)
	}
}

// advanceTakeovers queries the peers that have not responded yet.
func (l *Ledger) advanceTakeovers(ctx context.Context) {
	now := l.Now()
	for _, t := range l.dueTakeovers(now) {
		peers := l.possibleBorrowers()
		l.forEachAddress(peers, func(address string) { l.queryBorrower(ctx, t, address) })
		l.finishTakeover(t, peers, now)
	}
}

func (l *Ledger) dueTakeovers(now time.Time) (dueNow []*seatTakeover) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.snapshot.Load().heldSeats
	for _, t := range l.takeovers {
		if !slices.Contains(held, t.Seat) {
			continue
		}
		if (t.done && !t.requery) || now.Before(t.nextQuery) {
			continue
		}
		t.nextQuery = now.Add(takeoverRetryInterval)
		t.requery = false
		dueNow = append(dueNow, t)
	}
	return dueNow
}

// possibleBorrowers returns the addresses of all VMs that are not known to be
// dead, including this one.
func (l *Ledger) possibleBorrowers() []string {
	found := map[string]struct{}{l.Members.Self().Address: {}}
	for _, p := range l.Members.Peers() {
		found[p.Instance.Address] = struct{}{}
	}
	if snap := l.snapshot.Load(); snap.config != nil {
		for i := range snap.config.Seats {
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

// isDead reports whether it is certain that no process runs at the address.
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

// queryBorrower asks one VM what it holds of a seat.
func (l *Ledger) queryBorrower(ctx context.Context, t *seatTakeover, address string) {
	q := loanQuery{From: l.Members.Self(), Seat: t.Index, Epoch: t.Epoch}
	var a loanQueryReply
	if l.call(ctx, address, kindLoanQuery, q, &a) != nil {
		return
	}
	now := l.Now()
	for _, h := range a.Held {
		if b := l.snapshot.Load().budgets[h.Target]; b != nil {
			b.recordLoan(t.Seat, h, a, l.maxRequestDuration(), now)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.responded[address] = struct{}{}
	confirmed := make(map[owner]struct{}, len(t.confirmed)+len(a.Owners))
	for o := range t.confirmed {
		confirmed[o] = struct{}{}
	}
	for _, o := range a.Owners {
		confirmed[o] = struct{}{}
	}
	t.confirmed = confirmed
}

// recordLoan records a loan that an earlier holder of the seat granted.
func (b *targetBudget) recordLoan(s seat.Seat, h heldLoan, a loanQueryReply, maxRequest time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := b.seatShareOf(s.Index)
	if share == nil || share.epoch != s.Epoch || share.lentLoans[h.ID] != nil {
		return
	}
	left := max(h.Remaining, 0)
	share.addLentLoan(&lentLoan{
		id:              h.ID,
		borrower:        a.Instance,
		owners:          a.Owners,
		amount:          h.Amount,
		granted:         now,
		expires:         now.Add(left),
		hardExpiry:      now.Add(left + maxRequest + releaseGrace),
		formerHolderUse: h.FormerHolderUse,
	})
	b.publish(now)
}

// finishTakeover makes the seat usable once all peers have responded or are
// dead, or once no loan that a silent peer may hold can still be valid.
func (l *Ledger) finishTakeover(t *seatTakeover, peers []string, now time.Time) {
	if l.awaitsResponses(t, peers) && now.Sub(t.startedAt) < maxLoanDuration+l.maxRequestDuration()+releaseGrace {
		return
	}
	l.mu.Lock()
	t.done = true
	l.mu.Unlock()
	for _, b := range l.snapshot.Load().budgets {
		b.mu.Lock()
		b.markResponded(t.Seat, now)
		b.publish(now)
		b.mu.Unlock()
	}
}

func (l *Ledger) awaitsResponses(t *seatTakeover, peers []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, address := range peers {
		if _, ok := t.responded[address]; !ok {
			return true
		}
	}
	return false
}

// markResponded records that all peers have responded about the seat. The
// caller holds b.mu.
func (b *targetBudget) markResponded(s seat.Seat, now time.Time) {
	share := b.seatShareOf(s.Index)
	if share == nil || share.epoch != s.Epoch || share.peersResponded {
		return
	}
	share.peersResponded = true
	share.peersRespondedAt = now
}

// completePlainTakeovers makes the seats of a target without an inventory
// usable.
func (b *targetBudget) completePlainTakeovers(now time.Time) {
	if !b.limits.plain {
		return
	}
	for _, s := range b.seatShares {
		if s.peersResponded && now.Sub(s.peersRespondedAt) >= lateArrivalWindow {
			s.inventorySeen, s.noUnknownOwners = true, true
		}
	}
}

// checkLoans asks the borrowers whether they still hold what was lent to them.
func (l *Ledger) checkLoans(ctx context.Context) {
	now := l.Now()
	if now.Before(l.nextLoanCheck) {
		return
	}
	l.nextLoanCheck = now.Add(loanCheckInterval)
	byAddress := map[string][]loanRef{}
	for _, b := range l.snapshot.Load().sorted {
		b.loansGrantedBefore(now.Add(-loanCheckInterval), byAddress)
	}
	l.forEachAddress(keys(byAddress), func(address string) { l.checkBorrower(ctx, address, byAddress[address]) })
}

// loansGrantedBefore adds the loans granted before a time to byAddress, keyed
// by the borrower's address.
func (b *targetBudget) loansGrantedBefore(before time.Time, byAddress map[string][]loanRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.seatShares {
		for _, n := range s.lentLoans {
			if n.granted.Before(before) {
				r := loanRef{Target: b.id, ID: n.id, Seat: s.seat, FormerHolderUse: n.formerHolderUse}
				byAddress[n.borrower.Address] = append(byAddress[n.borrower.Address], r)
			}
		}
	}
}

// checkBorrower queries one borrower and takes back what it does not hold.
func (l *Ledger) checkBorrower(ctx context.Context, address string, refs []loanRef) {
	var a loanQueryReply
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
		if b := l.snapshot.Load().budgets[r.Target]; b != nil {
			amount := held[r.Target+"\x00"+r.ID]
			b.applyLoanCheck(r, a, err, amount, now)
		}
	}
	l.notify()
}

// applyLoanCheck applies a borrower's response to one loan. A response from
// another instance means that the borrower is dead, but its attempts may still
// run.
func (b *targetBudget) applyLoanCheck(r loanRef, a loanQueryReply, err error, held Resources, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.seatShareOf(r.Seat)
	if s == nil || s.lentLoans[r.ID] == nil {
		return
	}
	n := s.lentLoans[r.ID]
	if err == nil && a.Instance == n.borrower {
		n.owners = a.Owners
		s.reduceLoan(n, held)
	}
	if err == nil && a.Instance != n.borrower {
		n.markBorrowerDead(now)
	}
	expired := n.borrowerDead && b.limits.plain && now.After(n.expires)
	if n.amount.isZero() || expired || now.After(n.hardExpiry) {
		s.reclaimLoan(r.ID)
	}
	b.publish(now)
}

// markBorrowerDead records that the borrower no longer runs. What a former
// holder uses has no expiry of its own; it gets one that leaves time for the
// requests that the holder sent last.
func (n *lentLoan) markBorrowerDead(now time.Time) {
	if n.formerHolderUse && !n.borrowerDead {
		n.expires = now.Add(loanExpiryGrace)
	}
	n.borrowerDead = true
}

// call sends a message, or handles it locally when it is for this VM.
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
		*reply.(*loanQueryReply) = l.handleLoanQuery(q)
	case loanReturn:
		*reply.(*bool) = l.handleLoanReturn(q)
	case loanRequest:
		*reply.(*loanGrant) = loanGrant{}
	}
}

// forEachAddress runs f for each address with bounded concurrency and waits
// for all.
func (l *Ledger) forEachAddress(addresses []string, f func(address string)) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, address := range addresses {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			f(address)
		})
	}
	wait.Wait()
}

func (l *Ledger) currentOwners() []owner {
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
