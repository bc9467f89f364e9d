package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/placement"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// Times of the wait for a place.
const (
	// placementInterval is the time between two looks for an engine with room.
	placementInterval = 20 * time.Millisecond
	// queueObjectiveShare is the part of the objective for which a request is held when no
	// engine has room.
	queueObjectiveShare = 0.8
	// maxQueueShare is the part of a request's time for which it is held at most: a
	// caller that is refused then has time to come back.
	maxQueueShare = 0.7
)

// destination is where a try goes.
type destination struct {
	target *topology.Target
	// plan is set for engines.
	plan *placement.Plan
	// firstEvent is when the first event or the answer is due.
	firstEvent time.Duration
}

// place chooses where the call is sent next. It waits while no engine has room,
// as long as the request can still be served.
func (h *Handler) place(ctx context.Context, c *call) (*destination, *refusal) {
	for {
		view := h.Views.Get()
		service := view.Service(c.service)
		loads := h.Registry.Loads()
		targets := h.candidates(view, c)
		c.suspectZones = h.Health.suspectZones(view.Usable(c.service), time.Now())
		warm := h.excludeUnreachable(h.excludeSaturatedCold(targets, loads))
		var d *destination
		var f *refusal
		switch {
		case len(targets) == 0:
			return nil, refuseNoTarget
		case len(warm) == 0:
			f = refuseBusy
		case service == nil || service.Engine == nil || c.meta.PromptTokens == 0:
			d = h.placePlain(warm, loads, c)
		default:
			d, f = h.placeEngine(service.Engine, warm, loads, c)
		}
		if d != nil || !h.mayQueue(c, f) {
			return d, f
		}
		if !c.queued {
			c.queued = true
			h.Log.Info("held", "request", c.meta.ID, "prompt", c.meta.PromptTokens, "left", c.remaining().Round(time.Millisecond), "reason", f.reason)
		}
		if !wait.For(ctx, placementInterval/2+rand.N(placementInterval)) {
			return nil, f
		}
	}
}

// refuseDeferred marks a request that waits because it would harm others now.
var refuseDeferred = &refusal{http.StatusServiceUnavailable, "no engine could take the request without harm to others; try again", time.Second}

// mayQueue reports whether a request that found no room is held.
func (h *Handler) mayQueue(c *call, f *refusal) bool {
	waited := time.Since(c.arrived)
	switch {
	case waited > c.maxQueueTime():
		return false
	case f == refuseDeferred:
		return true
	case f == refuseBusy:
		return waited < time.Duration(queueObjectiveShare*float64(c.route.Objective))
	}
	return false
}

// maxQueueTime returns the time after its arrival for which a call may be held.
func (c *call) maxQueueTime() time.Duration {
	return time.Duration(maxQueueShare * float64(c.deadline.Sub(c.arrived)))
}

// candidates returns the usable targets that still exist.
func (h *Handler) candidates(view *topology.View, c *call) []*topology.Target {
	return h.untriedTargets(view, c.service, c.tried)
}

func (h *Handler) untriedTargets(view *topology.View, service string, tried map[string]bool) []*topology.Target {
	now := time.Now()
	var targets []*topology.Target
	for _, t := range view.Usable(service) {
		if !tried[t.ID] && !h.Health.Status(t.ID, now).Replaced {
			targets = append(targets, t)
		}
	}
	return targets
}

// alternativeCheck returns a function that reports whether another target than the
// present one could take the call. It may run beside the call.
func (h *Handler) alternativeCheck(c *call, present *topology.Target) func() bool {
	service, tried := c.service, maps.Clone(c.tried)
	tried[present.ID] = true
	return func() bool {
		return slices.ContainsFunc(h.untriedTargets(h.Views.Get(), service, tried), h.responsive)
	}
}

// responsive reports whether a target is not known to have left a request unanswered
// lately.
func (h *Handler) responsive(t *topology.Target) bool {
	return !h.Health.Status(t.ID, time.Now()).Unreachable
}

// excludeSaturatedCold leaves out the cold targets that have all that they bear.
func (h *Handler) excludeSaturatedCold(targets []*topology.Target, loads inflight.Loads) []*topology.Target {
	now := time.Now()
	var warm []*topology.Target
	for _, t := range targets {
		if !t.Cold(now) || !h.coldSaturated(t, loads.Of(t.ID)) {
			warm = append(warm, t)
		}
	}
	return warm
}

// excludeUnreachable leaves out the targets that did not answer lately, unless no others are
// left. However full the others are: a request is better held for them.
func (h *Handler) excludeUnreachable(targets []*topology.Target) []*topology.Target {
	var left []*topology.Target
	for _, t := range targets {
		if h.responsive(t) {
			left = append(left, t)
		}
	}
	if len(left) == 0 {
		return targets
	}
	return left
}

// Weights of the choice of a plain target.
const (
	plainFailureCost    = 2.0
	plainSuspectCost    = 1.0
	plainRemoteZoneCost = 0.05
)

// placePlain chooses the target with the fewest requests for its slots.
func (h *Handler) placePlain(targets []*topology.Target, loads inflight.Loads, c *call) *destination {
	now := time.Now()
	var best *topology.Target
	bestCost := 0.0
	first := rand.IntN(len(targets)) // spreads targets of equal cost
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		v := h.Health.Status(t.ID, now)
		cost := float64(len(loads.Of(t.ID).Requests))/float64(t.Slots) + plainFailureCost*v.FailureRate
		if v.Suspect || c.suspectZones[t.Zone] {
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

// placeEngine chooses an engine, and helpers for a long prompt.
func (h *Handler) placeEngine(model *topology.EngineModel, targets []*topology.Target, loads inflight.Loads, c *call) (*destination, *refusal) {
	if c.meta.PromptTokens+c.meta.OutputTokens > len(targets)*model.KVTokens {
		return nil, refuseTooLate
	}
	engines := h.engines(targets, loads, c.suspectZones)
	job := placement.Request{
		PromptTokens: c.meta.PromptTokens, OutputTokens: c.meta.OutputTokens,
		MaxEventGap: c.route.MaxEventGap, Objective: c.route.Objective, Waited: time.Since(c.arrived), TimeLeft: c.remaining(),
	}
	plan, ok := placement.Choose(model, engines, job)
	if !ok || plan.TimeToFirstEvent > c.remaining() {
		return nil, refuseBusy
	}
	if plan.Decide(job) == placement.Defer {
		return nil, refuseDeferred
	}
	return &destination{target: plan.Target, plan: &plan, firstEvent: plan.TimeToFirstEvent}, nil
}

// jitterPerVM is the largest random cost of an engine, for each VM of the fleet: the
// more VMs decide, the more of them decide at the same time.
const jitterPerVM = 0.001

// engines describes the engines among which to choose.
func (h *Handler) engines(targets []*topology.Target, loads inflight.Loads, doubtedZones map[string]bool) []placement.Engine {
	now := time.Now()
	bias := jitterPerVM * float64(h.VMCount())
	engines := make([]placement.Engine, 0, len(targets))
	for _, t := range targets {
		v := h.Health.Status(t.ID, now)
		load := loads.Of(t.ID)
		engines = append(engines, placement.Engine{
			Target: t, Requests: load.Requests, Parts: load.Parts, Ended: load.Ended,
			FailureRate: v.FailureRate, Unreachable: v.Unreachable, Suspect: v.Suspect || doubtedZones[t.Zone], RemoteZone: t.Zone != h.Zone, Jitter: bias * rand.Float64(),
		})
	}
	return engines
}

// Parts of a cold target's rate that are used. VMs hear of each other's requests
// late, or not at all while links are cut.
const (
	coldKnownShare = 0.5 // by all requests known of
	coldOwnShare   = 1.0 // by each VM's equal part
	// coldOwnMinRate lets a VM of a large fleet use a cold target at all.
	coldOwnMinRate = 1
)

// coldSaturated reports whether a cold target has got all the requests of the last
// second that it bears.
func (h *Handler) coldSaturated(t *topology.Target, load inflight.Load) bool {
	service := h.Views.Get().Service(t.Service)
	if service == nil || service.ColdRate <= 0 {
		return false
	}
	known := 0
	for _, i := range slices.Concat(load.Requests, load.Parts) {
		if i.Age < time.Second {
			known++
		}
	}
	if float64(known) >= coldKnownShare*service.ColdRate {
		return true
	}
	own := max(coldOwnShare*service.ColdRate/float64(max(h.VMCount(), 1)), coldOwnMinRate)
	return float64(h.Registry.RecentSends(t.ID)) >= own
}

// prefillBacklog returns the time for which an engine still reads prompts, as far as
// this VM knows.
func (h *Handler) prefillBacklog(t *topology.Target) time.Duration {
	service := h.Views.Get().Service(t.Service)
	if service == nil || service.Engine == nil {
		return 0
	}
	load := h.Registry.Loads().Of(t.ID)
	return placement.PrefillBacklog(service.Engine, placement.Engine{Target: t, Requests: load.Requests, Parts: load.Parts, Ended: load.Ended})
}
