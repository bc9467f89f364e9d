package httpclient

import (
	"net/http"
	"sync"
)

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// unknownLength is the length of a body that is not known before its end.
const unknownLength = -1

// upload tracks how much of a request was written to a connection.
type upload struct {
	mu      sync.Mutex
	matched int   // bytes of headEnd that the written part of the head ends with
	left    int64 // bytes of the body that were not written yet, or unknownLength
	closed  bool  // ended is closed
	// ended is closed when the request was written, or can't be any more.
	ended chan struct{}
}

// newUpload returns the upload of a request whose body has a length. One of unknownLength never counts
// as written.
func newUpload(length int64) *upload {
	u := &upload{left: length, ended: make(chan struct{})}
	if length == unknownLength {
		u.end()
	}
	return u
}

// bodyLength returns the length of the body of a request.
func bodyLength(r *http.Request) int64 {
	switch {
	case r.Body == nil || r.Body == http.NoBody:
		return 0
	case r.ContentLength == 0:
		return unknownLength
	}
	return r.ContentLength
}

// wrote records bytes that were written, and the error of the write.
func (u *upload) wrote(p []byte, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(p) > 0 && u.matched < len(headEnd) {
		u.match(p[0])
		p = p[1:]
	}
	u.recordBody(int64(len(p)), err)
}

// match advances in headEnd.
func (u *upload) match(b byte) {
	switch b {
	case headEnd[u.matched]:
		u.matched++
	case headEnd[0]:
		u.matched = 1
	default:
		u.matched = 0
	}
}

// wroteBody is like wrote, for bytes of the body.
func (u *upload) wroteBody(n int64, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.recordBody(n, err)
}

func (u *upload) recordBody(n int64, err error) {
	if u.left > 0 {
		u.left -= n
	}
	if err != nil || u.complete() {
		u.end()
	}
}

func (u *upload) complete() bool { return u.matched == len(headEnd) && u.left == 0 }

func (u *upload) end() {
	if !u.closed {
		u.closed = true
		close(u.ended)
	}
}

// abort records that nothing more will be written.
func (u *upload) abort() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.end()
}

// wait waits until the request was written, or can't be any more. It reports whether it was written.
func (u *upload) wait() bool {
	<-u.ended
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.complete()
}
