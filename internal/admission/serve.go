package admission

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

// enqueueLocked adds an entry if the queue's limits allow it.
func (c *Controller) enqueueLocked(q *queue, e *entry) error {
	share := classQueueShare[e.class]
	size, bytes := float64(c.size+1), float64(c.bytes+e.request.bytes())
	if size > share*float64(c.options.Limits.QueueRequests) || bytes > share*float64(c.options.Limits.QueueBytes) {
		return apierror.New(apierror.KindOverloaded, apierror.NotRun,
			"the queue of this VM is full", "try again later").
			WithRetryAfter(retryAfter(q.waitFor(e.request, time.Now())))
	}
	q.push(e)
	c.size++
	c.bytes += e.request.bytes()
	return nil
}

// removeLocked removes an entry from the queue and reports whether it was still
// there.
func (c *Controller) removeLocked(q *queue, e *entry) bool {
	if !q.remove(e) {
		return false
	}
	c.size--
	c.bytes -= e.request.bytes()
	return true
}

// serve tries to start the waiting requests.
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
		for _, e := range q.serviceOrder(maxServeScan) {
			c.removeLocked(q, e)
			e.done <- outcome{err: errIsolated}
		}
	}
}

// serveRoundLocked tries entries in order until one is granted or refused, and
// reports whether one was. The order is recomputed after each, since a grant
// changes which account is next.
func (c *Controller) serveRoundLocked(q *queue) bool {
	var skipped []*entry
	for _, e := range q.serviceOrder(maxServeScan) {
		grant, err := c.place(e, q.reservedTargets(e))
		if grant == nil && err == nil {
			skipped = append(skipped, e)
			continue
		}
		c.decideLocked(q, e, outcome{grant: grant, err: err})
		if grant != nil {
			c.recordBypass(skipped)
		}
		return true
	}
	return false
}

func (c *Controller) decideLocked(q *queue, e *entry, out outcome) {
	c.size--
	c.bytes -= e.request.bytes()
	if out.grant != nil {
		q.granted(e, time.Now())
	} else {
		q.remove(e)
	}
	e.done <- out
}

// recordBypass counts that a later entry overtook these entries. When an entry
// has been overtaken too often, a target is reserved for it; for one entry at a
// time, so that the others can proceed on other targets.
func (c *Controller) recordBypass(skipped []*entry) {
	for _, e := range skipped {
		if e.hasReservedTarget {
			return
		}
	}
	for _, e := range skipped {
		e.bypassed++
		if e.bypassed >= maxBypass && c.reserveTarget(e) {
			return
		}
	}
}

// reserveTarget reserves the target that would serve the entry best.
func (c *Controller) reserveTarget(e *entry) bool {
	snapshot := c.options.Collector.Snapshot()
	r := c.schedulerRequest(snapshot, e.request)
	r.IgnoreCapacity = true
	d := scheduler.Pick(snapshot, &c.options.Policy, &r, c.options.Capacity, c.options.Collector.Prefixes())
	if !d.OK || d.Target.Declared.KVTokens > 0 && d.Target.Declared.KVTokens < e.request.tokens() {
		return false
	}
	e.hasReservedTarget, e.reservedTarget = true, d.ID
	return true
}
