package order

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
)

// Interval is the time between two comparisons of all targets.
const Interval = 2 * time.Second

// Run reconciles the targets for which mine returns true until ctx ends. It is
// safe for several VMs to reconcile the same target, because the lease
// serializes them.
func (m *Manager) Run(ctx context.Context, holder *config.Holder, clients func(address string) engine.Client, mine func(target string) bool) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		cfg := holder.Current()
		if cfg == nil || m.CheckMayStart() != nil {
			continue
		}
		for name, t := range cfg.Targets {
			if cfg.Services[t.Service].Kind == config.ModelService && mine(name) {
				m.reconcileOne(ctx, name, t, clients(t.Address))
			}
		}
	}
}

func (m *Manager) reconcileOne(ctx context.Context, name string, t config.Target, client engine.Client) {
	ctx, cancel := context.WithTimeout(ctx, m.LeaseDuration)
	defer cancel()
	err := m.Reconcile(ctx, name, t, client)
	if err != nil && !errors.Is(err, ErrLeaseHeld) && !errors.Is(err, ErrNoLoadSlot) {
		m.Log.Debug("target is not as declared", "target", name, "error", err)
	}
}

func newNonce() string {
	var b [12]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
