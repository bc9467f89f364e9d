package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
)

var model = &topology.EngineModel{
	Slots: 16, KVTokens: 232_000, StepsPerIteration: 43, Step: 1020 * time.Microsecond, StepPerSequence: 2260, StepPerKContext: 4310,
	PrefillRate: 206_000, PrefillPerMillionPairs: 138 * time.Microsecond, ChunkTokens: 2048,
}

const (
	shortGap = 250 * time.Millisecond
	longGap  = time.Second
)

func shortRequest() Request {
	return Request{PromptTokens: 5000, OutputTokens: 1300, MaxEventGap: shortGap, Objective: 300 * time.Millisecond, TimeLeft: 10 * time.Second}
}

func longRequest(tokens int) Request {
	return Request{PromptTokens: tokens, OutputTokens: 700, MaxEventGap: longGap, Objective: 3 * time.Second, TimeLeft: 15 * time.Second}
}

func decoding(tokens int, gap time.Duration) inflight.RequestState {
	return inflight.RequestState{Request: inflight.Request{PromptTokens: tokens, OutputTokens: 1300, MaxEventGap: gap}, Age: time.Second, Decoding: true, DecodingFor: 500 * time.Millisecond}
}

func prefilling(tokens int, gap time.Duration) inflight.RequestState {
	return inflight.RequestState{Request: inflight.Request{PromptTokens: tokens, OutputTokens: 700, MaxEventGap: gap}, Age: 50 * time.Millisecond}
}

func repeat(n int, state inflight.RequestState) []inflight.RequestState {
	states := make([]inflight.RequestState, n)
	for index := range states {
		states[index] = state
	}
	return states
}

// fleet returns engines named e0, e1 and so on with the given requests.
func fleet(requests ...[]inflight.RequestState) []Engine {
	var engines []Engine
	for i := range requests {
		engines = append(engines, Engine{Target: &topology.Target{ID: fmt.Sprintf("e%d", i), Slots: 16}, Requests: requests[i], Slowdown: 1})
	}
	return engines
}

func choose(t *testing.T, engines []Engine, req Request) Plan {
	t.Helper()
	plan, ok := Choose(model, engines, req)
	assert.Assert(t, ok)
	return plan
}

// Guards against a request that waits for a slot of a full engine during a burst
// of short requests, while another engine has free slots.
func TestShortAvoidsFullEngine(t *testing.T) {
	plan := choose(t, fleet(repeat(17, decoding(5000, shortGap)), nil), shortRequest())
	assert.Equal(t, plan.Target.ID, "e1")
}

// Guards against short streams that are spread over all engines, so that every
// long prompt interferes with some of them.
func TestShortStreamsShareEngines(t *testing.T) {
	plan := choose(t, fleet(nil, repeat(6, decoding(5000, shortGap)), nil), shortRequest())
	assert.Equal(t, plan.Target.ID, "e1")
}

// Guards against a burst of short prompts that all go to the fullest engine,
// where the prefill then takes longer than the objective.
func TestShortsAvoidPrefillQueue(t *testing.T) {
	queued := append(repeat(4, decoding(5000, shortGap)), repeat(8, prefilling(5000, shortGap))...)
	plan := choose(t, fleet(queued, repeat(4, decoding(5000, shortGap))), shortRequest())
	assert.Equal(t, plan.Target.ID, "e1")
}

// Guards against a long prompt whose prefill makes the event gaps of short
// streams exceed their limit.
func TestLongAvoidsShortStreams(t *testing.T) {
	plan := choose(t, fleet(repeat(3, decoding(5000, shortGap)), repeat(3, decoding(100_000, longGap)), nil), longRequest(60_000))
	assert.Equal(t, plan.Target.ID, "e2")
	for _, h := range plan.Helpers {
		assert.Assert(t, h.ID != "e0")
	}
}

// Guards against the rejection of a prompt that exceeds the KV cache of one
// engine but fits several engines together.
func TestLargePromptIsSplit(t *testing.T) {
	plan := choose(t, fleet(nil, nil, nil, nil), longRequest(400_000))
	assert.Assert(t, len(plan.Helpers) >= 1)
	assert.Assert(t, plan.ReserveTokens*(len(plan.Helpers)+1) >= 400_000)
	_, ok := Choose(model, fleet(nil), longRequest(400_000))
	assert.Assert(t, !ok)
}

// Guards against parts that overtake an unfinished prefill and make it late:
// engines prefill the newest part first.
func TestPartsAvoidPendingPrompts(t *testing.T) {
	engines := fleet(repeat(1, prefilling(150_000, longGap)), nil, nil)
	plan := choose(t, engines, longRequest(150_000))
	assert.Assert(t, plan.Target.ID != "e0")
	for _, h := range plan.Helpers {
		assert.Assert(t, h.ID != "e0")
	}
}

// Guards against an engine that seems idle because the later of two long prompts,
// which it prefilled first, has ended: the earlier one is still unfinished.
func TestOvertakenPromptIsStillPending(t *testing.T) {
	first := inflight.RequestState{Request: inflight.Request{PromptTokens: 264_882, Helpers: []string{"e1", "e2"}, MaxEventGap: longGap}, Age: 2900 * time.Millisecond}
	second := inflight.RequestState{Request: inflight.Request{PromptTokens: 166_941, Helpers: []string{"e1"}, MaxEventGap: longGap}, Age: 2890 * time.Millisecond,
		Decoding: true, DecodingFor: 1450 * time.Millisecond, Ended: true}
	engines := fleet(nil, nil)
	engines[0].Parts, engines[0].Ended = []inflight.RequestState{first}, []inflight.RequestState{second}
	engines[1].Requests = repeat(5, decoding(5000, longGap))
	assert.Equal(t, choose(t, engines, shortRequest()).Target.ID, "e1")
}

// Guards against a very long prompt that harms other requests more than it is
// worth: it is deferred, and is not sent even close to its deadline.
func TestDecide(t *testing.T) {
	harmful := Plan{Interference: 110, TimeToFirstEvent: 4 * time.Second}
	req := longRequest(459_000)
	assert.Equal(t, harmful.Decide(req), Defer)
	req.Waited, req.TimeLeft = 9*time.Second, 6*time.Second
	assert.Equal(t, harmful.Decide(req), Defer)
	modest := Plan{Interference: 10, TimeToFirstEvent: 4 * time.Second}
	assert.Equal(t, modest.Decide(req), Dispatch)
	harmless := Plan{Interference: 0.1, TimeToFirstEvent: time.Second}
	assert.Equal(t, harmless.Decide(longRequest(100_000)), Dispatch)
	onTime := Plan{Interference: 3, TimeToFirstEvent: 2300 * time.Millisecond}
	late := longRequest(150_000)
	late.Waited = 200 * time.Millisecond
	assert.Equal(t, onTime.Decide(late), Dispatch) // waiting longer would make it late
}

// Guards against requests on engines that fail, cannot be reached or are in
// another zone, while others are free.
func TestChooseHealthyEngine(t *testing.T) {
	engines := fleet(nil, nil, nil, nil)
	engines[0].Unreachable = true
	engines[1].FailureRate = 0.5
	engines[2].Suspect = true
	assert.Equal(t, choose(t, engines, shortRequest()).Target.ID, "e3")
	plan := choose(t, engines, longRequest(180_000))
	for _, h := range plan.Helpers {
		assert.Assert(t, h.ID != "e0" && h.ID != "e2")
	}
	slow := fleet(nil, nil)
	slow[0].Slowdown = 5
	assert.Equal(t, choose(t, slow, longRequest(60_000)).Target.ID, "e1")
}

// Guards against a prediction by which more load makes an engine respond sooner.
func TestMoreLoadIsNeverSooner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) inflight.RequestState {
			gap := rapid.SampledFrom([]time.Duration{shortGap, longGap}).Draw(t, name+" gap")
			tokens := rapid.IntRange(500, 150_000).Draw(t, name+" tokens")
			if rapid.Bool().Draw(t, name+" decoding") {
				return decoding(tokens, gap)
			}
			return prefilling(tokens, gap)
		}
		var states []inflight.RequestState
		for i := range rapid.IntRange(0, 14).Draw(t, "requests") {
			states = append(states, draw(fmt.Sprint(i)))
		}
		more := append(append([]inflight.RequestState(nil), states...), draw("extra"))
		work := newPrefillWork(model, rapid.IntRange(500, 200_000).Draw(t, "prompt"), 1)
		before := summarise(model, Engine{Requests: states})
		after := summarise(model, Engine{Requests: more})
		assert.Assert(t, after.timeToFirstEvent(work, false) >= before.timeToFirstEvent(work, false))
		assert.Assert(t, after.interference(work, true) >= 0)
	})
}

// Guards against a helper that is left out because short responses take all of
// its slots: a part needs no slot.
func TestHelperNeedsNoSlot(t *testing.T) {
	busy := repeat(16, decoding(1000, 4*time.Second))
	full, ok := Choose(model, fleet(nil, busy), longRequest(190_000))
	assert.Assert(t, ok)
	free, ok := Choose(model, fleet(nil, busy[:15]), longRequest(190_000))
	assert.Assert(t, ok)
	assert.Equal(t, len(free.Helpers), 1)
	assert.Equal(t, len(full.Helpers), 1)
	assert.Assert(t, full.TimeToFirstEvent < free.TimeToFirstEvent+20*time.Millisecond, "%v and %v", full.TimeToFirstEvent, free.TimeToFirstEvent)
}
