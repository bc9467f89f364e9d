// Package placement chooses the engine of a request, and the engines that help
// to read its prompt. A choice is a pure function of what all VMs have in
// flight: it weighs the newcomer's time to its first event against the pauses
// that its reading makes in the streams already there.
package placement

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/enginemodel"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// Engine is what is known of one engine.
type Engine struct {
	Target *topology.Target
	// Requests are the requests of all VMs on the engine, Parts the parts of other
	// engines' prompts that it reads.
	Requests []inflight.RequestState
	Parts    []inflight.RequestState
	// Ended are requests and parts whose reading has delayed those that are left.
	Ended []inflight.RequestState
	// Slowdown is the factor by which the engine is slower than its model; 1 when
	// nothing is known.
	Slowdown float64
	// FailureRate estimates the share of requests that fail there.
	FailureRate float64
	// Unreachable is true when the engine did not answer lately.
	Unreachable bool
	// Suspect is true when another VM cannot reach the engine.
	Suspect bool
	// RemoteZone is true in another zone than this VM's.
	RemoteZone bool
	// Jitter is a small random cost that keeps VMs which decide at the same time
	// from choosing the same engine.
	Jitter float64
}

// Request is the request to place.
type Request struct {
	PromptTokens int
	OutputTokens int
	// MaxEventGap and Objective are the longest pause and the longest time to
	// the first event on time; Left is the time until the deadline.
	MaxEventGap time.Duration
	Objective   time.Duration
	TimeLeft    time.Duration
	// Waited is the time since the request arrived.
	Waited time.Duration
}

// tokensPerWeight is the prompt size that adds 1 to the weight of a request.
const tokensPerWeight = 10_000

// Weight returns what an answer on time is worth, relative to others: long
// prompts cost their callers more.
func Weight(promptTokens int) float64 { return 1 + float64(promptTokens)/tokensPerWeight }

// load summarises an engine.
type load struct {
	Engine
	pass    time.Duration // without reading
	writers int
	backlog time.Duration // reading that is left
	memory  int           // tokens in use or promised
	free    int           // slots
	// overflow is the probability that requests of which this VM does not know
	// yet take all free slots.
	overflow float64
	// strict counts the streams with a short pause limit.
	strict int
	// slotWait is the time until a slot is free.
	slotWait time.Duration
}

// strictPause is the pause limit up to which a stream suffers from the reading
// of a medium prompt.
const strictPause = 400 * time.Millisecond

func summarise(m *topology.EngineModel, e Engine) load {
	l := load{Engine: e, free: m.Slots - len(e.Requests)}
	l.Slowdown = max(l.Slowdown, 1)
	writers, context := 0, 0
	var readers []enginemodel.Prefill
	for _, i := range e.Requests {
		share := shares(i)
		l.memory += memoryAtTarget(i)
		if i.MaxEventGap > 0 && i.MaxEventGap < strictPause {
			l.strict++
		}
		readers = append(readers, l.reader(m, i))
		if i.Decoding {
			writers++
			context += i.PromptTokens / share
		}
	}
	for _, i := range e.Parts {
		share := shares(i)
		if i.Reserved {
			l.memory += i.PromptTokens / share
		}
		readers = append(readers, l.reader(m, i))
		if i.Decoding {
			context += i.PromptTokens / share
		}
	}
	for _, i := range e.Ended {
		readers = append(readers, l.reader(m, i))
	}
	l.writers = writers
	l.pass = l.paced(enginemodel.IterationTime(m, max(writers, 1), context))
	if unread(e.Requests) || unread(e.Parts) {
		l.backlog = enginemodel.Backlog(readers)
	}
	if l.free <= 0 {
		l.slotWait = slotWait(m, l, 1-l.free)
	}
	return l
}

// reader returns the reading of a request on the engine. That of one which has
// begun to write took no longer than until its first event.
func (l load) reader(m *topology.EngineModel, i inflight.RequestState) enginemodel.Prefill {
	r := enginemodel.Prefill{Age: i.Age, Time: l.paced(enginemodel.PrefillTime(m, i.PromptTokens)) / time.Duration(shares(i))}
	if i.Decoding {
		r.Time = min(r.Time, i.Age-i.DecodingFor)
	}
	return r
}

// unread reports whether a prompt is still to be read.
func unread(items []inflight.RequestState) bool {
	for _, i := range items {
		if !i.Decoding {
			return true
		}
	}
	return false
}

// shares returns the number of engines that read a prompt.
func shares(i inflight.RequestState) int { return len(i.Helpers) + 1 }

// memoryAtTarget returns the memory that a request takes at its own engine.
func memoryAtTarget(i inflight.RequestState) int {
	prompt := i.PromptTokens
	if i.Reserved {
		prompt /= shares(i)
	}
	return prompt + i.OutputTokens
}

func (l load) paced(d time.Duration) time.Duration {
	return time.Duration(float64(d) * l.Slowdown)
}

// slotWait estimates when the nth slot from now is free: answers end at random
// moments, and one slot comes free in the mean time of an answer divided by the
// slots.
func slotWait(m *topology.EngineModel, l load, nth int) time.Duration {
	var whole time.Duration
	for _, i := range l.Requests {
		whole += time.Duration(enginemodel.EventCount(m, i.OutputTokens)) * l.pass
	}
	mean := whole / time.Duration(len(l.Requests))
	return mean * time.Duration(nth) / time.Duration(m.Slots)
}

// PrefillBacklog returns the time for which an engine still reads prompts.
func PrefillBacklog(m *topology.EngineModel, e Engine) time.Duration { return summarise(m, e).backlog }
