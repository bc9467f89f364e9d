package forward

import (
	"math/rand/v2"
	"time"

	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/placement"
	"github.com/oriolefront/oriolefront/internal/topology"
	"github.com/oriolefront/oriolefront/internal/zones"
)

const (
	// sharesInterval is the age at which the shares of the zones are computed again. VMs hear of
	// each other's requests with a lag of some ten milliseconds.
	sharesInterval = 20 * time.Millisecond
	// sharesLogInterval is the shortest time between two log lines about the shares of a service.
	sharesLogInterval = time.Second
)

// ZonePolicy decides which calls leave the zone of this VM where zones are distant. It is used
// under Handler.placing.
type ZonePolicy struct {
	// TrafficCost returns the cost of a megabyte between zones, in small requests that are late. 0
	// turns the policy off.
	TrafficCost func() float64
	// VMZones returns the zones of the other VMs by their names in the registry.
	VMZones func() map[string]string
	// Distances caches what the configuration tells of the zones.
	Distances *zones.Cache

	services map[string]*serviceShares
}

// serviceShares are the shares of the zones for one service.
type serviceShares struct {
	config     *topology.Config
	current    *zones.Shares
	computedAt time.Time
	// logged are the shares of the last log line, written at loggedAt.
	logged   *zones.Shares
	loggedAt time.Time
}

// active reports whether the policy applies.
func (p *ZonePolicy) active(view *topology.View) bool {
	return p != nil && p.TrafficCost() > 0 && p.Distances.Distant(view.Config)
}

// chooseEngine chooses an engine and helpers among targets that may be in several zones. Where zones
// are distant, the engines of one answer are in one zone, unless no zone alone can serve it or the
// parts of a prompt are read much sooner by engines of several.
func (h *Handler) chooseEngine(model *topology.EngineModel, targets []*topology.Target, loads inflight.Loads, c *call, r placement.Request) (placement.Plan, bool) {
	view := h.Views.Get()
	choose := func(targets []*topology.Target) (placement.Plan, bool) {
		return placement.Choose(model, h.engineStates(targets, loads, c.suspectZones), r)
	}
	if !h.Zones.active(view) {
		return choose(targets)
	}
	request, cost := h.zoneRequest(c, model), h.Zones.TrafficCost()
	plan, ok := choose(inZone(targets, h.Zone))
	loss := plan.Loss(r, 0)
	own := zones.Offer{Served: ok, Loss: loss, Waits: plan.SlotWait > 0}
	if zones.Stays(own, request, cost) {
		return plan, true // the shares, which take a pass over the requests of all VMs, are not needed
	}
	zone := h.zoneShares(view, c).Candidate(h.Zone, own, request, cost, rand.Float64())
	if zone != "" {
		roundTrip := h.Zones.Distances.RoundTrip(view.Config, h.Zone, zone)
		remote, served := choose(inZone(targets, zone))
		other := zones.Offer{Served: served, Loss: remote.Loss(r, roundTrip), Waits: remote.SlotWait > 0}
		if zones.Leave(own, other, request, zones.Price(request, cost, roundTrip)) {
			remote.TimeToFirstEvent += roundTrip
			plan, ok, loss = remote, true, other.Loss
		}
	}
	if ok && loss <= zones.Price(request, cost, 0) {
		return plan, true
	}
	mixed, served := choose(targets)
	delay := h.planDelay(view, mixed)
	if ok && (!served || len(mixed.Helpers) == 0 || mixed.Loss(r, delay)+zones.Price(request, cost, delay) >= loss) {
		return plan, true
	}
	mixed.TimeToFirstEvent += delay
	return mixed, served
}

// planDelay returns the round trips from this VM to the target of a plan, and from there to its
// helpers.
func (h *Handler) planDelay(view *topology.View, plan placement.Plan) time.Duration {
	if plan.Target == nil {
		return 0
	}
	var toHelpers time.Duration
	for _, helper := range plan.Helpers {
		toHelpers = max(toHelpers, h.Zones.Distances.RoundTrip(view.Config, plan.Target.Zone, helper.Zone))
	}
	return h.Zones.Distances.RoundTrip(view.Config, h.Zone, plan.Target.Zone) + toHelpers
}

// zonePlainTargets returns the targets among which that of a plain call is chosen: those of the own
// zone, or of another one if a response from there is expected earlier by more than the round trip.
func (h *Handler) zonePlainTargets(targets []*topology.Target, loads inflight.Loads, c *call) []*topology.Target {
	if h.Zones == nil {
		return targets
	}
	view := h.Views.Get()
	if !h.Zones.active(view) {
		return targets
	}
	own := inZone(targets, h.Zone)
	if len(own) == 0 {
		return targets
	}
	response := responseTime(targets, loads, c.route.Objective)
	ownDelay := h.plainDelay(own, loads, c, response)
	zone := ""
	if ownDelay > 0 {
		zone = h.zoneShares(view, c).Stranded(h.Zone, 1/float64(max(own[0].Slots, 1)), rand.Float64())
	}
	remote := inZone(targets, zone)
	roundTrip := h.Zones.Distances.RoundTrip(view.Config, h.Zone, zone)
	if zone == "" || len(remote) == 0 || ownDelay <= h.plainDelay(remote, loads, c, response)+roundTrip {
		return own
	}
	return remote
}

// plainDelay returns by how much the response of the best of some targets is expected later than
// that of a free and sound one.
func (h *Handler) plainDelay(targets []*topology.Target, loads inflight.Loads, c *call, response time.Duration) time.Duration {
	best := time.Duration(-1)
	for _, t := range targets {
		status := h.Health.Status(t.ID, time.Now())
		queued := len(loads.Of(t.ID).Requests) + status.UnknownRequests + 1 - t.Slots
		cost := max(float64(queued)/float64(t.Slots), 0) + plainFailureCost*status.FailureRate
		if status.Suspect || c.suspectZones[t.Zone] {
			cost += plainSuspectCost
		}
		if delay := time.Duration(cost * float64(response)); best < 0 || delay < best {
			best = delay
		}
	}
	return max(best, 0)
}

// responseTime estimates the time that a target takes for a response: twice the mean age of the
// requests in flight, within the objective.
func responseTime(targets []*topology.Target, loads inflight.Loads, objective time.Duration) time.Duration {
	var ages time.Duration
	n := 0
	for _, t := range targets {
		for _, s := range loads.Of(t.ID).Requests {
			ages += s.Age
			n++
		}
	}
	if n == 0 {
		return objective
	}
	return min(2*ages/time.Duration(n), objective)
}

// inZone returns the targets of a zone.
func inZone(targets []*topology.Target, zone string) []*topology.Target {
	var found []*topology.Target
	for _, t := range targets {
		if t.Zone == zone {
			found = append(found, t)
		}
	}
	return found
}

// zoneRequest describes a call to the decision on leaving the zone.
func (h *Handler) zoneRequest(c *call, model *topology.EngineModel) zones.Request {
	if !c.zoneDrawn {
		c.zoneDraw, c.zoneDrawn = rand.Float64(), true
	}
	return zones.Request{
		Weight: placement.Weight(c.meta.PromptTokens), Bytes: len(c.body), Tokens: c.meta.OutputTokens, Objective: c.route.Objective, Draw: c.zoneDraw,
		Size: zones.Size(model, model.Slots, inflight.Request{PromptTokens: c.meta.PromptTokens, OutputTokens: c.meta.OutputTokens}),
	}
}

// zoneShares returns the current shares of the zones for the service of a call.
func (h *Handler) zoneShares(view *topology.View, c *call) *zones.Shares {
	now := time.Now()
	if h.Zones.services == nil {
		h.Zones.services = map[string]*serviceShares{}
	}
	s := h.Zones.services[c.service]
	if s == nil || s.config != view.Config {
		s = &serviceShares{config: view.Config}
		h.Zones.services[c.service] = s
	}
	if s.current == nil || now.Sub(s.computedAt) >= sharesInterval {
		s.computedAt = now
		s.current = zones.Plan(zones.Input{Zones: h.zoneLoads(view, c), Previous: s.current, Distance: func(a, b string) float64 {
			return h.Zones.Distances.Share(view.Config, a, b)
		}})
		h.logShares(c.service, s, now)
	}
	return s.current
}

// logShares logs the shares of a service after they have changed.
func (h *Handler) logShares(service string, s *serviceShares, now time.Time) {
	if !s.current.ChangedSince(s.logged) || now.Sub(s.loggedAt) < sharesLogInterval {
		return
	}
	s.logged, s.loggedAt = s.current, now
	h.Log.Info("zone shares changed", "service", service, "zone", h.Zone, "leaving", s.current.Leaving(h.Zone), "shares", s.current.String())
}

// zoneLoads returns what is known of the zones for the service of a call.
func (h *Handler) zoneLoads(view *topology.View, c *call) []zones.Zone {
	byName := map[string]*zones.Zone{}
	zone := func(name string) *zones.Zone {
		if byName[name] == nil {
			byName[name] = &zones.Zone{Name: name}
		}
		return byName[name]
	}
	vmZones := h.Zones.VMZones()
	ownVMs := 1
	for _, name := range vmZones {
		if name == h.Zone {
			ownVMs++
		}
	}
	var model *topology.EngineModel
	if service := view.Service(c.service); service != nil {
		model = service.Engine
	}
	targets := map[string]*topology.Target{}
	for _, t := range view.Targets() {
		if t.Service == c.service {
			targets[t.ID] = t
		}
	}
	for _, t := range view.Usable(c.service) {
		zone(t.Zone).Capacity += h.usableShare(view, t, c)
	}
	perTarget := map[string]int{}
	h.Registry.Each(func(vm string, s inflight.RequestState) {
		t := targets[s.Target]
		if t == nil {
			return
		}
		origin, known := vmZones[vm]
		if vm == "" {
			origin, known = h.Zone, true
		}
		perTarget[t.ID]++
		size := zones.Size(model, t.Slots, s.Request)
		zone(t.Zone).Occupied += size
		if known {
			zone(origin).Demand += size * zones.Forecast(model, s)
		}
	})
	if model == nil {
		zone(h.Zone).Waiting = queuedAt(view.Usable(c.service), h.Zone, perTarget)
	} else {
		// VMs do not tell what waits in their queues; those of a zone have about as much each.
		zone(h.Zone).Waiting = float64((h.queue.length()+h.dispatcher.length())*ownVMs) / float64(model.Slots)
	}
	all := make([]zones.Zone, 0, len(byName))
	for _, z := range byName {
		all = append(all, *z)
	}
	return all
}

// queuedAt returns the requests that wait for a slot at the targets of a zone, in targets.
func queuedAt(targets []*topology.Target, zone string, requests map[string]int) float64 {
	sum := 0.0
	for _, t := range inZone(targets, zone) {
		sum += float64(max(requests[t.ID]-t.Slots, 0)) / float64(max(t.Slots, 1))
	}
	return sum
}

// usableShare returns the share of a target that takes new requests, as far as this VM knows.
func (h *Handler) usableShare(view *topology.View, t *topology.Target, c *call) float64 {
	now := time.Now()
	status := h.Health.Status(t.ID, now)
	if status.Unreachable || status.Suspect || c.suspectZones[t.Zone] || h.Health.Replaced(t) || !h.admits(t) {
		return 0
	}
	service := view.Service(t.Service)
	if service == nil || service.ColdRate <= 0 || !t.Cold(now) {
		return 1
	}
	// A cold target begins this many requests in a second.
	return min(coldKnownShare*service.ColdRate/float64(max(t.Slots, 1)), 1)
}
