package forward

import (
	"sync"
	"time"
)

// RetryLimits bound the repeats of all VMs together: in any window a service
// may get Ratio times its requests plus Slack.
type RetryLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// safeShare is the part of the limits that is used. The rest allows for VMs
// that count in other windows.
const safeShare = 0.7

// RetryBudget keeps this VM's part of the limits for each service.
type RetryBudget struct {
	limits func() RetryLimits
	vms    func() int

	mu       sync.Mutex
	services map[string]*retryWindow
}

// retryWindow counts in slices of a tenth of the window.
type retryWindow struct {
	requests, repeats [windowSlices]int
	slice             int64
}

const windowSlices = 10

// NewRetryBudget returns a budget; vms tells how many VMs share the slack.
func NewRetryBudget(limits func() RetryLimits, vms func() int) *RetryBudget {
	return &RetryBudget{limits: limits, vms: vms, services: map[string]*retryWindow{}}
}

// RecordRequest counts a request of a caller.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.slice%windowSlices]++
}

// Allow reports whether a request may be sent once more, and counts it.
func (b *RetryBudget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, repeats := 0, 0
	for i := range windowSlices {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	l := b.limits()
	allowed := safeShare * (l.Ratio*float64(requests) + l.Slack/float64(max(b.vms(), 1)))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.slice%windowSlices]++
	return true
}

// window returns the counts of a service, moved on to the present.
func (b *RetryBudget) window(service string) *retryWindow {
	w := b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	now := int64(time.Since(processStart) / (b.limits().Window / windowSlices))
	for s := max(w.slice+1, now-windowSlices+1); s <= now; s++ {
		w.requests[s%windowSlices] = 0
		w.repeats[s%windowSlices] = 0
	}
	w.slice = max(w.slice, now)
	return w
}

var processStart = time.Now()
