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
	// loanPause keeps a VM that nobody lends to from asking for each request.
	loanPause = 50 * time.Millisecond
)

// loans borrows room off the path of requests: one call at a time for each
// target, and a bounded number for all.
type loans struct {
	capacity capacity.Allocator
	served   func()

	mu      sync.Mutex
	asking  map[string]bool
	notTill map[string]time.Time
}

func newLoans(c capacity.Allocator, served func()) *loans {
	return &loans{capacity: c, served: served, asking: map[string]bool{}, notTill: map[string]time.Time{}}
}

// ask starts a call unless one for the target runs or just ended.
func (l *loans) ask(target string, need capacity.Resources, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asking[target] || len(l.asking) >= maxLoanCalls || time.Now().Before(l.notTill[target]) {
		return
	}
	l.asking[target] = true
	go l.call(target, need, until)
}

func (l *loans) call(target string, need capacity.Resources, until time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), loanTimeout)
	defer cancel()
	err := l.capacity.Borrow(ctx, target, need, until)
	l.mu.Lock()
	delete(l.asking, target)
	delete(l.notTill, target)
	room := l.capacity.Available(target)
	if err != nil || room.Tokens < need.Tokens || room.Slots < need.Slots {
		l.notTill[target] = time.Now().Add(loanPause)
	}
	l.mu.Unlock()
	l.served()
}
