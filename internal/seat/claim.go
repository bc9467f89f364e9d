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

// track is how long a row has been read without a change.
type track struct {
	revision uint64
	since    time.Duration // after the first read with this revision
}

// observe updates the tracks. A gap between reads starts them anew: during a
// store outage no holder could renew.
func (h *Manager) observe(t *table, now time.Duration) {
	if now-h.lastReadAt > 2*h.interval()+h.o.StoreTimeout {
		clear(h.tracks)
	}
	h.lastReadAt = now
	for index, r := range t.rows {
		if old, ok := h.tracks[index]; !ok || old.revision != r.revision {
			h.tracks[index] = track{revision: r.revision, since: now}
		}
	}
}

// claimOne tries to get one seat: first seats whose holder no longer runs, then
// vacant ones, then at most one by silence. It reports whether the rows have to
// be read again to try another.
func (h *Manager) claimOne(ctx context.Context, t *table) bool {
	order := h.order()
	for _, index := range order {
		if why := h.noLongerRuns(t, index); why != "" {
			return h.take(ctx, t, index, why)
		}
	}
	for _, index := range order {
		if r := t.rows[index]; r.vacant() {
			return h.announce(ctx, t, index) && h.take(ctx, t, index, "vacant")
		}
	}
	for _, index := range order {
		if h.unchanged(t, index, h.silenceOf(t.rows[index])) {
			return h.silent(ctx, t, index) && h.take(ctx, t, index, "silent")
		}
	}
	return false
}

// order returns the seats in an order that differs between VMs, so that VMs
// that start together claim different ones.
func (h *Manager) order() []int {
	self := h.o.Membership.Self()
	rank := func(index int) uint64 {
		f := fnv.New64a()
		fmt.Fprint(f, self.Address, "/", self.StartNumber, "/", index)
		return f.Sum64()
	}
	out := make([]int, h.o.Seats())
	for i := range out {
		out[i] = i
	}
	slices.SortFunc(out, func(a, b int) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return out
}

// noLongerRuns returns why the holder of a seat is known to have ended (cases 2
// and 3 of section 5), or "".
func (h *Manager) noLongerRuns(t *table, index int) string {
	r := t.rows[index]
	if r.vacant() || r.Holder == h.o.Membership.Self() {
		return ""
	}
	switch h.o.Membership.StateOf(r.Holder) {
	case membership.Replaced:
		return "replaced"
	case membership.Removed:
		// The list lags: a holder that still renews has not gone.
		if h.unchanged(t, index, goneIntervals*h.interval()) {
			return "gone"
		}
	}
	return ""
}

// goneIntervals is the number of renewal intervals without renewal after which
// a holder that is not on the list has gone.
const goneIntervals = 2

// unchanged reports whether a row held by another VM was read without a change
// for a time.
func (h *Manager) unchanged(t *table, index int, d time.Duration) bool {
	r := t.rows[index]
	if r.vacant() || r.Holder == h.o.Membership.Self() {
		return false
	}
	track := h.tracks[index]
	return track.revision == r.revision && h.o.Membership.Now()-track.since > d
}

// silenceOf is the silence for a takeover: the longer one of the holder's and
// the own.
func (h *Manager) silenceOf(r stored) time.Duration { return max(h.silence(), r.silence()) }

// silent reports whether more than half of the held seats answer that they have
// not heard the holder of a seat within the silence (case 4). A seat counts only
// if its holder has held it for the silence: before, the holder of that time may
// have heard what the present one did not.
func (h *Manager) silent(ctx context.Context, t *table, index int) bool {
	r := t.rows[index]
	silence := h.silenceOf(r)
	if age, ok := h.o.Membership.LastHeard(r.Holder); ok && age <= silence {
		return false
	}
	agree := map[int]bool{}
	count := func(claims []membership.LeasedSeat) {
		for _, c := range claims {
			agree[c.Index] = agree[c.Index] || time.Duration(c.HeldMs)*time.Millisecond >= silence
		}
	}
	count(h.Leased())
	for _, a := range h.o.Membership.QueryLastHeard(ctx, r.Holder) {
		if a.Heard && a.Age <= silence {
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
	return h.quorate(votes)
}

// quorate reports whether votes seats are more than half of the held ones.
func (h *Manager) quorate(votes int) bool { return 2*votes > h.occupancy.count() }

// take writes this VM into a row with the next epoch, conditional on what was
// read. A takeover that is decided and then delayed for long is safe: the old
// holder's lease is restored only by a write that changes the row's revision.
func (h *Manager) take(ctx context.Context, t *table, index int, why string) bool {
	old := t.rows[index]
	next := row{
		Holder:    h.o.Membership.Self(),
		Epoch:     old.Epoch + 1,
		SilenceMs: h.silence().Milliseconds(),
	}
	txn := store.Txn{
		Conditions: []store.Condition{
			{Key: key(index), Revision: old.revision},
			{Key: changesKey, Revision: t.changes},
		},
		Ops: []store.Op{
			{Key: key(index), Value: next.encode()},
			{Key: changesKey, Value: []byte(key(index))},
		},
	}
	started := h.o.Membership.Now()
	err := h.commit(ctx, txn)
	if err != nil {
		// After an unknown outcome the next read adopts the seat if the claim
		// was written.
		h.o.Log.Info("claim failed", "seat", index, "reason", why, "error", err)
		return errors.Is(err, store.ErrConflict) || store.CommitOutcome(err) == store.Unknown
	}
	h.occupancy.claimed(index, h.o.Membership.Now())
	h.add(newHeldSeat(Seat{index, next.Epoch}, h.o.Membership.Now(), started+h.leaseTime()), why)
	h.o.Membership.Refresh()
	return true
}

// claimNotice tells a holder that a vacant seat may be claimed.
type claimNotice struct {
	Index   int    `msgpack:"i"`
	Changes uint64 `msgpack:"c"`
}

// claimNoted confirms the notice.
type claimNoted struct {
	From membership.Instance `msgpack:"f"`
}

// announce tells the holders of all seats that a vacant one may be claimed, and
// reports whether all of them have noted it. While a holder does not answer, no
// vacant seat can be claimed; its own seat can be taken over.
func (h *Manager) announce(ctx context.Context, t *table, index int) bool {
	ctx, cancel := context.WithTimeout(ctx, h.o.StoreTimeout)
	defer cancel()
	holders := map[membership.Instance]bool{}
	for _, r := range t.rows {
		if !r.vacant() && r.Holder != h.o.Membership.Self() {
			holders[r.Holder] = true
		}
	}
	h.occupancy.announce(index, t.changes)
	notice := &claimNotice{Index: index, Changes: t.changes}
	results := make(chan error, len(holders))
	var running sync.WaitGroup
	for holder := range holders {
		running.Go(func() { results <- h.notify(ctx, holder, notice) })
	}
	running.Wait()
	close(results)
	for err := range results {
		if err != nil {
			h.o.Log.Info("vacant seat is not claimed: not all holders know of it", "seat", index, "error", err)
			return false
		}
	}
	return true
}

func (h *Manager) notify(ctx context.Context, holder membership.Instance, notice *claimNotice) error {
	var noted claimNoted
	if err := h.o.Caller.Call(ctx, holder.Address, membership.KindSeatClaim, notice, &noted); err != nil {
		return err
	}
	if noted.From != holder {
		return fmt.Errorf("%s was answered by start %d, want %d", holder.Address, noted.From.StartNumber, holder.StartNumber)
	}
	return nil
}

// handleClaim notes that another VM may claim a vacant seat.
func (h *Manager) handleClaim(_ context.Context, payload []byte) (any, error) {
	var notice claimNotice
	if err := msgpack.Unmarshal(payload, &notice); err != nil {
		return nil, fmt.Errorf("decode claim notice: %w", err)
	}
	if notice.Index < 0 || notice.Index >= maxSeatIndex {
		return nil, fmt.Errorf("claim notice names seat %d, allowed are 0 to %d", notice.Index, maxSeatIndex-1)
	}
	h.occupancy.announce(notice.Index, notice.Changes)
	h.o.Membership.Refresh()
	return &claimNoted{From: h.o.Membership.Self()}, nil
}

// maxSeatIndex bounds the seats that notices can add.
const maxSeatIndex = 10_000
