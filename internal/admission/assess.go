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
	// unavailableWait limits the wait while a service has no usable target. A
	// crashed target is usually back within this time.
	unavailableWait = 2 * time.Second
	minRetryAfter   = time.Second
	maxRetryAfter   = time.Minute
)

// assess checks whether a request can meet its deadline. It returns a queue
// entry, or an error if the request cannot.
func (c *Controller) assess(req *Request, cfg *config.Config, contract config.Contract, arrived time.Time) (*entry, error) {
	snapshot := c.options.Collector.Snapshot()
	if snapshot.Candidates(req.Service, req.Model) == 0 {
		return nil, apierror.New(apierror.KindUnavailable, apierror.NotRun,
			fmt.Sprintf("no target of service %q offers model %q", req.Service, req.Model),
			"use another model, or ask the operators to declare a target").WithRetryAfter(minRetryAfter)
	}
	if err := checkKVCapacity(snapshot, req); err != nil {
		return nil, err
	}
	e := newEntry(req, contract, arrived)
	if limit := maxWait(cfg, req); limit > 0 {
		e.capacityDeadline = earliest(e.capacityDeadline, arrived.Add(limit))
	}
	d := c.pickIgnoringCapacity(snapshot, req)
	if !d.OK {
		e.usableDeadline = earliest(e.capacityDeadline, arrived.Add(unavailableWait))
		return e, nil
	}
	e.waitForCapacity(&d)
	wait := c.queueWait(req)
	if finish := wait + d.Finish(req.OutputTokens); arrived.Add(finish).After(req.Deadline) {
		return nil, errTooLate(finish, wait+d.TimeToFirstToken())
	}
	return e, nil
}

// pickIgnoringCapacity picks the target that would serve a request if it had
// available capacity.
func (c *Controller) pickIgnoringCapacity(snapshot *scheduler.Snapshot, req *Request) scheduler.Decision {
	r := c.schedulerRequest(snapshot, req)
	r.IgnoreCapacity = true
	return scheduler.Pick(snapshot, &c.options.Policy, &r, c.options.Capacity, c.options.Collector.Prefixes())
}

// usableAgain reports whether an entry that waited for a usable target has one
// now. The entry then waits for available capacity only, until capacityDeadline.
func (c *Controller) usableAgain(e *entry) bool {
	if e.usableDeadline.IsZero() {
		return false
	}
	d := c.pickIgnoringCapacity(c.options.Collector.Snapshot(), e.request)
	if !d.OK {
		return false
	}
	e.waitForCapacity(&d)
	return true
}

// waitForCapacity lets an entry with a usable target wait for available capacity
// as long as it could then still finish in time.
func (e *entry) waitForCapacity(d *scheduler.Decision) {
	e.usableDeadline = time.Time{}
	e.capacityDeadline = earliest(e.capacityDeadline, e.request.Deadline.Add(-unloadedFinish(d, e.request.OutputTokens)))
}

// unloadedFinish estimates the time to the end of the response on a target
// without other requests.
func unloadedFinish(d *scheduler.Decision, outputTokens int) time.Duration {
	waiting := d.Score[scheduler.TermBacklog] + d.Score[scheduler.TermDecode]
	return d.Finish(outputTokens) - time.Duration(waiting*float64(time.Second))
}

// checkKVCapacity returns an error if the request is larger than the KV cache of
// each target.
func checkKVCapacity(s *scheduler.Snapshot, req *Request) error {
	largest := capacity.AllocatableTokens(s.LargestKV(req.Service, req.Model))
	if largest == 0 || req.tokens() <= largest {
		return nil
	}
	return apierror.New(apierror.KindTooLarge, apierror.NotRun,
		fmt.Sprintf("prompt and output need %d tokens and the largest target holds %d", req.tokens(), largest),
		"send a shorter prompt or a smaller max_tokens")
}

func errTooLate(finish, first time.Duration) error {
	return apierror.New(apierror.KindOverloaded, apierror.NotRun,
		fmt.Sprintf("the answer would begin in %s and end in %s, after the deadline", roundUp(first), roundUp(finish)),
		"allow more time, send a shorter prompt, or try again later").WithRetryAfter(retryAfter(first))
}

// retryAfter returns the time by which the current backlog should be done, within
// fixed limits.
func retryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

func roundUp(d time.Duration) time.Duration {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}

// expired returns the error for an entry that waited as long as it may.
func (c *Controller) expired(q *queue, e *entry) error {
	return apierror.New(apierror.KindOverloaded, apierror.NotRun,
		fmt.Sprintf("no target had room within %s", roundUp(time.Since(e.arrived))),
		"try again later, or allow more time").WithRetryAfter(retryAfter(c.queueWait(e.request)))
}

// queueWait estimates how long a new request would wait.
func (c *Controller) queueWait(req *Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[req.Service]
	if q == nil {
		return 0
	}
	return q.waitFor(req, time.Now())
}

// maxWait returns the limit of the first matching wait rule in order of name, or
// 0 if none matches.
func maxWait(cfg *config.Config, req *Request) time.Duration {
	if len(cfg.WaitRules) == 0 {
		return 0
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.WaitRules)) {
		rule := cfg.WaitRules[name]
		if (rule.Account == "" || rule.Account == req.Account) && req.PromptTokens >= rule.MinPromptTokens {
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
