package upstream

import (
	"errors"
	"io"
)

// errHeadTooLong is returned for a response whose head is longer than maxHeadBytes.
var errHeadTooLong = errors.New("the head of the response exceeds 256 KiB")

// readLimiter fails reads beyond a limit that can be set and removed.
type readLimiter struct {
	reader    io.Reader
	limited   bool
	remaining int
}

// limit lets the next n bytes be read.
func (l *readLimiter) limit(n int) { l.limited, l.remaining = true, n }

// unlimit removes the limit.
func (l *readLimiter) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
