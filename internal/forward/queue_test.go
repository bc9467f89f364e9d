package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newTestWaiter(priority int, arrived time.Time) *waiter {
	return &waiter{priority: priority, arrived: arrived, wake: make(chan struct{}, 1)}
}

// woken returns which of the waiters were woken.
func woken(waiters ...*waiter) []bool {
	all := make([]bool, len(waiters))
	for i, w := range waiters {
		select {
		case <-w.wake:
			all[i] = true
		default:
		}
	}
	return all
}

// Guards against work that will be late anyway and is tried before work that can be on
// time, in a burst of short requests into full engines; and against a low rank that is
// tried before a high one.
func TestQueueOrder(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	oldLate, newLate := newTestWaiter(1, at(0)), newTestWaiter(1, at(10))
	oldOnTime, newOnTime, highRank := newTestWaiter(1, at(20)), newTestWaiter(1, at(30)), newTestWaiter(0, at(5))
	q := &queue{}
	for _, w := range []*waiter{newLate, oldOnTime, oldLate, highRank, newOnTime} {
		q.add(w)
	}
	q.markLate(oldLate)
	q.markLate(newLate)
	assert.DeepEqual(t, order(q), order(&queue{waiters: []*waiter{highRank, newOnTime, oldOnTime, oldLate, newLate}}))
	q.wakeFirst()
	assert.DeepEqual(t, woken(highRank, newOnTime, oldOnTime, oldLate, newLate), []bool{true, true, true, false, false})
	q.remove(highRank)
	q.remove(newOnTime)
	q.wakeFirst()
	assert.DeepEqual(t, woken(oldOnTime, oldLate, newLate), []bool{true, true, true})
}

// order returns the arrival times of the calls in the order in which they are tried.
func order(q *queue) []time.Time {
	var all []time.Time
	for _, w := range q.waiters {
		all = append(all, w.arrived)
	}
	return all
}

// Guards against a call that is lost from the queue, or left in it, by any sequence of
// arrivals, departures and calls that become late.
func TestQueueKeepsEveryCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &queue{}
		start := time.Now()
		var waiting []*waiter
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			action := rapid.IntRange(0, 2).Draw(t, "action")
			if action == 0 || len(waiting) == 0 {
				w := newTestWaiter(rapid.IntRange(0, 2).Draw(t, "priority"), start.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "arrival"))))
				q.add(w)
				waiting = append(waiting, w)
				continue
			}
			i := rapid.IntRange(0, len(waiting)-1).Draw(t, "call")
			if action == 1 {
				q.markLate(waiting[i])
				continue
			}
			q.remove(waiting[i])
			waiting = append(waiting[:i], waiting[i+1:]...)
		}
		assert.Equal(t, len(q.waiters), len(waiting))
		for i := 1; i < len(q.waiters); i++ {
			assert.Assert(t, q.waiters[i-1].compare(q.waiters[i]) <= 0)
		}
	})
}
