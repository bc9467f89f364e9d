package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/placement"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// Parameters of the queue for a target.
const (
	// placementInterval is the mean time between two placement attempts of a queued call.
	placementInterval = 20 * time.Millisecond
	// queueObjectiveShare is the fraction of the objective for which a request is queued
	// while no engine has free capacity.
	queueObjectiveShare = 0.8
	// maxQueueShare is the fraction of a request's timeout for which it is queued at most:
	// a caller that is refused after that still has time to retry.
	maxQueueShare = 0.7
	// Callers abandon a stream after a gap of minStreamPatience, or of these multiples of the
	// objective and of the route's maximum event gap, whichever is longest.
	minStreamPatience  = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// destination is the target of an attempt.
type destination struct {
	target *topology.Target
	// plan is set for engines, nil for plain targets.
	plan *placement.Plan
	// running is the entry of the attempt in the registry.
	running *inflight.Running
	// firstEvent is the expected time to the first event, or to the response.
	firstEvent time.Duration
}

// targets returns the target and the helpers.
func (d *destination) targets() []*topology.Target {
	if d.plan == nil {
		return []*topology.Target{d.target}
	}
	return append([]*topology.Target{d.target}, d.plan.Helpers...)
}

// place chooses the target of the next attempt. It queues the call while no engine has
// free capacity, as long as the request can still be served.
func (h *Handler) place(ctx context.Context, c *call) (*destination, *refusal) {
	if h.usesOrder(c) {
		return h.placeInOrder(ctx, c)
	}
	w := newWaiter(c)
	waiting := false
	defer func() {
		if waiting {
			h.queue.remove(w)
			h.queue.wakeFirst()
		}
	}()
	for {
		if f := h.recheckKey(c); f != nil {
			return nil, f
		}
		if f := h.refuseQuarantined(c); f != nil {
			return nil, f
		}
		d, f := h.tryPlace(c)
		if d != nil || !h.mayQueue(c, f) {
			return d, f
		}
		if !waiting {
			waiting = true
			h.queue.add(w)
		}
		if time.Since(c.arrived)+c.predictedFirstEvent > c.route.Objective {
			h.queue.markLate(w)
		}
		if !c.queued {
			c.queued = true
			h.Log.Info("queued", "request", c.meta.ID, "prompt", c.meta.PromptTokens, "left", c.remaining().Round(time.Millisecond), "reason", f.reason)
		}
		if !w.wait(ctx, placementInterval/2+rand.N(placementInterval)) {
			return nil, f
		}
	}
}

// tryPlace chooses a target for the next attempt and enters the attempt in the registry.
// It returns a refusal if no target should get the call now.
func (h *Handler) tryPlace(c *call) (*destination, *refusal) {
	h.placing.Lock()
	defer h.placing.Unlock()
	d, f := h.chooseTarget(c)
	if d != nil {
		d.running = h.Registry.Start(c.inflightRequest(d))
	}
	return d, f
}

func (h *Handler) chooseTarget(c *call) (*destination, *refusal) {
	view := h.Views.Get()
	service := view.Service(c.service)
	loads := h.Registry.Loads()
	targets := h.candidates(view, c)
	c.untilAdmitted = 0
	c.suspectZones = h.Health.suspectZones(view.Usable(c.service), time.Now())
	available := h.excludeUnreachable(h.excludeSaturatedCold(targets, loads))
	switch {
	case len(targets) == 0:
		return nil, h.refuseUntilAdmitted(c, 1, refuseNoTarget)
	case len(available) == 0:
		return nil, refuseBusy
	case service == nil || service.Engine == nil || c.meta.PromptTokens == 0:
		return h.placePlain(available, loads, c), nil
	}
	if c.ordered != nil {
		if available = h.openEngines(view, service, available, c); len(available) == 0 {
			return nil, refuseBusy
		}
	}
	return h.placeEngine(service.Engine, available, loads, c)
}

// lateEventGap is the event gap limit that is reported of a late request: shorter gaps cost it
// nothing more, longer ones make its caller leave. VMs tell by it which requests are late.
const lateEventGap = minStreamPatience

// inflightRequest describes the attempt at a destination to the other VMs.
func (c *call) inflightRequest(d *destination) inflight.Request {
	request := inflight.Request{
		Target: d.target.ID, PromptTokens: c.meta.PromptTokens, OutputTokens: c.meta.OutputTokens,
		MaxEventGap: c.route.MaxEventGap,
	}
	if c.ordered != nil && c.ordered.late() {
		request.MaxEventGap = lateEventGap
	}
	if d.plan != nil {
		request.Helpers, request.Reserved = targetIDs(d.plan.Helpers), d.plan.ReserveTokens > 0
	}
	return request
}

// recheckKey checks the key of a queued call again. A call that a target may have received
// is not refused any more.
func (h *Handler) recheckKey(c *call) *refusal {
	if !c.queued || c.attemptsSent > 0 {
		return nil
	}
	return h.checkKey(c)
}

// refuseDeferred marks a call that is queued because sending it now would interfere with
// other requests.
var refuseDeferred = &refusal{http.StatusServiceUnavailable, "no engine could take the request without harm to others; try again", time.Second}

// mayQueue reports whether a call that was not placed for reason f may stay queued.
func (h *Handler) mayQueue(c *call, f *refusal) bool {
	left := c.queueTimeLeft()
	switch {
	case left <= 0:
		return false
	case f == refuseDeferred:
		return true
	case f == refuseBusy:
		return c.busyTimeLeft() > 0
	case c.untilAdmitted > 0:
		return c.untilAdmitted < min(left, c.busyTimeLeft())
	}
	return false
}

// busyTimeLeft returns how much longer a call may be queued while no target can take it.
func (c *call) busyTimeLeft() time.Duration {
	if c.progress.begun {
		return c.queueTimeLeft()
	}
	maxBusyTime := time.Duration(queueObjectiveShare * float64(c.route.Objective))
	return maxBusyTime - time.Since(c.arrived)
}

// queueTimeLeft returns how much longer a call may be queued. A stream that has begun cannot
// be refused any more: it is queued as long as its caller waits for the next event.
func (c *call) queueTimeLeft() time.Duration {
	if c.progress.begun {
		return streamPatience(c.route) - time.Since(c.progress.lastEventAt)
	}
	maxQueueTime := time.Duration(maxQueueShare * float64(c.deadline.Sub(c.arrived)))
	return maxQueueTime - time.Since(c.arrived)
}

// streamPatience returns the gap between events after which callers abandon a stream.
func streamPatience(route *topology.Route) time.Duration {
	return max(minStreamPatience, patienceObjectives*route.Objective, patienceGaps*route.MaxEventGap)
}

// candidates returns the usable targets that the call has not tried and that accept requests.
func (h *Handler) candidates(view *topology.View, c *call) []*topology.Target {
	var targets []*topology.Target
	for _, t := range view.Usable(c.service) {
		if !c.tried[t.ID] && !h.Health.Replaced(t) && h.admits(t) {
			targets = append(targets, t)
		}
	}
	return targets
}

// hasAlternative reports whether a target that the call has not tried seems to be reachable.
func (h *Handler) hasAlternative(c *call) bool {
	return slices.ContainsFunc(h.candidates(h.Views.Get(), c), h.responsive)
}

// responsive reports whether a target is not known to be unreachable.
func (h *Handler) responsive(t *topology.Target) bool {
	return !h.Health.Status(t.ID, time.Now()).Unreachable
}

// excludeSaturatedCold returns targets without the saturated cold ones.
func (h *Handler) excludeSaturatedCold(targets []*topology.Target, loads inflight.Loads) []*topology.Target {
	now := time.Now()
	var available []*topology.Target
	for _, t := range targets {
		if !t.Cold(now) || !h.coldSaturated(t, loads.Of(t.ID)) {
			available = append(available, t)
		}
	}
	return available
}

// excludeUnreachable returns targets without the unreachable ones, unless no others are
// left. How full the others are does not matter: it is better to queue a request for them.
func (h *Handler) excludeUnreachable(targets []*topology.Target) []*topology.Target {
	var reachable []*topology.Target
	for _, t := range targets {
		if h.responsive(t) {
			reachable = append(reachable, t)
		}
	}
	if len(reachable) == 0 {
		return targets
	}
	return reachable
}

// Costs in the choice of a plain target; a target with all slots in use costs 1.
const (
	plainFailureCost    = 2.0
	plainSuspectCost    = 1.0
	plainRemoteZoneCost = 0.05
)

// placePlain chooses the target with the lowest cost, mainly the fewest requests per slot.
func (h *Handler) placePlain(targets []*topology.Target, loads inflight.Loads, c *call) *destination {
	targets = h.zonePlainTargets(targets, loads, c)
	now := time.Now()
	slowdowns := h.Pace.Slowdowns(now)
	var best *topology.Target
	bestCost := 0.0
	first := rand.IntN(len(targets)) // spreads requests over targets of equal cost
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		status := h.Health.Status(t.ID, now)
		cost := plainLoadCost(len(loads.Of(t.ID).Requests)+status.UnknownRequests, t.Slots, slowdowns[t.ID]) + plainFailureCost*status.FailureRate
		if status.Suspect || c.suspectZones[t.Zone] {
			cost += plainSuspectCost
		}
		if t.Zone != h.Zone {
			cost += plainRemoteZoneCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return &destination{target: best, firstEvent: c.route.Objective}
}

// placeEngine chooses an engine, and prefill helpers for a long prompt.
func (h *Handler) placeEngine(model *topology.EngineModel, targets []*topology.Target, loads inflight.Loads, c *call) (*destination, *refusal) {
	if tokens := c.meta.PromptTokens + c.meta.OutputTokens; tokens > len(targets)*model.KVTokens {
		return nil, h.refuseUntilAdmitted(c, 1+(tokens-1)/max(model.KVTokens, 1), refusePromptTooLarge)
	}
	request := placement.Request{
		PromptTokens: c.meta.PromptTokens, OutputTokens: c.meta.OutputTokens,
		MaxEventGap: c.route.MaxEventGap, Objective: c.route.Objective, Waited: time.Since(c.arrived), TimeLeft: c.remaining(),
		Spread: c.ordered != nil && !c.ordered.unordered, Draw: rand.Float64(),
	}
	plan, ok := h.chooseEngine(model, targets, loads, c, request)
	c.predictedFirstEvent = plan.TimeToFirstEvent
	if !ok || plan.TimeToFirstEvent > c.remaining() {
		return nil, refuseBusy
	}
	if c.ordered != nil && !c.ordered.unordered && plan.SlotWait > 0 && request.Waited+plan.TimeToFirstEvent > request.Objective {
		return nil, refuseBusy // it would take the next slot from a call that can be on time
	}
	if c.ordered != nil && c.route.Kind == topology.Stream && request.Waited+plan.TimeToFirstEvent > streamPatience(c.route) {
		return nil, refuseBusy // its caller would leave before the first event
	}
	if plan.Decide(request) == placement.Defer {
		return nil, refuseDeferred
	}
	return &destination{target: plan.Target, plan: &plan, firstEvent: plan.TimeToFirstEvent}, nil
}

// jitterPerVM times the number of VMs is the largest random cost of an engine: the more VMs
// there are, the more of them choose at the same time.
const jitterPerVM = 0.001

// engineStates returns the state of the engines among which to choose.
func (h *Handler) engineStates(targets []*topology.Target, loads inflight.Loads, suspectZones map[string]bool) []placement.Engine {
	now := time.Now()
	slowdowns := h.Pace.Slowdowns(now)
	maxJitter := jitterPerVM * float64(h.VMCount())
	engines := make([]placement.Engine, 0, len(targets))
	for _, t := range targets {
		status := h.Health.Status(t.ID, now)
		load := loads.Of(t.ID)
		engines = append(engines, placement.Engine{
			Target: t, Requests: load.Requests, Parts: load.Parts, Ended: load.Ended,
			Slowdown: slowdowns[t.ID],
			Unknown:  status.UnknownRequests, FailureRate: status.FailureRate, Unreachable: status.Unreachable, Suspect: status.Suspect || suspectZones[t.Zone], RemoteZone: t.Zone != h.Zone, Jitter: maxJitter * rand.Float64(),
		})
	}
	return engines
}

// Fractions of a cold target's request rate that are used. VMs receive reports of each
// other's requests late, or not at all during a network partition.
const (
	coldKnownShare = 0.5 // by all known requests of all VMs
	coldOwnShare   = 1.0 // by the equal share of each VM
	// coldOwnMinRate lets a VM of a large fleet use a cold target at all.
	coldOwnMinRate = 1
)

// coldSaturated reports whether a cold target received as many requests in the last
// second as it may get.
func (h *Handler) coldSaturated(t *topology.Target, load inflight.Load) bool {
	known := 0
	for _, i := range slices.Concat(load.Requests, load.Parts) {
		if i.Age < time.Second {
			known++
		}
	}
	return h.coldRateReached(t, known)
}

// coldRateReached reports whether a cold target that received known requests in the last second,
// as far as this VM knows, should get no more.
func (h *Handler) coldRateReached(t *topology.Target, known int) bool {
	service := h.Views.Get().Service(t.Service)
	if service == nil || service.ColdRate <= 0 {
		return false
	}
	if float64(known) >= coldKnownShare*service.ColdRate {
		return true
	}
	own := max(coldOwnShare*service.ColdRate/float64(max(h.VMCount(), 1)), coldOwnMinRate)
	return float64(h.Registry.RecentSends(t.ID)) >= own
}

// prefillBacklog returns the time that an engine still needs to prefill its prompts, as
// far as this VM knows.
func (h *Handler) prefillBacklog(t *topology.Target) time.Duration {
	service := h.Views.Get().Service(t.Service)
	if service == nil || service.Engine == nil {
		return 0
	}
	load := h.Registry.LoadOf(t.ID)
	return placement.PrefillBacklog(service.Engine, placement.Engine{Target: t, Requests: load.Requests, Parts: load.Parts, Ended: load.Ended})
}
