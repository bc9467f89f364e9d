// Package forward serves callers: it decides for each request whether and where
// it is sent, passes the answer on, and tries again where that is allowed.
package forward

import (
	"net/http"
	"time"
)

// Meta is what a request says of itself.
type Meta struct {
	// ID names the request; targets echo it.
	ID string
	// Key identifies the client account.
	Key string
	// LastEvent is the event after which a resumed stream goes on.
	LastEvent string
	// Patience is how long the caller waits; 0 when it does not say.
	Patience     time.Duration
	PromptTokens int
	AnswerTokens int
}

// Send is what this system adds to a request for a target.
type Send struct {
	// Left is the time that the target may take.
	Left    time.Duration
	Target  string
	Account string
	// Urgency is from 0, the most urgent, to 9; negative for none.
	Urgency   int
	LastEvent string
	// Helpers are engines that read parts of the prompt.
	Helpers []string
}

// Answer is what the head of a target's answer says.
type Answer struct {
	Status int
	// ID is that of the request that the answer belongs to.
	ID string
	// Signed answers come from a target that has worked on the request.
	Signed bool
	// NotRun is true when the target says that it did not run the request.
	NotRun bool
	// OtherTarget is true when the address belongs to another target now.
	OtherTarget bool
	// FailedAt is the address of the target that caused a refusal, if another.
	FailedAt string
	ColdLeft time.Duration
}

// Protocol translates the headers of the platform.
type Protocol interface {
	// Request reads the header of a caller's request.
	Request(h http.Header) (Meta, error)
	// Outgoing returns the header for a target.
	Outgoing(from http.Header, s Send) http.Header
	// Answer reads the head of a target's answer.
	Answer(status int, h http.Header) Answer
	// AnswerHeader returns the header to pass on to the caller.
	AnswerHeader(from http.Header) http.Header
	// SetRequestID marks an answer of this system with the request's id.
	SetRequestID(h http.Header, id string)
	// Helper formats a helper of a split prompt.
	Helper(address, reservation string) string
	// Reserve returns the order that reserves memory of an engine, or renews a
	// reservation. Release returns the one that ends it.
	Reserve(target, reservation string, tokens int, hold time.Duration) Order
	Release(target, reservation string) Order
}

// Order is an order to an engine.
type Order struct {
	URI    string
	Header http.Header
	Body   []byte
}
