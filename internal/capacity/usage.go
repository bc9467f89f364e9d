package capacity

// Usage sums what a VM uses of all targets, for metrics.
type Usage struct {
	MonitoredTargets int // targets of which this VM has a share or a loan
	ColdTargets      int // followed targets that are cold or warming
	Reserved         Resources
	Lent             Resources
	Borrowed         Resources
	// LentLoans and BorrowedLoans count loans.
	LentLoans, BorrowedLoans int
	// Orphans are attempts on engines that no reservation counts.
	Orphans Resources
}

// Usage returns the present sums.
func (l *Ledger) Usage() Usage {
	var u Usage
	for _, b := range l.view.Load().sorted {
		b.addTo(&u)
	}
	return u
}

func (b *book) addTo(u *Usage) {
	if b.stageKind.Load() == stageCold {
		u.ColdTargets++
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buckets)+len(b.loans) > 0 {
		u.MonitoredTargets++
	}
	for _, k := range b.buckets {
		u.Reserved = u.Reserved.add(k.used)
		u.Lent = u.Lent.add(k.lentSum)
		u.LentLoans += len(k.lent)
		u.Orphans = u.Orphans.add(k.orphans)
	}
	for _, n := range b.loans {
		u.Reserved = u.Reserved.add(n.used)
		u.Borrowed = u.Borrowed.add(n.amount)
		u.BorrowedLoans++
	}
}
