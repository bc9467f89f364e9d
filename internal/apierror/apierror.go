// Package apierror defines the typed errors that callers and operators receive.
//
// Every error states whether the request may have run (its Outcome) and what the recipient
// can do about it (its Remedy).
package apierror

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether a failed request may have had an effect. It must never be wrong.
type Outcome string

// The outcomes of a request that did not succeed.
const (
	// NotRun means that no byte of the request can have reached a target, or that the target
	// itself reported that it did not run it.
	NotRun Outcome = "not_run"
	// Failed means that the request ran and failed.
	Failed Outcome = "failed"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "outcome_unknown"
)

// Kind classifies an error for programs; it is the "code" field of the JSON body.
type Kind string

// The error kinds.
const (
	KindInvalidRequest   Kind = "invalid_request"
	KindUnauthenticated  Kind = "unauthenticated"
	KindForbidden        Kind = "forbidden"
	KindNotFound         Kind = "not_found"
	KindConflict         Kind = "conflict"
	KindTooLarge         Kind = "request_too_large"
	KindRateLimited      Kind = "rate_limited"
	KindOverloaded       Kind = "overloaded"
	KindDeadlineExceeded Kind = "deadline_exceeded"
	KindTargetFailed     Kind = "target_failed"
	KindUnavailable      Kind = "unavailable"
	KindOutcomeUnknown   Kind = "outcome_unknown"
	KindInternal         Kind = "internal"
)

var statusOfKind = map[Kind]int{
	KindInvalidRequest:   http.StatusBadRequest,
	KindUnauthenticated:  http.StatusUnauthorized,
	KindForbidden:        http.StatusForbidden,
	KindNotFound:         http.StatusNotFound,
	KindConflict:         http.StatusConflict,
	KindTooLarge:         http.StatusRequestEntityTooLarge,
	KindRateLimited:      http.StatusTooManyRequests,
	KindOverloaded:       http.StatusServiceUnavailable,
	KindDeadlineExceeded: http.StatusGatewayTimeout,
	KindTargetFailed:     http.StatusBadGateway,
	KindUnavailable:      http.StatusServiceUnavailable,
	KindOutcomeUnknown:   http.StatusBadGateway,
	KindInternal:         http.StatusInternalServerError,
}

// Error is an error with an outcome and a remedy.
type Error struct {
	Kind       Kind
	Outcome    Outcome
	Message    string
	Remedy     string
	RetryAfter time.Duration // 0 sends no Retry-After
	Cause      error
}

// New returns an error of the given kind and outcome.
func New(kind Kind, outcome Outcome, message, remedy string) *Error {
	return &Error{Kind: kind, Outcome: outcome, Message: message, Remedy: remedy}
}

// WithCause returns a copy of e that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	c := *e
	c.Cause = cause
	return &c
}

// WithRetryAfter returns a copy of e that suggests when to retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s; %s", e.Kind, e.Outcome, e.Message, e.Remedy)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Status returns the HTTP status code for e.
func (e *Error) Status() int {
	if s, ok := statusOfKind[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Body is the JSON body of an error, in the format that completion API clients expect.
type Body struct {
	Error Detail `json:"error"`
}

// Detail is the content of Body.
type Detail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    Kind    `json:"code"`
	Outcome Outcome `json:"outcome"`
	Remedy  string  `json:"remedy"`
}

// JSON returns the error body of e.
func (e *Error) JSON() []byte {
	kind := "server_error"
	if e.Status() < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	body := Body{Error: Detail{
		Message: e.Message + "; " + e.Remedy,
		Type:    kind,
		Code:    e.Kind,
		Outcome: e.Outcome,
		Remedy:  e.Remedy,
	}}
	data, err := json.Marshal(body)
	if err != nil {
		return []byte(`{"error":{"message":"error could not be encoded"}}`)
	}
	return data
}

// Write sends e as the HTTP response.
func (e *Error) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Outcome", string(e.Outcome))
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(e.Status())
	w.Write(e.JSON())
}

// From returns err as an *Error; errors of other types become KindInternal
// with OutcomeUnknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(KindInternal, OutcomeUnknown, "internal error", "report the request id to the operators").WithCause(err)
}
