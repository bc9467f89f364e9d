package admission

import (
	"context"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
)

const (
	maxLoanCalls = 8
	loanTimeout  = time.Second
	// loanBackoff is the pause after an unsuccessful loan. Without it, a VM to
	// which nobody lends would ask for each request.
	loanBackoff = 50 * time.Millisecond
)

// loans requests loans of capacity without blocking requests: one call at a time
// per target, and a limited number in total.
type loans struct {
	capacity capacity.Allocator
	onDone   func()

	mu        sync.Mutex
	pending   map[string]bool
	notBefore map[string]time.Time
}

func newLoans(c capacity.Allocator, onDone func()) *loans {
	return &loans{capacity: c, onDone: onDone, pending: map[string]bool{}, notBefore: map[string]time.Time{}}
}

// ask starts a call unless one for the target is in progress or has just failed.
func (l *loans) ask(target string, need capacity.Resources, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pending[target] || len(l.pending) >= maxLoanCalls || time.Now().Before(l.notBefore[target]) {
		return
	}
	l.pending[target] = true
	go l.call(target, need, until)
}

func (l *loans) call(target string, need capacity.Resources, until time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), loanTimeout)
	defer cancel()
	err := l.capacity.Borrow(ctx, target, need, until)
	l.mu.Lock()
	delete(l.pending, target)
	delete(l.notBefore, target)
	available := l.capacity.Available(target)
	if err != nil || available.Tokens < need.Tokens || available.Slots < need.Slots {
		l.notBefore[target] = time.Now().Add(loanBackoff)
	}
	l.mu.Unlock()
	l.onDone()
}
