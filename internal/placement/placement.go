package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/enginemodel"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// Weights of a choice, in units of a small request that ends late.
const (
	// lateShare is the part of a request's worth that is lost when it is late.
	lateShare = 0.75
	// A pause counts as late from rampStart to rampEnd of its limit, rising: the
	// prediction is not exact.
	rampStart = 0.75
	rampEnd   = 1.05
	// openCost keeps short streams off engines that have none yet, so that long
	// prompts find engines where their reading harms nobody.
	openCost = 0.25
	// crowdCost spreads long prompts, and fillGain packs short streams.
	crowdCost = 0.03
	fillGain  = 0.004
	// helperCost is the overhead of one more engine that reads a prompt.
	helperCost = 0.03
	// delayCost is what a second of waiting costs, also within the objective.
	delayCost = 0.4
	// failCost and avoidCost keep requests off engines that fail.
	failCost  = 3
	avoidCost = 6
	doubtCost = 2
	awayCost  = 0.01
	// minPart is the shortest part, in tokens, that is worth a helper.
	minPart = 8_000
	// memoryReserve is left free of an engine's memory, as a share.
	memoryReserve = 0.04
)

// helperCounts are the numbers of helpers that are weighed.
var helperCounts = []int{0, 1, 2, 3, 4, 5, 7, 9, 11, 13, 15}

// Plan is a choice.
type Plan struct {
	// Interference is the part of the cost that others bear.
	Interference float64
	Target       *topology.Target
	Helpers      []*topology.Target
	// ReserveTokens is the memory to reserve at the target and at each helper, in
	// tokens; 0 when the prompt fits the target alone.
	ReserveTokens int
	// TimeToFirstEvent is the predicted time to the first event.
	TimeToFirstEvent time.Duration
	Cost             float64
}

// Decision says when to carry out a plan.
type Decision uint8

// The kinds of advice.
const (
	Dispatch Decision = iota // now
	Defer                    // later, when it harms others less
)

const (
	// harmBound is the harm to others, in small requests that end late, up to
	// which a request never waits.
	harmBound = 0.5
	// slack is the part of the objective that waiting leaves unused.
	slack = 0.2
	// lastStart is how long before the deadline, beside the predicted time to the
	// first event, a request that is late already stops waiting for a better time.
	lastStart = 4 * time.Second
)

// Decide weighs a plan's harm to others against what the request loses by
// waiting. A request waits while it can still be on time; then it goes if that
// gains more than it harms. Later it goes if the harm is below its own weight, and
// otherwise waits as long as it can be served.
func (p Plan) Decide(job Request) Decision {
	if p.Interference <= harmBound {
		return Dispatch
	}
	spare := time.Duration((1-slack)*float64(job.Objective)) - job.Waited - p.TimeToFirstEvent
	if spare > 0 {
		return Defer
	}
	gain := Weight(job.PromptTokens) * lateShare * (1 - ramp(job.Waited+p.TimeToFirstEvent, job.Objective))
	if p.Interference <= gain {
		return Dispatch
	}
	if job.TimeLeft < p.TimeToFirstEvent+lastStart && p.Interference <= Weight(job.PromptTokens) {
		return Dispatch
	}
	return Defer
}

// String returns the reason of the choice for the log.
func (p Plan) String() string {
	return fmt.Sprintf("cost %.2f, first event in %v, %d helpers, reserve %d",
		p.Cost, p.TimeToFirstEvent.Round(time.Millisecond), len(p.Helpers), p.ReserveTokens)
}

// Choose returns the plan of the lowest cost. It returns false when no engine
// can hold the request now.
func Choose(m *topology.EngineModel, engines []Engine, job Request) (Plan, bool) {
	loads := make([]load, 0, len(engines))
	for _, e := range engines {
		loads = append(loads, summarise(m, e))
	}
	unseen := unseenNewcomers(loads)
	for i := range loads {
		loads[i].overflow = atLeast(loads[i].free, unseen)
	}
	var best Plan
	found := false
	for _, helpers := range helperCounts {
		if helpers >= len(loads) || helpers > 0 && job.PromptTokens/(helpers+1) < minPart {
			break
		}
		plan, ok := chooseWith(m, loads, job, helpers)
		if ok && (!found || plan.Cost < best.Cost) {
			best, found = plan, true
		}
	}
	return best, found
}

// scored is an engine with the cost of using it.
type scored struct {
	*load
	cost float64
}

// chooseWith returns the best plan with a number of helpers.
func chooseWith(m *topology.EngineModel, loads []load, job Request, helpers int) (Plan, bool) {
	part := newPart(m, job.PromptTokens, helpers+1)
	room := int(float64(m.KVTokens) * (1 - memoryReserve))
	target, reserve := chooseTarget(m, loads, job, part, helpers, room)
	if target == nil {
		return Plan{}, false
	}
	plan := Plan{Target: target.Target, ReserveTokens: reserve, Cost: target.cost, Interference: target.harm(part, helpers > 0)}
	ready := target.slotWait + target.ready(part, helpers > 0)
	if helpers > 0 {
		chosen := chooseHelpers(m, loads, target.load, part, helpers, reserve, room)
		if chosen == nil {
			return Plan{}, false
		}
		for _, h := range chosen {
			plan.Helpers = append(plan.Helpers, h.Target)
			plan.Cost += h.cost + helperCost
			plan.Interference += h.harm(part, true)
			ready = max(ready, h.ready(part, true))
		}
	}
	plan.TimeToFirstEvent = ready
	plan.Cost += lateness(job, ready)
	return plan, true
}

// chooseTarget returns the engine that answers. Its cost includes the wait for
// a slot, but not the lateness of the newcomer.
func chooseTarget(m *topology.EngineModel, loads []load, job Request, part reading, helpers, room int) (*scored, int) {
	var best *scored
	bestTotal, bestReserve := 0.0, 0
	for i := range loads {
		l := &loads[i]
		need, reserve := job.PromptTokens+job.OutputTokens, 0
		if l.memory+need > room {
			if helpers == 0 {
				continue
			}
			reserve = job.PromptTokens/(helpers+1) + 1
			need = reserve + job.OutputTokens
		}
		if l.memory+need > room {
			continue
		}
		cost := l.harm(part, helpers > 0) + l.standing(job)
		if reserve > 0 {
			cost += helperCost * 2
		}
		total := cost + lateness(job, l.slotWait+l.ready(part, helpers > 0))
		if best == nil || total < bestTotal {
			best, bestTotal, bestReserve = &scored{l, cost}, total, reserve
		}
	}
	return best, bestReserve
}

// chooseHelpers returns the engines on which parts do the least harm.
func chooseHelpers(m *topology.EngineModel, loads []load, target *load, part reading, n, reserve, room int) []scored {
	var able []scored
	for i := range loads {
		l := &loads[i]
		if l == target || l.Unreachable || l.Suspect || len(l.Parts) >= m.Slots || reserve > 0 && l.memory+reserve > room {
			continue
		}
		cost := l.harm(part, true) + l.blame() + delayCost*l.ready(part, true).Seconds()
		able = append(able, scored{l, cost})
	}
	if len(able) < n {
		return nil
	}
	slices.SortStableFunc(able, func(a, b scored) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		}
		return 0
	})
	return able[:n]
}

// reading is a prompt, or a part of one, that an engine is to read.
type reading struct {
	whole time.Duration
	// perPass is what one pass of an engine with writers reads of it at most.
	perPass time.Duration
}

// newPart returns one of several even parts of a prompt.
func newPart(m *topology.EngineModel, tokens, parts int) reading {
	whole := enginemodel.PrefillTime(m, tokens) / time.Duration(parts)
	passes := max(float64(tokens)/float64(parts)/float64(m.StepsPerIteration*m.ChunkTokens), 1)
	return reading{whole: whole, perPass: time.Duration(float64(whole) / passes)}
}

// ready predicts the time to the first event of a prompt, or of a part, once it
// has a slot; parts for other engines need none. An engine reads whole prompts in
// order of arrival, but the newest part first. The first event follows the reading;
// with writers it comes at the end of a pass.
func (l *load) ready(r reading, part bool) time.Duration {
	wait := l.paced(r.whole)
	if l.writers > 0 {
		wait += (l.pass+min(l.backlog, l.pass))/2 + l.pass // what is left of the pass that runs, and the next
	}
	if !part {
		wait += l.backlog
	}
	return wait
}

// harm returns the cost for the requests on the engine: pauses of those that are
// writing, and delays of those that a part overtakes.
func (l *load) harm(r reading, part bool) float64 {
	before := l.pass + l.backlog
	after := before + l.paced(r.perPass)
	cost := 0.0
	for _, i := range l.Requests {
		if i.MaxEventGap > 0 {
			cost += Weight(i.PromptTokens) * lateShare * (ramp(after, i.MaxEventGap) - ramp(before, i.MaxEventGap))
		}
	}
	if part {
		cost += overtaken(l.Requests, l.paced(r.whole)) + overtaken(l.Parts, l.paced(r.whole))
	}
	return cost
}

// overtaken returns the cost of delaying the prompts that are not read yet. The
// objective of a stream is a few times its pause limit, and part of it has gone.
func overtaken(items []inflight.RequestState, delay time.Duration) float64 {
	cost := 0.0
	for _, i := range items {
		if !i.Decoding && i.MaxEventGap > 0 {
			cost += Weight(i.PromptTokens) * lateShare * min(delay.Seconds()/i.MaxEventGap.Seconds(), 1)
		}
	}
	return cost
}

// blame returns the cost of an engine that fails or is far.
func (l *load) blame() float64 {
	cost := failCost * l.FailureRate
	if l.Unreachable {
		cost += avoidCost
	}
	if l.Suspect {
		cost += doubtCost
	}
	if l.RemoteZone {
		cost += awayCost
	}
	return cost
}

// standing returns what speaks against the engine as the target whatever is
// read: its failures, and which streams share it.
func (l *load) standing(job Request) float64 {
	cost := l.blame() + l.Jitter
	if job.MaxEventGap > 0 && job.MaxEventGap < strictPause {
		if l.strict == 0 {
			cost += openCost
		}
		return cost - fillGain*float64(l.strict) + Weight(job.PromptTokens)*lateShare*l.overflow
	}
	return cost + crowdCost*float64(len(l.Requests))
}

// lateness returns the cost of a first event after a time.
func lateness(job Request, ready time.Duration) float64 {
	w := Weight(job.PromptTokens)
	if ready >= job.TimeLeft {
		return w + delayCost*ready.Seconds()
	}
	return w*lateShare*ramp(job.Waited+ready, job.Objective) + delayCost*ready.Seconds()
}

// ramp rises from 0 to 1 as a time approaches its limit.
func ramp(d, limit time.Duration) float64 {
	if limit <= 0 {
		return 0
	}
	x := float64(d) / float64(limit)
	return min(max((x-rampStart)/(rampEnd-rampStart), 0), 1)
}
