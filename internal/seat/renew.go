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

// maxClaimRetries is the number of claims that may fail in one round because
// another VM claimed first. After that the next round tries again.
const maxClaimRetries = 3

// RunRound does one round: read the rows, renew, resign seats above the
// configured number, and claim while seats are missing. Run calls it at each
// interval.
func (m *Manager) RunRound(ctx context.Context) {
	m.stepMu.Lock()
	defer m.stepMu.Unlock()
	if m.stopped.Load() {
		return
	}
	t, err := m.read(ctx)
	if err != nil {
		m.options.Log.Warn("seat rows could not be read", "error", err)
		m.relayRenewal(ctx)
		return
	}
	m.resignAbove(ctx, t)
	m.renew(ctx, t)
	for tries := m.options.MaxSeats + maxClaimRetries; tries > 0 && len(*m.heldSeats.Load()) < m.options.MaxSeats; tries-- {
		if !m.claimSeat(ctx, t) {
			return
		}
		if t, err = m.read(ctx); err != nil {
			return
		}
	}
}

// read reads the rows and drops the seats that this VM has lost according to
// them.
func (m *Manager) read(ctx context.Context) (*seatTable, error) {
	ctx, cancel := context.WithTimeout(ctx, m.options.StoreTimeout)
	defer cancel()
	started := m.options.Membership.Now()
	t, err := readTable(ctx, m.options.Table)
	if err != nil {
		return nil, err
	}
	m.options.Membership.RecordStoreContactAt(started)
	now := m.options.Membership.Now()
	m.updateHighestEpochs(t)
	for _, s := range *m.heldSeats.Load() {
		m.checkSeat(s, t.rows[s.Index])
	}
	m.adoptClaims(t, now)
	m.updateRowAges(t, now)
	m.occupancy.update(t, now, m.maxTakeoverTimeout(t))
	m.lastTable.Store(t)
	m.options.Membership.Refresh()
	return t, nil
}

// checkSeat drops a held seat whose row names another holder or epoch.
func (m *Manager) checkSeat(s *heldSeat, r storedRow) {
	if r.Holder != m.options.Membership.Self() || r.Epoch != s.Epoch {
		m.dropSeat(s.Index, fmt.Sprintf("row names holder %q, start %d, epoch %d", r.Holder.Address, r.Holder.StartNumber, r.Epoch))
	}
}

// adoptClaims adds seats whose claim succeeded although the store's response
// was lost. They get a lease with the next renewal.
func (m *Manager) adoptClaims(t *seatTable, now time.Duration) {
	for index, r := range t.rows {
		if r.Holder == m.options.Membership.Self() && m.findSeat(index) == nil {
			m.addSeat(newHeldSeat(Seat{index, r.Epoch}, now, never), "own claim found")
		}
	}
}

// maxTakeoverTimeout returns the longest takeover timeout of any row.
func (m *Manager) maxTakeoverTimeout(t *seatTable) time.Duration {
	longest := m.takeoverTimeout()
	for _, r := range t.rows {
		longest = max(longest, r.takeoverTimeout())
	}
	return longest
}

// renewal is the transaction that renews rows, and the counters it writes.
type renewal struct {
	txn      store.Txn
	counters map[int]uint64
}

// add renews one row.
func (r *renewal) add(index int, s storedRow, takeoverTimeout time.Duration) {
	next := s.row
	next.Counter++
	next.TakeoverTimeoutMs = takeoverTimeout.Milliseconds()
	r.txn.Conditions = append(r.txn.Conditions, store.Condition{Key: rowKey(index), Revision: s.revision})
	r.txn.Ops = append(r.txn.Ops, store.Op{Key: rowKey(index), Value: next.encode()})
	r.counters[index] = next.Counter
}

// renew renews all held seats in one transaction.
func (m *Manager) renew(ctx context.Context, t *seatTable) {
	held := *m.heldSeats.Load()
	if len(held) == 0 {
		return
	}
	r := &renewal{counters: map[int]uint64{}}
	for _, s := range held {
		r.add(s.Index, t.rows[s.Index], m.takeoverTimeout())
	}
	started := m.options.Membership.Now()
	until := started + m.leaseDuration()
	err := m.commit(ctx, r.txn)
	switch {
	case err == nil:
		m.renewLeases(until)
	case errors.Is(err, store.ErrConflict):
		// A relayed renewal or a takeover was written first; the read tells
		// which.
		m.read(ctx)
	case store.CommitOutcome(err) == store.Unknown:
		m.resolveRenewal(ctx, r, until)
	default:
		m.options.Log.Warn("renewal failed", "error", err)
		m.relayRenewal(ctx)
	}
}

// renewLeases extends the leases of all held seats.
func (m *Manager) renewLeases(until time.Duration) {
	for _, s := range *m.heldSeats.Load() {
		s.renewLease(until)
	}
	m.options.Membership.Refresh()
}

// commit applies a transaction and records the store contact. A conflict
// counts as contact too, because it is a response of the store.
func (m *Manager) commit(ctx context.Context, txn store.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.StoreTimeout)
	defer cancel()
	started := m.options.Membership.Now()
	_, err := m.options.Table.Commit(ctx, txn)
	if err == nil || errors.Is(err, store.ErrConflict) {
		m.options.Membership.RecordStoreContactAt(started)
	}
	return err
}

// resolveRenewal finds out whether a renewal with a lost response was written.
// If it was not, it may still be written later, which is harmless: it is
// conditional on the holder's own revision.
func (m *Manager) resolveRenewal(ctx context.Context, r *renewal, until time.Duration) {
	t, err := m.read(ctx)
	if err != nil {
		m.relayRenewal(ctx)
		return
	}
	for _, s := range *m.heldSeats.Load() {
		if wanted, ok := r.counters[s.Index]; ok && t.rows[s.Index].Counter >= wanted {
			s.renewLease(until)
		}
	}
	m.options.Membership.Refresh()
}

// relayRequest asks a peer to renew seats of the sender.
type relayRequest struct {
	From              membership.Instance `msgpack:"f"`
	Seats             []relaySeat         `msgpack:"s"`
	TakeoverTimeoutMs int64               `msgpack:"m"`
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

// relayRenewal renews through peers that reach the store.
func (m *Manager) relayRenewal(ctx context.Context) {
	held := *m.heldSeats.Load()
	peers := m.options.Membership.PeersWithStoreContact()
	if len(held) == 0 {
		return
	}
	request := &relayRequest{From: m.options.Membership.Self(), TakeoverTimeoutMs: m.takeoverTimeout().Milliseconds()}
	for _, s := range held {
		request.Seats = append(request.Seats, relaySeat{s.Index, s.Epoch})
	}
	for _, address := range peers[:min(len(peers), maxRelays)] {
		if err := m.relayThrough(ctx, address, request); err == nil {
			return
		} else {
			m.options.Log.Warn("relayed renewal failed", "peer", address, "error", err)
		}
	}
}

func (m *Manager) relayThrough(ctx context.Context, address string, request *relayRequest) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.StoreTimeout)
	defer cancel()
	until := m.options.Membership.Now() + m.leaseDuration()
	var reply relayReply
	if err := m.options.Caller.Call(ctx, address, membership.KindRelayRenew, request, &reply); err != nil {
		return err
	}
	renewed := map[int]bool{}
	for _, index := range reply.Renewed {
		renewed[index] = true
	}
	for _, s := range *m.heldSeats.Load() {
		if renewed[s.Index] {
			s.renewLease(until)
		} else {
			m.dropSeat(s.Index, "peer "+address+" read another holder or epoch")
		}
	}
	m.options.Membership.Refresh()
	return nil
}

// maxRelayedSeats bounds a relayed transaction.
const maxRelayedSeats = 64

// handleRelay renews the seats of a peer that does not reach the store.
func (m *Manager) handleRelay(ctx context.Context, payload []byte) (any, error) {
	var q relayRequest
	if err := msgpack.Unmarshal(payload, &q); err != nil {
		return nil, fmt.Errorf("decode relayed renewal: %w", err)
	}
	if len(q.Seats) > maxRelayedSeats {
		return nil, fmt.Errorf("relayed renewal names %d seats, at most %d are allowed", len(q.Seats), maxRelayedSeats)
	}
	keys := make([]string, len(q.Seats))
	for i, s := range q.Seats {
		keys[i] = rowKey(s.Index)
	}
	readCtx, cancel := context.WithTimeout(ctx, m.options.StoreTimeout)
	defer cancel()
	started := m.options.Membership.Now()
	rows, err := m.options.Table.Get(readCtx, keys...)
	if err != nil {
		return nil, err
	}
	m.options.Membership.RecordStoreContactAt(started)
	return m.commitRelayed(ctx, &q, rows)
}

func (m *Manager) commitRelayed(ctx context.Context, q *relayRequest, rows []store.Row) (any, error) {
	reply := &relayReply{}
	r := &renewal{counters: map[int]uint64{}}
	timeout := time.Duration(q.TakeoverTimeoutMs) * time.Millisecond
	for i, s := range q.Seats {
		read, err := decodeRow(rows[i])
		if err != nil {
			return nil, err
		}
		if read.Holder == q.From && read.Epoch == s.Epoch {
			r.add(s.Index, read, timeout)
			reply.Renewed = append(reply.Renewed, s.Index)
		}
	}
	if len(reply.Renewed) == 0 {
		return reply, nil
	}
	// With an unknown outcome the sender gets an error and asks again.
	if err := m.commit(ctx, r.txn); err != nil {
		return nil, err
	}
	return reply, nil
}
