package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// asyncLines is the number of lines that may wait to be written.
	asyncLines = 1024
	// linesPerSecond bounds the volume; more lines are dropped and counted.
	linesPerSecond = 600
)

// AsyncWriter is a writer that never blocks its caller. Lines that do not fit the
// queue or the rate are dropped; a line tells how many.
type AsyncWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	close   sync.Once
}

// NewAsyncWriter returns a writer of whole lines to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, asyncLines), done: make(chan struct{})}
	go a.run(w)
	return a
}

// Write implements io.Writer. It takes one whole line.
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

// Close writes what waits and ends the writer. Write must not be called later.
func (a *AsyncWriter) Close() {
	a.close.Do(func() { close(a.lines) })
	<-a.done
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	second := time.Now()
	written := 0
	told := int64(0)
	for line := range a.lines {
		if now := time.Now(); now.Sub(second) >= time.Second {
			second, written = now, 0
			if dropped := a.dropped.Load(); dropped > told {
				fmt.Fprintf(w, "level=WARN msg=\"log lines dropped\" count=%d\n", dropped-told)
				told = dropped
			}
		}
		if written >= linesPerSecond {
			a.dropped.Add(1)
			continue
		}
		written++
		if _, err := w.Write(line); err != nil {
			a.dropped.Add(1) // nowhere is left to report it
		}
	}
}
