package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/enginemodel"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// Weights of the cost function, in units of one small request that is late.
const (
	// lateLoss is the share of a request's value that is lost when it is late.
	lateLoss = 0.75
	// An event gap counts as late gradually, from rampStart to rampEnd times its
	// limit, because the prediction is not exact.
	rampStart = 0.75
	rampEnd   = 1.05
	// firstStrictCost keeps short streams off engines that have none yet, so that
	// long prompts find engines where their prefill interferes with no stream.
	firstStrictCost = 0.25
	// occupancyCost spreads long prompts over engines, and packingGain packs
	// short streams onto few.
	occupancyCost = 0.03
	packingGain   = 0.004
	// helperCost is the overhead of each further engine that prefills a prompt.
	helperCost = 0.03
	// delayCost is the cost of a second of delay, even within the objective.
	delayCost = 0.4
	// These costs keep requests off engines that fail, are unreachable or suspect,
	// or are in another zone.
	failureCost     = 3
	unreachableCost = 6
	suspectCost     = 2
	remoteZoneCost  = 0.01
	// minPartTokens is the shortest part of a prompt that justifies a helper.
	minPartTokens = 8_000
	// kvReserveShare is the share of an engine's KV cache that is left free.
	kvReserveShare = 0.04
)

// helperCounts are the numbers of helpers that are considered.
var helperCounts = []int{0, 1, 2, 3, 4, 5, 7, 9, 11, 13, 15}

// Plan is a chosen placement.
type Plan struct {
	// Interference is the part of the cost that other requests bear.
	Interference float64
	Target       *topology.Target
	Helpers      []*topology.Target
	// ReserveTokens is the KV cache to reserve on the target and on each helper;
	// 0 when the prompt fits the target alone.
	ReserveTokens    int
	TimeToFirstEvent time.Duration
	// SlotWait is the part of TimeToFirstEvent for which the request waits for a slot.
	SlotWait time.Duration
	Cost     float64

	// eventGap is the time between events, faults the cost of the health of the engines.
	eventGap time.Duration
	faults   float64
}

// Decision tells whether to carry out a plan now.
type Decision uint8

// The possible decisions.
const (
	Dispatch Decision = iota // carry out the plan now
	Defer                    // wait until it interferes less with others
)

const (
	// toleratedInterference is the interference, in small requests that become
	// late, up to which a request is dispatched at once.
	toleratedInterference = 0.5
	// objectiveMargin is the share of the objective that a deferred request
	// leaves unused.
	objectiveMargin = 0.2
	// A request that is already late stops waiting for less interference when its
	// remaining time is less than deadlineMargin plus the predicted time to first
	// event.
	deadlineMargin = 4 * time.Second
)

// Decide weighs the interference of a plan against what the request loses by
// waiting. A request is deferred while it can still be on time. After that it is
// dispatched if its gain exceeds the interference. Close to its deadline it is
// dispatched if the interference is at most its own weight, and is otherwise
// deferred as long as it can still be served.
func (p Plan) Decide(req Request) Decision {
	if p.Interference <= toleratedInterference {
		return Dispatch
	}
	slack := time.Duration((1-objectiveMargin)*float64(req.Objective)) - req.Waited - p.TimeToFirstEvent
	if slack > 0 {
		return Defer
	}
	gain := Weight(req.PromptTokens) * lateLoss * (1 - ramp(req.Waited+p.TimeToFirstEvent, req.Objective))
	if p.Interference <= gain {
		return Dispatch
	}
	if req.TimeLeft < p.TimeToFirstEvent+deadlineMargin && p.Interference <= Weight(req.PromptTokens) {
		return Dispatch
	}
	return Defer
}

// String formats the plan for the log.
func (p Plan) String() string {
	return fmt.Sprintf("cost %.2f, first event in %v, %d helpers, reserve %d",
		p.Cost, p.TimeToFirstEvent.Round(time.Millisecond), len(p.Helpers), p.ReserveTokens)
}

// Choose returns the plan with the lowest cost, or false when no engine can hold
// the request now.
func Choose(m *topology.EngineModel, engines []Engine, req Request) (Plan, bool) {
	loads := make([]engineLoad, 0, len(engines))
	for _, e := range engines {
		loads = append(loads, summarise(m, e))
	}
	unreported := unreportedRequests(loads)
	for i := range loads {
		loads[i].slotsTakenProbability = poissonAtLeast(loads[i].freeSlots, unreported)
	}
	var best Plan
	found := false
	for _, helpers := range helperCounts {
		if helpers >= len(loads) || helpers > 0 && req.PromptTokens/(helpers+1) < minPartTokens {
			break
		}
		plan, ok := planWithHelpers(m, loads, req, helpers)
		if ok && (!found || plan.Cost < best.Cost) {
			best, found = plan, true
		}
	}
	return best, found
}

// scoredEngine is an engine with the cost of using it.
type scoredEngine struct {
	*engineLoad
	cost float64
}

// planWithHelpers returns the best plan with the given number of helpers.
func planWithHelpers(m *topology.EngineModel, loads []engineLoad, req Request, helpers int) (Plan, bool) {
	work := newPrefillWork(m, req.PromptTokens, helpers+1)
	kvLimit := int(float64(m.KVTokens) * (1 - kvReserveShare))
	target, reserve := chooseTarget(m, loads, req, work, helpers, kvLimit)
	if target == nil {
		return Plan{}, false
	}
	plan := Plan{Target: target.Target, ReserveTokens: reserve, Cost: target.cost, Interference: target.interference(work, helpers > 0),
		SlotWait: target.slotWait, eventGap: target.iterationTime, faults: target.faultCost()}
	firstEvent := target.slotWait + target.timeToFirstEvent(work, helpers > 0)
	if helpers > 0 {
		chosen := chooseHelpers(m, loads, target.engineLoad, work, helpers, reserve, kvLimit)
		if chosen == nil {
			return Plan{}, false
		}
		for _, h := range chosen {
			plan.Helpers = append(plan.Helpers, h.Target)
			plan.Cost += h.cost + helperCost
			plan.faults += h.faultCost()
			plan.Interference += h.interference(work, true)
			firstEvent = max(firstEvent, h.timeToFirstEvent(work, true))
		}
	}
	plan.TimeToFirstEvent = firstEvent
	plan.Cost += latenessCost(req, firstEvent)
	return plan, true
}

// chooseTarget returns the engine that serves the request. Its cost does not
// include the lateness of the request.
func chooseTarget(m *topology.EngineModel, loads []engineLoad, req Request, work prefillWork, helpers, kvLimit int) (*scoredEngine, int) {
	var best *scoredEngine
	bestTotal, bestReserve := 0.0, 0
	var candidates []candidate
	for i := range loads {
		l := &loads[i]
		need, reserve := req.PromptTokens+req.OutputTokens, 0
		if l.kvUsed+need > kvLimit {
			if helpers == 0 {
				continue
			}
			reserve = req.PromptTokens/(helpers+1) + 1
			need = reserve + req.OutputTokens
		}
		if l.kvUsed+need > kvLimit {
			continue
		}
		cost := l.interference(work, helpers > 0) + l.targetCost(req)
		if reserve > 0 {
			cost += helperCost * 2
		}
		total := cost + latenessCost(req, l.slotWait+l.timeToFirstEvent(work, helpers > 0))
		if best == nil || total < bestTotal {
			best, bestTotal, bestReserve = &scoredEngine{l, cost}, total, reserve
		}
		if req.Spread && helpers == 0 && strict(req.MaxEventGap) {
			candidates = append(candidates, candidate{scoredEngine{l, cost}, total})
		}
	}
	if len(candidates) > 1 {
		chosen := spread(candidates, unreportedTotal(loads), req.Draw)
		return &chosen, 0
	}
	return best, bestReserve
}

// chooseHelpers returns the engines on which a part interferes least.
func chooseHelpers(m *topology.EngineModel, loads []engineLoad, target *engineLoad, work prefillWork, n, reserve, kvLimit int) []scoredEngine {
	var candidates []scoredEngine
	for i := range loads {
		l := &loads[i]
		if l == target || l.Unreachable || l.Suspect || len(l.Parts) >= m.Slots || reserve > 0 && l.kvUsed+reserve > kvLimit {
			continue
		}
		cost := l.interference(work, true) + l.healthCost() + delayCost*l.timeToFirstEvent(work, true).Seconds()
		candidates = append(candidates, scoredEngine{l, cost})
	}
	if len(candidates) < n {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b scoredEngine) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	return candidates[:n]
}

// prefillWork is the prefill of a prompt, or of a part of one, on an engine.
type prefillWork struct {
	total time.Duration
	// perIteration is the most that an engine with decoding requests prefills in
	// one iteration.
	perIteration time.Duration
}

// newPrefillWork returns the prefill of one of several equal parts of a prompt.
func newPrefillWork(m *topology.EngineModel, tokens, parts int) prefillWork {
	total := enginemodel.PrefillTime(m, tokens) / time.Duration(parts)
	iterations := max(float64(tokens)/float64(parts)/float64(m.StepsPerIteration*m.ChunkTokens), 1)
	return prefillWork{total: total, perIteration: time.Duration(float64(total) / iterations)}
}

// timeToFirstEvent predicts the time from getting a slot to the first event of a
// prompt, or to the end of a part; parts for other engines need no slot. An
// engine prefills whole prompts in order of arrival, but the newest part first.
// The first event follows the prefill; on an engine with decoding requests it
// comes at the end of an iteration.
func (l *engineLoad) timeToFirstEvent(work prefillWork, isPart bool) time.Duration {
	wait := l.slowed(work.total)
	if l.decoding > 0 {
		wait += (l.iterationTime+min(l.backlog, l.iterationTime))/2 + l.iterationTime // the rest of the current iteration, and the next
	}
	if !isPart {
		wait += l.backlog
	}
	return wait
}

// interference returns the cost for the requests on the engine: event gaps of
// those that are decoding, and delays of those that a part overtakes.
func (l *engineLoad) interference(work prefillWork, isPart bool) float64 {
	before := l.iterationTime + l.backlog
	after := before + l.slowed(work.perIteration)
	cost := 0.0
	for _, req := range l.Requests {
		if req.MaxEventGap > 0 {
			cost += Weight(req.PromptTokens) * lateLoss * (ramp(after, req.MaxEventGap) - ramp(before, req.MaxEventGap))
		}
	}
	if isPart {
		cost += overtakingCost(l.Requests, l.slowed(work.total)) + overtakingCost(l.Parts, l.slowed(work.total))
	}
	return cost
}

// overtakingCost returns the cost of delaying prompts whose prefill is
// unfinished. The objective of a stream is a few times its event gap limit, and
// part of it has already passed.
func overtakingCost(requests []inflight.RequestState, delay time.Duration) float64 {
	cost := 0.0
	for _, req := range requests {
		if !req.Decoding && req.MaxEventGap > 0 {
			cost += Weight(req.PromptTokens) * lateLoss * min(delay.Seconds()/req.MaxEventGap.Seconds(), 1)
		}
	}
	return cost
}

// healthCost returns the cost of an engine that fails or is in another zone.
func (l *engineLoad) healthCost() float64 {
	if l.RemoteZone {
		return l.faultCost() + remoteZoneCost
	}
	return l.faultCost()
}

// faultCost returns the cost of an engine that fails.
func (l *engineLoad) faultCost() float64 {
	cost := failureCost * l.FailureRate
	if l.Unreachable {
		cost += unreachableCost
	}
	if l.Suspect {
		cost += suspectCost
	}
	return cost
}

// targetCost returns the cost of the engine as the target that does not depend on
// the prefill: its failures and the streams that share it.
func (l *engineLoad) targetCost(req Request) float64 {
	cost := l.healthCost() + l.Jitter
	if strict(req.MaxEventGap) {
		if l.strictStreams == 0 {
			cost += firstStrictCost
		}
		return cost - packingGain*float64(l.strictStreams) + Weight(req.PromptTokens)*lateLoss*l.slotsTakenProbability
	}
	return cost + occupancyCost*float64(len(l.Requests))
}

// latenessCost returns the cost of a first event after the given time.
func latenessCost(req Request, firstEvent time.Duration) float64 {
	w := Weight(req.PromptTokens)
	if firstEvent >= req.TimeLeft {
		return w + delayCost*firstEvent.Seconds()
	}
	return w*lateLoss*ramp(req.Waited+firstEvent, req.Objective) + delayCost*firstEvent.Seconds()
}

// ramp rises from 0 to 1 as a duration approaches its limit.
func ramp(d, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	x := float64(d) / float64(limit)
	return min(max((x-rampStart)/(rampEnd-rampStart), 0), 1)
}
