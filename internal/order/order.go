// Package order gives orders to engines: to load or unload models and to
// change role. It compares what is declared with what an engine reports and
// orders the difference, under a lease with a fencing number from the table
// service.
//
// Engines that check the fencing number refuse a late order of a former
// holder. For engines that ignore it, a holder sends only while its lease
// lasts, and a late effect is found in the engine's report and put right by
// the next comparison, because orders follow from the declared state alone.
package order

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/store"
)

const (
	// DefaultLeaseDuration is how long a holder may send orders after its lease was
	// written.
	DefaultLeaseDuration = 10 * time.Second
	// DefaultSendMargin is left of the lease for the order to reach the engine.
	DefaultSendMargin = 3 * time.Second
	// DefaultMaxLoads is the number of model loads that may run at one time in the
	// fleet, because the weight store limits its rate.
	DefaultMaxLoads = 4
)

// Errors of an order.
var (
	// ErrLeaseHeld reports that another VM holds the lease of the target.
	ErrLeaseHeld = errors.New("another VM holds the order lease; wait until it is done")
	// ErrLeaseExpired reports that the lease ended before the order was sent.
	ErrLeaseExpired = errors.New("order lease ended before the order was sent; it will be taken again")
	// ErrNoLoadSlot reports that enough model loads run already.
	ErrNoLoadSlot = errors.New("as many model loads run as the weight store allows; the order waits")
)

// Lease is the row order/<target>.
type Lease struct {
	Fencing uint64       `json:"fencing"`
	Holder  string       `json:"holder"` // empty when the lease was given back
	Nonce   string       `json:"nonce"`
	Order   engine.Order `json:"order"`
	// LoadSlot is the weight store slot in use, -1 for none.
	LoadSlot int `json:"load_slot"`
}

// Options configure a Manager.
type Options struct {
	Table store.Table
	// Holder names this instance of the VM, unlike any other.
	Holder string
	// CheckMayStart returns an error while this VM may not start new work.
	CheckMayStart func() error
	Log           *slog.Logger
	// Lease, SendMargin and Loads have the defaults of this package.
	LeaseDuration time.Duration
	SendMargin    time.Duration
	MaxLoads      int
	// BeforeSend is called between the last check and the send, for tests.
	BeforeSend func()
}

// Manager gives the orders of one VM.
type Manager struct {
	Options

	mu   sync.Mutex
	seen map[string]sighting // by row key
}

// sighting is when a revision of a row was first seen. A lease is over when
// its row stayed unchanged for the length of the lease on this VM's clock.
type sighting struct {
	revision uint64
	since    time.Time
}

// New returns a Manager.
func New(o Options) *Manager {
	if o.LeaseDuration == 0 {
		o.LeaseDuration = DefaultLeaseDuration
	}
	if o.SendMargin == 0 {
		o.SendMargin = DefaultSendMargin
	}
	if o.MaxLoads == 0 {
		o.MaxLoads = DefaultMaxLoads
	}
	if o.BeforeSend == nil {
		o.BeforeSend = func() {}
	}
	return &Manager{Options: o, seen: map[string]sighting{}}
}

// Next returns the order that brings an engine closer to its declaration.
// Models are loaded before others are unloaded, so that a target never offers
// less than both states have in common.
func Next(declared config.Target, load engine.Load) (engine.Order, bool) {
	loaded := map[string]bool{}
	for _, m := range load.Models {
		loaded[m.Name] = true
	}
	wanted := map[string]bool{}
	for _, name := range declared.Models {
		wanted[name] = true
		if !loaded[name] {
			return engine.Order{Kind: "load-model", Model: engine.Model{Name: name}}, true
		}
	}
	for _, m := range load.Models {
		if !wanted[m.Name] {
			return engine.Order{Kind: "unload-model", Model: m}, true
		}
	}
	return engine.Order{}, false
}

// Reconcile compares an engine's own report with its declaration and sends at
// most one order. It returns nil when there was nothing to order or the
// engine took the order.
func (m *Manager) Reconcile(ctx context.Context, target string, declared config.Target, client engine.Client) error {
	load, err := client.Load(ctx)
	if err != nil {
		return merry.Prepend(err, "read the load report of "+target)
	}
	o, needed := Next(declared, load)
	if !needed {
		return nil
	}
	held, err := m.acquire(ctx, target, o)
	if err != nil {
		return err
	}
	sendErr := m.send(ctx, target, declared, client, held)
	if err := m.giveBack(ctx, held); err != nil {
		m.Log.Warn("order lease could not be given back; it ends by itself", "target", target, "error", err)
	}
	return sendErr
}

// holding is a lease that this VM was given.
type holding struct {
	key      string
	lease    Lease
	revision uint64
	// until is when the holder has to stop, on the monotonic clock. It counts
	// from before the write, so it is not later than the store's reckoning.
	until time.Time
}

func leaseKey(target string) string { return "order/" + target }

func slotKey(i int) string { return fmt.Sprintf("order-load-slot/%d", i) }

// acquire takes the lease of a target, and a load slot when models are loaded.
func (m *Manager) acquire(ctx context.Context, target string, o engine.Order) (*holding, error) {
	if err := m.CheckMayStart(); err != nil {
		return nil, err
	}
	begin := time.Now()
	key := leaseKey(target)
	rows, err := m.Table.Get(ctx, m.keys(key, o)...)
	if err != nil {
		return nil, merry.Prepend(err, "read order lease")
	}
	old, err := decodeLease(rows[0])
	if err != nil {
		return nil, err
	}
	// Slots are looked at before the lease decides, so that the time for which
	// a lost holder's slot stays unchanged counts from the first look.
	slot, hasSlot := m.freeSlot(rows[1:])
	if !m.free(rows[0], old.Holder) {
		return nil, merry.Prepend(ErrLeaseHeld, target)
	}
	txn := store.Txn{Conditions: []store.Condition{{Key: key, Revision: rows[0].Revision}}}
	lease := Lease{Fencing: old.Fencing + 1, Holder: m.Holder, Nonce: newNonce(), LoadSlot: -1}
	o.Fencing = lease.Fencing
	lease.Order = o
	if o.Kind == "load-model" {
		if !hasSlot {
			return nil, merry.Wrap(ErrNoLoadSlot)
		}
		lease.LoadSlot = slot
		txn.Conditions = append(txn.Conditions, store.Condition{Key: slotKey(slot), Revision: rows[1+slot].Revision})
		txn.Ops = append(txn.Ops, store.Op{Key: slotKey(slot), Value: []byte(m.Holder)})
	}
	value, err := json.Marshal(lease)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	txn.Ops = append(txn.Ops, store.Op{Key: key, Value: value})
	revision, err := m.commit(ctx, txn, key, lease.Nonce)
	if err != nil {
		return nil, err
	}
	return &holding{key: key, lease: lease, revision: revision, until: begin.Add(m.LeaseDuration)}, nil
}

func (m *Manager) keys(key string, o engine.Order) []string {
	keys := []string{key}
	if o.Kind == "load-model" {
		for i := range m.MaxLoads {
			keys = append(keys, slotKey(i))
		}
	}
	return keys
}

// free says whether a row has no holder, or one whose lease is over.
func (m *Manager) free(row store.Row, holder string) bool {
	if row.Revision == 0 || holder == "" {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.seen[row.Key]
	if s.revision != row.Revision {
		m.seen[row.Key] = sighting{revision: row.Revision, since: time.Now()}
		return false
	}
	return time.Since(s.since) >= m.LeaseDuration
}

func (m *Manager) freeSlot(rows []store.Row) (slot int, ok bool) {
	for i, row := range rows {
		if m.free(row, string(row.Value)) && !ok {
			slot, ok = i, true
		}
	}
	return slot, ok
}

// commit writes a transaction and resolves a lost answer by the nonce.
func (m *Manager) commit(ctx context.Context, txn store.Txn, key, nonce string) (uint64, error) {
	revision, err := m.Table.Commit(ctx, txn)
	switch store.CommitOutcome(err) {
	case store.Written:
		return revision, nil
	case store.NotWritten:
		if errors.Is(err, store.ErrConflict) {
			return 0, merry.Prepend(ErrLeaseHeld, key)
		}
		return 0, merry.Prepend(err, "write order lease")
	}
	rows, readErr := m.Table.Get(ctx, key)
	if readErr != nil {
		return 0, merry.Prepend(err, "write order lease")
	}
	if written, decodeErr := decodeLease(rows[0]); decodeErr == nil && written.Nonce == nonce {
		return rows[0].Revision, nil
	}
	return 0, merry.Prepend(ErrLeaseHeld, key)
}

func (m *Manager) send(ctx context.Context, target string, declared config.Target, client engine.Client, h *holding) error {
	if err := m.CheckMayStart(); err != nil {
		return err
	}
	if time.Until(h.until) < m.SendMargin {
		return merry.Prepend(ErrLeaseExpired, target)
	}
	ctx, cancel := context.WithDeadline(ctx, h.until)
	defer cancel()
	m.BeforeSend()
	err := client.Order(ctx, h.lease.Order)
	m.Log.Info("order", "target", target, "kind", h.lease.Order.Kind, "model", h.lease.Order.Model.Name,
		"fencing", h.lease.Fencing, "checks_fencing", declared.ChecksFencing,
		"checks_orderer", declared.ChecksOrderer, "error", err)
	if err != nil {
		return merry.Prepend(err, "order to "+target)
	}
	return nil
}

// giveBack ends the lease. The fencing number stays in the row.
func (m *Manager) giveBack(ctx context.Context, h *holding) error {
	lease := h.lease
	lease.Holder = ""
	value, err := json.Marshal(lease)
	if err != nil {
		return merry.Wrap(err)
	}
	txn := store.Txn{
		Conditions: []store.Condition{{Key: h.key, Revision: h.revision}},
		Ops:        []store.Op{{Key: h.key, Value: value}},
	}
	if lease.LoadSlot >= 0 {
		txn.Ops = append(txn.Ops, store.Op{Key: slotKey(lease.LoadSlot), Value: nil})
	}
	_, err = m.Table.Commit(ctx, txn)
	return err
}

func decodeLease(row store.Row) (Lease, error) {
	var l Lease
	if row.Revision == 0 {
		return l, nil
	}
	if err := json.Unmarshal(row.Value, &l); err != nil {
		return l, merry.Prepend(err, "row "+row.Key+" is not a lease")
	}
	return l, nil
}
