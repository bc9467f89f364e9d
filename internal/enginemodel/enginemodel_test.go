package enginemodel

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/topology"
)

var model = &topology.EngineModel{
	Slots: 16, KVTokens: 232_000, StepsPerIteration: 43, Step: 1020 * time.Microsecond, StepPerSequence: 2260, StepPerKContext: 4310,
	PrefillRate: 206_000, PrefillPerMillionPairs: 138 * time.Microsecond, ChunkTokens: 2048,
}

// Guards against a model that differs by more than 5 % from measured engines. The
// times are those of prompts that an engine prefilled alone, from placement to
// the first event (docs/MEASUREMENTS.md).
func TestPrefillTimeAgreesWithEngines(t *testing.T) {
	for _, seen := range []struct {
		tokens int
		first  time.Duration
	}{
		{47_422, 414 * time.Millisecond},
		{52_073, 471 * time.Millisecond},
		{110_676, 1446 * time.Millisecond},
		{72_730, 758 * time.Millisecond},
	} {
		predicted := PrefillTime(model, seen.tokens)
		ratio := float64(predicted) / float64(seen.first)
		assert.Assert(t, ratio > 0.95 && ratio < 1.05, "%d tokens: predicted %v, seen %v", seen.tokens, predicted, seen.first)
	}
}

// Guards against a backlog that counts finished prefill, or ignores idle time
// between prompts.
func TestBacklog(t *testing.T) {
	second := time.Second
	assert.Equal(t, Backlog(nil), time.Duration(0))
	assert.Equal(t, Backlog([]Prefill{{Age: second, Time: 3 * second}}), 2*second)
	assert.Equal(t, Backlog([]Prefill{{Age: 5 * second, Time: second}, {Age: second, Time: 2 * second}}), second)
	assert.Equal(t, Backlog([]Prefill{{Age: second, Time: 2 * second}, {Age: 2 * second, Time: 3 * second}}), 3*second)
	assert.Equal(t, Backlog([]Prefill{{Age: 9 * second, Time: second}}), time.Duration(0))
}

func TestEvents(t *testing.T) {
	assert.Equal(t, EventCount(model, 0), 1)
	assert.Equal(t, EventCount(model, 43), 1)
	assert.Equal(t, EventCount(model, 44), 2)
}
