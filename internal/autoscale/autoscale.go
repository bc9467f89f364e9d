// Package autoscale decides how many servers of a service each zone should have, and
// orders them from the platform. Decide is a pure function of the load of the last
// seconds; Task samples the load and sends the orders while this VM holds the duty.
package autoscale

import (
	"math"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

const (
	// mixCycle is the time in which the mix of short and long prompts goes through all
	// its states: it turns over every 10 s, and the load is smoothed over up to 3 s, of
	// which 2 s count. Servers are given up only if the highest load of a cycle leaves
	// them idle; a shorter time would take a lull of one kind for less load.
	mixCycle = 12 * time.Second
	// minHistory is the history without which nothing is ordered: the arrivals of the
	// long prompts, about 2 a second, vary too much over a shorter time.
	minHistory = 3 * time.Second
	// targetUtilization is the part of the servers that the highest load of a cycle may
	// take. With all slots in use, short prompts wait for a slot for longer than their
	// objective of 0.3 s, and long ones find no engines that prefill a part of them.
	targetUtilization = 0.8
	// lateMargin is added to the boot time before ordered servers count as missing.
	lateMargin = 3 * time.Second
	// stepDownInterval and maxStepDownShare bound how fast servers are given up.
	stepDownInterval = 2 * time.Second
	maxStepDownShare = 0.125
	// downHysteresis is the part of the wanted servers that a zone may have beyond them:
	// the peaks of two cycles of the same load differ by about 10 %, because the arrivals
	// of long prompts vary.
	downHysteresis = 0.1
	// stepInterval is the time between two orders of a few servers more, or of fewer after
	// the load has ended, for a zone. A raise by largeRaise or more is ordered at once.
	stepInterval = time.Second
	largeRaise   = 0.1
	// minGrowth and maxGrowth bound the growth from one cycle to the next that is
	// extrapolated. Below minGrowth the peaks differ by chance.
	minGrowth = 1.15
	maxGrowth = 1.5
)

// Zone is what is known of the servers of a service in one zone.
type Zone struct {
	Name         string
	OutOfService bool
	// Serving is the number of servers that are not draining, cold ones included.
	Serving int
	// Usual is the highest number of serving servers that this holder has seen. As long as
	// it has ordered nothing, the platform provides as many.
	Usual int
	// Order is the last order of this holder; zero without one.
	Order Order
}

// Order is an order of a number of servers in a zone.
type Order struct {
	Desired int
	At      time.Time
	// Up is true for an order of more servers.
	Up bool
	// Confirmed is true once the platform has accepted the order.
	Confirmed bool
	// Met is true once the zone had as many servers.
	Met bool
	// Missed counts the orders in a row after which the servers did not come.
	Missed int
}

// Input is what a decision depends on.
type Input struct {
	Now    time.Time
	Limits topology.Scaling
	// ColdTime is the time for which new servers can take only a limited load.
	ColdTime time.Duration
	// Zones are all zones that have or had servers of the service.
	Zones []Zone
	// Samples are the load while this VM has held the duty, oldest first.
	Samples []Sample
}

// Reason is why a number of servers is ordered.
type Reason string

// The reasons of orders.
const (
	ReasonLoad        Reason = "load"
	ReasonIdle        Reason = "idle"
	ReasonEnded       Reason = "load ended"
	ReasonUnmet       Reason = "ordered servers did not come"
	ReasonLost        Reason = "servers lost"
	ReasonUnconfirmed Reason = "order not confirmed"
)

// Change is a number of servers that should be ordered for a zone.
type Change struct {
	Zone   string
	Order  Order
	Reason Reason
	// From is the number of servers that the zone has or will have without the order.
	From int
	// Need is that of the decision.
	Need float64
}

// Decision is the result of Decide.
type Decision struct {
	// Need is the number of servers that the highest load of the last cycle takes, grown
	// to when servers ordered now will be warm.
	Need    float64
	Changes []Change
}

// Decide returns the orders that should be sent now. Without history, or with limits that
// contradict each other, there are none.
func Decide(in Input) Decision {
	if in.Limits.Min > in.Limits.Max || in.Limits.Max < 1 || len(in.Zones) == 0 {
		return Decision{}
	}
	load := summarize(in)
	if load.span < minHistory {
		return Decision{Need: load.peak}
	}
	d := Decision{Need: load.peak}
	p := newPlan(in, load)
	for _, z := range in.Zones {
		if c, ok := p.change(z); ok {
			c.Need = d.Need
			d.Changes = append(d.Changes, c)
		}
	}
	return d
}

// plan holds what a decision wants of all zones.
type plan struct {
	Input
	load load
	// share is the number of servers that a sound zone should have, wanted that of a zone
	// whose servers do not come.
	share, wanted int
	limits        limits
	// degraded is true while a zone is out of service or does not get its servers. The
	// other zones give up nothing in that time.
	degraded bool
}

func newPlan(in Input, l load) plan {
	p := plan{Input: in, load: l, limits: newLimits(in)}
	usable, sound, unsoundServing := 0, 0, 0
	for _, z := range in.Zones {
		switch {
		case z.OutOfService:
			p.degraded = true
			continue
		case z.unreliable(in):
			p.degraded = true
			unsoundServing += z.Serving
		default:
			sound++
		}
		usable++
	}
	need := l.peak / targetUtilization
	p.wanted = ceilDiv(need, usable)
	p.share = ceilDiv(need-float64(unsoundServing), sound)
	if !p.degraded && sound > 1 {
		p.share = max(p.share, ceilDiv(l.essential, sound-1)) // the others bear the load if one zone is lost
	}
	return p
}

// ceilDiv divides and rounds up; by 0 it returns 0.
func ceilDiv(a float64, n int) int {
	if n == 0 || a <= 0 {
		return 0
	}
	return int(math.Ceil(a/float64(n) - 1e-9))
}

// change returns the order for a zone, if there should be one.
func (p *plan) change(z Zone) (Change, bool) {
	have := z.available(p.Input)
	switch {
	case p.load.ended:
		return p.stepTo(z, have, max(ceilDiv(p.load.current/targetUtilization, len(p.Zones)), p.limits.min, 1), ReasonEnded)
	case z.OutOfService:
		return Change{}, false
	}
	want := p.share
	if z.unreliable(p.Input) {
		want = max(p.wanted, min(p.share, z.Order.Desired))
	}
	if want = p.limits.bound(want, have); want > have {
		return p.raise(z, have, want)
	}
	if !z.Order.At.IsZero() && !z.Order.Confirmed {
		return Change{Zone: z.Name, Order: z.next(z.Order.Desired, p.Input), Reason: ReasonUnconfirmed, From: have}, true
	}
	if p.mayStepDown(z) {
		keep := max(int(math.Ceil(float64(want)*(1+downHysteresis))), p.limits.min, 1)
		return p.stepTo(z, have, max(keep, have-max(int(maxStepDownShare*float64(have)), 1)), ReasonIdle)
	}
	return Change{}, false
}

// raise returns an order of more servers.
func (p *plan) raise(z Zone, have, want int) (Change, bool) {
	if float64(want) < float64(have)*(1+largeRaise) && z.Order.Confirmed && p.Now.Sub(z.Order.At) < stepInterval {
		return Change{}, false
	}
	want = max(want, min(z.ordered(), p.limits.max))
	reason := ReasonLoad
	switch {
	case z.Order.Met && z.Order.Desired > z.Serving, z.Order.At.IsZero() && z.Usual > z.Serving:
		reason = ReasonLost
	case z.unreliable(p.Input):
		reason = ReasonUnmet
	}
	return Change{Zone: z.Name, Order: z.next(want, p.Input), Reason: reason, From: have}, true
}

// stepTo returns an order of fewer servers.
func (p *plan) stepTo(z Zone, have, want int, reason Reason) (Change, bool) {
	if want >= have || p.Now.Sub(z.Order.At) < stepInterval && !z.Order.At.IsZero() {
		return Change{}, false
	}
	return Change{Zone: z.Name, Order: z.next(want, p.Input), Reason: reason, From: have}, true
}

// mayStepDown reports whether a zone may give up servers: the history covers a whole cycle, all
// zones are sound, and the last order is old enough to have had its effect.
func (p *plan) mayStepDown(z Zone) bool {
	if p.degraded || !p.load.covered {
		return false
	}
	age := p.Now.Sub(z.Order.At)
	switch {
	case z.Order.At.IsZero():
		return true
	case z.Order.Up:
		return age >= p.Limits.BootTime+p.ColdTime+mixCycle
	}
	return age >= stepDownInterval
}

// pending reports whether the servers of the last order may still come.
func (in *Input) pending(z Zone) bool {
	return in.Now.Sub(z.Order.At) < in.Limits.BootTime+lateMargin
}

// available returns the number of servers that the zone has or will have: those that serve,
// and ordered ones on which one may count.
func (z Zone) available(in Input) int {
	o := z.Order
	switch {
	case o.At.IsZero():
		return z.Serving
	case o.Desired <= z.Serving:
		if !o.Confirmed || in.pending(z) {
			return o.Desired
		}
	case o.Confirmed && !o.Met && in.pending(z):
		return o.Desired
	}
	return z.Serving
}

// ordered returns the number of servers that the platform provides for the zone, as far as it is
// known. A raise below it would give up servers that are only missing for a while.
func (z Zone) ordered() int {
	if z.Order.At.IsZero() {
		return z.Usual
	}
	return z.Order.Desired
}

// unreliable reports whether ordered servers did not come, so that other zones have to make
// up for them.
func (z Zone) unreliable(in Input) bool {
	o := z.Order
	if o.At.IsZero() || o.Met || o.Desired <= z.Serving {
		return false
	}
	return o.Missed > 0 || !in.pending(z)
}

// next returns the state of an order that follows the last one.
func (z Zone) next(desired int, in Input) Order {
	o := Order{Desired: desired, At: in.Now, Up: desired > z.Serving}
	if z.unreliable(in) {
		o.Missed = z.Order.Missed
		if !in.pending(z) {
			o.Missed++
		}
	}
	return o
}

// Observe returns the order with what the number of serving servers tells of it.
func (o Order) Observe(serving int) Order {
	if reached := o.Up && serving >= o.Desired || !o.Up && serving <= o.Desired; reached && !o.At.IsZero() {
		o.Met, o.Missed = true, 0
	}
	return o
}
