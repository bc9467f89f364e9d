package scaling

import (
	"context"
	"runtime"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/load"
)

// heapCost measures the memory that a VM uses per declared object and per peer.
func heapCost(ctx context.Context) ([]Result, error) {
	targets := &series{name: "heap_config_targets", unit: "bytes of configuration per target", planX: plannedTargets}
	accounts := &series{name: "heap_config_accounts", unit: "bytes of configuration per account", planX: plannedAccounts}
	keys := &series{name: "heap_keys_accounts", unit: "bytes of key index per account", planX: plannedAccounts}
	ledger := &series{name: "heap_ledger_targets", unit: "bytes of ledger per target", planX: plannedTargets}
	collector := &series{name: "heap_collector_targets", unit: "bytes of collector per followed target", planX: plannedTargets}
	peers := &series{name: "heap_peers", unit: "bytes of membership per peer, without links", planX: plannedVMs}
	for _, n := range []int{1_000, 3_000, 6_000, plannedTargets} {
		cfg, growth, err := heapOfConfig(syntheticConfig(n, 0, virtualAddress))
		if err != nil {
			return nil, err
		}
		targets.add(float64(n), growth)
		ledger.add(float64(n), heapOf(cfg, func() any { l, _ := newLedger(cfg); return l }))
		collector.add(float64(n), heapOf(cfg, func() any { return newCollector(cfg) }))
	}
	for _, n := range []int{2_000, 8_000, 15_000, plannedAccounts} {
		cfg, growth, err := heapOfConfig(syntheticConfig(0, n, virtualAddress))
		if err != nil {
			return nil, err
		}
		accounts.add(float64(n), growth)
		keys.add(float64(n), heapOf(cfg, func() any { return newKeyIndex(cfg) }))
	}
	for _, n := range []int{50, 200, 400, plannedVMs} {
		peers.add(float64(n), heapOf(nil, func() any { view, _, _, _ := newViewWithPeers(ctx, n); return view }))
	}
	return resultsOf(targets, accounts, keys, ledger, collector, peers), nil
}

// heapOf returns the memory that the value returned by f retains. The source of
// the value must stay reachable until the heap is measured again, otherwise its
// release would be subtracted.
func heapOf(source any, f func() any) float64 {
	before := heapBytes()
	value := f()
	growth := heapBytes() - before
	runtime.KeepAlive(value)
	runtime.KeepAlive(source)
	return growth
}

// heapOfConfig returns a configuration as it results from patches, and the
// memory that it retains, without the declarations that it was built from.
func heapOfConfig(declarations *config.Config) (cfg *config.Config, bytes float64, err error) {
	document := config.Document{Version: 1, Objects: declarations.Document().Objects}
	bytes = heapOf(document, func() any {
		cfg, err = document.Config()
		return cfg
	})
	return cfg, bytes, err
}

func newCollector(cfg *config.Config) *load.Collector {
	holder := &config.Holder{}
	holder.PublishIfNewer(cfg)
	transport := engine.NewTransport()
	return load.NewCollector(load.Options{
		Config: holder, Zone: zoneName(0),
		Clients: func(address string) engine.Client { return engine.NewHTTPClient(address, transport) },
	})
}

func newKeyIndex(cfg *config.Config) *auth.Keys {
	hashes := map[string][]string{}
	for name, a := range cfg.Accounts {
		hashes[name] = a.KeyHashes
	}
	return auth.NewKeys(hashes)
}
