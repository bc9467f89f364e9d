package budget

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// Guards against bodies that are held without being counted: the budget must cover the buffer
// at each moment, also of a body that does not declare its length.
func TestBodyIsCountedWhileItIsRead(t *testing.T) {
	const limit, size = 1 << 20, 1_000_000
	for _, declared := range []int64{-1, size} {
		b := NewBytes(limit + 1)
		read := 0
		body := io.TeeReader(bytes.NewReader(make([]byte, size)), writerFunc(func(p []byte) {
			read += len(p)
			assert.Assert(t, limit+1-b.Available() >= int64(read), "%d bytes read, %d acquired", read, limit+1-b.Available())
		}))
		buffer, err := b.ReadBody(body, declared, limit, nil)
		assert.NilError(t, err)
		assert.Equal(t, len(buffer), size)
		b.Release(int64(cap(buffer)))
		assert.Equal(t, b.Available(), int64(limit+1))
	}
}

type writerFunc func(p []byte)

func (f writerFunc) Write(p []byte) (int, error) {
	f(p)
	return len(p), nil
}

// Guards against a budget that shrinks with each body that is not accepted, and against one that
// is exceeded.
func TestRejectedBodyIsReleased(t *testing.T) {
	broken := errors.New("connection reset")
	for name, c := range map[string]struct {
		body     io.Reader
		declared int64
		budget   int64
		want     error
	}{
		"declared too large": {bytes.NewReader(nil), 2 << 20, 4 << 20, ErrBodyTooLarge},
		"too large":          {bytes.NewReader(make([]byte, 2<<20)), -1, 4 << 20, ErrBodyTooLarge},
		"no budget":          {bytes.NewReader(make([]byte, 1<<20)), -1, 1 << 19, ErrExhausted},
		"no budget at all":   {bytes.NewReader(make([]byte, 100)), 100, 50, ErrExhausted},
		"broken off":         {io.MultiReader(bytes.NewReader(make([]byte, 1<<19)), iotest.ErrReader(broken)), 1 << 20, 4 << 20, broken},
	} {
		t.Run(name, func(t *testing.T) {
			b := NewBytes(c.budget)
			_, err := b.ReadBody(c.body, c.declared, 1<<20, nil)
			assert.ErrorIs(t, err, c.want)
			assert.Equal(t, b.Available(), c.budget)
		})
	}
}

// Guards against a slow upload that occupies what it declares before its bytes arrive, and
// against a buffer that grows although the declared length fits.
func TestBufferFollowsDeclaredLength(t *testing.T) {
	b := NewBytes(64 << 20)
	acquired := int64(0)
	_, err := b.ReadBody(iotest.ErrReader(io.ErrUnexpectedEOF), 32<<20, 32<<20, func() { acquired = 64<<20 - b.Available() })
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, acquired, int64(maxFirstBuffer))
	buffer, err := b.ReadBody(bytes.NewReader(make([]byte, 5000)), 5000, 1<<20, nil)
	assert.NilError(t, err)
	assert.Equal(t, cap(buffer), 5001)
}
