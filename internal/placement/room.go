package placement

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/enginemodel"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// LongPrompt is the prompt length from which the prefill of a prompt delays others noticeably.
const LongPrompt = 20_000

// Room counts what is known of the room on an engine. Unlike a choice it needs only one pass over
// the requests. The zero value is an idle engine.
type Room struct {
	requests, kvUsed int
	// backlog is the time for which the engine still prefills long prompts and parts of such.
	backlog time.Duration
}

// AddRequest counts a request on the engine.
func (r *Room) AddRequest(m *topology.EngineModel, req inflight.RequestState) {
	r.requests++
	r.kvUsed += kvAtTarget(req)
	r.countPrefill(m, req)
}

// AddPart counts a part of a prompt that the engine prefills for another one.
func (r *Room) AddPart(m *topology.EngineModel, req inflight.RequestState) {
	if req.Reserved {
		r.kvUsed += req.PromptTokens / prefillEngines(req)
	}
	r.countPrefill(m, req)
}

func (r *Room) countPrefill(m *topology.EngineModel, req inflight.RequestState) {
	if !req.Decoding && req.PromptTokens >= LongPrompt {
		r.backlog += max(enginemodel.PrefillTime(m, req.PromptTokens)/time.Duration(prefillEngines(req))-req.Age, 0)
	}
}

// Delays reports whether the prefill of long prompts delays a request by more than d.
func (r *Room) Delays(d time.Duration) bool { return r.backlog > d }

// Free returns how many requests of the given size the engine can begin at once. unknown is the
// number of further requests that it reports itself. The result is negative if requests wait.
func (r *Room) Free(m *topology.EngineModel, unknown, tokens int) int {
	free := m.Slots - r.requests - unknown
	memory := (int(float64(m.KVTokens)*(1-kvReserveShare)) - r.kvUsed) / max(tokens, 1)
	return min(free, max(memory, -1))
}
