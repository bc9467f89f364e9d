package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/inflight"
)

func recentlyStarted(n int) []inflight.RequestState {
	states := repeat(n, decoding(5000, shortGap))
	for i := range states {
		states[i].Age, states[i].DecodingFor = 100*time.Millisecond, 10*time.Millisecond
	}
	return states
}

// Guards against VMs that all take the last slot of the fullest engine during a
// burst of short requests, before they learn of each other's requests: 40 % of
// the requests sent to an engine with one free slot were late.
func TestLastSlotIsLeftToUnreportedRequests(t *testing.T) {
	plan := choose(t, fleet(recentlyStarted(15), recentlyStarted(12)), shortRequest())
	assert.Equal(t, plan.Target.ID, "e1")
	// At a low rate no other VM takes the slot, and short streams stay together.
	plan = choose(t, fleet(repeat(15, decoding(5000, shortGap)), repeat(12, decoding(5000, shortGap))), shortRequest())
	assert.Equal(t, plan.Target.ID, "e0")
}

func TestPoissonAtLeast(t *testing.T) {
	assert.Equal(t, poissonAtLeast(0, 3), 1.0)
	assert.Equal(t, poissonAtLeast(4, 0), 0.0)
	assert.Assert(t, math.Abs(poissonAtLeast(1, 0.5)-(1-math.Exp(-0.5))) < 1e-12)
	for n := range 10 {
		assert.Assert(t, poissonAtLeast(n+1, 2) < poissonAtLeast(n, 2))
	}
}
