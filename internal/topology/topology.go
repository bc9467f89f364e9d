// Package topology describes what the entry VMs serve: routes, services, client
// accounts and the targets that are in use. A View is immutable; readers on the
// path of a request take the current one from a Holder without a lock.
package topology

import (
	"time"
)

// Kind says what may be repeated of the requests of a route.
type Kind uint8

// The kinds of a route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce marks requests that may run at most once.
	AtMostOnce
	// Stream marks requests that are answered by a stream of events.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case AtMostOnce:
		return "once"
	default:
		return "stream"
	}
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  int
}

// Route is a rule that maps requests to services.
type Route struct {
	Name string
	// Host and PathPrefix select the requests; the longest prefix of a host wins.
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable is true when a stream may continue on another target.
	Resumable bool
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, earns its full worth.
	Objective time.Duration
	// MaxEventGap is the longest pause between events of a stream on time.
	MaxEventGap time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	Shares   []Share
	// MaxTargets bounds the targets to which one request may be sent.
	MaxTargets int
	// Public routes need no key.
	Public bool
}

// Retryable reports whether a request may be sent again after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of interchangeable targets.
type Service struct {
	Name           string
	MaxConnections int
	// ColdRate is the number of requests per second that a cold target bears;
	// 0 means no bound.
	ColdRate float64
	// Engine is set for services of language-model engines.
	Engine *EngineModel
}

// EngineModel holds the figures from which the time of a request on an engine
// can be computed.
type EngineModel struct {
	// Slots is the number of requests in a batch.
	Slots int
	// KVTokens is the KV memory of an engine.
	KVTokens int
	// StepsPerIteration is the number of token steps of a pass that has writers, and
	// so the number of tokens in one event of a stream.
	StepsPerIteration int
	// Step is the time of a step; PerWriter is added for each request that is
	// writing, and PerContext for each 1,000 tokens of its context.
	Step            time.Duration
	StepPerSequence time.Duration
	StepPerKContext time.Duration
	// PrefillRate is the number of prompt tokens read per second.
	PrefillRate float64
	// PrefillPerMillionPairs is added while reading for each million pairs of a token
	// and an earlier one.
	PrefillPerMillionPairs time.Duration
	// ChunkTokens bounds the prompt tokens read in one step.
	ChunkTokens int
	// StepPerHop is added to each step of a request whose prompt lies on several
	// engines.
	StepPerHop time.Duration
}

// Account is a client account with the keys that identify it.
type Account struct {
	Name string
	Keys []string
	// Priority goes before that of the route; Ranked is false without one.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Accounts is empty when requests need no key.
	Accounts []Account
}

// Target is one start of a server of a service.
type Target struct {
	ID      string
	Service string
	// Address is the IP and port of the target.
	Address string
	Zone    string
	Slots   int
	// Draining targets get no new work.
	Draining bool
	// ColdUntil is the time at which the target counts as warm.
	ColdUntil time.Time
}

// Cold reports whether the target still bears only little load.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }
