package storesync

import "fmt"

// Row is a row of the store, or the absence of one.
type Row struct {
	Value []byte
	// Version is the version of the store at the last change of the row; 0 if the row
	// does not exist. Versions can be compared within an epoch only.
	Version uint64
	// Epoch is that of the response that showed the row.
	Epoch uint64
}

// ConflictError reports that a conditional write was not performed, because the row was
// not at the expected version.
type ConflictError struct {
	Expected uint64
	// Current is the row as the store has it, or nil if the store did not tell.
	Current *Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("the row is not at version %d", e.Expected)
	}
	return fmt.Sprintf("the row is at version %d of epoch %d, not at version %d", e.Current.Version, e.Current.Epoch, e.Expected)
}
