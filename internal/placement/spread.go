package placement

import (
	"cmp"
	"slices"
)

// VMs decide without knowing each other's latest requests. If all chose the cheapest engine, the
// calls that arrive within the lag of the reports would meet there.
const (
	// spreadRoom times the unreported requests is the room on the engines among which a request
	// chooses at random, so that few of those requests meet.
	spreadRoom = 4
	// spreadCost is the largest cost above that of the cheapest engine.
	spreadCost = 0.25
	// spreadDelay is how long requests of other VMs take to become known here under load; 6 to 9
	// requests at 400 a second were not known.
	spreadDelay = 0.02 // s
)

// candidate is an engine that may become the target of a request.
type candidate struct {
	scoredEngine
	// total is the cost including the lateness of the request.
	total float64
}

// room returns the weight of the candidate in a random choice. An engine without a free slot may
// get a request that waits there.
func (c candidate) room() float64 { return float64(max(c.freeSlots, 0) + 1) }

// spread chooses among the cheapest candidates at random, in proportion to their room.
func spread(candidates []candidate, unreported, draw float64) scoredEngine {
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.total, b.total) })
	sum, n := 0.0, 0
	for n < len(candidates) && candidates[n].total <= candidates[0].total+spreadCost && sum < spreadRoom*unreported+1 {
		sum += candidates[n].room()
		n++
	}
	at := draw * sum
	for _, c := range candidates[:n] {
		if at -= c.room(); at < 0 {
			return c.scoredEngine
		}
	}
	return candidates[n-1].scoredEngine
}

// unreportedTotal estimates how many requests were sent to any of the engines that this VM does
// not know of yet.
func unreportedTotal(loads []engineLoad) float64 {
	return float64(recentRequests(loads)) * spreadDelay / rateWindow.Seconds()
}

// recentRequests counts the requests that were sent within the rate window.
func recentRequests(loads []engineLoad) int {
	recent := 0
	for i := range loads {
		for _, req := range loads[i].Requests {
			if req.Age < rateWindow {
				recent++
			}
		}
	}
	return recent
}
