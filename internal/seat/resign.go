package seat

import (
	"context"
	"time"

	"github.com/oriolefront/oriolefront/internal/store"
)

// Resign gives up all seats, first in this process and then in the store, and
// stops claiming any. It is called in a graceful shutdown after the last
// request has ended. If the store cannot be reached, the rows stay and others
// take the seats over as those of a removed VM.
func (m *Manager) Resign(ctx context.Context) error {
	m.stopped.Store(true)
	m.stepMu.Lock()
	defer m.stepMu.Unlock()
	for _, s := range *m.heldSeats.Load() {
		m.dropSeat(s.Index, "shutdown")
	}
	m.options.Membership.Refresh()
	for {
		err := m.resignOnce(ctx)
		if err == nil {
			return nil
		}
		m.options.Log.Warn("seats could not be resigned", "error", err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(m.options.StoreTimeout / 4):
		}
	}
}

// resignAbove resigns the seats that no longer exist in a smaller
// configuration.
func (m *Manager) resignAbove(ctx context.Context, t *seatTable) {
	limit := m.options.SeatCount()
	for _, s := range *m.heldSeats.Load() {
		if s.Index >= limit {
			m.dropSeat(s.Index, "the configuration has fewer seats")
		}
	}
	txn := m.resignationTxn(t, limit)
	if len(txn.Ops) == 0 {
		return
	}
	m.options.Membership.Refresh()
	// After a failure the next read adopts the seats again without a lease, and
	// this function drops them before they are renewed.
	if err := m.commit(ctx, txn); err != nil {
		m.options.Log.Warn("seats above the configured number could not be resigned", "error", err)
	}
}

// resignOnce reads the rows and resigns those that name this VM, among them
// claims whose response was lost. A resignation with a lost response is
// resolved by the next attempt, which finds nothing to resign.
func (m *Manager) resignOnce(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, m.options.StoreTimeout)
	defer cancel()
	started := m.options.Membership.Now()
	t, err := readTable(readCtx, m.options.Table)
	if err != nil {
		return err
	}
	m.options.Membership.RecordStoreContactAt(started)
	txn := m.resignationTxn(t, 0)
	if len(txn.Ops) == 0 {
		return nil
	}
	return m.commit(ctx, txn)
}

// resignationTxn returns the transaction that resigns the seats from an index
// upwards whose rows name this VM. The rows keep their epochs, so that epochs
// only increase.
func (m *Manager) resignationTxn(t *seatTable, from int) store.Txn {
	var txn store.Txn
	for index, r := range t.rows {
		if index < from || r.Holder != m.options.Membership.Self() {
			continue
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: rowKey(index), Revision: r.revision})
		txn.Ops = append(txn.Ops, store.Op{Key: rowKey(index), Value: row{Epoch: r.Epoch}.encode()})
	}
	return txn
}
