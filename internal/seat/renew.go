package seat

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
)

// extraClaims is the number of claims that may fail in one round because
// another VM was faster, before the next round tries again.
const extraClaims = 3

// RunRound does one round: read the rows, renew, give up seats above S, and claim
// while seats are missing. Run calls it at each interval.
func (h *Manager) RunRound(ctx context.Context) {
	h.tick.Lock()
	defer h.tick.Unlock()
	if h.stopped.Load() {
		return
	}
	t, err := h.read(ctx)
	if err != nil {
		h.o.Log.Warn("seat rows could not be read", "error", err)
		h.relay(ctx)
		return
	}
	h.resignAbove(ctx, t)
	h.renew(ctx, t)
	for tries := h.o.MaxSeats + extraClaims; tries > 0 && len(*h.held.Load()) < h.o.MaxSeats; tries-- {
		if !h.claimOne(ctx, t) {
			return
		}
		if t, err = h.read(ctx); err != nil {
			return
		}
	}
}

// read reads the rows and drops the seats that they show to be lost.
func (h *Manager) read(ctx context.Context) (*table, error) {
	ctx, cancel := context.WithTimeout(ctx, h.o.StoreTimeout)
	defer cancel()
	started := h.o.Membership.Now()
	t, err := readTable(ctx, h.o.Table)
	if err != nil {
		return nil, err
	}
	h.o.Membership.RecordStoreContactAt(started)
	now := h.o.Membership.Now()
	for _, s := range *h.held.Load() {
		h.check(s, t.rows[s.Index])
	}
	h.adopt(t, now)
	h.observe(t, now)
	h.occupancy.read(t, now, h.longestSilence(t))
	h.last.Store(t)
	h.o.Membership.Refresh()
	return t, nil
}

// check drops a held seat whose row names another holder or epoch.
func (h *Manager) check(s *heldSeat, r stored) {
	if r.Holder != h.o.Membership.Self() || r.Epoch != s.Epoch {
		h.drop(s.Index, fmt.Sprintf("row names holder %q, start %d, epoch %d", r.Holder.Address, r.Holder.StartNumber, r.Epoch))
	}
}

// adopt takes seats whose claim succeeded although its answer was lost. They
// get a lease with the next renewal.
func (h *Manager) adopt(t *table, now time.Duration) {
	for index, r := range t.rows {
		if r.Holder == h.o.Membership.Self() && h.find(index) == nil {
			h.add(newHeldSeat(Seat{index, r.Epoch}, now, never), "own claim found")
		}
	}
}

// longestSilence returns the longest silence that any row asks for.
func (h *Manager) longestSilence(t *table) time.Duration {
	longest := h.silence()
	for _, r := range t.rows {
		longest = max(longest, r.silence())
	}
	return longest
}

// renewal is the transaction that renews rows, and the counters it writes.
type renewal struct {
	txn      store.Txn
	counters map[int]uint64
}

// add renews one row.
func (r *renewal) add(index int, s stored, silence time.Duration) {
	next := s.row
	next.Counter++
	next.SilenceMs = silence.Milliseconds()
	r.txn.Conditions = append(r.txn.Conditions, store.Condition{Key: key(index), Revision: s.revision})
	r.txn.Ops = append(r.txn.Ops, store.Op{Key: key(index), Value: next.encode()})
	r.counters[index] = next.Counter
}

// renew renews all held seats in one transaction.
func (h *Manager) renew(ctx context.Context, t *table) {
	held := *h.held.Load()
	if len(held) == 0 {
		return
	}
	r := &renewal{counters: map[int]uint64{}}
	for _, s := range held {
		r.add(s.Index, t.rows[s.Index], h.silence())
	}
	started := h.o.Membership.Now()
	until := started + h.leaseTime()
	err := h.commit(ctx, r.txn)
	switch {
	case err == nil:
		h.granted(until)
	case errors.Is(err, store.ErrConflict):
		// A relayed renewal or a takeover was faster; the read tells which.
		h.read(ctx)
	case store.CommitOutcome(err) == store.Unknown:
		h.readBack(ctx, r, until)
	default:
		h.o.Log.Warn("renewal failed", "error", err)
		h.relay(ctx)
	}
}

// granted extends the leases of all held seats.
func (h *Manager) granted(until time.Duration) {
	for _, s := range *h.held.Load() {
		s.renewed(until)
	}
	h.o.Membership.Refresh()
}

// commit applies a transaction and notes the contact, also after a conflict,
// which is an answer of the store.
func (h *Manager) commit(ctx context.Context, txn store.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, h.o.StoreTimeout)
	defer cancel()
	started := h.o.Membership.Now()
	_, err := h.o.Table.Commit(ctx, txn)
	if err == nil || errors.Is(err, store.ErrConflict) {
		h.o.Membership.RecordStoreContactAt(started)
	}
	return err
}

// readBack finds out whether a renewal with a lost answer was written. If it
// was not, it may still be written later, which harms nobody: it is conditional
// on the holder's own revision.
func (h *Manager) readBack(ctx context.Context, r *renewal, until time.Duration) {
	t, err := h.read(ctx)
	if err != nil {
		h.relay(ctx)
		return
	}
	for _, s := range *h.held.Load() {
		if wanted, ok := r.counters[s.Index]; ok && t.rows[s.Index].Counter >= wanted {
			s.renewed(until)
		}
	}
	h.o.Membership.Refresh()
}

// relayRequest asks a peer to renew seats of the sender.
type relayRequest struct {
	From      membership.Instance `msgpack:"f"`
	Seats     []relaySeat         `msgpack:"s"`
	SilenceMs int64               `msgpack:"m"`
}

type relaySeat struct {
	Index int    `msgpack:"i"`
	Epoch uint64 `msgpack:"e"`
}

// relayReply names the seats that were renewed. The others are lost.
type relayReply struct {
	Renewed []int `msgpack:"r"`
}

// maxRelays bounds the peers that are asked in one round.
const maxRelays = 3

// relay renews through peers that reach the store.
func (h *Manager) relay(ctx context.Context) {
	held := *h.held.Load()
	peers := h.o.Membership.PeersWithStoreContact()
	if len(held) == 0 {
		return
	}
	request := &relayRequest{From: h.o.Membership.Self(), SilenceMs: h.silence().Milliseconds()}
	for _, s := range held {
		request.Seats = append(request.Seats, relaySeat{s.Index, s.Epoch})
	}
	for _, address := range peers[:min(len(peers), maxRelays)] {
		if err := h.relayThrough(ctx, address, request); err == nil {
			return
		} else {
			h.o.Log.Warn("relayed renewal failed", "peer", address, "error", err)
		}
	}
}

func (h *Manager) relayThrough(ctx context.Context, address string, request *relayRequest) error {
	ctx, cancel := context.WithTimeout(ctx, h.o.StoreTimeout)
	defer cancel()
	until := h.o.Membership.Now() + h.leaseTime()
	var reply relayReply
	if err := h.o.Caller.Call(ctx, address, membership.KindRelayRenew, request, &reply); err != nil {
		return err
	}
	renewed := map[int]bool{}
	for _, index := range reply.Renewed {
		renewed[index] = true
	}
	for _, s := range *h.held.Load() {
		if renewed[s.Index] {
			s.renewed(until)
		} else {
			h.drop(s.Index, "peer "+address+" read another holder or epoch")
		}
	}
	h.o.Membership.Refresh()
	return nil
}

// maxRelayedSeats bounds a relayed transaction.
const maxRelayedSeats = 64

// handleRelay renews the seats of a peer that does not reach the store.
func (h *Manager) handleRelay(ctx context.Context, payload []byte) (any, error) {
	var q relayRequest
	if err := msgpack.Unmarshal(payload, &q); err != nil {
		return nil, fmt.Errorf("decode relayed renewal: %w", err)
	}
	if len(q.Seats) > maxRelayedSeats {
		return nil, fmt.Errorf("relayed renewal names %d seats, at most %d are allowed", len(q.Seats), maxRelayedSeats)
	}
	keys := make([]string, len(q.Seats))
	for i, s := range q.Seats {
		keys[i] = key(s.Index)
	}
	readCtx, cancel := context.WithTimeout(ctx, h.o.StoreTimeout)
	defer cancel()
	started := h.o.Membership.Now()
	rows, err := h.o.Table.Get(readCtx, keys...)
	if err != nil {
		return nil, err
	}
	h.o.Membership.RecordStoreContactAt(started)
	return h.commitRelayed(ctx, &q, rows)
}

func (h *Manager) commitRelayed(ctx context.Context, q *relayRequest, rows []store.Row) (any, error) {
	reply := &relayReply{}
	r := &renewal{counters: map[int]uint64{}}
	silence := time.Duration(q.SilenceMs) * time.Millisecond
	for i, s := range q.Seats {
		read, err := decode(rows[i])
		if err != nil {
			return nil, err
		}
		if read.Holder == q.From && read.Epoch == s.Epoch {
			r.add(s.Index, read, silence)
			reply.Renewed = append(reply.Renewed, s.Index)
		}
	}
	if len(reply.Renewed) == 0 {
		return reply, nil
	}
	// With an unknown outcome the sender gets an error and asks again.
	if err := h.commit(ctx, r.txn); err != nil {
		return nil, err
	}
	return reply, nil
}
