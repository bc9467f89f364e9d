package wait

import (
	"sync/atomic"
	"time"
)

// processStart has a reading of the monotonic clock, which steps of the wall clock don't change.
var processStart = time.Now()

// Stopwatch measures how long something has been awaited. Its zero value is stopped. It is safe
// for concurrent use.
type Stopwatch struct {
	// startedAt is the time since processStart, at least 1 ns; 0 while the watch is stopped.
	startedAt atomic.Int64
}

// Start starts the watch at zero, also while it runs.
func (s *Stopwatch) Start() { s.startedAt.Store(now()) }

// StartUnlessRunning starts the watch at zero if it is stopped.
func (s *Stopwatch) StartUnlessRunning() { s.startedAt.CompareAndSwap(0, now()) }

// Stop stops the watch.
func (s *Stopwatch) Stop() { s.startedAt.Store(0) }

// Elapsed returns the time since the start; running is false while the watch is stopped.
func (s *Stopwatch) Elapsed() (elapsed time.Duration, running bool) {
	at := s.startedAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(now() - at), true
}

func now() int64 { return max(int64(time.Since(processStart)), 1) }
