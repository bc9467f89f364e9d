// Package config implements the configuration that operators declare: zones,
// links, client accounts, contracts, services, targets, routes and wait rules.
//
// A Config is immutable once built. Readers get the active one from a Holder,
// which replaces it atomically.
package config

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Config is one version of the whole configuration. It must not be modified after
// it has been published.
type Config struct {
	// Version is the number of accepted patches. Version 0 is empty.
	Version uint64 `json:"version" toml:"-"`
	// Hash is the value of the hash chain at Version; see ChainHash.
	Hash string `json:"hash" toml:"-"`
	// Seats is the number of capacity shares that entry VMs can hold. Default 9.
	Seats int `json:"seats" toml:"seats"`
	// SharesPerTarget is the number of seats that share one target. The default
	// is the smaller of Seats and 16.
	SharesPerTarget int                 `json:"shares_per_target" toml:"shares-per-target"`
	Zones           map[string]Zone     `json:"zones" toml:"zone"`
	Links           map[string]Link     `json:"links" toml:"link"`
	Contracts       map[string]Contract `json:"contracts" toml:"contract"`
	Accounts        map[string]Account  `json:"accounts" toml:"account"`
	Services        map[string]Service  `json:"services" toml:"service"`
	Targets         map[string]Target   `json:"targets" toml:"target"`
	Routes          map[string]Route    `json:"routes" toml:"route"`
	WaitRules       map[string]WaitRule `json:"wait_rules" toml:"wait-rule"`

	// docs holds every object as declared; see documents. It is nil if the
	// configuration was not built from patches.
	docs map[string]json.RawMessage
	// unknownFields holds the names of unknown fields, which a newer program
	// version declared, by object key. It is nil if there are none.
	unknownFields map[string][]string
}

// Zone is a data centre.
type Zone struct {
	Region string `json:"region" toml:"region"`
	// OutOfService excludes all targets of the zone from new work. Default
	// false.
	OutOfService bool `json:"out_of_service,omitempty" toml:"out-of-service"`
}

// Link is the network path between two zones.
type Link struct {
	From string `json:"from" toml:"from"`
	To   string `json:"to" toml:"to"`
	// OneWay is the one-way delay.
	OneWay Duration `json:"one_way" toml:"one-way"`
}

// Contract is a set of guaranteed limits for accounts.
type Contract struct {
	// Deadline applies to requests that specify none. Default 60s.
	Deadline Duration `json:"deadline" toml:"deadline"`
	// MaxDeadline limits the deadline that a request can specify. The default is
	// 10m, or Deadline if that is longer.
	MaxDeadline Duration `json:"max_deadline" toml:"max-deadline"`
	// RequestsPerSecond limits the request rate over all VMs. 0 means unlimited.
	RequestsPerSecond float64 `json:"requests_per_second" toml:"requests-per-second"`
	// TokensPerSecond limits the prompt tokens per second over all VMs. 0 means
	// unlimited.
	TokensPerSecond float64 `json:"tokens_per_second" toml:"tokens-per-second"`
	// MaxConcurrent limits requests in progress on each VM. 0 means unlimited.
	MaxConcurrent int `json:"max_concurrent" toml:"max-concurrent"`
	// Weight is the relative share of a queue under contention. Default 1.
	Weight float64 `json:"weight" toml:"weight"`
}

// Account is a client account.
type Account struct {
	Contract string `json:"contract" toml:"contract"`
	// KeyHashes are the SHA-256 hashes of the account's API keys, in hex.
	KeyHashes []string `json:"key_hashes" toml:"key-hashes"`
}

// ServiceKind is the kind of a service.
type ServiceKind string

// The service kinds.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Service is a service that targets provide.
type Service struct {
	Kind ServiceKind `json:"kind" toml:"kind"`
	// IdempotentMethods are the HTTP methods of a plain service that are safe to
	// retry. Default GET and HEAD.
	IdempotentMethods []string `json:"idempotent_methods,omitempty" toml:"idempotent-methods"`
}

// Target is a back end: a model engine or an instance of a plain service.
type Target struct {
	Service string `json:"service" toml:"service"`
	Zone    string `json:"zone" toml:"zone"`
	// Address is IP:port.
	Address string `json:"address" toml:"address"`
	// Models lists the models and adapters that the engine can serve.
	Models []string `json:"models,omitempty" toml:"models"`
	// KVTokens is the size of the engine's KV cache in tokens.
	KVTokens int `json:"kv_tokens,omitempty" toml:"kv-tokens"`
	// PrefillTokensPerSecond is the declared prefill rate.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty" toml:"prefill-tokens-per-second"`
	// DecodeTokensPerSecond is the declared decode rate of one sequence.
	DecodeTokensPerSecond float64 `json:"decode_tokens_per_second,omitempty" toml:"decode-tokens-per-second"`
	// MaxRunning is the concurrency limit of a warm target.
	MaxRunning int `json:"max_running" toml:"max-running"`
	// ColdRunning is the concurrency limit of a cold target. Default 1.
	ColdRunning int `json:"cold_running" toml:"cold-running"`
	// ColdTokens limits the sum of prompt and output tokens of the requests on a
	// cold target. 0 means KVTokens.
	ColdTokens int `json:"cold_tokens,omitempty" toml:"cold-tokens"`
	// Leaving excludes the target from new work: it is draining. Default false.
	Leaving bool `json:"leaving,omitempty" toml:"leaving"`
	// ChecksFencing declares that the engine rejects commands with a stale
	// fencing token. Default false: it ignores the token.
	ChecksFencing bool `json:"checks_fencing,omitempty" toml:"checks-fencing"`
	// ChecksOrderer declares that the target authenticates the sender of a
	// command. Default false.
	ChecksOrderer bool `json:"checks_orderer,omitempty" toml:"checks-orderer"`
}

// Route maps a model name, or the name of a plain service, to a service.
type Route struct {
	// Model is the name that callers use.
	Model   string `json:"model" toml:"model"`
	Service string `json:"service" toml:"service"`
	// Accounts are the accounts that may use the route. Empty means all.
	Accounts []string `json:"accounts,omitempty" toml:"accounts"`
}

// Class is a priority class of queued work. Lower classes are served first.
type Class int

// The priority classes.
const (
	ClassInteractive Class = 0
	ClassStandard    Class = 1
	ClassBatch       Class = 2
)

// WaitRule sets the class and maximum queueing time of matching work. Of several
// matching rules, the first by name applies.
type WaitRule struct {
	// Account restricts the rule to one account. Empty means all.
	Account string `json:"account,omitempty" toml:"account"`
	// MinPromptTokens restricts the rule to prompts of at least this length.
	// Default 0.
	MinPromptTokens int `json:"min_prompt_tokens,omitempty" toml:"min-prompt-tokens"`
	// Class is assigned to matching work: 0 interactive, 1 standard, 2 batch.
	Class Class `json:"class" toml:"class"`
	// MaxWait limits the queueing time. 0 means up to the request's deadline.
	MaxWait Duration `json:"max_wait,omitempty" toml:"max-wait"`
}

// Holder holds the active configuration.
type Holder struct {
	current atomic.Pointer[Config]
}

// Current returns the active configuration, or nil if none was published yet.
func (h *Holder) Current() *Config { return h.current.Load() }

// PublishIfNewer makes c active if its version is higher than the active one, and
// reports whether it did. The active version decreases only through Replace.
func (h *Holder) PublishIfNewer(c *Config) bool {
	for {
		old := h.current.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if h.current.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Replace makes next active in place of old, whatever their versions, and reports
// whether old was active. It is meant for a configuration whose history is not
// that of the store.
func (h *Holder) Replace(old, next *Config) bool {
	return h.current.CompareAndSwap(old, next)
}
