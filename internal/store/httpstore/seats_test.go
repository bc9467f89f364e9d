package httpstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fleet of many VMs whose shares were computed for a few: the
// store's ceilings would be exceeded.
func TestSetSeats(t *testing.T) {
	c := New(Options{TableURL: "http://127.0.0.1:1", ObjectsURL: "http://127.0.0.1:1", VMsURL: "http://127.0.0.1:1"})
	c.SetSeats(590)
	perSecond := func(p *rateLimiter) float64 { return float64(time.Second) / float64(p.interval.Load()) }
	assert.Assert(t, 590*perSecond(c.reads) <= FleetReadsPerSecond)
	assert.Assert(t, 590*perSecond(c.writes) <= FleetWritesPerSecond)
}
