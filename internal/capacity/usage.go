package capacity

// Usage sums what this VM uses of all targets, for metrics.
type Usage struct {
	MonitoredTargets int // targets of which this VM has a share or a loan
	ColdTargets      int // monitored targets that are cold or warming up
	Reserved         Resources
	Lent             Resources
	Borrowed         Resources
	// LentLoans and BorrowedLoans are numbers of loans.
	LentLoans, BorrowedLoans int
	// Orphans is the usage of attempts on engines that no reservation accounts
	// for.
	Orphans Resources
}

// Usage returns the current totals.
func (l *Ledger) Usage() Usage {
	var u Usage
	for _, b := range l.snapshot.Load().sorted {
		b.addUsage(&u)
	}
	return u
}

func (b *targetBudget) addUsage(u *Usage) {
	if b.warmupKind.Load() == warmupCold {
		u.ColdTargets++
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.seatShares)+len(b.loans) > 0 {
		u.MonitoredTargets++
	}
	for _, s := range b.seatShares {
		u.Reserved = u.Reserved.add(s.used)
		u.Lent = u.Lent.add(s.lentTotal)
		u.LentLoans += len(s.lentLoans)
		u.Orphans = u.Orphans.add(s.orphans)
	}
	for _, n := range b.loans {
		u.Reserved = u.Reserved.add(n.used)
		u.Borrowed = u.Borrowed.add(n.amount)
		u.BorrowedLoans++
	}
}
