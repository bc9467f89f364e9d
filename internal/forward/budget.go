package forward

import (
	"sync"
	"time"
)

// RetryLimits bound the retries of all VMs together: in any window a service may
// receive Ratio times its requests plus Slack.
type RetryLimits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// usableShare is the fraction of the limits that is used. The rest is a margin,
// because the windows of the VMs are not aligned.
const usableShare = 0.7

// RetryBudget enforces this VM's share of the limits for each service.
type RetryBudget struct {
	limits func() RetryLimits
	vms    func() int

	mu       sync.Mutex
	services map[string]*retryWindow
}

// retryWindow is a sliding window. Each bucket covers a tenth of the window.
type retryWindow struct {
	requests, retries [windowBuckets]int
	bucket            int64
}

const windowBuckets = 10

// NewRetryBudget returns a budget; vms returns the number of VMs that share the slack.
func NewRetryBudget(limits func() RetryLimits, vms func() int) *RetryBudget {
	return &RetryBudget{limits: limits, vms: vms, services: map[string]*retryWindow{}}
}

// RecordRequest counts a request of a caller.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	w.requests[w.bucket%windowBuckets]++
}

// Allow reports whether a request may be retried, and counts the retry if so.
func (b *RetryBudget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	l := b.limits()
	allowed := usableShare * (l.Ratio*float64(requests) + l.Slack/float64(max(b.vms(), 1)))
	if float64(retries+1) > allowed {
		return false
	}
	w.retries[w.bucket%windowBuckets]++
	return true
}

// GiveBack takes back the count of a retry that was allowed and not sent.
func (b *RetryBudget) GiveBack(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	for age := range int64(windowBuckets) {
		i := (w.bucket - age + windowBuckets) % windowBuckets
		if w.retries[i] > 0 {
			w.retries[i]--
			return
		}
	}
}

// currentWindow returns the window of a service after clearing its expired buckets.
func (b *RetryBudget) currentWindow(service string) *retryWindow {
	w := b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	now := int64(time.Since(processStart) / (b.limits().Window / windowBuckets))
	for s := max(w.bucket+1, now-windowBuckets+1); s <= now; s++ {
		w.requests[s%windowBuckets] = 0
		w.retries[s%windowBuckets] = 0
	}
	w.bucket = max(w.bucket, now)
	return w
}

var processStart = time.Now()
