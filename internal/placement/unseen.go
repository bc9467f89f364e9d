package placement

import (
	"math"
	"time"
)

const (
	// blindTime is how long other VMs' requests take to become known here: they
	// are gathered, sent and taken by VMs with a small share of a core.
	blindTime = 12 * time.Millisecond
	// rateWindow is the time over which the fleet's rate of requests is counted.
	rateWindow = 500 * time.Millisecond
)

// unseenNewcomers estimates how many requests that this VM does not know of yet
// have gone to each engine that short streams share.
func unseenNewcomers(loads []load) float64 {
	recent, shared := 0, 0
	for i := range loads {
		for _, item := range loads[i].Requests {
			if item.Age < rateWindow {
				recent++
			}
		}
		if loads[i].strict > 0 && loads[i].free > 0 {
			shared++
		}
	}
	return float64(recent) * blindTime.Seconds() / rateWindow.Seconds() / float64(max(shared, 1))
}

// atLeast returns the probability that a Poisson variable of the given mean is n
// or more.
func atLeast(n int, mean float64) float64 {
	below, term := 0.0, math.Exp(-mean)
	for k := range n {
		below += term
		term *= mean / float64(k+1)
	}
	return max(1-below, 0)
}
