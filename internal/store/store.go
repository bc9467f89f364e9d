// Package store defines the interfaces of the platform's transactional table
// service and object store, which hold all durable state.
package store

import (
	"context"
	"errors"
)

// Errors of a call, by what they imply about a write.
var (
	// ErrConflict reports that a condition did not hold. Nothing was written.
	ErrConflict = errors.New("a condition of the transaction does not hold; read the rows again")
	// ErrUnavailable reports that the service did not accept the call. Nothing
	// was written.
	ErrUnavailable = errors.New("table service is unavailable; try again later")
	// ErrUnknown reports that the response was lost. The write may have taken
	// effect; the caller must read the rows back to find out.
	ErrUnknown = errors.New("outcome of the write is unknown; read the rows back")
)

// Outcome is the outcome of a call to Commit.
type Outcome int

// The outcomes of a commit.
const (
	NotWritten Outcome = iota
	Written
	Unknown
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"not_written", "written", "unknown"}[o]
}

// CommitOutcome returns the outcome that an error of Commit implies.
func CommitOutcome(err error) Outcome {
	switch {
	case err == nil:
		return Written
	case errors.Is(err, ErrConflict), errors.Is(err, ErrUnavailable):
		return NotWritten
	default:
		return Unknown
	}
}

// Row is one row of the table.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision increases with each write of the row. 0 means that the row does
	// not exist.
	Revision uint64 `json:"revision"`
}

// Condition requires a row to have a revision. Revision 0 requires it to be
// absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Op writes or deletes one row.
type Op struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. If all conditions hold, all ops take effect, otherwise
// none.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Ops        []Op        `json:"ops"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns one row for each key, in the order of keys. A missing row has
	// revision 0.
	Get(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns up to limit rows, in key order, whose key starts with prefix
	// and is greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the new revision of its rows. On
	// ErrConflict it writes nothing.
	Commit(ctx context.Context, t Txn) (revision uint64, err error)
}

// ErrObjectNotFound reports that an object does not exist.
var ErrObjectNotFound = errors.New("object does not exist")

// Objects is the object store. Objects are immutable once written.
type Objects interface {
	Put(ctx context.Context, name string, data []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}
