package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// byteBudget bounds bytes held by all requests of a process.
type byteBudget struct {
	free atomic.Int64
}

func newByteBudget(size int64) *byteBudget {
	b := &byteBudget{}
	b.free.Store(size)
	return b
}

func (b *byteBudget) take(n int64) bool {
	if b.free.Add(-n) < 0 {
		b.free.Add(n)
		return false
	}
	return true
}

func (b *byteBudget) give(n int64) { b.free.Add(n) }

const (
	retryRatio = 0.1 // retries for each request
	// minRetriesPerSecond lets a VM with little traffic retry at all.
	minRetriesPerSecond = 3.0
	maxRetryTokens      = 100.0
)

// retryBudget limits retries to a share of the requests, so that a failing
// fleet is not loaded with repeated work.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: maxRetryTokens, last: time.Now()}
}

func (b *retryBudget) refillLocked(now time.Time) {
	b.tokens += now.Sub(b.last).Seconds() * minRetriesPerSecond
	b.tokens = min(b.tokens, maxRetryTokens)
	b.last = now
}

// onRequest adds the share of one request.
func (b *retryBudget) onRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// take reports whether one more retry is allowed.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(time.Now())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	bytesPerToken = 5
	// ratioStep is the weight of one observation in the learned ratio.
	ratioStep = 0.05
)

// tokenRatio estimates prompt tokens from bytes, corrected for each model by
// the counts that engines report.
type tokenRatio struct {
	mu     sync.Mutex
	factor map[string]float64
}

func newTokenRatio() *tokenRatio { return &tokenRatio{factor: map[string]float64{}} }

func (t *tokenRatio) estimate(model string, promptBytes int) int {
	t.mu.Lock()
	f, ok := t.factor[model]
	t.mu.Unlock()
	if !ok {
		f = 1
	}
	return max(1, int(float64(promptBytes)/bytesPerToken*f))
}

// learn corrects the factor of a model by the engine's count of a prompt.
func (t *tokenRatio) learn(model string, promptBytes, tokens int) {
	if promptBytes == 0 || tokens <= 0 {
		return
	}
	seen := float64(tokens) * bytesPerToken / float64(promptBytes)
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.factor[model]
	if !ok {
		f = 1
	}
	t.factor[model] = f + ratioStep*(seen-f)
}
