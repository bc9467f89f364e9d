package scaling

import (
	"context"
	"math/rand/v2"
	"slices"
)

// candidateSample is the number of candidates that the scheduler compares per
// request.
const candidateSample = 8

// routing simulates how evenly VMs that each monitor a subset of the targets
// distribute the planned number of attempts. A request goes to the target with
// the fewest attempts among a sample of those that its VM monitors and that
// serve its model. Load reports are assumed to be current, so that the result
// shows only the effect of the restriction to monitored targets.
func routing(context.Context) ([]Result, error) {
	p99 := &series{name: "routing_p99", unit: "99th percentile of attempts on a target, mean 1, by VMs that share a target", planX: 16}
	worst := &series{name: "routing_max", unit: "most attempts on a target, mean 1, by VMs that share a target", planX: 16}
	for _, shares := range []int{4, 8, 16, 32, plannedVMs} {
		loads := simulateAttempts(rand.New(rand.NewPCG(1, 2)), shares)
		slices.Sort(loads)
		p99.add(float64(shares), float64(loads[len(loads)*99/100])/plannedAttemptsPerTarget)
		worst.add(float64(shares), float64(loads[len(loads)-1])/plannedAttemptsPerTarget)
	}
	return resultsOf(p99, worst), nil
}

// simulateAttempts places the planned number of attempts, then ends and replaces
// a random attempt that many times, and returns the attempts on each target.
func simulateAttempts(r *rand.Rand, shares int) []int {
	monitored := monitoredTargetsByModel(r, shares)
	loads := make([]int, plannedTargets)
	var attempts []int32 // the target of each attempt
	for range plannedAttemptsPerTarget * plannedTargets {
		attempts = append(attempts, int32(placeAttempt(r, monitored, loads)))
	}
	for range attempts {
		i := r.IntN(len(attempts))
		loads[attempts[i]]--
		attempts[i] = int32(placeAttempt(r, monitored, loads))
	}
	return loads
}

// placeAttempt places an attempt of a random VM and model and returns its
// target.
func placeAttempt(r *rand.Rand, monitored [][][]int32, loads []int) int {
	var candidates []int32
	for len(candidates) == 0 {
		candidates = monitored[r.IntN(plannedVMs)][r.IntN(plannedModels)]
	}
	best := candidates[r.IntN(len(candidates))]
	for range candidateSample - 1 {
		if other := candidates[r.IntN(len(candidates))]; loads[other] < loads[best] {
			best = other
		}
	}
	loads[best]++
	return int(best)
}

// monitoredTargetsByModel draws the VMs that share each target at random, as the
// hash order of seats does, and returns the targets by VM and model.
func monitoredTargetsByModel(r *rand.Rand, shares int) [][][]int32 {
	monitored := make([][][]int32, plannedVMs)
	for vm := range monitored {
		monitored[vm] = make([][]int32, plannedModels)
	}
	for target := range plannedTargets {
		for _, vm := range r.Perm(plannedVMs)[:shares] {
			model := target % plannedModels
			monitored[vm][model] = append(monitored[vm][model], int32(target))
		}
	}
	return monitored
}
