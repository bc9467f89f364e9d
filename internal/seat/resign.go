package seat

import (
	"context"
	"time"

	"github.com/oriolefront/oriolefront/internal/store"
)

// Resign gives up all seats, in the process first and then in the store, and
// claims none any more. It is called in a graceful shutdown after the last
// request has ended. If the store cannot be reached, the rows stay and others
// take the seats over as for a VM that has gone.
func (h *Manager) Resign(ctx context.Context) error {
	h.stopped.Store(true)
	h.tick.Lock()
	defer h.tick.Unlock()
	for _, s := range *h.held.Load() {
		h.drop(s.Index, "shutdown")
	}
	h.o.Membership.Refresh()
	for {
		err := h.resignOnce(ctx)
		if err == nil {
			return nil
		}
		h.o.Log.Warn("seats could not be resigned", "error", err)
		select {
		case <-ctx.Done():
			return err
		case <-time.After(h.o.StoreTimeout / 4):
		}
	}
}

// resignAbove resigns the seats that a smaller configuration no longer has.
func (h *Manager) resignAbove(ctx context.Context, t *table) {
	limit := h.o.Seats()
	for _, s := range *h.held.Load() {
		if s.Index >= limit {
			h.drop(s.Index, "the configuration has fewer seats")
		}
	}
	txn := h.resignation(t, limit)
	if len(txn.Ops) == 0 {
		return
	}
	h.o.Membership.Refresh()
	// After a failure the next read adopts the seats again without a lease, and
	// this function drops them before they are renewed.
	if err := h.commit(ctx, txn); err != nil {
		h.o.Log.Warn("seats above the configured number could not be resigned", "error", err)
	}
}

// resignOnce reads the rows and resigns those that name this VM, among them
// claims whose answer was lost. A resignation with a lost answer is resolved by
// the next attempt, which finds nothing to resign.
func (h *Manager) resignOnce(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, h.o.StoreTimeout)
	defer cancel()
	started := h.o.Membership.Now()
	t, err := readTable(readCtx, h.o.Table)
	if err != nil {
		return err
	}
	h.o.Membership.RecordStoreContactAt(started)
	txn := h.resignation(t, 0)
	if len(txn.Ops) == 0 {
		return nil
	}
	return h.commit(ctx, txn)
}

// resignation returns the transaction that resigns the seats from an index on
// whose rows name this VM. The epochs stay, so that they only rise.
func (h *Manager) resignation(t *table, from int) store.Txn {
	var txn store.Txn
	for index, r := range t.rows {
		if index < from || r.Holder != h.o.Membership.Self() {
			continue
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: key(index), Revision: r.revision})
		txn.Ops = append(txn.Ops, store.Op{Key: key(index), Value: row{Epoch: r.Epoch}.encode()})
	}
	return txn
}
