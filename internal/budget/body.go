package budget

import (
	"errors"
	"io"
)

// Sizes of the buffer for a request body, in bytes.
const (
	// firstBuffer is the size for a body of unknown length.
	firstBuffer = 16 << 10
	// maxFirstBuffer bounds the size for a body that declares its length: until its bytes
	// arrive it must not occupy megabytes of the budget.
	maxFirstBuffer = 256 << 10
)

// Errors of ReadBody.
var (
	ErrBodyTooLarge = errors.New("the body exceeds its limit")
	ErrExhausted    = errors.New("the budget of buffered bytes is used up")
)

// ReadBody reads a body of at most limit bytes into a buffer, whose capacity it acquires from
// the budget before the buffer grows. declared is the length that the request declares, or -1.
// beforeRead is called before each read; it may be nil. The caller must release the capacity of
// the buffer, which is nil after an error.
func (b *Bytes) ReadBody(body io.Reader, declared, limit int64, beforeRead func()) ([]byte, error) {
	if declared > limit {
		return nil, ErrBodyTooLarge
	}
	if declared == 0 {
		return nil, nil // also while the budget is used up
	}
	size := int64(firstBuffer)
	if declared >= 0 {
		size = min(declared+1, maxFirstBuffer) // one more byte to detect the end without growing
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			grown := nextSize(int64(cap(buffer)), size, declared, limit)
			if !b.acquireOrReclaim(grown - int64(cap(buffer))) {
				b.Release(int64(cap(buffer)))
				return nil, ErrExhausted
			}
			buffer = append(make([]byte, 0, grown), buffer...)
		}
		if beforeRead != nil {
			beforeRead()
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > limit {
			err = ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			b.Release(int64(cap(buffer)))
			return nil, err
		}
	}
}

// nextSize returns the capacity that follows a full buffer: twice as much, but no more than a
// body of the declared length or of the limit needs.
func nextSize(capacity, first, declared, limit int64) int64 {
	size := max(2*capacity, first)
	if declared >= capacity {
		size = min(size, declared+1)
	}
	return min(size, limit+1)
}
