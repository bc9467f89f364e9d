package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/enginemodel"
	"github.com/oriolefront/oriolefront/internal/inflight"
	"github.com/oriolefront/oriolefront/internal/overload"
	"github.com/oriolefront/oriolefront/internal/placement"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// OverloadPolicy decides whether calls to engines are served in one order over all VMs.
type OverloadPolicy struct {
	// Active reports whether the order applies under a configuration.
	Active func(*topology.Config) bool
	// VM is the name of this VM in the registries of the others, and VMZones returns the zones of
	// the others by their names in the registry.
	VM      string
	VMZones func() map[string]string
}

const (
	// orderedRetry is the interval at which a call tries again that was not woken because reports
	// are lost.
	orderedRetry = 100 * time.Millisecond
	// orderedMargin is the part of its caller's patience that a call leaves for its first event.
	orderedMargin = 400 * time.Millisecond
)

// orderedCall is the state of a call that is placed in the order of the calls of all VMs.
type orderedCall struct {
	call *call
	wake chan struct{}
	// waiting is set while the call is reported as waiting for a slot.
	waiting *inflight.Waiting
	// unordered is true if the last attempt to place the call did not regard the order.
	unordered bool
	// refusal is set if the call is not expected to get a slot in time.
	refusal *refusal
	// engine is assigned by the dispatcher, under its lock, when it wakes the call.
	engine string
}

// late reports whether the call can no longer be on time.
func (o *orderedCall) late() bool {
	return o.call.returned || o.waiting != nil && o.waiting.UntilLate() == 0
}

// class names the state in which a call gets its slot, for the metrics.
func (o *orderedCall) class() string {
	switch {
	case o.waiting == nil:
		return "at_once"
	case o.late():
		return "late"
	}
	return "on_time"
}

// usesOrder reports whether a call is placed in the order of the calls of all VMs. Long prompts
// are placed as without it, before the short ones that wait: they are few, lose the most by
// waiting, and the memory of engines limits them rather than the slots. So are further attempts of
// a call, which has lost time already.
func (h *Handler) usesOrder(c *call) bool {
	if h.Overload == nil || c.attemptsSent > 0 || c.progress.begun || c.route.MaxEventGap == 0 || c.meta.PromptTokens == 0 || c.meta.PromptTokens >= placement.LongPrompt {
		return false
	}
	view := h.Views.Get()
	service := view.Service(c.service)
	return service != nil && service.Engine != nil && h.Overload.Active(view.Config) && h.Registry.Current(reportsWithin)
}

// reportsWithin is the time within which most VMs must have been heard for the order to apply.
// Under load each VM reports some 15 times a second. A VM that is cut off would wait for slots of
// which it never hears.
const reportsWithin = 300 * time.Millisecond

// The urgencies of requests to engines, from 0, the first, to 9. Engines assume 5 without one.
const (
	urgencyOnTime = 3
	urgencyLate   = 8
	maxUrgency    = 7 // of requests that can be on time
)

// urgency returns the urgency of a request to a destination, -1 where calls are not ordered: by
// rank, long prompts one step earlier, and late ones last. The rest of a
// stream goes first.
func (h *Handler) urgency(c *call, d *destination) int {
	config := h.Views.Get().Config
	switch {
	case d.plan == nil || h.Overload == nil || !h.Overload.Active(config):
		return -1
	case c.progress.begun:
		return 0
	case c.returned || time.Since(c.arrived)+d.firstEvent > c.route.Objective:
		return urgencyLate
	}
	urgency := urgencyOnTime + c.priority() - overload.TopRank(config, c.service)
	if c.meta.PromptTokens >= placement.LongPrompt {
		urgency--
	}
	return min(max(urgency, 1), maxUrgency)
}

// placeInOrder is place for calls that wait in the order of the calls of all VMs.
func (h *Handler) placeInOrder(ctx context.Context, c *call) (*destination, *refusal) {
	o := &orderedCall{call: c, wake: make(chan struct{}, 1)}
	c.returned = h.Registry.Expected(c.service, c.overloadIdentity)
	c.ordered = o
	defer func() {
		h.setWaiting(o, false)
		c.ordered = nil
	}()
	for {
		if f := h.recheckKey(c); f != nil {
			return nil, f
		}
		if f := h.refuseQuarantined(c); f != nil {
			return nil, f
		}
		d, f := h.tryPlace(c)
		if d != nil {
			h.Metrics.CountDispatch(o.class())
		}
		if d == nil && o.refusal != nil {
			return nil, o.refusal
		}
		if d != nil || !h.mayWaitInOrder(c, f) {
			return d, f
		}
		// A call that waits for something else than a slot does not take the turn of others.
		h.setWaiting(o, f == refuseBusy || f == refuseDeferred && o.waiting != nil)
		if !c.queued {
			c.queued = true
			h.Log.Info("queued", "request", c.meta.ID, "prompt", c.meta.PromptTokens, "left", c.remaining().Round(time.Millisecond), "reason", f.reason)
		}
		w := waiter{wake: o.wake}
		if !w.wait(ctx, h.orderedPause(o, f)) {
			return nil, f
		}
	}
}

// orderedPause returns when a call that was not placed for reason f tries again if it is not woken:
// also when it becomes late, and when its caller is about to leave.
func (h *Handler) orderedPause(o *orderedCall, f *refusal) time.Duration {
	if f != refuseBusy {
		return placementInterval/2 + rand.N(placementInterval)
	}
	pause := min(orderedRetry, o.call.orderedTimeLeft())
	if untilLate := o.waiting.UntilLate(); untilLate > 0 {
		pause = min(pause, untilLate)
	}
	return max(pause, time.Millisecond)
}

// mayWaitInOrder reports whether a call that was not placed for reason f may go on waiting.
func (h *Handler) mayWaitInOrder(c *call, f *refusal) bool {
	if f == refuseBusy {
		return c.orderedTimeLeft() > 0
	}
	return h.mayQueue(c, f)
}

// orderedTimeLeft returns how much longer a call may wait for a slot.
func (c *call) orderedTimeLeft() time.Duration {
	left := c.queueTimeLeft()
	if c.route.Kind != topology.Stream {
		return left
	}
	return min(left, streamPatience(c.route)-orderedMargin-time.Since(c.arrived))
}

// setWaiting reports a call to the other VMs as waiting for a slot, or no longer.
func (h *Handler) setWaiting(o *orderedCall, waiting bool) {
	switch {
	case waiting && o.waiting == nil:
		o.waiting = h.Registry.Wait(h.waitingCall(o.call))
		h.dispatcher.add(o)
		time.AfterFunc(overload.ReportLag+overload.OwnLag, func() { h.dispatcher.schedule(h.dispatch) })
	case !waiting && o.waiting != nil:
		h.dispatcher.remove(o)
		o.waiting.Done()
		o.waiting = nil
	}
}

// waitingCall describes a waiting call to the other VMs.
func (h *Handler) waitingCall(c *call) inflight.WaitingCall {
	call := inflight.WaitingCall{Service: c.service, Account: c.accountName(), Rank: c.priority(), PromptTokens: c.meta.PromptTokens}
	if c.returned {
		call.Returned = true
	} else if service := h.Views.Get().Service(c.service); service != nil && service.Engine != nil {
		call.LateAfter = max(c.route.Objective-firstEventTime(service.Engine, c.meta.PromptTokens)-time.Since(c.arrived), 0)
	}
	return call
}

// firstEventTime returns the time to the first event of a short prompt on an engine with one free
// slot: on average half an iteration until its prefill begins, the prefill and an iteration.
func firstEventTime(m *topology.EngineModel, prompt int) time.Duration {
	iteration := enginemodel.IterationTime(m, m.Slots-1, (m.Slots-1)*prompt)
	return enginemodel.PrefillTime(m, prompt) + 3*iteration/2
}

// openEngines returns the engines from which a call may choose by its position in the order.
func (h *Handler) openEngines(view *topology.View, service *topology.Service, available []*topology.Target, c *call) []*topology.Target {
	o := c.ordered
	if engine := h.dispatcher.takeAssigned(o); engine != "" {
		return onlyEngine(available, engine)
	}
	snapshot := h.overloadSnapshot(view, service)
	if o.unordered = len(snapshot.Engines) == 0 || !snapshot.Scarce(service.Engine.Slots) || !h.Registry.Current(reportsWithin); o.unordered {
		return available // room is plentiful, or nothing is known of it; the cost of each decides
	}
	plan := overload.Assign(snapshot)
	if o.waiting != nil {
		if engine := plan.Engine(h.Overload.VM, o.waiting.ID()); engine != "" {
			return onlyEngine(available, engine)
		}
	}
	if open := withIDs(available, plan.Open(h.overloadCall(h.waitingCall(c)))...); len(open) > 0 || o.waiting == nil {
		return open
	}
	if f, ok := plan.Forecast(h.Overload.VM, o.waiting.ID()); ok && !c.returned && f.Wait > c.orderedTimeLeft() {
		o.refusal = h.refuseForecast(c, f)
	}
	return nil
}

// refuseForecast returns the refusal of a late call that is not expected to get a slot before its
// caller leaves.
func (h *Handler) refuseForecast(c *call, f overload.Forecast) *refusal {
	h.Metrics.CountOverloadRefusal(f.Wait)
	c.forecast = &f
	retryAfter := f.RetryAfter(c.remaining(), rand.Float64())
	h.Registry.Expect(c.service, c.overloadIdentity(), retryAfter+returnGrace)
	return &refusal{refuseOverload.status, refuseOverload.reason, retryAfter}
}

// returnGrace is how much later than asked a refused caller may return.
const returnGrace = 2 * time.Second

// identityLength is the part of an identity by which the VMs recognize a caller that returns.
const identityLength = 16

// overloadIdentity returns the short identity of the request.
func (c *call) overloadIdentity() string {
	identity := c.identity()
	return identity[:min(len(identity), identityLength)]
}

// onlyEngine returns the engine with the given id. If the call cannot be sent to it, because it was
// sent there before, it may use its turn at any other.
func onlyEngine(available []*topology.Target, id string) []*topology.Target {
	if assigned := withIDs(available, id); len(assigned) > 0 {
		return assigned
	}
	return available
}

// withIDs returns the targets with the given ids.
func withIDs(targets []*topology.Target, ids ...string) []*topology.Target {
	var found []*topology.Target
	for _, t := range targets {
		if slices.Contains(ids, t.ID) {
			found = append(found, t)
		}
	}
	return found
}

// overloadCall returns a call of this VM as it takes part in the order.
func (h *Handler) overloadCall(c inflight.WaitingCall) overload.Call {
	return overload.Call{VM: h.Overload.VM, Zone: h.Zone, ID: c.ID, Account: c.Account, Rank: c.Rank, Age: c.Age, LateAfter: c.LateAfter, Returned: c.Returned}
}

// overloadSnapshot returns what is known of the load of an engine service.
func (h *Handler) overloadSnapshot(view *topology.View, service *topology.Service) overload.Snapshot {
	s := overload.Snapshot{TopRank: overload.TopRank(view.Config, service.Name)}
	largest := h.addWaiting(&s, service.Name)
	h.addEngines(&s, view, service, largest+largest/outputShare)
	return s
}

// outputShare is the size of a short prompt in units of its answer, for the memory that it needs.
const outputShare = 8

// minShortPrompt is assumed as the size of prompts while none waits.
const minShortPrompt = 1000

// addWaiting adds the waiting calls of all VMs, and returns the largest prompt among them.
func (h *Handler) addWaiting(s *overload.Snapshot, service string) int {
	zones := h.Overload.VMZones()
	largest := minShortPrompt
	h.Registry.EachWaiting(func(vm string, w inflight.WaitingCall) {
		if w.Service != service {
			return
		}
		largest = max(largest, w.PromptTokens)
		c := h.overloadCall(w)
		if vm != "" {
			c.VM, c.Zone = vm, zones[vm]
		} else {
			c.Age = max(c.Age-overload.OwnLag, 0)
		}
		s.Calls = append(s.Calls, c)
	})
	return largest
}

// engineRoom is the room on an engine with what limits the use of a cold one.
type engineRoom struct {
	placement.Room
	// lastSecond counts the requests of the last second.
	lastSecond int
}

// toleratedPrefill is the delay by the prefill of long prompts with which a short one is still on
// time: it has some 190 ms more than an engine without them needs, and waits 40 ms until VMs know it.
const toleratedPrefill = 50 * time.Millisecond

// rateWindow is the time over which the rate of arrivals is measured.
const rateWindow = inflight.EndsWindow

// maxFreedFor is the age of a free slot for which the registry knows none.
const maxFreedFor = time.Minute

// addEngines adds the engines with their room for prompts of the given size, and the rates.
func (h *Handler) addEngines(s *overload.Snapshot, view *topology.View, service *topology.Service, tokens int) {
	targets := view.Usable(service.Name)
	rooms := make(map[string]*engineRoom, len(targets))
	for _, t := range targets {
		rooms[t.ID] = &engineRoom{}
	}
	recent, onTime := 0, 0
	h.Registry.Each(func(_ string, r inflight.RequestState) {
		for _, helper := range r.Helpers {
			if room := rooms[helper]; room != nil {
				room.AddPart(service.Engine, r)
			}
		}
		room := rooms[r.Target]
		if room == nil || r.Ended {
			return
		}
		room.AddRequest(service.Engine, r)
		if r.Age < rateWindow {
			recent++
			if r.MaxEventGap > 0 && r.MaxEventGap < lateEventGap { // see inflightRequest
				onTime++
			}
		}
		if r.Age < time.Second {
			room.lastSecond++
		}
	})
	s.StartsPerSecond, s.OnTimePerSecond = float64(recent)/rateWindow.Seconds(), float64(onTime)/rateWindow.Seconds()
	ends, now := h.Registry.RecentEnds(), time.Now()
	for _, t := range targets {
		if e, ok := h.overloadEngine(t, rooms[t.ID], service.Engine, tokens, now); ok {
			e.FreedFor = maxFreedFor
			if recent, ok := ends[t.ID]; ok {
				e.FreedFor = recent.SinceLast
				s.EndsPerSecond += float64(recent.Recent) / rateWindow.Seconds()
			}
			s.Engines = append(s.Engines, e)
		}
	}
}

// overloadEngine returns the room on an engine; ok is false if it gets no requests now.
func (h *Handler) overloadEngine(t *topology.Target, room *engineRoom, m *topology.EngineModel, tokens int, now time.Time) (e overload.Engine, ok bool) {
	status := h.Health.Status(t.ID, now)
	cold := t.Cold(now)
	if status.Unreachable || status.Suspect || h.Health.Replaced(t) || !h.admits(t) || cold && h.coldRateReached(t, room.lastSecond) {
		return e, false
	}
	e = overload.Engine{ID: t.ID, Zone: t.Zone, Free: room.Free(m, status.UnknownRequests, tokens), Prefilling: room.Delays(toleratedPrefill)}
	if cold { // its rate, not its slots, limits what it gets
		e.Free = min(e.Free, 1)
	}
	return e, true
}
