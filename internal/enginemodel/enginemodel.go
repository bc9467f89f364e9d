// Package enginemodel computes how long a language-model engine takes. An engine
// works in passes: each pass makes the next event of every request that is
// writing and reads pieces of the prompts that are waiting.
package enginemodel

import (
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// million is the unit in which pairs of tokens are priced.
const million = 1e6

// PrefillTime returns the time that an engine reads a prompt, alone and unhindered.
func PrefillTime(m *topology.EngineModel, tokens int) time.Duration {
	n := float64(tokens)
	steps := n / float64(m.ChunkTokens)
	linear := n / m.PrefillRate * float64(time.Second)
	pairs := n * n / 2 / million * float64(m.PrefillPerMillionPairs)
	return time.Duration(linear + pairs + steps*float64(m.Step))
}

// IterationTime returns the time of a pass without reading, for a number of writers and
// the tokens of all their contexts.
func IterationTime(m *topology.EngineModel, writers, context int) time.Duration {
	step := float64(m.Step) + float64(writers)*float64(m.StepPerSequence) + float64(context)/1000*float64(m.StepPerKContext)
	return time.Duration(step * float64(m.StepsPerIteration))
}

// Prefill is a prompt that an engine has yet to read, or a part of one.
type Prefill struct {
	// Age is the time since the engine got it.
	Age  time.Duration
	Time time.Duration
}

// Backlog returns the reading that is left on an engine that reads prompts in
// the order in which it got them.
func Backlog(readers []Prefill) time.Duration {
	slices.SortFunc(readers, func(a, b Prefill) int { return int(b.Age - a.Age) })
	var end time.Duration
	for i, r := range readers {
		start := -r.Age
		if i > 0 {
			start = max(start, end)
		}
		end = start + r.Time
	}
	return max(end, 0)
}

// EventCount returns the number of events in which an engine writes an answer.
func EventCount(m *topology.EngineModel, tokens int) int {
	return max((tokens+m.StepsPerIteration-1)/m.StepsPerIteration, 1)
}
