package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Defaults of optional fields.
const (
	DefaultSeats       = 9
	DefaultDeadline    = Duration(60 * time.Second)
	DefaultMaxDeadline = Duration(10 * time.Minute)
	DefaultWeight      = 1.0
	DefaultColdRunning = 1

	// DefaultMaxSharesPerTarget bounds the default of SharesPerTarget.
	DefaultMaxSharesPerTarget = 16
)

const keyHashBytes = 32 // SHA-256

// Problem is one validation error of a configuration.
type Problem struct {
	Key     string `json:"key"`     // such as "target.e1.address"
	Found   string `json:"found"`   // the invalid value
	Allowed string `json:"allowed"` // the accepted values
}

// Error implements error.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: found %q, allowed: %s", p.Key, p.Found, p.Allowed)
}

// Problems is a list of validation errors. As an error it is not empty.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.Error()
	}
	return strings.Join(lines, "; ")
}

// Parse decodes declarations in TOML, applies the defaults and validates the
// result. Unknown keys are an error.
func Parse(text string) (*Config, error) {
	var c Config
	meta, err := toml.Decode(text, &c)
	if err != nil {
		return nil, fmt.Errorf("declarations are not valid TOML: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, Problem{Key: unknown[0].String(), Found: "unknown key", Allowed: "a key listed in docs/configuration.md"}
	}
	// ApplyDefaults replaces zero by the default. An explicit zero is rejected,
	// because it is more likely a mistake than a request for the default.
	for key, value := range map[string]int{KeySeats: c.Seats, KeySharesPerTarget: c.SharesPerTarget} {
		if meta.IsDefined(key) && value <= 0 {
			return nil, Problem{Key: key, Found: fmt.Sprint(value), Allowed: "a number above 0"}
		}
	}
	c.ApplyDefaults()
	if problems := c.Validate(); len(problems) > 0 {
		return nil, problems
	}
	return &c, nil
}

// ApplyDefaults sets optional fields that are zero to their defaults.
func (c *Config) ApplyDefaults() {
	if c.Seats == 0 {
		c.Seats = DefaultSeats
	}
	if c.SharesPerTarget == 0 {
		c.SharesPerTarget = min(c.Seats, DefaultMaxSharesPerTarget)
	}
	for name, k := range c.Contracts {
		k.applyDefaults()
		c.Contracts[name] = k
	}
	for name, t := range c.Targets {
		t.applyDefaults()
		c.Targets[name] = t
	}
	for name, s := range c.Services {
		s.applyDefaults()
		c.Services[name] = s
	}
}

func (k *Contract) applyDefaults() {
	if k.Deadline == 0 {
		k.Deadline = DefaultDeadline
	}
	if k.MaxDeadline == 0 {
		k.MaxDeadline = max(DefaultMaxDeadline, k.Deadline)
	}
	if k.Weight == 0 {
		k.Weight = DefaultWeight
	}
}

func (t *Target) applyDefaults() {
	if t.ColdRunning == 0 {
		t.ColdRunning = DefaultColdRunning
	}
	if t.ColdTokens == 0 {
		t.ColdTokens = t.KVTokens
	}
}

func (s *Service) applyDefaults() {
	if s.Kind == PlainService && len(s.IdempotentMethods) == 0 {
		s.IdempotentMethods = []string{"GET", "HEAD"}
	}
}

// validator collects the problems found by a validation.
type validator struct{ problems Problems }

func (v *validator) require(ok bool, key, found, allowed string) {
	if !ok {
		v.problems = append(v.problems, Problem{Key: key, Found: found, Allowed: allowed})
	}
}

// Validate checks the whole configuration, including references, and returns the
// problems in the order of their keys.
func (c *Config) Validate() Problems {
	v := &validator{}
	v.require(c.Seats > 0, "seats", fmt.Sprint(c.Seats), "a number above 0")
	v.require(c.SharesPerTarget > 0 && c.SharesPerTarget <= c.Seats, "shares-per-target", fmt.Sprint(c.SharesPerTarget), "1 to seats")
	c.validateLinks(v)
	c.validateAccounts(v)
	c.validateServices(v)
	c.validateTargets(v)
	c.validateRoutes(v)
	sort.Slice(v.problems, func(i, j int) bool { return v.problems[i].Key < v.problems[j].Key })
	return v.problems
}

func (c *Config) validateLinks(v *validator) {
	for name, l := range c.Links {
		key := "link." + name
		_, fromKnown := c.Zones[l.From]
		_, toKnown := c.Zones[l.To]
		v.require(fromKnown, key+".from", l.From, "a declared zone")
		v.require(toKnown, key+".to", l.To, "a declared zone")
		v.require(l.OneWay >= 0, key+".one-way", l.OneWay.Std().String(), "a duration of 0 or more")
	}
}

func (c *Config) validateAccounts(v *validator) {
	for name, k := range c.Contracts {
		key := "contract." + name
		v.require(k.Deadline > 0, key+".deadline", k.Deadline.Std().String(), "a duration above 0")
		v.require(k.MaxDeadline >= k.Deadline, key+".max-deadline", k.MaxDeadline.Std().String(), "at least the deadline")
		v.require(k.RequestsPerSecond >= 0, key+".requests-per-second", fmt.Sprint(k.RequestsPerSecond), "0 or more")
		v.require(k.TokensPerSecond >= 0, key+".tokens-per-second", fmt.Sprint(k.TokensPerSecond), "0 or more")
		v.require(k.MaxConcurrent >= 0, key+".max-concurrent", fmt.Sprint(k.MaxConcurrent), "0 or more")
		v.require(k.Weight > 0, key+".weight", fmt.Sprint(k.Weight), "a number above 0")
	}
	seen := map[string]string{}
	for _, name := range sortedKeys(c.Accounts) {
		a := c.Accounts[name]
		key := "account." + name
		_, known := c.Contracts[a.Contract]
		v.require(known, key+".contract", a.Contract, "a declared contract")
		for _, h := range a.KeyHashes {
			raw, err := hex.DecodeString(h)
			v.require(err == nil && len(raw) == keyHashBytes, key+".key-hashes", h, "64 hex digits (SHA-256 of the key)")
			v.require(seen[h] == "", key+".key-hashes", h, "a key that no other account has")
			seen[h] = name
		}
	}
}

func (c *Config) validateServices(v *validator) {
	for name, s := range c.Services {
		v.require(s.Kind == ModelService || s.Kind == PlainService, "service."+name+".kind", string(s.Kind), `"model" or "plain"`)
	}
}

func (c *Config) validateTargets(v *validator) {
	seen := map[string]string{}
	for _, name := range sortedKeys(c.Targets) {
		t := c.Targets[name]
		key := "target." + name
		service, known := c.Services[t.Service]
		v.require(known, key+".service", t.Service, "a declared service")
		_, known = c.Zones[t.Zone]
		v.require(known, key+".zone", t.Zone, "a declared zone")
		_, err := netip.ParseAddrPort(t.Address)
		v.require(err == nil, key+".address", t.Address, "an IP address and a port")
		v.require(seen[t.Address] == "", key+".address", t.Address, "an address that no other target has")
		seen[t.Address] = name
		v.require(t.MaxRunning > 0, key+".max-running", fmt.Sprint(t.MaxRunning), "a number above 0")
		v.require(t.ColdRunning > 0 && t.ColdRunning <= t.MaxRunning, key+".cold-running", fmt.Sprint(t.ColdRunning), "1 to max-running")
		if service.Kind == ModelService {
			validateEngine(v, key, t)
		}
	}
}

func validateEngine(v *validator, key string, t Target) {
	v.require(t.KVTokens > 0, key+".kv-tokens", fmt.Sprint(t.KVTokens), "a number of tokens above 0")
	v.require(t.ColdTokens > 0 && t.ColdTokens <= t.KVTokens, key+".cold-tokens", fmt.Sprint(t.ColdTokens), "1 to kv-tokens")
	v.require(t.PrefillTokensPerSecond > 0, key+".prefill-tokens-per-second", fmt.Sprint(t.PrefillTokensPerSecond), "a number above 0")
	v.require(t.DecodeTokensPerSecond > 0, key+".decode-tokens-per-second", fmt.Sprint(t.DecodeTokensPerSecond), "a number above 0")
	v.require(len(t.Models) > 0, key+".models", "[]", "at least one model")
}

func (c *Config) validateRoutes(v *validator) {
	seen := map[string]string{}
	for _, name := range sortedKeys(c.Routes) {
		r := c.Routes[name]
		key := "route." + name
		_, known := c.Services[r.Service]
		v.require(known, key+".service", r.Service, "a declared service")
		v.require(r.Model != "", key+".model", r.Model, "a name")
		v.require(seen[r.Model] == "", key+".model", r.Model, "a name that no other route has")
		seen[r.Model] = name
		for _, a := range r.Accounts {
			_, known := c.Accounts[a]
			v.require(known, key+".accounts", a, "declared accounts")
		}
	}
	for name, w := range c.WaitRules {
		key := "wait-rule." + name
		_, known := c.Accounts[w.Account]
		v.require(w.Account == "" || known, key+".account", w.Account, "a declared account, or none")
		v.require(w.Class >= ClassInteractive && w.Class <= ClassBatch, key+".class", fmt.Sprint(w.Class), "0, 1 or 2")
		v.require(w.MaxWait >= 0, key+".max-wait", w.MaxWait.Std().String(), "a duration of 0 or more")
	}
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
