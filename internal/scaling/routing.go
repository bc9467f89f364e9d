package scaling

import (
	"context"
	"math/rand/v2"
	"slices"
)

// pickerSample is the number of candidates that the scheduler compares.
const pickerSample = 8

// routing simulates how evenly VMs that each follow some of the targets spread
// the attempts of the plan. A request takes the target with the fewest attempts
// among a sample of those that its VM follows and that have its model. Reports
// are taken to be fresh, so that only the restriction to followed targets shows.
func routing(context.Context) ([]Result, error) {
	p99 := &series{name: "routing_p99", unit: "99th percentile of attempts on a target, mean 1, by VMs that share a target", planX: 16}
	worst := &series{name: "routing_max", unit: "most attempts on a target, mean 1, by VMs that share a target", planX: 16}
	for _, shares := range []int{4, 8, 16, 32, planVMs} {
		loads := spread(rand.New(rand.NewPCG(1, 2)), shares)
		slices.Sort(loads)
		p99.add(float64(shares), float64(loads[len(loads)*99/100])/attemptsPerTarget)
		worst.add(float64(shares), float64(loads[len(loads)-1])/attemptsPerTarget)
	}
	return resultsOf(p99, worst), nil
}

// spread returns the attempts on each target after as many replacements of
// attempts as there are attempts.
func spread(r *rand.Rand, shares int) []int {
	followed := followedByModel(r, shares)
	loads := make([]int, planTargets)
	var attempts []int32 // the target of each attempt
	for range attemptsPerTarget * planTargets {
		attempts = append(attempts, int32(place(r, followed, loads)))
	}
	for range attempts {
		i := r.IntN(len(attempts))
		loads[attempts[i]]--
		attempts[i] = int32(place(r, followed, loads))
	}
	return loads
}

// place adds an attempt of a random VM and model and returns its target.
func place(r *rand.Rand, followed [][][]int32, loads []int) int {
	var candidates []int32
	for len(candidates) == 0 {
		candidates = followed[r.IntN(planVMs)][r.IntN(planModels)]
	}
	best := candidates[r.IntN(len(candidates))]
	for range pickerSample - 1 {
		if other := candidates[r.IntN(len(candidates))]; loads[other] < loads[best] {
			best = other
		}
	}
	loads[best]++
	return int(best)
}

// followedByModel draws the VMs that share each target, as the hash order of
// seats does, and returns the targets by VM and model.
func followedByModel(r *rand.Rand, shares int) [][][]int32 {
	followed := make([][][]int32, planVMs)
	for vm := range followed {
		followed[vm] = make([][]int32, planModels)
	}
	for target := range planTargets {
		for _, vm := range r.Perm(planVMs)[:shares] {
			model := target % planModels
			followed[vm][model] = append(followed[vm][model], int32(target))
		}
	}
	return followed
}
