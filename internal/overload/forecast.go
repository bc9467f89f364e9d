package overload

import "time"

// Forecast tells when a late call will be served.
type Forecast struct {
	// Ahead is the number of waiting calls that go first.
	Ahead int
	// SparePerSecond is the rate of slots that calls on time leave to late ones. It is negative
	// while some calls on time get no slot either.
	SparePerSecond float64
	// Wait is the time until the call gets a slot; Never if no slot is expected.
	Wait time.Duration
	// unservedPerSecond is the rate at which calls become late, endsPerSecond that of slots.
	unservedPerSecond, endsPerSecond float64
}

// Never is the wait of a call for which no slot is expected.
const Never = time.Hour

// Forecast returns when a late call is expected to get a slot. ok is false if there is no forecast:
// the call can be on time, other VMs do not know it, or slots are free for it.
func (p *Plan) Forecast(vm string, id uint64) (f Forecast, ok bool) {
	position := -1
	for i, c := range p.calls {
		if c.VM == vm && c.ID == id {
			position = i
		}
	}
	if position < 0 || !p.calls[position].Late() || p.engines[position] != "" || p.free > p.reserve {
		return f, false
	}
	f = Forecast{Ahead: position, unservedPerSecond: p.unserved(), endsPerSecond: p.snapshot.EndsPerSecond, Wait: Never}
	f.SparePerSecond = f.endsPerSecond - p.snapshot.OnTimePerSecond - f.unservedPerSecond
	if f.SparePerSecond > 0 {
		seconds := float64(position+1) / f.SparePerSecond
		f.Wait = time.Duration(min(seconds, Never.Seconds()) * float64(time.Second))
	}
	return f, true
}

// unserved returns the rate at which calls become late: those whose time is nearly used up get a
// slot only when no other call on time waits.
func (p *Plan) unserved() float64 {
	rate := 0.0
	for _, c := range p.calls {
		if !c.Late() && c.pressed() {
			rate += 1 / ((1 - pressedShare) * c.LateAfter.Seconds())
		}
	}
	return rate
}

const (
	// A caller that is refused may return after minRetry at the earliest, and honours at most
	// maxRetryShare of the time that it has left.
	minRetry      = time.Second
	maxRetryShare = 1.0 / 3
	// spareShare is the share of the slots that is assumed to be spare when the load falls, and
	// overloadTime the time for which callers are refused before.
	spareShare   = 0.2
	overloadTime = time.Second
)

// RetryAfter returns when the caller of a refused call should return: at a random moment of the
// time in which the calls that are refused now can be worked off. left is the time until the
// deadline of the call; draw is a random number from 0 to 1.
func (f Forecast) RetryAfter(left time.Duration, draw float64) time.Duration {
	latest := max(time.Duration(maxRetryShare*float64(left)), minRetry)
	spread := latest
	if f.endsPerSecond > 0 {
		seconds := f.unservedPerSecond * overloadTime.Seconds() / (spareShare * f.endsPerSecond)
		spread = max(time.Duration(min(seconds, Never.Seconds())*float64(time.Second)), minRetry/2)
	}
	spread = min(spread, latest-minRetry)
	return minRetry + time.Duration(draw*float64(spread))
}
