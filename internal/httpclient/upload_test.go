package httpclient

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that counts as written before its last byte, or not after it, however it
// is divided into writes.
func TestUploadIsCompleteWithLastByte(t *testing.T) {
	for _, body := range []string{"", "body", "\r\n\r\n"} {
		text := "POST / HTTP/1.1\r\nA: \r\r\nB: \n\r\n\r\n" + body
		for size := 1; size <= len(text); size++ {
			u := newUpload(int64(len(body)))
			for rest := text; rest != ""; {
				assert.Assert(t, !u.complete(), "%d bytes before the end of %q", len(rest), text)
				n := min(size, len(rest))
				u.wrote([]byte(rest[:n]), nil)
				rest = rest[n:]
			}
			assert.Assert(t, u.wait())
		}
	}
}

// Guards against a wait for an upload that has failed, or whose end can't be known.
func TestUploadThatIsNotWritten(t *testing.T) {
	failed := newUpload(4)
	failed.wrote([]byte("POST / HTTP/1.1\r\n\r\nbo"), nil)
	failed.wroteBody(1, errors.New("reset"))
	assert.Assert(t, !failed.wait())

	aborted := newUpload(4)
	aborted.abort()
	assert.Assert(t, !aborted.wait())

	r, err := http.NewRequest(http.MethodPost, "http://127.0.0.1", nil)
	assert.NilError(t, err)
	assert.Equal(t, bodyLength(r), int64(0))
	r.Body = http.NoBody
	assert.Equal(t, bodyLength(r), int64(0))
	r.Body = &bodyReader{strings.NewReader("x")}
	unknown := newUpload(bodyLength(r))
	unknown.wrote([]byte("POST / HTTP/1.1\r\n\r\nx"), nil)
	assert.Assert(t, !unknown.wait())
}

// bodyReader is a body of unknown length.
type bodyReader struct{ *strings.Reader }

// Close implements io.Closer.
func (*bodyReader) Close() error { return nil }
