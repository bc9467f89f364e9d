// Package topology describes what the entry VMs serve: routes, services, client
// accounts and the current targets. A View is immutable; request handlers load
// the current one from a Holder without a lock.
package topology

import (
	"time"
)

// Kind determines which requests of a route may be retried.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests must not run more than once.
	AtMostOnce
	// Stream requests are answered with a stream of events.
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

// Route maps requests to services.
type Route struct {
	Name string
	// Host and PathPrefix select the requests. Among the prefixes of a host, the
	// longest one wins.
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable is true when a stream may continue on another target.
	Resumable bool
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the time within which a response, or the first event of a
	// stream, counts as on time.
	Objective time.Duration
	// MaxEventGap is the longest gap between events of a stream that still counts
	// as on time.
	MaxEventGap time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	Shares   []Share
	// MaxTargets limits the number of targets to which one request may be sent.
	MaxTargets int
	// Public routes need no API key.
	Public bool
}

// Retryable reports whether a request may be sent again although it may already
// have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a group of interchangeable targets.
type Service struct {
	Name           string
	MaxConnections int
	// ColdRate is the number of requests per second that a cold target can take;
	// 0 means no limit.
	ColdRate float64
	// Engine is set for services of language-model engines.
	Engine *EngineModel
	// Scaling is set for services whose number of servers may be ordered.
	Scaling *Scaling
	// ZoneDelays are the delays between the zones of an engine service.
	ZoneDelays []ZoneDelay
}

// Scaling holds the limits of the number of servers of a service.
type Scaling struct {
	// Min and Max are the limits in each zone, or those of all zones together if OfFleet
	// is set.
	Min, Max int
	OfFleet  bool
	// BootTime is the time from an order until new servers serve.
	BootTime time.Duration
}

// ZoneDelay is the time that a message takes from one zone to another.
type ZoneDelay struct {
	From, To string
	Delay    time.Duration
}

// EngineModel holds the parameters for predicting the time of a request on an
// engine.
type EngineModel struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// KVTokens is the size of an engine's KV cache in tokens.
	KVTokens int
	// StepsPerIteration is the number of decode steps in an iteration with
	// decoding requests, and therefore the number of tokens in one event of a
	// stream.
	StepsPerIteration int
	// Step is the base time of a step. StepPerSequence is added for each decoding
	// request, and StepPerKContext for each 1,000 tokens of context.
	Step            time.Duration
	StepPerSequence time.Duration
	StepPerKContext time.Duration
	// PrefillRate is the number of prompt tokens prefilled per second.
	PrefillRate float64
	// PrefillPerMillionPairs is added to the prefill time for each million pairs
	// of a token and an earlier one.
	PrefillPerMillionPairs time.Duration
	// ChunkTokens limits the prompt tokens that are prefilled in one step.
	ChunkTokens int
	// StepPerHop is added to each step of a request whose prompt is spread over
	// several engines.
	StepPerHop time.Duration
}

// Account is a client account with the keys that identify it.
type Account struct {
	Name string
	Keys []string
	// Priority overrides that of the route if HasPriority is true.
	Priority    int
	HasPriority bool
}

// Limits bounds what callers may send.
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
	// Ignored are faults of parts that were left out of the configuration.
	Ignored []error
}

// Target is one instance of a server of a service; a restarted server is a new
// target.
type Target struct {
	ID      string
	Service string
	// Address is the IP address and port of the target.
	Address string
	Zone    string
	Slots   int
	// Born is the start of the target in Unix milliseconds, 0 if unknown. A target that
	// starts again under the same ID has a later one and knows nothing of before.
	Born int64
	// Draining targets get no new requests.
	Draining bool
	// ColdUntil is the time from which the target counts as warm.
	ColdUntil time.Time
}

// Cold reports whether the target is still cold and can take only a limited load.
func (t *Target) Cold(now time.Time) bool { return now.Before(t.ColdUntil) }
