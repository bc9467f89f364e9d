// Package pace estimates by which factor each target is slower than it should be, from
// requests of all VMs. Estimate is a pure function of the evidence; Tracker collects the
// evidence of this VM and that of the others.
package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// maxAge is the age beyond which evidence no longer counts.
	maxAge = 20 * time.Second
	// weightTime is the age at which evidence counts 1/e as much as new evidence, so
	// that a change of a target shows within seconds.
	weightTime = 3 * time.Second
	// minRequests is the number of requests without which nothing is concluded.
	minRequests = 3
	// clearlySlow is the ratio below which a target counts as sound: the prediction of
	// the time between events is exact to about a fifth.
	clearlySlow = 1.4
	// maxSlowdown bounds a ratio. A target beyond it is hardly used anyway.
	maxSlowdown = 20
	// lowerQuantile is the part of the evidence that must be slower. What delays single
	// requests, such as the prefill of other prompts, does not make a target slow.
	lowerQuantile = 0.25
	// minHold and maxHold are for how long the latest evidence counts in full; each VM
	// draws its own time for each target, so that few VMs try a slow target again first.
	// fadeTime is the time in which the slowdown then falls to 1/e.
	minHold  = 3 * time.Second
	maxHold  = 12 * time.Second
	fadeTime = 2 * time.Second
	// minSlowdown is the slowdown below which a fading one ends.
	minSlowdown = 1.1
)

// Evidence is the ratio of the observed to the expected time of one request.
type Evidence struct {
	Ratio float64
	At    time.Time
}

// Estimate returns the factor by which a target is slower than expected, from the evidence of
// different requests; 1 if it is sound or little is known. The latest evidence counts in full
// for the time hold.
func Estimate(evidence []Evidence, now time.Time, hold time.Duration) float64 {
	recent := make([]Evidence, 0, len(evidence))
	newest := time.Duration(math.MaxInt64)
	for _, e := range evidence {
		if age := now.Sub(e.At); age <= maxAge {
			recent = append(recent, e)
			newest = min(newest, max(age, 0))
		}
	}
	if len(recent) < minRequests {
		return 1
	}
	ratio := min(quantile(recent, now), maxSlowdown)
	if ratio < clearlySlow {
		return 1
	}
	if age := newest - hold; age > 0 {
		ratio = 1 + (ratio-1)*math.Exp(-age.Seconds()/fadeTime.Seconds())
	}
	if ratio < minSlowdown {
		return 1
	}
	return ratio
}

// quantile returns the lower quantile of the ratios, weighted by their age.
func quantile(evidence []Evidence, now time.Time) float64 {
	slices.SortFunc(evidence, func(a, b Evidence) int {
		switch {
		case a.Ratio < b.Ratio:
			return -1
		case a.Ratio > b.Ratio:
			return 1
		}
		return 0
	})
	weight := func(e Evidence) float64 { return math.Exp(-max(now.Sub(e.At), 0).Seconds() / weightTime.Seconds()) }
	total := 0.0
	for _, e := range evidence {
		total += weight(e)
	}
	sum := 0.0
	for _, e := range evidence {
		if sum += weight(e); sum >= lowerQuantile*total {
			return e.Ratio
		}
	}
	return evidence[len(evidence)-1].Ratio
}

// median returns the median of some values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
