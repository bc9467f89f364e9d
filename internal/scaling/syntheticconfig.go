package scaling

import (
	"fmt"
	"time"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/config"
)

// Numbers of regions, zones and models at the planned size.
const (
	plannedRegions = 5
	plannedZones   = 19
	plannedModels  = 10
)

// syntheticConfig declares a number of engines and accounts, with the engines
// distributed over the planned zones.
func syntheticConfig(targets, accounts int, address func(i int) string) *config.Config {
	c := &config.Config{
		Seats:           plannedVMs,
		SharesPerTarget: 16,
		Zones:           map[string]config.Zone{},
		Links:           map[string]config.Link{},
		Contracts:       map[string]config.Contract{"standard": {Deadline: config.Duration(time.Minute), MaxDeadline: config.Duration(10 * time.Minute)}},
		Accounts:        map[string]config.Account{},
		Services:        map[string]config.Service{"lm": {Kind: config.ModelService}},
		Targets:         map[string]config.Target{},
		Routes:          map[string]config.Route{},
		WaitRules:       map[string]config.WaitRule{},
	}
	for i := range plannedZones {
		c.Zones[zoneName(i)] = config.Zone{Region: fmt.Sprintf("region-%d", i%plannedRegions)}
	}
	for i := range plannedModels {
		c.Routes[modelName(i)] = config.Route{Model: modelName(i), Service: "lm"}
	}
	for i := range accounts {
		c.Accounts[fmt.Sprintf("account-%05d", i)] = newAccount(fmt.Sprintf("key-%d", i))
	}
	for i := range targets {
		c.Targets[targetName(i)] = newTarget(i, address(i))
	}
	c.ApplyDefaults()
	return c
}

func zoneName(i int) string   { return fmt.Sprintf("zone-%02d", i) }
func modelName(i int) string  { return fmt.Sprintf("model-%d", i) }
func targetName(i int) string { return fmt.Sprintf("engine-%05d", i) }

func newAccount(key string) config.Account {
	return config.Account{Contract: "standard", KeyHashes: []string{auth.KeyHash(key)}}
}

func newTarget(i int, address string) config.Target {
	return config.Target{
		Service: "lm", Zone: zoneName(i % plannedZones), Address: address, Models: []string{modelName(i % plannedModels)},
		KVTokens: 400_000, PrefillTokensPerSecond: 50_000, DecodeTokensPerSecond: 50,
		MaxRunning: 64, ColdRunning: 2, ColdTokens: 60_000,
	}
}

// virtualAddress returns an address that is never dialled.
func virtualAddress(i int) string { return fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255) }

// rebuildFromDocument returns c as it results from patches, which keep the
// document of every object as it was declared.
func rebuildFromDocument(c *config.Config) (*config.Config, error) {
	objects := config.Document{Version: 1, Hash: config.ChainHash("", nil), Objects: c.Document().Objects}
	return objects.Config()
}

// oneTargetPatch returns a patch that changes one target of base, as most daily
// changes do.
func oneTargetPatch(base *config.Config, n int) (config.Patch, error) {
	t := newTarget(n%len(base.Targets), virtualAddress(n%len(base.Targets)))
	t.Leaving = n%2 == 0
	operations := config.Diff(&config.Config{}, &config.Config{Targets: map[string]config.Target{targetName(n % len(base.Targets)): t}})
	return config.Patch{ID: fmt.Sprintf("patch-%d", n), BaseVersion: base.Version, Submitter: "slopes", Operations: operations}, nil
}
