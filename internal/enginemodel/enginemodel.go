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

// Read returns the time that an engine reads a prompt, alone and unhindered.
func Read(m *topology.EngineModel, tokens int) time.Duration {
	n := float64(tokens)
	steps := n / float64(m.ChunkTokens)
	linear := n / m.ReadRate * float64(time.Second)
	pairs := n * n / 2 / million * float64(m.PerMillionPairs)
	return time.Duration(linear + pairs + steps*float64(m.Step))
}

// Pass returns the time of a pass without reading, for a number of writers and
// the tokens of all their contexts.
func Pass(m *topology.EngineModel, writers, context int) time.Duration {
	step := float64(m.Step) + float64(writers)*float64(m.PerWriter) + float64(context)/1000*float64(m.PerContext)
	return time.Duration(step * float64(m.StepsPerPass))
}

// Reader is a prompt that an engine has yet to read, or a part of one.
type Reader struct {
	// Age is the time since the engine got it.
	Age  time.Duration
	Read time.Duration
}

// Backlog returns the reading that is left on an engine that reads prompts in
// the order in which it got them.
func Backlog(readers []Reader) time.Duration {
	slices.SortFunc(readers, func(a, b Reader) int { return int(b.Age - a.Age) })
	var end time.Duration
	for i, r := range readers {
		start := -r.Age
		if i > 0 {
			start = max(start, end)
		}
		end = start + r.Read
	}
	return max(end, 0)
}

// Events returns the number of events in which an engine writes an answer.
func Events(m *topology.EngineModel, tokens int) int {
	return max((tokens+m.StepsPerPass-1)/m.StepsPerPass, 1)
}
