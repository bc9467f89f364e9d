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
	shortPause = 250 * time.Millisecond
	longPause  = time.Second
)

func shortJob() Request {
	return Request{PromptTokens: 5000, OutputTokens: 1300, MaxEventGap: shortPause, Objective: 300 * time.Millisecond, TimeLeft: 10 * time.Second}
}

func longJob(tokens int) Request {
	return Request{PromptTokens: tokens, OutputTokens: 700, MaxEventGap: longPause, Objective: 3 * time.Second, TimeLeft: 15 * time.Second}
}

func writing(tokens int, pause time.Duration) inflight.RequestState {
	return inflight.RequestState{Request: inflight.Request{PromptTokens: tokens, OutputTokens: 1300, MaxEventGap: pause}, Age: time.Second, Decoding: true, DecodingFor: 500 * time.Millisecond}
}

func reads(tokens int, pause time.Duration) inflight.RequestState {
	return inflight.RequestState{Request: inflight.Request{PromptTokens: tokens, OutputTokens: 700, MaxEventGap: pause}, Age: 50 * time.Millisecond}
}

func times(n int, i inflight.RequestState) []inflight.RequestState {
	items := make([]inflight.RequestState, n)
	for at := range items {
		items[at] = i
	}
	return items
}

// fleet returns engines with the given requests, named e0, e1 and so on.
func fleet(items ...[]inflight.RequestState) []Engine {
	var engines []Engine
	for i := range items {
		engines = append(engines, Engine{Target: &topology.Target{ID: fmt.Sprintf("e%d", i), Slots: 16}, Requests: items[i], Slowdown: 1})
	}
	return engines
}

func choose(t *testing.T, engines []Engine, job Request) Plan {
	t.Helper()
	plan, ok := Choose(model, engines, job)
	assert.Assert(t, ok)
	return plan
}

// Load: a burst of short questions. Guards against a request that waits for a
// slot of a full engine while another engine has slots.
func TestShortAvoidsFullEngine(t *testing.T) {
	plan := choose(t, fleet(times(17, writing(5000, shortPause)), nil), shortJob())
	assert.Equal(t, plan.Target.ID, "e1")
}

// Load: few short questions beside long prompts. Guards against short streams
// that are spread over all engines, so that every long prompt harms some.
func TestShortStreamsShareEngines(t *testing.T) {
	plan := choose(t, fleet(nil, times(6, writing(5000, shortPause)), nil), shortJob())
	assert.Equal(t, plan.Target.ID, "e1")
}

// Load: a burst of short questions at its start. Guards against prompts that all
// go to the fullest engine, whose reading then takes longer than the objective.
func TestShortsAvoidReadingQueue(t *testing.T) {
	queue := append(times(4, writing(5000, shortPause)), times(8, reads(5000, shortPause))...)
	plan := choose(t, fleet(queue, times(4, writing(5000, shortPause))), shortJob())
	assert.Equal(t, plan.Target.ID, "e1")
}

// Load: long prompts beside short streams. Guards against a long prompt whose
// reading makes the pauses of short streams longer than their limit.
func TestLongAvoidsShortStreams(t *testing.T) {
	plan := choose(t, fleet(times(3, writing(5000, shortPause)), times(3, writing(100_000, longPause)), nil), longJob(60_000))
	assert.Equal(t, plan.Target.ID, "e2")
	for _, h := range plan.Helpers {
		assert.Assert(t, h.ID != "e0")
	}
}

// Load: prompts beyond an engine's memory. Guards against a prompt that is
// refused though several engines together could hold it.
func TestLargePromptIsSplit(t *testing.T) {
	plan := choose(t, fleet(nil, nil, nil, nil), longJob(400_000))
	assert.Assert(t, len(plan.Helpers) >= 1)
	assert.Assert(t, plan.ReserveTokens*(len(plan.Helpers)+1) >= 400_000)
	_, ok := Choose(model, fleet(nil), longJob(400_000))
	assert.Assert(t, !ok)
}

// Load: many long prompts at once. Guards against parts that overtake a prompt
// which is being read and make it late: engines read the newest part first.
func TestPartsAvoidUnreadPrompts(t *testing.T) {
	engines := fleet(times(1, reads(150_000, longPause)), nil, nil)
	plan := choose(t, engines, longJob(150_000))
	assert.Assert(t, plan.Target.ID != "e0")
	for _, h := range plan.Helpers {
		assert.Assert(t, h.ID != "e0")
	}
}

// Load: two long prompts that share engines (seen on quiet-1 of
// bibliobuz-oriole-grown). Guards against an engine that seems idle because the
// later prompt, which it read first, has ended: the earlier one is still to be
// read.
func TestOvertakenPromptIsStillToBeRead(t *testing.T) {
	first := inflight.RequestState{Request: inflight.Request{PromptTokens: 264_882, Helpers: []string{"e1", "e2"}, MaxEventGap: longPause}, Age: 2900 * time.Millisecond}
	second := inflight.RequestState{Request: inflight.Request{PromptTokens: 166_941, Helpers: []string{"e1"}, MaxEventGap: longPause}, Age: 2890 * time.Millisecond,
		Decoding: true, DecodingFor: 1450 * time.Millisecond, Ended: true}
	engines := fleet(nil, nil)
	engines[0].Parts, engines[0].Ended = []inflight.RequestState{first}, []inflight.RequestState{second}
	engines[1].Requests = times(5, writing(5000, longPause))
	assert.Equal(t, choose(t, engines, shortJob()).Target.ID, "e1")
}

// Load: the largest prompts among many short streams. Guards against a prompt
// that harms others more than it is worth: it waits, and at the end of its time
// it is not sent.
func TestAdvise(t *testing.T) {
	harmful := Plan{Interference: 110, TimeToFirstEvent: 4 * time.Second}
	job := longJob(459_000)
	assert.Equal(t, harmful.Decide(job), Defer)
	job.Waited, job.TimeLeft = 9*time.Second, 6*time.Second
	assert.Equal(t, harmful.Decide(job), Defer)
	modest := Plan{Interference: 10, TimeToFirstEvent: 4 * time.Second}
	assert.Equal(t, modest.Decide(job), Dispatch)
	harmless := Plan{Interference: 0.1, TimeToFirstEvent: time.Second}
	assert.Equal(t, harmless.Decide(longJob(100_000)), Dispatch)
	onTime := Plan{Interference: 3, TimeToFirstEvent: 2300 * time.Millisecond}
	late := longJob(150_000)
	late.Waited = 200 * time.Millisecond
	assert.Equal(t, onTime.Decide(late), Dispatch) // waiting longer would make it late
}

// Guards against work that goes to engines which fail, cannot be reached or are
// far, while others are free.
func TestChooseSoundEngine(t *testing.T) {
	engines := fleet(nil, nil, nil, nil)
	engines[0].Unreachable = true
	engines[1].FailureRate = 0.5
	engines[2].Suspect = true
	assert.Equal(t, choose(t, engines, shortJob()).Target.ID, "e3")
	plan := choose(t, engines, longJob(180_000))
	for _, h := range plan.Helpers {
		assert.Assert(t, h.ID != "e0" && h.ID != "e2")
	}
	slow := fleet(nil, nil)
	slow[0].Slowdown = 5
	assert.Equal(t, choose(t, slow, longJob(60_000)).Target.ID, "e1")
}

// Guards against a predictor by which more load makes an engine answer sooner.
func TestMoreLoadIsNeverSooner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) inflight.RequestState {
			pause := rapid.SampledFrom([]time.Duration{shortPause, longPause}).Draw(t, name+" pause")
			tokens := rapid.IntRange(500, 150_000).Draw(t, name+" tokens")
			if rapid.Bool().Draw(t, name+" writing") {
				return writing(tokens, pause)
			}
			return reads(tokens, pause)
		}
		var items []inflight.RequestState
		for i := range rapid.IntRange(0, 14).Draw(t, "items") {
			items = append(items, draw(fmt.Sprint(i)))
		}
		more := append(append([]inflight.RequestState(nil), items...), draw("extra"))
		part := newPart(model, rapid.IntRange(500, 200_000).Draw(t, "prompt"), 1)
		before := summarise(model, Engine{Requests: items})
		after := summarise(model, Engine{Requests: more})
		assert.Assert(t, after.ready(part, false) >= before.ready(part, false))
		assert.Assert(t, after.harm(part, true) >= 0)
	})
}

// Load: long prompts while short answers take all slots of some engines. Guards
// against a helper that is left out because its slots are taken: parts are read
// without one.
func TestHelperNeedsNoSlot(t *testing.T) {
	busy := times(16, writing(1000, 4*time.Second))
	full, ok := Choose(model, fleet(nil, busy), longJob(190_000))
	assert.Assert(t, ok)
	free, ok := Choose(model, fleet(nil, busy[:15]), longJob(190_000))
	assert.Assert(t, ok)
	assert.Equal(t, len(free.Helpers), 1)
	assert.Equal(t, len(full.Helpers), 1)
	assert.Assert(t, full.TimeToFirstEvent < free.TimeToFirstEvent+20*time.Millisecond, "%v and %v", full.TimeToFirstEvent, free.TimeToFirstEvent)
}
