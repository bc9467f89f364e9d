package load

import (
	"context"
	"errors"
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/scheduler"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// maxEjectedPollInterval is the maximum time between polls of an ejected target,
// so that a target that has recovered is used again soon.
const maxEjectedPollInterval = time.Second

// poll polls the load and the cache events of a target until the target is no
// longer monitored. It alone uses the target's cache reader.
func (c *Collector) poll(f *monitoredTarget) {
	ctx := f.ctx
	if !wait.For(ctx, jitter(c.options.PollInterval/8)) {
		return
	}
	var cachePoll <-chan cachePollResult // of the cache poll in progress, nil if there is none
	defer func() {
		if cachePoll != nil {
			<-cachePoll
		}
	}()
	nextCachePoll := time.Duration(0)
	for {
		ok := c.pollLoad(ctx, f)
		if ok && cachePoll == nil && scheduler.Now() >= nextCachePoll {
			cachePoll = c.startCachePoll(ctx, f)
			nextCachePoll = scheduler.Now() + jitter(c.options.CacheInterval)
		}
		if !c.waitForNextPoll(ctx, f, &cachePoll) {
			return
		}
	}
}

// waitForNextPoll waits until the next load poll and applies the result of a cache poll that
// ends meanwhile. It returns false if ctx ended.
func (c *Collector) waitForNextPoll(ctx context.Context, f *monitoredTarget, cachePoll *<-chan cachePollResult) bool {
	next := time.NewTimer(jitter(c.pollInterval(f)))
	defer next.Stop()
	for {
		select {
		case result := <-*cachePoll:
			*cachePoll = nil
			c.applyCachePoll(f, result)
		case <-next.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

func (c *Collector) pollInterval(f *monitoredTarget) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.health.state != ejected || f.health.failing() {
		return c.options.PollInterval
	}
	return max(c.options.PollInterval, min(f.health.backoff/2, maxEjectedPollInterval))
}

// acquirePollSlot waits until another concurrent poll is allowed. It returns false
// if ctx ended.
func (c *Collector) acquirePollSlot(ctx context.Context) bool {
	select {
	case c.pollSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Collector) pollLoad(ctx context.Context, f *monitoredTarget) bool {
	if !c.acquirePollSlot(ctx) {
		return false
	}
	countersBefore := countersOf(f.local)
	requested, requestedAt := scheduler.Now(), time.Now()
	callCtx, cancel := context.WithTimeout(ctx, c.options.PollTimeout)
	report, err := f.client.Load(callCtx)
	cancel()
	<-c.pollSlots
	if ctx.Err() != nil {
		return false
	}
	defer c.requestSnapshot()
	if err != nil {
		c.pollFailed(f, err)
		return false
	}
	if f.applyReport(report, requested, c.options.ReportLag, countersBefore) {
		c.options.Log.Info("target restarted", "target", f.name, "start_number", report.StartNumber)
	}
	f.cacheReader.setStartNumber(report.StartNumber)
	if report.Cold && !f.wasCold {
		f.cacheReader.reset() // a target that turned cold has lost its cache
	}
	f.wasCold = report.Cold
	c.options.Capacity.Observe(f.name, capacity.Observation{
		At: requestedAt, StartNumber: report.StartNumber, Cold: report.Cold,
	})
	return true
}

func (c *Collector) pollFailed(f *monitoredTarget, err error) {
	var answer *engine.AnswerError
	f.mu.Lock()
	previousState := f.health.state
	f.health.pollFailed(scheduler.Now(), errors.As(err, &answer))
	newlyEjected := previousState != ejected && f.health.state == ejected
	f.mu.Unlock()
	if newlyEjected {
		c.options.Log.Warn("target ejected after failed load polls; polling continues", "target", f.name, "error", err)
	}
}

// cachePollResult is the result of one cache poll.
type cachePollResult struct {
	after uint64 // the sequence number after which events were requested
	batch engine.CacheEvents
	err   error
}

// startCachePoll polls the cache events of a target beside its load polls, which decide
// when the attempts on a frozen target are aborted and must not wait for this poll.
func (c *Collector) startCachePoll(ctx context.Context, f *monitoredTarget) <-chan cachePollResult {
	done := make(chan cachePollResult, 1)
	after := f.cacheReader.lastSequence
	go func() {
		if !c.acquirePollSlot(ctx) {
			done <- cachePollResult{err: ctx.Err()}
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, c.options.PollTimeout)
		batch, err := f.client.CacheEvents(callCtx, after)
		cancel()
		<-c.pollSlots
		done <- cachePollResult{after: after, batch: batch, err: err}
	}()
	return done
}

// applyCachePoll applies the events of a cache poll, unless the reader was reset meanwhile.
func (c *Collector) applyCachePoll(f *monitoredTarget, r cachePollResult) {
	if r.err != nil || r.after != f.cacheReader.lastSequence {
		return // only load polls count for the target's health
	}
	if f.cacheReader.apply(r.batch) {
		c.options.Log.Debug("cache events were lost; rebuilding the prefix index of the target", "target", f.name)
	}
}
