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
	// failure is the error of reader, io.EOF at its end; nil while it can be read.
	failure error
}

// limit lets the next n bytes be read.
func (l *readLimiter) limit(n int) { l.limited, l.remaining = true, n }

// unlimit removes the limit.
func (l *readLimiter) unlimit() { l.limited = false }

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

func (l *readLimiter) read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	if err != nil {
		l.failure = err
	}
	return n, err
}
