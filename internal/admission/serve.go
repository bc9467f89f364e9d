package admission

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

// enqueueLocked adds an entry within the bounds of the queue.
func (c *Controller) enqueueLocked(q *queue, e *entry) error {
	share := queueShare[e.class]
	size, bytes := float64(c.size+1), float64(c.bytes+e.work.bytes())
	if size > share*float64(c.options.Limits.QueueRequests) || bytes > share*float64(c.options.Limits.QueueBytes) {
		return apierror.New(apierror.KindOverloaded, apierror.NotRun,
			"the queue of this VM is full", "try again later").
			WithRetryAfter(retryAfter(q.waitFor(e.work, time.Now())))
	}
	q.push(e)
	c.size++
	c.bytes += e.work.bytes()
	return nil
}

// removeLocked takes an entry out of the queue and reports whether it was
// still there.
func (c *Controller) removeLocked(q *queue, e *entry) bool {
	if !q.remove(e) {
		return false
	}
	c.size--
	c.bytes -= e.work.bytes()
	return true
}

// serve tries to start what waits.
func (c *Controller) serve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.size == 0 {
		return
	}
	isolated := c.options.Connectivity() == membership.Isolated
	for _, q := range c.queues {
		if isolated {
			c.refuseAllLocked(q)
			continue
		}
		for q.size > 0 && c.serveRoundLocked(q) {
		}
	}
}

func (c *Controller) refuseAllLocked(q *queue) {
	for q.size > 0 {
		for _, e := range q.order(maxServeScan) {
			c.removeLocked(q, e)
			e.done <- outcome{err: errIsolated}
		}
	}
}

// serveRoundLocked tries entries in order until one is decided, and reports
// whether one was. The order is computed anew after each, since a grant
// changes which account is next.
func (c *Controller) serveRoundLocked(q *queue) bool {
	var skipped []*entry
	for _, e := range q.order(maxServeScan) {
		grant, err := c.place(e, q.earmarked(e))
		if grant == nil && err == nil {
			skipped = append(skipped, e)
			continue
		}
		c.decideLocked(q, e, outcome{grant: grant, err: err})
		if grant != nil {
			c.noteBypass(skipped)
		}
		return true
	}
	return false
}

func (c *Controller) decideLocked(q *queue, e *entry, out outcome) {
	c.size--
	c.bytes -= e.work.bytes()
	if out.grant != nil {
		q.granted(e, time.Now())
	} else {
		q.remove(e)
	}
	e.done <- out
}

// noteBypass counts that entries were passed by a later one. One that was
// passed too often gets a target kept free for it; one at a time, so that the
// others can go on elsewhere.
func (c *Controller) noteBypass(skipped []*entry) {
	for _, e := range skipped {
		if e.blocked {
			return
		}
	}
	for _, e := range skipped {
		e.bypassed++
		if e.bypassed >= maxBypass && c.earmark(e) {
			return
		}
	}
}

// earmark keeps the target free that would serve the entry best.
func (c *Controller) earmark(e *entry) bool {
	snapshot := c.options.Collector.Snapshot()
	r := c.request(snapshot, e.work)
	r.IgnoreCapacity = true
	d := scheduler.Pick(snapshot, &c.options.Policy, &r, c.options.Capacity, c.options.Collector.Prefixes())
	if !d.OK || d.Target.Declared.KVTokens > 0 && d.Target.Declared.KVTokens < e.work.tokens() {
		return false
	}
	e.blocked, e.earmark = true, d.ID
	return true
}
