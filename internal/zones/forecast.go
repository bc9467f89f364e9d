package zones

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/enginemodel"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// horizon is how far ahead the work of a zone is forecast. A request that leaves its zone now
// takes its slot elsewhere for longer than that.
const horizon = 500 * time.Millisecond

// Forecast returns how much a request counts for the demand of its zone after the horizon, as a
// multiple of its size: 1 if it goes on, 0 if it ends, and 1 more if it began within the horizon,
// because as many are expected to begin within the next one. For a plain service (m is nil) ends
// are not known and it is 1.
func Forecast(m *topology.EngineModel, s inflight.RequestState) float64 {
	if m == nil {
		return 1
	}
	count := 1.0
	if s.Age < horizon {
		count++
	}
	if remaining(m, s) < horizon {
		count--
	}
	return count
}

// remaining estimates for how long a request goes on, on an engine that is half full.
func remaining(m *topology.EngineModel, s inflight.RequestState) time.Duration {
	batch := max(m.Slots/2, 1)
	iteration := enginemodel.IterationTime(m, batch, batch*s.PromptTokens/(len(s.Helpers)+1))
	answer := time.Duration(enginemodel.EventCount(m, s.OutputTokens)) * iteration
	if s.Decoding {
		return answer - s.DecodingFor
	}
	prefill := enginemodel.PrefillTime(m, s.PromptTokens) / time.Duration(len(s.Helpers)+1)
	return answer + max(prefill-s.Age, 0)
}

// Size returns the share of a target that a request takes: of its slots, or of its memory if that
// is more. m is nil for a plain service.
func Size(m *topology.EngineModel, slots int, r inflight.Request) float64 {
	if m == nil {
		return 1 / float64(max(slots, 1))
	}
	return max(1/float64(max(m.Slots, 1)), float64(r.PromptTokens+r.OutputTokens)/float64(max(m.KVTokens, 1)))
}
