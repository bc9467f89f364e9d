// Package config holds the declarations that operators make: zones, links,
// client accounts, contracts, services, targets, routes and wait rules.
//
// A Config is immutable once built. A process reads the current one through a
// Holder, which swaps whole values atomically.
package config

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

// Duration is a time.Duration that is written as text such as "1.5s".
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

// Config is one version of the whole configuration. It must not be modified
// after it has been published.
type Config struct {
	// Version is the number of patches accepted so far. Default 0: empty.
	Version uint64 `json:"version" toml:"-"`
	// Hash is the hash chain over all patches up to Version; see Chain.
	Hash string `json:"hash" toml:"-"`
	// Seats is the number of capacity shares among entry VMs. Default 9.
	Seats int `json:"seats" toml:"seats"`
	// SharesPerTarget is the number of seats that share one target. Default:
	// the smaller of Seats and 16.
	SharesPerTarget int                 `json:"shares_per_target" toml:"shares-per-target"`
	Zones           map[string]Zone     `json:"zones" toml:"zone"`
	Links           map[string]Link     `json:"links" toml:"link"`
	Contracts       map[string]Contract `json:"contracts" toml:"contract"`
	Accounts        map[string]Account  `json:"accounts" toml:"account"`
	Services        map[string]Service  `json:"services" toml:"service"`
	Targets         map[string]Target   `json:"targets" toml:"target"`
	Routes          map[string]Route    `json:"routes" toml:"route"`
	WaitRules       map[string]WaitRule `json:"wait_rules" toml:"wait-rule"`

	// docs holds every object as it was declared; see documents. It is nil in
	// a configuration that does not come from patches.
	docs map[string]json.RawMessage
	// unknownFields holds the unknown fields of objects that a newer program version
	// declared, by key. It is nil if there are none.
	unknownFields map[string][]string
}

// Zone is a data centre.
type Zone struct {
	Region string `json:"region" toml:"region"`
	// OutOfService keeps new work from all targets of the zone. Default false.
	OutOfService bool `json:"out_of_service,omitempty" toml:"out-of-service"`
}

// Link is the network path between two zones.
type Link struct {
	From string `json:"from" toml:"from"`
	To   string `json:"to" toml:"to"`
	// OneWay is the delay in one direction.
	OneWay Duration `json:"one_way" toml:"one-way"`
}

// Contract is what an account was promised and may use.
type Contract struct {
	// Deadline applies to requests that name none. Default 60s.
	Deadline Duration `json:"deadline" toml:"deadline"`
	// MaxDeadline caps the deadline a request may name. Default 10m.
	MaxDeadline Duration `json:"max_deadline" toml:"max-deadline"`
	// RequestsPerSecond limits the rate over all VMs. 0 means unlimited.
	RequestsPerSecond float64 `json:"requests_per_second" toml:"requests-per-second"`
	// TokensPerSecond limits prompt tokens over all VMs. 0 means unlimited.
	TokensPerSecond float64 `json:"tokens_per_second" toml:"tokens-per-second"`
	// MaxConcurrent limits requests in progress on each VM. 0 means unlimited.
	MaxConcurrent int `json:"max_concurrent" toml:"max-concurrent"`
	// Weight is the share in a contended queue. Default 1.
	Weight float64 `json:"weight" toml:"weight"`
}

// Account is a client account.
type Account struct {
	Contract string `json:"contract" toml:"contract"`
	// KeyHashes are hex SHA-256 sums of the account's API keys.
	KeyHashes []string `json:"key_hashes" toml:"key-hashes"`
}

// ServiceKind tells model services from plain ones.
type ServiceKind string

// The service kinds.
const (
	ModelService ServiceKind = "model"
	PlainService ServiceKind = "plain"
)

// Service is something that targets offer.
type Service struct {
	Kind ServiceKind `json:"kind" toml:"kind"`
	// IdempotentMethods are the HTTP methods of a plain service that may be
	// repeated. Default GET and HEAD.
	IdempotentMethods []string `json:"idempotent_methods,omitempty" toml:"idempotent-methods"`
}

// Target is one back end: a model engine or an instance of a plain service.
type Target struct {
	Service string `json:"service" toml:"service"`
	Zone    string `json:"zone" toml:"zone"`
	// Address is IP:port.
	Address string `json:"address" toml:"address"`
	// Models lists the models and adapters that the engine can serve.
	Models []string `json:"models,omitempty" toml:"models"`
	// KVTokens is the engine's KV memory in tokens.
	KVTokens int `json:"kv_tokens,omitempty" toml:"kv-tokens"`
	// PrefillTokensPerSecond is the declared prefill speed.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second,omitempty" toml:"prefill-tokens-per-second"`
	// DecodeTokensPerSecond is the declared decode speed of one stream.
	DecodeTokensPerSecond float64 `json:"decode_tokens_per_second,omitempty" toml:"decode-tokens-per-second"`
	// MaxRunning is the number of concurrent requests when warm.
	MaxRunning int `json:"max_running" toml:"max-running"`
	// ColdRunning is the number of concurrent requests that the target bears
	// while cold. Default 1.
	ColdRunning int `json:"cold_running" toml:"cold-running"`
	// ColdTokens is the sum of the prompt and output tokens of the requests
	// that the target bears while cold. 0 means KVTokens.
	ColdTokens int `json:"cold_tokens,omitempty" toml:"cold-tokens"`
	// Leaving keeps new work away. Default false.
	Leaving bool `json:"leaving,omitempty" toml:"leaving"`
	// ChecksFencing says that the engine refuses orders with an old fencing
	// number. Default false: it ignores the number.
	ChecksFencing bool `json:"checks_fencing,omitempty" toml:"checks-fencing"`
	// ChecksOrderer says that the target authenticates who gives it an order.
	// Default false.
	ChecksOrderer bool `json:"checks_orderer,omitempty" toml:"checks-orderer"`
}

// Route maps a model name, or the name of a plain service, to a service.
type Route struct {
	// Model is the name that callers use.
	Model   string `json:"model" toml:"model"`
	Service string `json:"service" toml:"service"`
	// Accounts that may use the route. Empty means all.
	Accounts []string `json:"accounts,omitempty" toml:"accounts"`
}

// Class orders queued work; a lower class is served first.
type Class int

// The classes of work.
const (
	ClassInteractive Class = 0
	ClassStandard    Class = 1
	ClassBatch       Class = 2
)

// WaitRule says which work may wait. The first matching rule by name applies.
type WaitRule struct {
	// Account restricts the rule to one account. Empty means all.
	Account string `json:"account,omitempty" toml:"account"`
	// MinPromptTokens restricts the rule to longer prompts. Default 0.
	MinPromptTokens int `json:"min_prompt_tokens,omitempty" toml:"min-prompt-tokens"`
	// Class assigned to matching work: 0 interactive, 1 standard, 2 batch.
	Class Class `json:"class" toml:"class"`
	// MaxWait bounds the time in the queue. 0 means the request's deadline.
	MaxWait Duration `json:"max_wait,omitempty" toml:"max-wait"`
}

// Holder publishes the configuration in force.
type Holder struct {
	current atomic.Pointer[Config]
}

// Current returns the configuration in force, or nil before the first Raise.
func (h *Holder) Current() *Config { return h.current.Load() }

// PublishIfNewer publishes c if its version is higher than the one in force and
// reports whether it did. A version never goes back.
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
