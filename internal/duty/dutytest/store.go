// Package dutytest provides a fake of the store for tests of the lease, which loses, delays
// and mistreats calls as a test decides.
package dutytest

import (
	"context"
	"errors"

	"github.com/oriolefront/oriolefront/internal/storesync"
)

// Fault selects how the store mishandles a call.
type Fault int

// The faults of a call.
const (
	None Fault = iota
	// Refuse answers with an error and does nothing.
	Refuse
	// LoseAnswer performs the call and answers with an error.
	LoseAnswer
	// Delay answers with an error and performs a write later, if its condition still holds.
	Delay
	// ForgetVersion performs a write and does not tell its version.
	ForgetVersion
)

// errNoAnswer is the error of calls without an answer.
var errNoAnswer = errors.New("no answer")

// Store holds one row. Its methods are not safe for concurrent use.
type Store struct {
	// Fault returns the fault of the next call.
	Fault func() Fault
	// InCall is called while a call is on its way to the store, and while its answer is on
	// its way back.
	InCall func()
	// Writes counts the writes that were performed, Calls all calls.
	Writes, Calls int

	epoch   uint64
	version uint64
	history []storesync.Row
	delayed []write
}

type write struct {
	value    []byte
	expected uint64
}

// New returns a store in its first epoch, without the row.
func New() *Store {
	return &Store{Fault: func() Fault { return None }, InCall: func() {}, epoch: 1}
}

func (s *Store) current() storesync.Row {
	row := storesync.Row{Epoch: s.epoch}
	if n := len(s.history); n > 0 {
		row.Value, row.Version = s.history[n-1].Value, s.history[n-1].Version
	}
	return row
}

// ReadRow implements storesync.Store.
func (s *Store) ReadRow(context.Context, string, string) (storesync.Row, error) {
	s.Calls++
	fault := s.Fault()
	s.InCall()
	row := s.current()
	s.InCall()
	if fault == Refuse || fault == LoseAnswer || fault == Delay {
		return storesync.Row{}, errNoAnswer
	}
	return row, nil
}

// WriteRow implements storesync.Store.
func (s *Store) WriteRow(_ context.Context, _, _ string, value []byte, expected uint64) (storesync.Row, error) {
	s.Calls++
	fault := s.Fault()
	s.InCall()
	if fault == Refuse {
		return storesync.Row{}, errNoAnswer
	}
	if fault == Delay {
		s.delayed = append(s.delayed, write{value, expected})
		return storesync.Row{}, errNoAnswer
	}
	row, err := s.apply(write{value, expected})
	s.InCall()
	switch fault {
	case LoseAnswer:
		return storesync.Row{}, errNoAnswer
	case ForgetVersion:
		row.Version = 0
	}
	return row, err
}

func (s *Store) apply(w write) (storesync.Row, error) {
	if row := s.current(); row.Version != w.expected {
		return storesync.Row{}, &storesync.ConflictError{Expected: w.expected, Current: &row}
	}
	s.Writes++
	s.version++
	row := storesync.Row{Value: w.value, Version: s.version, Epoch: s.epoch}
	s.history = append(s.history, row)
	return row, nil
}

// Deliver performs the oldest delayed write, if its condition holds.
func (s *Store) Deliver() {
	if len(s.delayed) > 0 {
		w := s.delayed[0]
		s.delayed = s.delayed[1:]
		s.apply(w)
	}
}

// WriteOther writes another row, so that the store's version rises.
func (s *Store) WriteOther() { s.version++ }

// Restore returns to the copy before the last lost writes of the row; versions are given
// out again.
func (s *Store) Restore(lost int) {
	s.history = s.history[:max(len(s.history)-lost, 0)]
	s.version = s.current().Version
	s.epoch++
}
