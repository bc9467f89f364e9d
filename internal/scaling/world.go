package scaling

import (
	"fmt"
	"time"

	"github.com/oriolefront/oriolefront/internal/auth"
	"github.com/oriolefront/oriolefront/internal/config"
)

// Regions, zones and models of the plan.
const (
	planRegions = 5
	planZones   = 19
	planModels  = 10
)

// world declares a number of engines and accounts on the zones of the plan.
func world(targets, accounts int, address func(i int) string) *config.Config {
	c := &config.Config{
		Seats:           planVMs,
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
	for i := range planZones {
		c.Zones[zoneName(i)] = config.Zone{Region: fmt.Sprintf("region-%d", i%planRegions)}
	}
	for i := range planModels {
		c.Routes[modelName(i)] = config.Route{Model: modelName(i), Service: "lm"}
	}
	for i := range accounts {
		c.Accounts[fmt.Sprintf("account-%05d", i)] = accountOf(fmt.Sprintf("key-%d", i))
	}
	for i := range targets {
		c.Targets[targetName(i)] = targetAt(i, address(i))
	}
	c.ApplyDefaults()
	return c
}

func zoneName(i int) string   { return fmt.Sprintf("zone-%02d", i) }
func modelName(i int) string  { return fmt.Sprintf("model-%d", i) }
func targetName(i int) string { return fmt.Sprintf("engine-%05d", i) }

func accountOf(key string) config.Account {
	return config.Account{Contract: "standard", KeyHashes: []string{auth.KeyHash(key)}}
}

func targetAt(i int, address string) config.Target {
	return config.Target{
		Service: "lm", Zone: zoneName(i % planZones), Address: address, Models: []string{modelName(i % planModels)},
		KVTokens: 400_000, PrefillTokensPerSecond: 50_000, DecodeTokensPerSecond: 50,
		MaxRunning: 64, ColdRunning: 2, ColdTokens: 60_000,
	}
}

// virtualAddress returns an address that is never dialled.
func virtualAddress(i int) string { return fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255) }

// declared returns c as it results from patches, which keep every object as it
// was declared.
func declared(c *config.Config) (*config.Config, error) {
	objects := config.Document{Version: 1, Hash: config.ChainHash("", nil), Objects: c.Document().Objects}
	return objects.Config()
}

// onePatch changes one target of base, as most changes of a day do.
func onePatch(base *config.Config, n int) (config.Patch, error) {
	t := targetAt(n%len(base.Targets), virtualAddress(n%len(base.Targets)))
	t.Leaving = n%2 == 0
	operations := config.Diff(&config.Config{}, &config.Config{Targets: map[string]config.Target{targetName(n % len(base.Targets)): t}})
	return config.Patch{ID: fmt.Sprintf("patch-%d", n), BaseVersion: base.Version, Submitter: "slopes", Operations: operations}, nil
}
