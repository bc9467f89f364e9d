// Package order sends commands to engines: to load or unload models and to
// change role. It compares the declaration of a target with the engine's load
// report and sends the command that reduces the difference, under a lease with
// a fencing number in the table service.
//
// Engines that check the fencing number refuse a late command of a former
// holder. With engines that ignore it, a holder sends only while its lease is
// valid. The effect of a late command then shows in the engine's report and
// the next comparison corrects it, because commands are derived from the
// declared state alone.
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
	// DefaultLeaseDuration is how long a holder may send commands after its
	// lease was written.
	DefaultLeaseDuration = 10 * time.Second
	// DefaultSendMargin is the minimum remaining lease time for a command to
	// reach the engine.
	DefaultSendMargin = 3 * time.Second
	// DefaultMaxLoads is the number of model loads that may run at one time in
	// the fleet, because the weight store limits its rate.
	DefaultMaxLoads = 4
)

// Errors of Reconcile.
var (
	// ErrLeaseHeld reports that another VM holds the lease of the target.
	ErrLeaseHeld = errors.New("another VM holds the command lease; wait until it is done")
	// ErrLeaseExpired reports that the lease expired, or was about to, before
	// the command was sent.
	ErrLeaseExpired = errors.New("command lease expired before the command was sent; it will be acquired again")
	// ErrNoLoadSlot reports that the maximum number of model loads is running.
	ErrNoLoadSlot = errors.New("the maximum number of model loads for the weight store is running; the command is retried later")
)

// Lease is the row order/<target>.
type Lease struct {
	Fencing uint64       `json:"fencing"`
	Holder  string       `json:"holder"` // empty when the lease was released
	Nonce   string       `json:"nonce"`
	Order   engine.Order `json:"order"`
	// LoadSlot is the weight store slot in use, -1 for none.
	LoadSlot int `json:"load_slot"`
}

// Options configure a Manager.
type Options struct {
	Table store.Table
	// Holder identifies this instance of the VM uniquely.
	Holder string
	// CheckMayStart returns an error while this VM may not start new work.
	CheckMayStart func() error
	Log           *slog.Logger
	// LeaseDuration, SendMargin and MaxLoads default to the constants of this
	// package.
	LeaseDuration time.Duration
	SendMargin    time.Duration
	MaxLoads      int
	// BeforeSend is called between the last check and the send, for tests.
	BeforeSend func()
}

// Manager sends the commands of one VM.
type Manager struct {
	Options

	mu           sync.Mutex
	revisionAges map[string]revisionAge // by row key
}

// revisionAge records when a revision of a row was first seen. A lease has
// expired when its row stayed unchanged for the lease duration on this VM's
// clock.
type revisionAge struct {
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
	return &Manager{Options: o, revisionAges: map[string]revisionAge{}}
}

// Next returns the command that brings an engine closer to its declaration.
// Models are loaded before others are unloaded, so that a target always offers
// at least the models that the old and the new state have in common.
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

// Reconcile compares an engine's load report with its declaration and sends at
// most one command. It returns nil when nothing had to change or the engine
// accepted the command.
func (m *Manager) Reconcile(ctx context.Context, target string, declared config.Target, client engine.Client) error {
	load, err := client.Load(ctx)
	if err != nil {
		return merry.Prepend(err, "read the load report of "+target)
	}
	o, needed := Next(declared, load)
	if !needed {
		return nil
	}
	held, err := m.acquireLease(ctx, target, o)
	if err != nil {
		return err
	}
	sendErr := m.send(ctx, target, declared, client, held)
	if err := m.releaseLease(ctx, held); err != nil {
		m.Log.Warn("command lease could not be released; it will expire", "target", target, "error", err)
	}
	return sendErr
}

// heldLease is a lease that this VM holds.
type heldLease struct {
	key      string
	lease    Lease
	revision uint64
	// expiresAt is when the holder has to stop, on the monotonic clock. It is
	// relative to a time before the write, so it is not later than the expiry
	// that other VMs see.
	expiresAt time.Time
}

func leaseKey(target string) string { return "order/" + target }

func loadSlotKey(i int) string { return fmt.Sprintf("order-load-slot/%d", i) }

// acquireLease acquires the lease of a target, and a load slot for a model
// load.
func (m *Manager) acquireLease(ctx context.Context, target string, o engine.Order) (*heldLease, error) {
	if err := m.CheckMayStart(); err != nil {
		return nil, err
	}
	started := time.Now()
	key := leaseKey(target)
	rows, err := m.Table.Get(ctx, m.leaseKeys(key, o)...)
	if err != nil {
		return nil, merry.Prepend(err, "read command lease")
	}
	old, err := decodeLease(rows[0])
	if err != nil {
		return nil, err
	}
	// The slots are read even if the lease turns out to be held, so that the
	// time for which a slot of a lost holder stays unchanged counts from the
	// first read.
	slot, hasSlot := m.freeLoadSlot(rows[1:])
	if !m.leaseExpired(rows[0], old.Holder) {
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
		txn.Conditions = append(txn.Conditions, store.Condition{Key: loadSlotKey(slot), Revision: rows[1+slot].Revision})
		txn.Ops = append(txn.Ops, store.Op{Key: loadSlotKey(slot), Value: []byte(m.Holder)})
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
	return &heldLease{key: key, lease: lease, revision: revision, expiresAt: started.Add(m.LeaseDuration)}, nil
}

func (m *Manager) leaseKeys(key string, o engine.Order) []string {
	keys := []string{key}
	if o.Kind == "load-model" {
		for i := range m.MaxLoads {
			keys = append(keys, loadSlotKey(i))
		}
	}
	return keys
}

// leaseExpired reports whether a row has no holder, or one whose lease has
// expired.
func (m *Manager) leaseExpired(row store.Row, holder string) bool {
	if row.Revision == 0 || holder == "" {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.revisionAges[row.Key]
	if s.revision != row.Revision {
		m.revisionAges[row.Key] = revisionAge{revision: row.Revision, since: time.Now()}
		return false
	}
	return time.Since(s.since) >= m.LeaseDuration
}

func (m *Manager) freeLoadSlot(rows []store.Row) (slot int, ok bool) {
	for i, row := range rows {
		if m.leaseExpired(row, string(row.Value)) && !ok {
			slot, ok = i, true
		}
	}
	return slot, ok
}

// commit writes a transaction and resolves a lost response by the nonce.
func (m *Manager) commit(ctx context.Context, txn store.Txn, key, nonce string) (uint64, error) {
	revision, err := m.Table.Commit(ctx, txn)
	switch store.CommitOutcome(err) {
	case store.Written:
		return revision, nil
	case store.NotWritten:
		if errors.Is(err, store.ErrConflict) {
			return 0, merry.Prepend(ErrLeaseHeld, key)
		}
		return 0, merry.Prepend(err, "write command lease")
	}
	rows, readErr := m.Table.Get(ctx, key)
	if readErr != nil {
		return 0, merry.Prepend(err, "write command lease")
	}
	if written, decodeErr := decodeLease(rows[0]); decodeErr == nil && written.Nonce == nonce {
		return rows[0].Revision, nil
	}
	return 0, merry.Prepend(ErrLeaseHeld, key)
}

func (m *Manager) send(ctx context.Context, target string, declared config.Target, client engine.Client, h *heldLease) error {
	if err := m.CheckMayStart(); err != nil {
		return err
	}
	if time.Until(h.expiresAt) < m.SendMargin {
		return merry.Prepend(ErrLeaseExpired, target)
	}
	ctx, cancel := context.WithDeadline(ctx, h.expiresAt)
	defer cancel()
	m.BeforeSend()
	err := client.Order(ctx, h.lease.Order)
	m.Log.Info("engine command", "target", target, "kind", h.lease.Order.Kind, "model", h.lease.Order.Model.Name,
		"fencing", h.lease.Fencing, "checks_fencing", declared.ChecksFencing,
		"checks_orderer", declared.ChecksOrderer, "error", err)
	if err != nil {
		return merry.Prepend(err, "command to "+target)
	}
	return nil
}

// releaseLease ends the lease. The fencing number stays in the row.
func (m *Manager) releaseLease(ctx context.Context, h *heldLease) error {
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
		txn.Ops = append(txn.Ops, store.Op{Key: loadSlotKey(lease.LoadSlot), Value: nil})
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
