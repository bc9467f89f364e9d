// Package enginemodel predicts the timing of a language-model engine. An engine
// works in iterations: each one produces the next event of every decoding request
// and prefills chunks of the waiting prompts.
package enginemodel

import (
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// million is the unit for which the cost of token pairs is given.
const million = 1e6

// PrefillTime returns the time that an engine without other requests takes to
// prefill a prompt.
func PrefillTime(m *topology.EngineModel, tokens int) time.Duration {
	n := float64(tokens)
	steps := n / float64(m.ChunkTokens)
	linear := n / m.PrefillRate * float64(time.Second)
	pairs := n * n / 2 / million * float64(m.PrefillPerMillionPairs)
	return time.Duration(linear + pairs + steps*float64(m.Step))
}

// IterationTime returns the duration of an iteration without prefill, for a
// number of decoding requests with the given total context length in tokens.
func IterationTime(m *topology.EngineModel, decoding, context int) time.Duration {
	step := float64(m.Step) + float64(decoding)*float64(m.StepPerSequence) + float64(context)/1000*float64(m.StepPerKContext)
	return time.Duration(step * float64(m.StepsPerIteration))
}

// MaxPrefillPerIteration returns the longest time that an iteration with decoding requests
// takes longer because of the prefill of prompts.
func MaxPrefillPerIteration(m *topology.EngineModel) time.Duration {
	return PrefillTime(m, m.StepsPerIteration*m.ChunkTokens)
}

// Prefill is an unfinished prefill of a prompt, or of a part of one, on an
// engine.
type Prefill struct {
	// Age is the time since the engine received it.
	Age  time.Duration
	Time time.Duration
}

// Backlog returns the remaining prefill time on an engine that prefills prompts
// in order of arrival.
func Backlog(prefills []Prefill) time.Duration {
	slices.SortFunc(prefills, func(a, b Prefill) int { return int(b.Age - a.Age) })
	var end time.Duration
	for i, p := range prefills {
		start := -p.Age
		if i > 0 {
			start = max(start, end)
		}
		end = start + p.Time
	}
	return max(end, 0)
}

// EventCount returns the number of events in a response with the given number of
// output tokens.
func EventCount(m *topology.EngineModel, tokens int) int {
	return max((tokens+m.StepsPerIteration-1)/m.StepsPerIteration, 1)
}
