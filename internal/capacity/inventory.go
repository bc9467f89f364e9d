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

// holding is something in a target's memory.
type holding struct {
	owner
	id       string
	amount   Resources
	attached bool
}

// holdings returns what attempts of VMs hold of a target.
func holdings(inv engine.Inventory) (all []holding) {
	for _, a := range inv.Attempts {
		if index, epoch, ok := AttemptOwner(a.ID); ok {
			all = append(all, holding{owner{index, epoch}, a.ID, Resources{a.KVTokens, 1}, a.Attached})
		}
	}
	for _, x := range inv.Exports {
		if index, epoch, ok := AttemptOwner(x.Attempt); ok {
			all = append(all, holding{owner{index, epoch}, x.Attempt, Resources{x.KVTokens, 0}, false})
		}
	}
	return all
}

// ApplyInventory takes a target's list of attempts. What no reservation counts
// reduces the room of the seat that it belongs to. Taken is the time before
// the list was asked for.
func (l *Ledger) ApplyInventory(target string, taken time.Time, inv engine.Inventory) {
	b := l.view.Load().books[target]
	if b == nil {
		return
	}
	confirmed, own := l.confirmedOwners()
	all := holdings(inv)
	b.mu.Lock()
	b.noteRunning(all, taken)
	all = b.uncounted(all, taken)
	var unknown []int
	for _, k := range b.buckets {
		if k.active && k.list(all, confirmed[k.seat], own, taken) {
			unknown = append(unknown, k.seat)
		}
		k.reclaimDead(inv, taken)
	}
	b.publish(l.Now())
	b.mu.Unlock()
	l.askAgain(unknown)
	l.notify()
}

// uncounted drops the attempts that a reservation counts or counted when the
// list was taken.
func (b *book) uncounted(all []holding, taken time.Time) []holding {
	rest := all[:0]
	for _, h := range all {
		_, active := b.attempts[h.id]
		ended, recent := b.released[h.id]
		if !active && (!recent || ended.Before(taken)) {
			rest = append(rest, h)
		}
	}
	return rest
}

// list counts the attempts that reduce the bucket's room. It reports whether
// there are attempts of owners that have not told what they borrowed.
func (k *bucket) list(all []holding, confirmed, own map[owner]struct{}, taken time.Time) bool {
	k.orphans, k.unconfirmed = Resources{}, Resources{}
	for _, h := range all {
		_, told := confirmed[h.owner]
		_, ours := own[h.owner]
		told = told && !ours
		switch {
		case h.Seat == k.seat && (!told || !h.attached):
			k.orphans = k.orphans.add(h.amount)
		case h.Seat != k.seat && !told && !ours && !k.clean:
			k.unconfirmed = k.unconfirmed.add(h.amount)
		}
	}
	if k.answered && !taken.Before(k.answeredAt.Add(lateSend)) {
		k.listed = true
		k.clean = k.clean || k.unconfirmed.isZero()
	}
	return !k.unconfirmed.isZero()
}

// reclaimDead takes back the loans of dead borrowers whose expiry has passed
// and whose attempts the target no longer shows.
func (k *bucket) reclaimDead(inv engine.Inventory, taken time.Time) {
	for id, n := range k.lent {
		if n.dead && taken.After(n.expires) && !n.shownBy(inv) {
			k.reclaim(id)
		}
	}
}

// shownBy reports whether the target still holds an attempt of the borrower.
func (n *lentLoan) shownBy(inv engine.Inventory) bool {
	for _, h := range holdings(inv) {
		for _, o := range n.owners {
			if o == h.owner {
				return true
			}
		}
	}
	return false
}

// confirmedOwners returns by seat the owners whose use is known, and the owners
// that this process is or was.
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

// askAgain repeats the question about seats, because VMs may have taken other
// seats since they answered.
func (l *Ledger) askAgain(seats []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range seats {
		if t := l.takeovers[s]; t != nil {
			t.again = true
		}
	}
}

// HasAttempt reports whether an attempt belongs to a reservation of this VM.
func (l *Ledger) HasAttempt(target, attempt string) bool {
	b := l.view.Load().books[target]
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.attempts[attempt]
	return ok
}

// MonitoredTarget is a target in which a seat of this VM has a share.
type MonitoredTarget struct {
	Target string
	// SeatOrder lists the seats that share the target.
	SeatOrder []int
	// AwaitsInventory is true while a seat of this VM waits for a list of attempts.
	AwaitsInventory bool
}

// MonitoredTargets returns the engines that this VM follows.
func (l *Ledger) MonitoredTargets() (all []MonitoredTarget) {
	for _, b := range l.view.Load().books {
		if f, ok := b.followed(); ok {
			all = append(all, f)
		}
	}
	return all
}

// MonitoredTarget returns one engine if this VM follows it. It spares callers
// that ask for every target a pass over all of them each time.
func (l *Ledger) MonitoredTarget(target string) (MonitoredTarget, bool) {
	b := l.view.Load().books[target]
	if b == nil {
		return MonitoredTarget{}, false
	}
	return b.followed()
}

// followed describes the book's target, and reports whether it is an engine in
// which a seat of this VM has a share.
func (b *book) followed() (MonitoredTarget, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := MonitoredTarget{Target: b.id, SeatOrder: b.limits.order}
	follows := false
	for _, k := range b.buckets {
		follows = follows || k.active
		f.AwaitsInventory = f.AwaitsInventory || (k.active && (!(k.listed && k.clean) || b.awaitsList(k)))
	}
	return f, follows && !b.limits.plain
}
