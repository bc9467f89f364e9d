package seat

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
)

// rowAge records since when a row has been read without a change.
type rowAge struct {
	revision uint64
	since    time.Duration // time after the first read with this revision
}

// updateRowAges updates the row ages. A gap between reads resets them, because
// during a store outage no holder could renew.
func (m *Manager) updateRowAges(t *seatTable, now time.Duration) {
	if now-m.lastReadAt > 2*m.renewalInterval()+m.options.StoreTimeout {
		clear(m.rowAges)
	}
	m.lastReadAt = now
	for index, r := range t.rows {
		if old, ok := m.rowAges[index]; !ok || old.revision != r.revision {
			m.rowAges[index] = rowAge{revision: r.revision, since: now}
		}
	}
}

// updateHighestEpochs records the epochs of the rows, of this VM's seats and of
// the seats of peers.
func (m *Manager) updateHighestEpochs(t *seatTable) {
	record := func(index int, epoch uint64) {
		m.highestEpochs[index] = max(m.highestEpochs[index], epoch)
	}
	for index, r := range t.rows {
		record(index, r.Epoch)
	}
	for _, s := range *m.heldSeats.Load() {
		record(s.Index, s.Epoch)
	}
	for index, epoch := range m.options.Membership.SeatsOfPeers() {
		record(index, epoch)
	}
}

// claimSeat tries to claim one seat: first seats whose holder is known to have
// ended, then vacant ones, then at most one whose takeover timeout has passed.
// It reports whether the rows have to be read again to try another.
func (m *Manager) claimSeat(ctx context.Context, t *seatTable) bool {
	order := m.claimOrder(t)
	for _, index := range order {
		if reason := m.holderEndedReason(t, index); reason != "" {
			return m.writeClaim(ctx, t, index, reason)
		}
	}
	for _, index := range order {
		if r := t.rows[index]; r.vacant() {
			return m.announceClaim(ctx, t, index) && m.writeClaim(ctx, t, index, "vacant")
		}
	}
	for _, index := range order {
		if m.unchangedFor(t, index, m.takeoverTimeoutOf(t.rows[index])) {
			return m.quorumSuspects(ctx, t, index) && m.writeClaim(ctx, t, index, "silent")
		}
	}
	return false
}

// claimOrder returns the seats in an order that differs between VMs, so that
// VMs that start together claim different ones. Seats that a peer reports as
// leased at a higher epoch than the row's are left out: the row is from an older
// copy of the store, and the peer has not read it yet.
func (m *Manager) claimOrder(t *seatTable) []int {
	self := m.options.Membership.Self()
	rank := func(index int) uint64 {
		f := fnv.New64a()
		fmt.Fprint(f, self.Address, "/", self.StartNumber, "/", index)
		return f.Sum64()
	}
	out := make([]int, m.options.SeatCount())
	for i := range out {
		out[i] = i
	}
	leased := m.options.Membership.SeatsOfPeers()
	out = slices.DeleteFunc(out, func(index int) bool { return leased[index] > t.rows[index].Epoch })
	slices.SortFunc(out, func(a, b int) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return out
}

// holderEndedReason returns why the holder of a seat is known to have ended
// (cases 2 and 3 of section 5), or "".
func (m *Manager) holderEndedReason(t *seatTable, index int) string {
	r := t.rows[index]
	if r.vacant() || r.Holder == m.options.Membership.Self() {
		return ""
	}
	switch m.options.Membership.StateOf(r.Holder) {
	case membership.Replaced:
		return "replaced"
	case membership.Removed:
		// The VM list lags: a holder that still renews has not been removed.
		if m.unchangedFor(t, index, removedIntervals*m.renewalInterval()) {
			return "gone"
		}
	}
	return ""
}

// removedIntervals is the number of renewal intervals without renewal after
// which a holder that is not on the VM list is treated as removed.
const removedIntervals = 2

// unchangedFor reports whether a row held by another VM has been read without
// a change for longer than d.
func (m *Manager) unchangedFor(t *seatTable, index int, d time.Duration) bool {
	r := t.rows[index]
	if r.vacant() || r.Holder == m.options.Membership.Self() {
		return false
	}
	age := m.rowAges[index]
	return age.revision == r.revision && m.options.Membership.Now()-age.since > d
}

// takeoverTimeoutOf is the timeout that applies to a takeover: the longer of
// the holder's and this VM's own.
func (m *Manager) takeoverTimeoutOf(r storedRow) time.Duration {
	return max(m.takeoverTimeout(), r.takeoverTimeout())
}

// quorumSuspects reports whether the holders of more than half of the held
// seats confirm that they have not heard from the holder of a seat within the
// takeover timeout (case 4). A seat counts only if its holder has held it for
// that long: an earlier holder of it may have heard what the current one did
// not.
func (m *Manager) quorumSuspects(ctx context.Context, t *seatTable, index int) bool {
	r := t.rows[index]
	timeout := m.takeoverTimeoutOf(r)
	if age, ok := m.options.Membership.LastHeard(r.Holder); ok && age <= timeout {
		return false
	}
	agree := map[int]bool{}
	count := func(seats []membership.LeasedSeat) {
		for _, c := range seats {
			agree[c.Index] = agree[c.Index] || time.Duration(c.HeldMs)*time.Millisecond >= timeout
		}
	}
	count(m.LeasedSeats())
	for _, a := range m.options.Membership.QueryLastHeard(ctx, r.Holder) {
		if a.Heard && a.Age <= timeout {
			return false
		}
		count(a.Seats)
	}
	votes := 0
	for seat, counts := range agree {
		if counts && seat != index {
			votes++
		}
	}
	return m.isQuorum(votes)
}

// isQuorum reports whether votes is more than half of the held seats.
func (m *Manager) isQuorum(votes int) bool { return 2*votes > m.occupancy.count() }

// writeClaim writes this VM into a row with the next epoch, conditional on
// what was read. A takeover that is delayed for long after the decision is
// safe: the old holder's lease is restored only by a write that changes the
// row's revision.
func (m *Manager) writeClaim(ctx context.Context, t *seatTable, index int, reason string) bool {
	old := t.rows[index]
	next := row{
		Holder:            m.options.Membership.Self(),
		Epoch:             max(old.Epoch, m.highestEpochs[index]) + 1,
		TakeoverTimeoutMs: m.takeoverTimeout().Milliseconds(),
	}
	txn := store.Txn{
		Conditions: []store.Condition{
			{Key: rowKey(index), Revision: old.revision},
			{Key: changesKey, Revision: t.changes},
		},
		Ops: []store.Op{
			{Key: rowKey(index), Value: next.encode()},
			{Key: changesKey, Value: []byte(rowKey(index))},
		},
	}
	started := m.options.Membership.Now()
	err := m.commit(ctx, txn)
	if err != nil {
		// After an unknown outcome the next read adopts the seat if the claim
		// was written.
		m.options.Log.Info("claim failed", "seat", index, "reason", reason, "error", err)
		return errors.Is(err, store.ErrConflict) || store.CommitOutcome(err) == store.Unknown
	}
	m.occupancy.addClaimed(index, m.options.Membership.Now())
	m.addSeat(newHeldSeat(Seat{index, next.Epoch}, m.options.Membership.Now(), started+m.leaseDuration()), reason)
	m.options.Membership.Refresh()
	return true
}

// claimAnnouncement tells a holder that a vacant seat may be claimed.
type claimAnnouncement struct {
	Index   int    `msgpack:"i"`
	Changes uint64 `msgpack:"c"`
}

// claimAck acknowledges the announcement.
type claimAck struct {
	From membership.Instance `msgpack:"f"`
}

// announceClaim tells the holders of all seats that a vacant one may be
// claimed, and reports whether all of them acknowledged. While a holder does
// not respond, no vacant seat can be claimed; the seat of that holder can be
// taken over.
func (m *Manager) announceClaim(ctx context.Context, t *seatTable, index int) bool {
	ctx, cancel := context.WithTimeout(ctx, m.options.StoreTimeout)
	defer cancel()
	holders := map[membership.Instance]bool{}
	for _, r := range t.rows {
		if !r.vacant() && r.Holder != m.options.Membership.Self() {
			holders[r.Holder] = true
		}
	}
	m.occupancy.addAnnounced(index, t.changes)
	announcement := &claimAnnouncement{Index: index, Changes: t.changes}
	results := make(chan error, len(holders))
	var running sync.WaitGroup
	for holder := range holders {
		running.Go(func() { results <- m.announceTo(ctx, holder, announcement) })
	}
	running.Wait()
	close(results)
	for err := range results {
		if err != nil {
			m.options.Log.Info("vacant seat is not claimed: not all holders know of it", "seat", index, "error", err)
			return false
		}
	}
	return true
}

func (m *Manager) announceTo(ctx context.Context, holder membership.Instance, announcement *claimAnnouncement) error {
	var ack claimAck
	if err := m.options.Caller.Call(ctx, holder.Address, membership.KindSeatClaim, announcement, &ack); err != nil {
		return err
	}
	if ack.From != holder {
		return fmt.Errorf("%s was answered by start %d, want %d", holder.Address, ack.From.StartNumber, holder.StartNumber)
	}
	return nil
}

// handleClaimAnnouncement records that another VM may claim a vacant seat.
func (m *Manager) handleClaimAnnouncement(_ context.Context, payload []byte) (any, error) {
	var announcement claimAnnouncement
	if err := msgpack.Unmarshal(payload, &announcement); err != nil {
		return nil, fmt.Errorf("decode claim notice: %w", err)
	}
	if announcement.Index < 0 || announcement.Index >= seatIndexLimit {
		return nil, fmt.Errorf("claim notice names seat %d, allowed are 0 to %d", announcement.Index, seatIndexLimit-1)
	}
	m.occupancy.addAnnounced(announcement.Index, announcement.Changes)
	m.options.Membership.Refresh()
	return &claimAck{From: m.options.Membership.Self()}, nil
}

// seatIndexLimit bounds the seats that announcements can add.
const seatIndexLimit = 10_000
