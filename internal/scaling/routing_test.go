package scaling

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a simulation that gives VMs more targets than the shares allow
// or loses attempts, either of which would make the spread look better.
func TestSpreadKeepsSharesAndAttempts(t *testing.T) {
	const shares = 4
	total := 0
	for _, models := range followedByModel(rand.New(rand.NewPCG(1, 2)), shares) {
		for _, targets := range models {
			total += len(targets)
		}
	}
	assert.Equal(t, total, shares*planTargets)

	attempts := 0
	for _, load := range spread(rand.New(rand.NewPCG(1, 2)), shares) {
		attempts += load
	}
	assert.Equal(t, attempts, attemptsPerTarget*planTargets)
}
