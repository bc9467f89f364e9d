package gateway

import "sync"

const (
	bytesPerToken = 5
	// observationWeight is the weight of one observation in the moving average.
	observationWeight = 0.05
)

// tokenEstimator estimates prompt tokens from bytes, corrected for each model by the counts
// that engines report.
type tokenEstimator struct {
	mu     sync.Mutex
	factor map[string]float64
}

func newTokenEstimator() *tokenEstimator { return &tokenEstimator{factor: map[string]float64{}} }

func (t *tokenEstimator) estimate(model string, promptBytes int) int {
	t.mu.Lock()
	f, ok := t.factor[model]
	t.mu.Unlock()
	if !ok {
		f = 1
	}
	return max(1, int(float64(promptBytes)/bytesPerToken*f))
}

// observe updates the factor of a model with an engine's count of a prompt.
func (t *tokenEstimator) observe(model string, promptBytes, tokens int) {
	if promptBytes == 0 || tokens <= 0 {
		return
	}
	observed := float64(tokens) * bytesPerToken / float64(promptBytes)
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.factor[model]
	if !ok {
		f = 1
	}
	t.factor[model] = f + observationWeight*(observed-f)
}
