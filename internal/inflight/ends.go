package inflight

import (
	"slices"
	"time"
)

// EndsWindow is the time over which the rate of ends is measured.
const EndsWindow = 500 * time.Millisecond

// Ends tells of the requests at a target that ended lately, as far as this VM knows.
type Ends struct {
	// SinceLast is the time since the last of them ended.
	SinceLast time.Duration
	// Recent is the number of those that ended within EndsWindow.
	Recent int
}

// recordEnd records that a request at a target ended. The lock must be held.
func (reg *Registry) recordEnd(target string) {
	now := time.Now()
	reg.ends[target] = append(lastSecond(reg.ends[target], now), now)
}

// forgetEnds drops targets at which no request ended lately. The lock must be held.
func (reg *Registry) forgetEnds(now time.Time) {
	for target, ends := range reg.ends {
		if ends = lastSecond(ends, now); len(ends) == 0 {
			delete(reg.ends, target)
		}
	}
}

// RecentEnds returns the recent ends of requests by target.
func (reg *Registry) RecentEnds() map[string]Ends {
	now := time.Now()
	reg.mu.Lock()
	defer reg.mu.Unlock()
	recent := make(map[string]Ends, len(reg.ends))
	for target, ends := range reg.ends {
		if n := len(ends); n > 0 {
			first, _ := slices.BinarySearchFunc(ends, now.Add(-EndsWindow), time.Time.Compare)
			recent[target] = Ends{SinceLast: now.Sub(ends[n-1]), Recent: n - first}
		}
	}
	return recent
}

// recordReport records that another VM reported its requests, or that it has fallen silent. The lock
// must be held.
func (reg *Registry) recordReport(name string, heard bool) {
	if heard {
		reg.reports[name] = time.Now()
	} else {
		delete(reg.reports, name)
	}
}

// Current reports whether at least half of the other VMs, without those that have fallen silent,
// have reported within a time.
func (reg *Registry) Current(within time.Duration) bool {
	now := time.Now()
	reg.mu.Lock()
	defer reg.mu.Unlock()
	recent := 0
	for _, at := range reg.reports {
		if now.Sub(at) <= within {
			recent++
		}
	}
	return 2*recent >= len(reg.reports)
}
