// Package forward serves callers: it decides for each request whether and where
// it is sent, passes the answer on, and tries again where that is allowed.
package forward

import (
	"net/http"
	"time"
)

// RequestInfo is what a request says of itself.
type RequestInfo struct {
	// ID names the request; targets echo it.
	ID string
	// Key identifies the client account.
	Key string
	// LastEventID is the event after which a resumed stream goes on.
	LastEventID string
	// Timeout is how long the caller waits; 0 when it does not say.
	Timeout      time.Duration
	PromptTokens int
	OutputTokens int
}

// ForwardInfo is what this system adds to a request for a target.
type ForwardInfo struct {
	// Timeout is the time that the target may take.
	Timeout time.Duration
	Target  string
	Account string
	// Urgency is from 0, the most urgent, to 9; negative for none.
	Urgency     int
	LastEventID string
	// Helpers are engines that read parts of the prompt.
	Helpers []string
}

// ResponseInfo is what the head of a target's answer says.
type ResponseInfo struct {
	Status int
	// ID is that of the request that the answer belongs to.
	ID string
	// Signed answers come from a target that has worked on the request.
	Signed bool
	// NotRun is true when the target says that it did not run the request.
	NotRun bool
	// WrongTarget is true when the address belongs to another target now.
	WrongTarget bool
	// FailedAddress is the address of the target that caused a refusal, if another.
	FailedAddress string
	ColdRemaining time.Duration
}

// Protocol translates the headers of the platform.
type Protocol interface {
	// ParseRequest reads the header of a caller's request.
	ParseRequest(h http.Header) (RequestInfo, error)
	// ForwardHeader returns the header for a target.
	ForwardHeader(from http.Header, s ForwardInfo) http.Header
	// ParseResponse reads the head of a target's answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ResponseHeader returns the header to pass on to the caller.
	ResponseHeader(from http.Header) http.Header
	// SetRequestID marks an answer of this system with the request's id.
	SetRequestID(h http.Header, id string)
	// FormatHelper formats a helper of a split prompt.
	FormatHelper(address, reservation string) string
	// ReserveCommand returns the order that reserves memory of an engine, or renews a
	// reservation. Release returns the one that ends it.
	ReserveCommand(target, reservation string, tokens int, hold time.Duration) Command
	ReleaseCommand(target, reservation string) Command
}

// Command is an order to an engine.
type Command struct {
	URI    string
	Header http.Header
	Body   []byte
}
