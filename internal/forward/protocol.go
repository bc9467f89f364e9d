// Package forward proxies callers' requests to targets: it decides for each request whether
// and where it is sent, relays the response, and retries where that is allowed.
package forward

import (
	"net/http"
	"time"
)

// RequestInfo holds the values read from the header of a caller's request.
type RequestInfo struct {
	// ID is the request id; targets echo it.
	ID string
	// Key identifies the client account.
	Key string
	// LastEventID is the event after which a resumed stream continues.
	LastEventID string
	// Timeout is how long the caller waits; 0 if the request does not say.
	Timeout      time.Duration
	PromptTokens int
	OutputTokens int
	// SharedParts are the ids of the prompt's parts that other requests may share. OwnPart is
	// the id of its last part, which belongs to the request or its session.
	SharedParts []string
	OwnPart     string
}

// ForwardInfo holds the values that are added to the header of a request to a target.
type ForwardInfo struct {
	// Timeout is the time that the target may take.
	Timeout time.Duration
	Target  string
	Account string
	// Urgency ranges from 0, the most urgent, to 9; negative for none.
	Urgency     int
	LastEventID string
	// Helpers are engines that prefill parts of the prompt.
	Helpers []string
}

// ResponseInfo holds the values read from the status and header of a target's response.
type ResponseInfo struct {
	Status int
	// ID is the id of the request that the response belongs to.
	ID string
	// Signed is true for a response of a target that has processed the request.
	Signed bool
	// NotRun is true if the target reports that it did not run the request.
	NotRun bool
	// Fault is why the response cannot be that of a target; nil if it can. Nothing else that it
	// says of the request counts then.
	Fault error
	// WrongTarget is true if the address belongs to another target now.
	WrongTarget bool
	// FailedAddress is the address of the target that caused a refusal, if another.
	FailedAddress string
	// ColdRemaining is how long the target will remain cold.
	ColdRemaining time.Duration
	// Leaving is true if the target says that it is leaving.
	Leaving bool
	// PauseFor is how long the target wants no requests, by a response that turned the
	// request away; 0 if it does not say. PauseError is set if that could not be decoded.
	PauseFor   time.Duration
	PauseError error
	// Load is the load that the target reports; nil if it reports none. LoadError is set
	// if the report could not be decoded.
	Load      *TargetLoad
	LoadError error
}

// TargetLoad is the load of a target as it reports it in a response.
type TargetLoad struct {
	Running int
	Waiting int
	Slots   int
}

// Protocol translates between this package and the headers and commands of the platform.
type Protocol interface {
	// ParseRequest reads the header of a caller's request.
	ParseRequest(h http.Header) (RequestInfo, error)
	// ForwardHeader returns the header of a request to a target.
	ForwardHeader(from http.Header, info ForwardInfo) http.Header
	// ParseResponse reads the status and header of a target's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the header to send to the caller.
	ResponseHeader(from http.Header) http.Header
	// SetRequestID adds the request id to a response that this VM generates.
	SetRequestID(h http.Header, id string)
	// FormatHelper formats a helper of a split prompt.
	FormatHelper(address, reservation string) string
	// ReserveCommand returns the command that reserves memory of an engine, or renews a
	// reservation. ReleaseCommand returns the one that releases it.
	ReserveCommand(target, reservation string, tokens int, lease time.Duration) Command
	ReleaseCommand(target, reservation string) Command
}

// Command is a control request to an engine.
type Command struct {
	URI    string
	Header http.Header
	Body   []byte
}
