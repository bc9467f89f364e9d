package forward

import (
	"context"
	"slices"
	"sync"
	"time"
)

// waiter is a call that is queued until an engine has room for it.
type waiter struct {
	priority int
	arrived  time.Time
	// late is true once the call can no longer be on time.
	late bool
	// wake receives a value when the call should try again.
	wake chan struct{}
}

// compare returns a negative number if a is tried before b: calls that can still be on time
// first, then by rank. Of those that can be on time the newest comes first: under overload
// the oldest would all be served just too late. Late ones come in order of arrival.
func (a *waiter) compare(b *waiter) int {
	switch {
	case a.late != b.late:
		return boolOrder(a.late)
	case a.priority != b.priority:
		return a.priority - b.priority
	case a.late:
		return a.arrived.Compare(b.arrived)
	default:
		return b.arrived.Compare(a.arrived)
	}
}

// boolOrder orders false before true.
func boolOrder(b bool) int {
	if b {
		return 1
	}
	return -1
}

// wakeCount is the number of calls that are woken when the load changes. A change frees
// room for one or two calls; the others are woken when one of these is placed, or by time.
const wakeCount = 3

// queue holds the calls of this VM that wait for an engine.
type queue struct {
	mu      sync.Mutex
	waiters []*waiter // in the order in which they are tried
}

// add adds a call.
func (q *queue) add(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, _ := slices.BinarySearchFunc(q.waiters, w, (*waiter).compare)
	q.waiters = slices.Insert(q.waiters, at, w)
}

// length returns the number of calls.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// remove removes a call.
func (q *queue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters = slices.DeleteFunc(q.waiters, func(x *waiter) bool { return x == w })
}

// markLate moves a call behind those that can still be on time.
func (q *queue) markLate(w *waiter) {
	if w.late {
		return
	}
	q.remove(w)
	w.late = true
	q.add(w)
}

// wakeFirst wakes the first calls of the queue.
func (q *queue) wakeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiters[:min(len(q.waiters), wakeCount)] {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// wait waits until the call is woken, or for d at most. It returns false if ctx ended.
func (w *waiter) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-w.wake:
	case <-timer.C:
	}
	return true
}

// newWaiter returns the waiter of a call.
func newWaiter(c *call) *waiter {
	return &waiter{priority: c.priority(), arrived: c.arrived, wake: make(chan struct{}, 1)}
}

// priority returns the rank of the call; 0 is the highest.
func (c *call) priority() int {
	if c.account != nil && c.account.HasPriority {
		return c.account.Priority
	}
	return c.route.Priority
}

// LoadChanged tells the handler that the load of a target may have changed.
func (h *Handler) LoadChanged() {
	h.queue.wakeFirst()
	h.dispatcher.schedule(h.dispatch)
}
