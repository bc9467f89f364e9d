package capacity

import "time"

// coldAfterReset reports whether the target turned cold without a restart and
// is not warm again. Requests admitted while it was warm may then still run.
func (b *targetBudget) coldAfterReset() bool {
	s := b.warmup.stage
	return !b.limits.plain && s.ColdResets > 0 && !b.limits.isWarm(s.Doublings)
}

// inventoryCoversReset reports whether the latest inventory was taken after
// every VM had stopped using its warm share: evidence of warmth expires within
// maxEvidenceAge, and a request sent before that arrives within
// lateArrivalWindow.
func (b *targetBudget) inventoryCoversReset() bool {
	return !b.inventoryTakenAt.Before(b.warmup.coldResetAt.Add(maxEvidenceAge + lateArrivalWindow))
}

// shareAfterReset returns a seat's share of the limit. After a cold reset
// nothing is granted until an inventory shows which requests admitted while
// warm still run. What seats use beyond their cold shares then reduces the
// limit, and the shares of the reduced limit apply. The usage left from the
// warm time only shrinks, so VMs with inventories of different age never
// exceed the limit together.
func (b *targetBudget) shareAfterReset(s *seatShare, doublings int) Resources {
	if !b.coldAfterReset() {
		return b.limits.share(s.position, doublings)
	}
	if !b.inventoryCoversReset() {
		return Resources{}
	}
	return b.limits.shareOfResources(s.position, b.limits.limitAt(doublings).sub(b.excess(s, doublings)).clampToZero())
}

// excess returns what the other seats use beyond their shares.
func (b *targetBudget) excess(own *seatShare, doublings int) Resources {
	var sum Resources
	for seat, used := range b.inventoryUse {
		if seat == own.seat {
			continue
		}
		share := b.limits.share(b.limits.position(seat), doublings)
		sum = sum.add(used.sub(share).clampToZero())
	}
	return sum
}

// recordInventory records the usage of each seat's attempts in an inventory.
func (b *targetBudget) recordInventory(all []inventoryEntry, takenAt time.Time) {
	if takenAt.Before(b.inventoryTakenAt) {
		return
	}
	b.inventoryUse = map[int]Resources{}
	b.inventoryTakenAt = takenAt
	for _, h := range all {
		b.inventoryUse[h.Seat] = b.inventoryUse[h.Seat].add(h.amount)
	}
}

// awaitsInventory reports whether a newer inventory may make more resources
// available.
func (b *targetBudget) awaitsInventory(s *seatShare) bool {
	return b.coldAfterReset() && (!b.inventoryCoversReset() || !b.excess(s, 0).isZero())
}
