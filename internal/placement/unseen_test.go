package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/inflight"
)

func justBegun(n int) []inflight.RequestState {
	items := times(n, writing(5000, shortPause))
	for i := range items {
		items[i].Age, items[i].DecodingFor = 100*time.Millisecond, 10*time.Millisecond
	}
	return items
}

// Load: a burst of short questions at many VMs (trouble-1 of haysled-wa-grown:
// 40 % of those sent to an engine with one free slot were late). Guards against VMs
// that all take the last slot of the fullest engine before they hear of each other.
func TestLastSlotIsLeftToUnseenRequests(t *testing.T) {
	plan := choose(t, fleet(justBegun(15), justBegun(12)), shortJob())
	assert.Equal(t, plan.Target.ID, "e1")
	// At a low rate nobody else takes the slot, and short streams stay together.
	plan = choose(t, fleet(times(15, writing(5000, shortPause)), times(12, writing(5000, shortPause))), shortJob())
	assert.Equal(t, plan.Target.ID, "e0")
}

func TestAtLeast(t *testing.T) {
	assert.Equal(t, atLeast(0, 3), 1.0)
	assert.Equal(t, atLeast(4, 0), 0.0)
	assert.Assert(t, math.Abs(atLeast(1, 0.5)-(1-math.Exp(-0.5))) < 1e-12)
	for n := range 10 {
		assert.Assert(t, atLeast(n+1, 2) < atLeast(n, 2))
	}
}
