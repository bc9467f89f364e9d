package capacity

import "time"

// relapsed reports whether the target turned cold without a new start and is
// not warm again. Requests from its warm time may then still run.
func (b *book) relapsed() bool {
	s := b.warmth.stage
	return !b.limits.plain && s.Relapses > 0 && !b.limits.isWarm(s.Doublings)
}

// listedSinceRelapse reports whether a list of attempts was taken after every
// VM had stopped to use its warm share: evidence of warmth ages within
// evidenceAge, and a request sent before that arrives within lateSend.
func (b *book) listedSinceRelapse() bool {
	return !b.runningAt.Before(b.warmth.relapsedAt.Add(evidenceAge + lateSend))
}

// relapseShare returns a seat's share of the bound. After a relapse nothing is
// granted until the list of attempts shows what still runs from the warm time.
// What seats run beyond their cold shares then reduces the bound, and the
// shares of the smaller bound apply. What is left from the warm time only
// shrinks, so VMs with lists of different age never exceed the bound together.
func (b *book) relapseShare(k *bucket, doublings int) Resources {
	if !b.relapsed() {
		return b.limits.share(k.position, doublings)
	}
	if !b.listedSinceRelapse() {
		return Resources{}
	}
	return b.limits.shareOfRoom(k.position, b.limits.bound(doublings).sub(b.excess(k, doublings)).atLeastZero())
}

// excess returns what the other seats run beyond their shares.
func (b *book) excess(own *bucket, doublings int) Resources {
	var sum Resources
	for seat, used := range b.running {
		if seat == own.seat {
			continue
		}
		share := b.limits.share(b.limits.position(seat), doublings)
		sum = sum.add(used.sub(share).atLeastZero())
	}
	return sum
}

// noteRunning keeps what each seat's attempts hold by a list of attempts.
func (b *book) noteRunning(all []holding, taken time.Time) {
	if taken.Before(b.runningAt) {
		return
	}
	b.running = map[int]Resources{}
	b.runningAt = taken
	for _, h := range all {
		b.running[h.Seat] = b.running[h.Seat].add(h.amount)
	}
}

// awaitsList reports whether a newer list of attempts may open room.
func (b *book) awaitsList(k *bucket) bool {
	return b.relapsed() && (!b.listedSinceRelapse() || !b.excess(k, 0).isZero())
}
