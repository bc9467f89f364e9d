package load

import (
	"context"
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/scheduler"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// maxFailedPollInterval bounds how rarely a failed target is polled, so that
// one that is back is used again soon.
const maxFailedPollInterval = time.Second

// poll asks one target for its load and its cache events until it is not
// followed any more.
func (c *Collector) poll(f *followed) {
	ctx := f.ctx
	if !wait.For(ctx, jitter(c.options.PollInterval/8)) {
		return
	}
	cacheAt := time.Duration(0)
	for {
		ok := c.pollLoad(ctx, f)
		if ok && scheduler.Now() >= cacheAt {
			c.pollCache(ctx, f)
			cacheAt = scheduler.Now() + jitter(c.options.CacheInterval)
		}
		if !wait.For(ctx, jitter(c.pollInterval(f))) {
			return
		}
	}
}

func (c *Collector) pollInterval(f *followed) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.health.state != failed {
		return c.options.PollInterval
	}
	return max(c.options.PollInterval, min(f.health.backoff/2, maxFailedPollInterval))
}

// acquire takes one of the concurrent polls.
func (c *Collector) acquire(ctx context.Context) bool {
	select {
	case c.polls <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Collector) pollLoad(ctx context.Context, f *followed) bool {
	if !c.acquire(ctx) {
		return false
	}
	at := countersOf(f.live)
	asked, askedAt := scheduler.Now(), time.Now()
	callCtx, cancel := context.WithTimeout(ctx, c.options.PollTimeout)
	report, err := f.client.Load(callCtx)
	cancel()
	<-c.polls
	if ctx.Err() != nil {
		return false
	}
	defer c.touch()
	if err != nil {
		c.pollFailed(f, err)
		return false
	}
	if f.takeReport(report, asked, c.options.ReportLag, at) {
		c.options.Log.Info("target restarted", "target", f.name, "start_number", report.StartNumber)
	}
	f.reader.restart(report.StartNumber)
	if report.Cold && !f.wasCold {
		f.reader.reset() // a target that turned cold lost its cache
	}
	f.wasCold = report.Cold
	c.options.Capacity.Observe(f.name, capacity.Observation{
		At: askedAt, StartNumber: report.StartNumber, Cold: report.Cold,
	})
	return true
}

func (c *Collector) pollFailed(f *followed, err error) {
	f.mu.Lock()
	before := f.health.state
	f.health.pollFailed(scheduler.Now())
	excluded := before != failed && f.health.state == failed
	f.mu.Unlock()
	if excluded {
		c.options.Log.Warn("target excluded after failed load polls; polling goes on", "target", f.name, "error", err)
	}
}

func (c *Collector) pollCache(ctx context.Context, f *followed) {
	if !c.acquire(ctx) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, c.options.PollTimeout)
	batch, err := f.client.CacheEvents(callCtx, f.reader.last)
	cancel()
	<-c.polls
	if err != nil {
		return // the load poll decides on the target's health
	}
	if f.reader.apply(batch) {
		c.options.Log.Debug("cache events were lost; the prefix index of the target is learned again", "target", f.name)
	}
}
