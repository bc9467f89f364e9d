package capacity

import (
	"strconv"
	"strings"
	"time"

	"github.com/oriolefront/oriolefront/internal/engine"
)

// AttemptOwner returns the seat and the epoch in an attempt's id, and false
// when the id is not of the form "<seat>.<epoch>.<...>".
func AttemptOwner(id string) (index int, epoch uint64, ok bool) {
	first, rest, ok := strings.Cut(id, ".")
	if !ok {
		return 0, 0, false
	}
	second, _, ok := strings.Cut(rest, ".")
	if !ok {
		return 0, 0, false
	}
	index, err := strconv.Atoi(first)
	if err != nil || index < 0 {
		return 0, 0, false
	}
	epoch, err = strconv.ParseUint(second, 10, 64)
	return index, epoch, err == nil
}

// inventoryEntry is an attempt or export that occupies a target's memory.
type inventoryEntry struct {
	owner
	id       string
	amount   Resources
	attached bool
}

// inventoryEntries returns what attempts of VMs occupy on a target.
func inventoryEntries(inv engine.Inventory) (all []inventoryEntry) {
	for _, a := range inv.Attempts {
		if index, epoch, ok := AttemptOwner(a.ID); ok {
			all = append(all, inventoryEntry{owner{index, epoch}, a.ID, Resources{a.KVTokens, 1}, a.Attached})
		}
	}
	for _, x := range inv.Exports {
		if index, epoch, ok := AttemptOwner(x.Attempt); ok {
			all = append(all, inventoryEntry{owner{index, epoch}, x.Attempt, Resources{x.KVTokens, 0}, false})
		}
	}
	return all
}

// ApplyInventory records a target's inventory of attempts and exports. Entries
// that no reservation accounts for reduce the available resources of the seat
// that they belong to. takenAt is a time before the inventory was requested.
func (l *Ledger) ApplyInventory(target string, takenAt time.Time, inv engine.Inventory) {
	b := l.snapshot.Load().budgets[target]
	if b == nil {
		return
	}
	confirmed, own := l.confirmedOwners()
	all := inventoryEntries(inv)
	b.mu.Lock()
	b.recordInventory(all, takenAt)
	all = b.withoutReserved(all, takenAt)
	var unknown []int
	for _, s := range b.seatShares {
		if s.active && s.applyInventory(all, confirmed[s.seat], own, takenAt) {
			unknown = append(unknown, s.seat)
		}
		s.reclaimExpiredLoans(inv, takenAt)
	}
	b.publish(l.Now())
	b.mu.Unlock()
	l.requeryOwners(unknown)
	l.notify()
}

// withoutReserved drops the attempts that a reservation accounts for now or
// accounted for when the inventory was taken.
func (b *targetBudget) withoutReserved(all []inventoryEntry, takenAt time.Time) []inventoryEntry {
	rest := all[:0]
	for _, h := range all {
		_, active := b.attempts[h.id]
		ended, recent := b.recentlyReleased[h.id]
		if !active && (!recent || ended.Before(takenAt)) {
			rest = append(rest, h)
		}
	}
	return rest
}

// applyInventory sums the entries that reduce what is available of the seat
// share. It reports whether there are entries of owners that have not yet
// reported what they borrowed.
func (s *seatShare) applyInventory(all []inventoryEntry, confirmed, own map[owner]struct{}, takenAt time.Time) bool {
	s.orphans, s.unconfirmed = Resources{}, Resources{}
	for _, h := range all {
		_, reported := confirmed[h.owner]
		_, ownAttempt := own[h.owner]
		reported = reported && !ownAttempt
		switch {
		case h.Seat == s.seat && (!reported || !h.attached):
			s.orphans = s.orphans.add(h.amount)
		case h.Seat != s.seat && !reported && !ownAttempt && !s.noUnknownOwners:
			s.unconfirmed = s.unconfirmed.add(h.amount)
		}
	}
	if s.peersResponded && !takenAt.Before(s.peersRespondedAt.Add(lateArrivalWindow)) {
		s.inventorySeen = true
		s.noUnknownOwners = s.noUnknownOwners || s.unconfirmed.isZero()
	}
	return !s.unconfirmed.isZero()
}

// reclaimExpiredLoans takes back the expired loans of dead borrowers whose
// attempts the target no longer lists.
func (s *seatShare) reclaimExpiredLoans(inv engine.Inventory, takenAt time.Time) {
	for id, n := range s.lentLoans {
		if n.borrowerDead && takenAt.After(n.expires) && !n.hasAttemptIn(inv) {
			s.reclaimLoan(id)
		}
	}
}

// hasAttemptIn reports whether the inventory still lists an attempt or export
// of the borrower.
func (n *lentLoan) hasAttemptIn(inv engine.Inventory) bool {
	for _, h := range inventoryEntries(inv) {
		for _, o := range n.owners {
			if o == h.owner {
				return true
			}
		}
	}
	return false
}

// confirmedOwners returns, by seat, the owners whose use is known, and the
// owners that this process is or was.
func (l *Ledger) confirmedOwners() (map[int]map[owner]struct{}, map[owner]struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	confirmed := make(map[int]map[owner]struct{}, len(l.takeovers))
	for index, t := range l.takeovers {
		confirmed[index] = t.confirmed
	}
	own := make(map[owner]struct{}, len(l.owners))
	for o := range l.owners {
		own[o] = struct{}{}
	}
	return confirmed, own
}

// requeryOwners schedules another query about the seats, because VMs may have
// acquired other seats since they responded.
func (l *Ledger) requeryOwners(seats []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range seats {
		if t := l.takeovers[s]; t != nil {
			t.requery = true
		}
	}
}

// HasAttempt reports whether an attempt belongs to a reservation of this VM.
func (l *Ledger) HasAttempt(target, attempt string) bool {
	b := l.snapshot.Load().budgets[target]
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.attempts[attempt]
	return ok
}

// MonitoredTarget is an engine in which a seat of this VM has a share.
type MonitoredTarget struct {
	Target string
	// SeatOrder lists the seats that share the target.
	SeatOrder []int
	// AwaitsInventory is true while a seat of this VM waits for an inventory.
	AwaitsInventory bool
}

// MonitoredTargets returns the engines that this VM monitors.
func (l *Ledger) MonitoredTargets() (all []MonitoredTarget) {
	for _, b := range l.snapshot.Load().budgets {
		if f, ok := b.monitored(); ok {
			all = append(all, f)
		}
	}
	return all
}

// MonitoredTarget returns one engine if this VM monitors it. Callers that ask
// about one target at a time avoid a scan of all targets for each of them.
func (l *Ledger) MonitoredTarget(target string) (MonitoredTarget, bool) {
	b := l.snapshot.Load().budgets[target]
	if b == nil {
		return MonitoredTarget{}, false
	}
	return b.monitored()
}

// monitored describes the target, and reports whether it is an engine in which
// a seat of this VM has a share.
func (b *targetBudget) monitored() (MonitoredTarget, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := MonitoredTarget{Target: b.id, SeatOrder: b.limits.seatOrder}
	hasShare := false
	for _, s := range b.seatShares {
		hasShare = hasShare || s.active
		f.AwaitsInventory = f.AwaitsInventory || (s.active && (!(s.inventorySeen && s.noUnknownOwners) || b.awaitsInventory(s)))
	}
	return f, hasShare && !b.limits.plain
}
