package forward

import (
	"context"
	"sync"
	"sync/atomic"
)

// observedAttempt is an attempt in progress that may crash its target.
type observedAttempt struct {
	set    *observedSet
	c      *call
	d      *destination
	cancel context.CancelCauseFunc
	// served is true once it was recorded that the attempt is served.
	served atomic.Bool
}

// observedSet holds the attempts in progress.
type observedSet struct {
	mu       sync.Mutex
	attempts map[*observedAttempt]bool
}

// observe adds an attempt that is about to be sent. It is removed when the attempt ends or its
// evidence is recorded.
func (h *Handler) observe(c *call, a *attempt) {
	a.observed = &observedAttempt{set: &h.observed, c: c, d: a.d, cancel: a.cancel}
	h.observed.add(a.observed)
}

func (s *observedSet) add(a *observedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts == nil {
		s.attempts = map[*observedAttempt]bool{}
	}
	s.attempts[a] = true
}

func (s *observedSet) remove(a *observedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, a)
}

func (s *observedSet) all() []*observedAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempts := make([]*observedAttempt, 0, len(s.attempts))
	for a := range s.attempts {
		attempts = append(attempts, a)
	}
	return attempts
}
