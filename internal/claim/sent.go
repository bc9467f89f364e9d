package claim

import (
	"sync"
	"time"
)

const (
	// sentRetention is the shortest time for which a sent call is remembered,
	// unless maxSentCalls is exceeded.
	sentRetention = 5 * time.Minute
	// maxSentCalls bounds the calls of one of the two generations.
	maxSentCalls = 100_000
)

// sentCalls remembers the row keys of calls that this VM has sent and that may
// have run. It guards against a store that comes back from a copy from before
// their claims. Old keys are dropped in whole generations.
type sentCalls struct {
	mu                sync.Mutex
	current, previous map[string]struct{}
	rotatedAt         time.Time
}

func newSentCalls() *sentCalls {
	return &sentCalls{current: map[string]struct{}{}, rotatedAt: time.Now()}
}

func (s *sentCalls) add(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.current) >= maxSentCalls || time.Since(s.rotatedAt) > sentRetention {
		s.previous, s.current = s.current, map[string]struct{}{}
		s.rotatedAt = time.Now()
	}
	s.current[key] = struct{}{}
}

// remove forgets a call that did not run.
func (s *sentCalls) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.current, key)
	delete(s.previous, key)
}

func (s *sentCalls) contains(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, inCurrent := s.current[key]
	_, inPrevious := s.previous[key]
	return inCurrent || inPrevious
}
