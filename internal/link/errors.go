package link

import (
	"errors"
	"fmt"
)

// ErrNotSent means that no byte of a message left this VM. Test for it with
// errors.Is.
var ErrNotSent = errors.New("message was not sent")

// ErrNoReply means that a message may have reached the peer but no reply was
// received. Test for it with errors.Is.
var ErrNoReply = errors.New("message was sent but no reply came")

// SendError is returned for a message for which no reply was received.
type SendError struct {
	Address string
	Kind    string
	// Sent is true when bytes of the message may have reached the peer.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	return fmt.Sprintf("%s to %s: %v: %v", e.Kind, e.Address, e.class(), e.Cause)
}

// Unwrap returns the class, ErrNotSent or ErrNoReply, and the cause.
func (e *SendError) Unwrap() []error { return []error{e.class(), e.Cause} }

func (e *SendError) class() error {
	if e.Sent {
		return ErrNoReply
	}
	return ErrNotSent
}

// RemoteCode classifies an error reported by a peer.
type RemoteCode string

// The remote codes.
const (
	// CodeUnknownKind means that the peer has no handler for the kind.
	CodeUnknownKind RemoteCode = "unknown_kind"
	// CodeHandler means that the handler returned an error.
	CodeHandler RemoteCode = "handler"
	// CodeReply means that the handler ran but its reply could not be encoded or
	// exceeded MaxFrameBytes.
	CodeReply RemoteCode = "reply"
)

// RemoteError is an error that the peer reported in its reply.
type RemoteError struct {
	Address string
	Kind    string
	Code    RemoteCode
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s to %s: peer reported %s: %s", e.Kind, e.Address, e.Code, e.Message)
}
