package placement

import (
	"math"
	"time"
)

const (
	// reportDelay is how long requests of other VMs take to become known here:
	// VMs with a small share of a core batch, send and process the reports.
	reportDelay = 12 * time.Millisecond
	// rateWindow is the window over which the request rate of all VMs is
	// measured.
	rateWindow = 500 * time.Millisecond
)

// unreportedRequests estimates, for each engine that short streams share, how
// many requests were sent to it that this VM does not know of yet.
func unreportedRequests(loads []engineLoad) float64 {
	shared := 0
	for i := range loads {
		if loads[i].strictStreams > 0 && loads[i].freeSlots > 0 {
			shared++
		}
	}
	return float64(recentRequests(loads)) * reportDelay.Seconds() / rateWindow.Seconds() / float64(max(shared, 1))
}

// poissonAtLeast returns the probability that a Poisson variable with the given
// mean is at least n.
func poissonAtLeast(n int, mean float64) float64 {
	below, term := 0.0, math.Exp(-mean)
	for k := range n {
		below += term
		term *= mean / float64(k+1)
	}
	return max(1-below, 0)
}
