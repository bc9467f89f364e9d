package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the maximum number of queued lines.
	queueLines = 1024
	// linesPerSecond limits the rate; excess lines are dropped and counted.
	linesPerSecond = 600
)

// AsyncWriter is a writer that never blocks its caller. Lines that exceed the queue
// or the rate limit are dropped, and their number is logged.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// NewAsyncWriter returns a writer of whole lines to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. line must be one whole line.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines and stops the writer. Write must not be called
// afterwards.
func (a *AsyncWriter) Close() {
	a.close.Do(func() { close(a.lines) })
	<-a.done
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	windowStart := time.Now()
	written := 0
	reported := int64(0)
	for line := range a.lines {
		if now := time.Now(); now.Sub(windowStart) >= time.Second {
			windowStart, written = now, 0
			if dropped := a.dropped.Load(); dropped > reported {
				fmt.Fprintf(w, "level=WARN msg=\"log lines dropped\" count=%d\n", dropped-reported)
				reported = dropped
			}
		}
		if written >= linesPerSecond {
			a.dropped.Add(1)
			continue
		}
		written++
		if _, err := w.Write(line); err != nil {
			a.dropped.Add(1) // there is no other place to report the error
		}
	}
}
