// Package placement chooses the engine that serves a request and the helper
// engines that prefill parts of its prompt. A choice is a pure function of the
// requests that all VMs have in flight: it weighs the time to first event of the
// new request against the event gaps that its prefill causes in streams on the
// same engine.
package placement

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/enginemodel"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// Engine is the known state of one engine.
type Engine struct {
	Target *topology.Target
	// Requests are the requests of all VMs on the engine. Parts are the parts of
	// prompts that it prefills for other engines.
	Requests []inflight.RequestState
	Parts    []inflight.RequestState
	// Ended are finished requests and parts whose prefill delayed those that
	// remain.
	Ended []inflight.RequestState
	// Unknown is the number of further requests that the engine itself reports.
	Unknown int
	// Slowdown is the factor by which the engine is slower than its model; 1 when
	// it is unknown.
	Slowdown float64
	// FailureRate estimates the share of requests that fail on the engine.
	FailureRate float64
	// Unreachable is true when the engine could not be reached or did not respond
	// recently.
	Unreachable bool
	// Suspect is true when another VM cannot reach the engine.
	Suspect bool
	// RemoteZone is true when the engine is not in this VM's zone.
	RemoteZone bool
	// Jitter is a small random cost that keeps VMs that decide at the same time
	// from choosing the same engine.
	Jitter float64
}

// Request is a request to be placed.
type Request struct {
	PromptTokens int
	OutputTokens int
	// MaxEventGap is the longest event gap, and Objective the longest time to
	// first event, that still count as on time. TimeLeft is the time until the
	// deadline.
	MaxEventGap time.Duration
	Objective   time.Duration
	TimeLeft    time.Duration
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Spread makes a short stream choose at random among the cheapest engines by Draw, a random
	// number from 0 to 1.
	Spread bool
	Draw   float64
}

// tokensPerWeight is the prompt length that adds 1 to the weight of a request.
const tokensPerWeight = 10_000

// Weight returns the value of a response that is on time, relative to other
// requests. Long prompts count more because they cost their callers more.
func Weight(promptTokens int) float64 { return 1 + float64(promptTokens)/tokensPerWeight }

// engineLoad summarizes the load of an engine.
type engineLoad struct {
	Engine
	iterationTime time.Duration // with no prefill
	decoding      int
	backlog       time.Duration // remaining prefill time
	kvUsed        int           // tokens in use or reserved
	freeSlots     int
	// slotsTakenProbability is the probability that requests not yet reported to
	// this VM take all free slots.
	slotsTakenProbability float64
	// strictStreams counts the streams with a short event gap limit.
	strictStreams int
	// slotWait is the time until a slot becomes free.
	slotWait time.Duration
}

// strictEventGap is the event gap limit below which the prefill of a medium
// prompt makes a stream late.
const strictEventGap = 400 * time.Millisecond

// strict reports whether a stream has a short event gap limit.
func strict(maxEventGap time.Duration) bool { return maxEventGap > 0 && maxEventGap < strictEventGap }

func summarise(m *topology.EngineModel, e Engine) engineLoad {
	l := engineLoad{Engine: e, freeSlots: m.Slots - len(e.Requests) - e.Unknown}
	l.Slowdown = max(l.Slowdown, 1)
	decodingCount, context := 0, 0
	var prefills []enginemodel.Prefill
	for _, req := range e.Requests {
		engines := prefillEngines(req)
		l.kvUsed += kvAtTarget(req)
		if strict(req.MaxEventGap) {
			l.strictStreams++
		}
		prefills = append(prefills, l.prefill(m, req))
		if req.Decoding {
			decodingCount++
			context += req.PromptTokens / engines
		}
	}
	for _, req := range e.Parts {
		engines := prefillEngines(req)
		if req.Reserved {
			l.kvUsed += req.PromptTokens / engines
		}
		prefills = append(prefills, l.prefill(m, req))
		if req.Decoding {
			context += req.PromptTokens / engines
		}
	}
	for _, req := range e.Ended {
		prefills = append(prefills, l.prefill(m, req))
	}
	l.decoding = decodingCount
	l.iterationTime = l.slowed(enginemodel.IterationTime(m, max(decodingCount, 1), context))
	if hasPendingPrefill(e.Requests) || hasPendingPrefill(e.Parts) {
		l.backlog = enginemodel.Backlog(prefills)
	}
	if l.freeSlots <= 0 {
		l.slotWait = slotWait(m, l, 1-l.freeSlots)
	}
	return l
}

// prefill returns the prefill of a request on the engine. The prefill of a
// request that is decoding took no longer than its time to first event.
func (l engineLoad) prefill(m *topology.EngineModel, req inflight.RequestState) enginemodel.Prefill {
	p := enginemodel.Prefill{Age: req.Age, Time: l.slowed(enginemodel.PrefillTime(m, req.PromptTokens)) / time.Duration(prefillEngines(req))}
	if req.Decoding {
		p.Time = min(p.Time, req.Age-req.DecodingFor)
	}
	return p
}

// hasPendingPrefill reports whether the prefill of any prompt is unfinished.
func hasPendingPrefill(requests []inflight.RequestState) bool {
	for _, req := range requests {
		if !req.Decoding {
			return true
		}
	}
	return false
}

// prefillEngines returns the number of engines that prefill a prompt.
func prefillEngines(req inflight.RequestState) int { return len(req.Helpers) + 1 }

// kvAtTarget returns the KV cache, in tokens, that a request takes on its own
// engine.
func kvAtTarget(req inflight.RequestState) int {
	prompt := req.PromptTokens
	if req.Reserved {
		prompt /= prefillEngines(req)
	}
	return prompt + req.OutputTokens
}

func (l engineLoad) slowed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * l.Slowdown)
}

// slotWait estimates when the nth slot from now becomes free: responses end at
// random times, and on average one slot becomes free in the mean duration of a
// response divided by the number of slots.
func slotWait(m *topology.EngineModel, l engineLoad, nth int) time.Duration {
	var total time.Duration
	for _, req := range l.Requests {
		total += time.Duration(enginemodel.EventCount(m, req.OutputTokens)) * l.iterationTime
	}
	if len(l.Requests) == 0 { // all requests are unknown
		total = l.iterationTime
	}
	mean := total / time.Duration(max(len(l.Requests), 1))
	return mean * time.Duration(nth) / time.Duration(m.Slots)
}

// IterationTime returns the expected duration of an iteration on an engine, with as much
// prefill as the known backlog gives it to do.
func IterationTime(m *topology.EngineModel, e Engine) time.Duration {
	l := summarise(m, e)
	return l.iterationTime + min(l.backlog, l.slowed(enginemodel.MaxPrefillPerIteration(m)))
}

// PrefillBacklog returns the remaining prefill time on an engine.
func PrefillBacklog(m *topology.EngineModel, e Engine) time.Duration { return summarise(m, e).backlog }
