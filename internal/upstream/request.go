package upstream

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

// Reuse is how the connection of a request may be shared with other requests.
type Reuse uint8

// Values of Reuse.
const (
	// ReuseIdle takes an idle connection if there is one, and keeps the connection afterwards.
	ReuseIdle Reuse = iota
	// DialThenKeep opens a connection, which is kept for other requests afterwards.
	DialThenKeep
	// DialThenClose opens a connection that carries nothing else. It is the only choice for a
	// request without an id.
	DialThenClose
)

// Request is a request to a target.
type Request struct {
	// ID is the id that the target repeats in its response; empty if it repeats none.
	ID     string
	Reuse  Reuse
	Method string
	// URI is the path and query as sent by the caller.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// BeforeSend is called before the first byte is written; after an error nothing is sent.
	// It may be nil.
	BeforeSend func() error
	// ResponseID returns the id of the request that a response header belongs to; empty if the
	// header has none.
	ResponseID func(http.Header) string
	// OnForeign is called for each response on the connection that does not belong to this
	// request. It may be nil.
	OnForeign func(ForeignResponse)
}

// ForeignResponse is a response that arrived where that to another request was expected.
type ForeignResponse struct {
	Status int
	// ID is the id of the request that the response belongs to, if it has one.
	ID string
	// Position is the number of requests that the connection has carried.
	Position int
}

func (r Request) reportForeign(f ForeignResponse) {
	if r.OnForeign != nil {
		r.OnForeign(f)
	}
}

func (r Request) reuse() Reuse {
	if r.ID == "" {
		return DialThenClose
	}
	return r.Reuse
}

func (r Request) beforeSend() error {
	if r.BeforeSend == nil {
		return nil
	}
	return r.BeforeSend()
}

// Error is a failure to get a response.
type Error struct {
	Address string
	// MaybeSent is true if a byte of the request may have reached the target.
	MaybeSent bool
	// Invalid is true if the target sent something that is no response to the request.
	Invalid bool
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	state := "not sent"
	if e.MaybeSent {
		state = "sent, no response"
	}
	return fmt.Sprintf("request to %s: %s: %v", e.Address, state, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IsConnectionError reports whether reading a response failed because of its connection, and not
// because of what the target sent on it.
func IsConnectionError(err error) bool {
	var network net.Error
	return errors.As(err, &network) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// Errors of exchanges.
var (
	errForeignResponse = errors.New("target sent only responses to other requests")
	// errUnidentifiedResponse is not skipped: the target may send no other response.
	errUnidentifiedResponse = errors.New("target sent a response without an id on a connection with earlier requests")
	errUnexpectedData       = errors.New("connection carries unexpected bytes")
)
