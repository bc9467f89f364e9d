// Package usage reports to the platform how many requests of each account began to run in
// each window of time. Every VM counts its own requests and tells the others; the VM that
// holds the duty decides each window once and sends it.
package usage

import (
	"maps"
	"sync"
	"time"
)

// Bounds of what is kept and taken from other VMs.
const (
	// keptWindows is the number of windows before the current one whose counts are kept:
	// a window is decided long before.
	keptWindows = 6
	// reportedWindows is the number of windows before the current one that a VM reports.
	reportedWindows = 2
	maxAccounts     = 2000
	maxAccountName  = 200 // bytes
	// maxInstances is several times the VMs of the planned fleet, for those that died.
	maxInstances = 4096
)

// WindowCounts holds the requests of each account that began in a window.
type WindowCounts struct {
	Window uint64           `msgpack:"w" json:"window"`
	Counts map[string]int64 `msgpack:"c" json:"counts"`
}

// Decision is a window whose report is final.
type Decision struct {
	Window uint64           `msgpack:"w"`
	Counts map[string]int64 `msgpack:"c"`
	// Sent is true if the platform has accepted the report.
	Sent bool `msgpack:"s,omitempty"`
}

// Report is what a VM tells the others in its heartbeats.
type Report struct {
	// Epoch is the epoch of the store, and OffsetMs the VM's time of day less its bound of
	// the store's steady clock, in milliseconds; valid if HasOffset.
	HasOffset bool   `msgpack:"h,omitempty"`
	Epoch     uint64 `msgpack:"e,omitempty"`
	OffsetMs  int64  `msgpack:"o,omitempty"`
	// NowMs is the VM's estimate of the true time, in milliseconds since the start of 1970:
	// the counts include all requests before.
	NowMs int64 `msgpack:"n"`
	// First is the window in which this instance of the VM began to count.
	First   uint64         `msgpack:"f"`
	Windows []WindowCounts `msgpack:"w,omitempty"`
	Decided []Decision     `msgpack:"d,omitempty"`
}

// Table holds the counts of all instances of VMs. It is safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	instances map[uint64]*instance
	first     uint64 // the first window in which any VM counted
	current   uint64 // the latest window known
}

// instance holds the counts of one run of a VM's process.
type instance struct {
	heardIn uint64        // the current window when the instance was last heard of
	through time.Duration // the true time up to which the counts are complete
	windows map[uint64]map[string]int64
}

// NewTable returns a table without counts.
func NewTable() *Table { return &Table{instances: map[uint64]*instance{}} }

// Begin records that some instance counts from a window on.
func (t *Table) Begin(window uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.first == 0 || window < t.first {
		t.first = window
	}
}

// First returns the first window in which any VM heard of counted, or 0.
func (t *Table) First() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.first
}

// Add counts a request.
func (t *Table) Add(id, window uint64, account string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := t.instance(id); i != nil {
		counts := i.counts(window)
		if _, known := counts[account]; known || len(counts) < maxAccounts {
			counts[account]++
		}
	}
}

// Merge records the counts that another instance has reported. Counts only grow, so that
// reports may be lost, repeated or reordered.
func (t *Table) Merge(id uint64, through time.Duration, reported []WindowCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.instance(id)
	if i == nil {
		return
	}
	i.through = max(i.through, through)
	for _, w := range reported {
		if w.Window+keptWindows < t.current || w.Window > t.current+1 {
			continue
		}
		counts := i.counts(w.Window)
		for account, n := range w.Counts {
			if _, known := counts[account]; (known || len(counts) < maxAccounts) && len(account) <= maxAccountName {
				counts[account] = max(counts[account], n)
			}
		}
	}
}

// Advance drops windows that are too old at the current one.
func (t *Table) Advance(current uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current == t.current {
		return
	}
	t.current = current
	for id, i := range t.instances {
		maps.DeleteFunc(i.windows, func(w uint64, _ map[string]int64) bool { return w+keptWindows < current })
		if len(i.windows) == 0 && i.heardIn+keptWindows < current {
			delete(t.instances, id)
		}
	}
}

// Sum returns the requests of each account that began in a window, on all VMs.
func (t *Table) Sum(window uint64) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := map[string]int64{}
	for _, i := range t.instances {
		for account, n := range i.windows[window] {
			sum[account] += n
		}
	}
	return sum
}

// Of returns the counts of one instance in the last windows.
func (t *Table) Of(id uint64) []WindowCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.instances[id]
	if i == nil {
		return nil
	}
	var counts []WindowCounts
	for window, c := range i.windows {
		if window+reportedWindows >= t.current && len(c) > 0 {
			counts = append(counts, WindowCounts{Window: window, Counts: maps.Clone(c)})
		}
	}
	return counts
}

// Missing returns how many of the given instances have told their counts, but not up to a
// time.
func (t *Table) Missing(ids []uint64, until time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	missing := 0
	for _, id := range ids {
		if i := t.instances[id]; i != nil && i.through < until {
			missing++
		}
	}
	return missing
}

// instance returns an instance, which is added if there is room. The caller must hold mu.
func (t *Table) instance(id uint64) *instance {
	i := t.instances[id]
	if i == nil && len(t.instances) < maxInstances {
		i = &instance{windows: map[uint64]map[string]int64{}}
		t.instances[id] = i
	}
	if i != nil {
		i.heardIn = t.current
	}
	return i
}

// counts returns the counts of a window.
func (i *instance) counts(window uint64) map[string]int64 {
	c := i.windows[window]
	if c == nil {
		c = map[string]int64{}
		i.windows[window] = c
	}
	return c
}
