package scaling

import (
	"context"
	"runtime"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/load"
)

// heapCost measures the memory of what a VM keeps for each declared object and
// for each peer.
func heapCost(ctx context.Context) ([]Result, error) {
	targets := &series{name: "heap_config_targets", unit: "bytes of configuration per target", planX: planTargets}
	accounts := &series{name: "heap_config_accounts", unit: "bytes of configuration per account", planX: planAccounts}
	keys := &series{name: "heap_keys_accounts", unit: "bytes of key index per account", planX: planAccounts}
	ledger := &series{name: "heap_ledger_targets", unit: "bytes of ledger per target", planX: planTargets}
	collector := &series{name: "heap_collector_targets", unit: "bytes of collector per followed target", planX: planTargets}
	peers := &series{name: "heap_peers", unit: "bytes of membership per peer, without links", planX: planVMs}
	for _, n := range []int{1_000, 3_000, 6_000, planTargets} {
		cfg, grew, err := heapOfConfig(world(n, 0, virtualAddress))
		if err != nil {
			return nil, err
		}
		targets.add(float64(n), grew)
		ledger.add(float64(n), heapOf(cfg, func() any { l, _ := newLedger(cfg); return l }))
		collector.add(float64(n), heapOf(cfg, func() any { return newCollector(cfg) }))
	}
	for _, n := range []int{2_000, 8_000, 15_000, planAccounts} {
		cfg, grew, err := heapOfConfig(world(0, n, virtualAddress))
		if err != nil {
			return nil, err
		}
		accounts.add(float64(n), grew)
		keys.add(float64(n), heapOf(cfg, func() any { return keysOf(cfg) }))
	}
	for _, n := range []int{50, 200, 400, planVMs} {
		peers.add(float64(n), heapOf(nil, func() any { view, _, _, _ := viewWith(ctx, n); return view }))
	}
	return resultsOf(targets, accounts, keys, ledger, collector, peers), nil
}

// heapOf returns the memory that the value made by f holds. What it is made of
// must live until the second look at the heap, or its release would count.
func heapOf(madeOf any, f func() any) float64 {
	before := heapBytes()
	value := f()
	grew := heapBytes() - before
	runtime.KeepAlive(value)
	runtime.KeepAlive(madeOf)
	return grew
}

// heapOfConfig returns a configuration as patches make it, with the memory it
// holds. The declarations it was made of are not counted.
func heapOfConfig(from *config.Config) (cfg *config.Config, bytes float64, err error) {
	document := config.Document{Version: 1, Objects: from.Document().Objects}
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

func keysOf(cfg *config.Config) *auth.Keys {
	hashes := map[string][]string{}
	for name, a := range cfg.Accounts {
		hashes[name] = a.KeyHashes
	}
	return auth.NewKeys(hashes)
}
