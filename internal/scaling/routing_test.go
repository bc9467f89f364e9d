package scaling

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a simulation that assigns more targets to VMs than the shares
// allow or that loses attempts, either of which would make the distribution look
// more even.
func TestSimulationKeepsSharesAndAttempts(t *testing.T) {
	const shares = 4
	total := 0
	for _, models := range monitoredTargetsByModel(rand.New(rand.NewPCG(1, 2)), shares) {
		for _, targets := range models {
			total += len(targets)
		}
	}
	assert.Equal(t, total, shares*plannedTargets)

	attempts := 0
	for _, load := range simulateAttempts(rand.New(rand.NewPCG(1, 2)), shares) {
		attempts += load
	}
	assert.Equal(t, attempts, plannedAttemptsPerTarget*plannedTargets)
}
