package usage

import (
	"slices"
	"sync"
	"time"
)

const (
	// sampleAge is the age after which what a VM told of its clock is not used any more.
	sampleAge = 10 * time.Second
	// sampleMemory is how long such a VM still counts among those that are missing. The clocks
	// drift apart by 0.06 s in that time.
	sampleMemory = 5 * time.Minute
)

// Clock estimates the true time as the store's steady clock plus the median, over the VMs, of
// the time of day less the store's clock. A VM whose time of day is wrong has no effect, and
// neither has the delay of a heartbeat. It is safe for concurrent use.
type Clock struct {
	// Store returns an upper bound of the store's steady clock and its epoch.
	Store func() (epoch uint64, now time.Duration, ok bool)
	// Wall is this VM's time of day, Uptime a clock that goes on while it is suspended.
	Wall   func() time.Time
	Uptime func() time.Duration

	mu      sync.Mutex
	samples map[uint64]sample // by instance
	// median is that of an epoch; valid if hasMedian.
	hasMedian   bool
	medianEpoch uint64
	median      time.Duration
	// anchor is an estimate made at the uptime anchorAt. It also bridges the time in which
	// the store's clock or those of most VMs are not known.
	hasAnchor        bool
	anchor, anchorAt time.Duration
}

// sample is what a VM has told of its time of day.
type sample struct {
	epoch  uint64
	offset time.Duration
	at     time.Duration // uptime
}

// Observe records the time of day of another VM's instance less the store's clock.
func (c *Clock) Observe(id, epoch uint64, offset time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.samples == nil {
		c.samples = map[uint64]sample{}
	}
	if _, known := c.samples[id]; known || len(c.samples) < maxInstances {
		c.samples[id] = sample{epoch: epoch, offset: offset, at: c.Uptime()}
	}
}

// Own returns this VM's time of day less the store's clock.
func (c *Clock) Own() (epoch uint64, offset time.Duration, ok bool) {
	epoch, now, ok := c.Store()
	return epoch, sinceEpoch(c.Wall()) - now, ok
}

// Now returns the estimated true time since the start of 1970.
func (c *Clock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hasAnchor {
		return sinceEpoch(c.Wall())
	}
	return c.anchor + c.Uptime() - c.anchorAt
}

// Refresh makes a new estimate, if the store's clock is known.
func (c *Clock) Refresh() {
	epoch, store, ok := c.Store()
	if !ok {
		return
	}
	own := sinceEpoch(c.Wall()) - store
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Uptime()
	offsets := []time.Duration{own}
	others := 0
	for id, s := range c.samples {
		switch {
		case now-s.at > sampleMemory:
			delete(c.samples, id)
		case s.epoch == epoch && now-s.at <= sampleAge:
			offsets = append(offsets, s.offset)
		default:
			others++
		}
	}
	if others >= len(offsets) && c.hasAnchor {
		return // too few VMs have told their time lately and in this epoch
	}
	c.median = median(offsets, c.median, c.hasMedian && c.medianEpoch == epoch)
	c.hasMedian, c.medianEpoch = true, epoch
	c.hasAnchor, c.anchor, c.anchorAt = true, store+c.median, now
}

// median returns the median of offsets. Of an even number, it is the value between the two in
// the middle that is nearest to the previous median: with two VMs, a jump of one of them must
// not move it.
func median(offsets []time.Duration, previous time.Duration, hasPrevious bool) time.Duration {
	slices.Sort(offsets)
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	if hasPrevious {
		return min(max(previous, low), high)
	}
	return low + (high-low)/2
}

func sinceEpoch(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }
