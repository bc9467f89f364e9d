package httpstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a large fleet whose shares of the rate limits were computed for a
// small one, so that it exceeds the limits of the store.
func TestSetSeats(t *testing.T) {
	c := New(Options{TableURL: "http://127.0.0.1:1", ObjectsURL: "http://127.0.0.1:1", VMsURL: "http://127.0.0.1:1"})
	c.SetSeats(590)
	perSecond := func(l *rateLimiter) float64 { return float64(time.Second) / float64(l.interval.Load()) }
	assert.Assert(t, 590*perSecond(c.reads) <= FleetReadsPerSecond)
	assert.Assert(t, 590*perSecond(c.writes) <= FleetWritesPerSecond)
}
