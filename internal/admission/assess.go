package admission

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/scheduler"
)

const (
	// unavailableWait bounds the wait while a service has no usable target. A
	// crashed target is usually back within this time.
	unavailableWait = 2 * time.Second
	minRetryAfter   = time.Second
	maxRetryAfter   = time.Minute
)

// assess estimates a request against its deadline and returns its entry for
// the queue, or refuses it.
func (c *Controller) assess(w *Request, cfg *config.Config, contract config.Contract, arrived time.Time) (*entry, error) {
	snapshot := c.options.Collector.Snapshot()
	if snapshot.Candidates(w.Service, w.Model) == 0 {
		return nil, apierror.New(apierror.KindUnavailable, apierror.NotRun,
			fmt.Sprintf("no target of service %q offers model %q", w.Service, w.Model),
			"use another model, or ask the operators to declare a target").WithRetryAfter(minRetryAfter)
	}
	if err := fits(snapshot, w); err != nil {
		return nil, err
	}
	e := newEntry(w, contract, arrived)
	if limit := maxWait(cfg, w); limit > 0 {
		e.latest = earliest(e.latest, arrived.Add(limit))
	}
	d := c.pickIgnoringRoom(snapshot, w)
	if !d.OK {
		e.unavailable = earliest(e.latest, arrived.Add(unavailableWait))
		return e, nil
	}
	e.waitForRoom(&d)
	wait := c.queueWait(w)
	if finish := wait + d.Finish(w.OutputTokens); arrived.Add(finish).After(w.Deadline) {
		return nil, errTooLate(finish, wait+d.TimeToFirstToken())
	}
	return e, nil
}

// pickIgnoringRoom picks the target that would serve a request if it had room.
func (c *Controller) pickIgnoringRoom(snapshot *scheduler.Snapshot, w *Request) scheduler.Decision {
	r := c.request(snapshot, w)
	r.IgnoreCapacity = true
	return scheduler.Pick(snapshot, &c.options.Policy, &r, c.options.Capacity, c.options.Collector.Prefixes())
}

// availableAgain reports whether an entry that waited for a usable target now
// waits for room only, for which it has until latest.
func (c *Controller) availableAgain(e *entry) bool {
	if e.unavailable.IsZero() {
		return false
	}
	d := c.pickIgnoringRoom(c.options.Collector.Snapshot(), e.work)
	if !d.OK {
		return false
	}
	e.waitForRoom(&d)
	return true
}

// waitForRoom lets an entry with a usable target wait for room for as long as it
// could then still end in time.
func (e *entry) waitForRoom(d *scheduler.Decision) {
	e.unavailable = time.Time{}
	e.latest = earliest(e.latest, e.work.Deadline.Add(-alone(d, e.work.OutputTokens)))
}

// alone is the estimate for the request on a target without other work.
func alone(d *scheduler.Decision, outputTokens int) time.Duration {
	waiting := d.Score[scheduler.TermBacklog] + d.Score[scheduler.TermDecode]
	return d.Finish(outputTokens) - time.Duration(waiting*float64(time.Second))
}

// fits refuses a request that is larger than the memory of each target.
func fits(s *scheduler.Snapshot, w *Request) error {
	largest := capacity.AllocatableTokens(s.LargestKV(w.Service, w.Model))
	if largest == 0 || w.tokens() <= largest {
		return nil
	}
	return apierror.New(apierror.KindTooLarge, apierror.NotRun,
		fmt.Sprintf("prompt and output need %d tokens and the largest target holds %d", w.tokens(), largest),
		"send a shorter prompt or a smaller max_tokens")
}

func errTooLate(finish, first time.Duration) error {
	return apierror.New(apierror.KindOverloaded, apierror.NotRun,
		fmt.Sprintf("the answer would begin in %s and end in %s, after the deadline", roundUp(first), roundUp(finish)),
		"allow more time, send a shorter prompt, or try again later").WithRetryAfter(retryAfter(first))
}

// retryAfter is the time after which the work that is ahead now is done.
func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func roundUp(d time.Duration) time.Duration {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}

// expired refuses an entry that waited as long as it may.
func (c *Controller) expired(q *queue, e *entry) error {
	return apierror.New(apierror.KindOverloaded, apierror.NotRun,
		fmt.Sprintf("no target had room within %s", roundUp(time.Since(e.arrived))),
		"try again later, or allow more time").WithRetryAfter(retryAfter(c.queueWait(e.work)))
}

// queueWait estimates how long a new request would wait.
func (c *Controller) queueWait(w *Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[w.Service]
	if q == nil {
		return 0
	}
	return q.waitFor(w, time.Now())
}

// maxWait returns the bound of the first wait rule by name that matches, 0 if
// there is none.
func maxWait(cfg *config.Config, w *Request) time.Duration {
	if len(cfg.WaitRules) == 0 {
		return 0
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.WaitRules)) {
		rule := cfg.WaitRules[name]
		if (rule.Account == "" || rule.Account == w.Account) && w.PromptTokens >= rule.MinPromptTokens {
			return rule.MaxWait.Std()
		}
	}
	return 0
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
