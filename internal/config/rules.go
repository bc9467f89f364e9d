package config

import (
	"fmt"
	"slices"
	"strings"
)

// checkReferences rejects the deletion of an object that others refer to.
func checkReferences(base, next *Config, operations []Operation) Problems {
	v := &validator{}
	for _, o := range operations {
		if o.Action != Delete || isScalar(o.Key) {
			continue
		}
		users := next.referrers(o.Key)
		v.require(len(users) == 0, o.Key, "a delete while used by "+strings.Join(users, ", "), "a delete after these are deleted or refer to another object")
	}
	return v.problems
}

// referrers returns the keys of the objects that refer to key, sorted.
func (c *Config) referrers(key string) []string {
	var users []string
	add := func(kind, name string, references ...string) {
		if slices.Contains(references, key) {
			users = append(users, kind+"/"+name)
		}
	}
	for name, t := range c.Targets {
		add("target", name, "zone/"+t.Zone, "service/"+t.Service)
	}
	for name, l := range c.Links {
		add("link", name, "zone/"+l.From, "zone/"+l.To)
	}
	for name, a := range c.Accounts {
		add("account", name, "contract/"+a.Contract)
	}
	for name, w := range c.WaitRules {
		add("wait-rule", name, "account/"+w.Account)
	}
	for name, r := range c.Routes {
		references := []string{"service/" + r.Service}
		for _, a := range r.Accounts {
			references = append(references, "account/"+a)
		}
		add("route", name, references...)
	}
	slices.Sort(users)
	return users
}

// checkSeats rejects a change of the numbers from which shares are computed while
// a target accepts work. VMs receive a version at different times, and two VMs
// that compute shares from different numbers could together exceed the limit of a
// target. It does not see earlier requests that still run: operators wait until
// these have ended (docs/configuration.md).
func checkSeats(base, next *Config) Problems {
	v := &validator{}
	if base.Seats == next.Seats && base.SharesPerTarget == next.SharesPerTarget {
		return nil
	}
	key, found := KeySeats, next.Seats
	if base.Seats == next.Seats {
		key, found = KeySharesPerTarget, next.SharesPerTarget
	}
	for _, c := range []*Config{base, next} {
		working := base.alsoDeclared(c.targetsAcceptingWork(), c)
		v.require(len(working) == 0, key, fmt.Sprintf("%d while %s may get work", found, strings.Join(working, ", ")),
			"a change while every target is leaving or in a zone out of service, before and after the patch; the patch may add targets")
		if len(working) > 0 {
			break
		}
	}
	return v.problems
}

// alsoDeclared returns the keys of those named targets of next that c declares
// too, by name or by address. The others are new, and get no work from VMs that
// still compute shares from the numbers of c.
func (c *Config) alsoDeclared(names []string, next *Config) []string {
	addresses := map[string]bool{}
	for _, t := range c.Targets {
		addresses[t.Address] = true
	}
	var known []string
	for _, name := range names {
		_, declared := c.Targets[name]
		if declared || addresses[next.Targets[name].Address] {
			known = append(known, "target/"+name)
		}
	}
	return known
}

func (c *Config) targetsAcceptingWork() []string {
	var working []string
	for _, name := range sortedKeys(c.Targets) {
		t := c.Targets[name]
		if !t.Leaving && !c.Zones[t.Zone].OutOfService {
			working = append(working, name)
		}
	}
	return working
}

// checkContractLimits rejects a patch that lowers a limit of a contract which an
// account has both before and after the patch. Lower limits need a new contract,
// to which accounts are moved one by one.
func checkContractLimits(base, next *Config) Problems {
	v := &validator{}
	accounts := map[string]string{}
	for name, a := range base.Accounts {
		if next.Accounts[name].Contract == a.Contract {
			accounts[a.Contract] = name
		}
	}
	for _, name := range sortedKeys(accounts) {
		before, ok := base.Contracts[name]
		after, still := next.Contracts[name]
		if !ok || !still {
			continue // Validate reports the dangling reference
		}
		key, account := "contract/"+name, accounts[name]
		requireNotLowered(v, key+".requests_per_second", account, before.RequestsPerSecond, after.RequestsPerSecond)
		requireNotLowered(v, key+".tokens_per_second", account, before.TokensPerSecond, after.TokensPerSecond)
		requireNotLowered(v, key+".max_concurrent", account, float64(before.MaxConcurrent), float64(after.MaxConcurrent))
		v.require(after.MaxDeadline >= before.MaxDeadline, key+".max_deadline", after.MaxDeadline.Std().String(),
			fmt.Sprintf("at least %s, as account/%s was promised; or another contract", before.MaxDeadline.Std(), account))
	}
	return v.problems
}

// requireNotLowered rejects a lower limit, where 0 means unlimited.
func requireNotLowered(v *validator, key, account string, before, after float64) {
	lower := after != 0 && (before == 0 || after < before)
	guaranteed := fmt.Sprint(before)
	if before == 0 {
		guaranteed = "0 (unlimited)"
	}
	v.require(!lower, key, fmt.Sprint(after), fmt.Sprintf("at least %s, as account/%s was promised; or another contract", guaranteed, account))
}
