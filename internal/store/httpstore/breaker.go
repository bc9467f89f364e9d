package httpstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// BreakerState is the state of a circuit breaker.
type BreakerState int

// The states of a circuit breaker.
const (
	Closed BreakerState = iota
	Open
	HalfOpen
)

// String returns the name of the state.
func (s BreakerState) String() string {
	return [...]string{"closed", "open", "half_open"}[s]
}

const (
	// failuresToOpen consecutive failures open the breaker.
	failuresToOpen  = 5
	openDurationMin = 200 * time.Millisecond
	// openDurationMax is below the 3 s after which a VM without store contact
	// counts as cut off, so that the end of an outage is noticed in time.
	openDurationMax = time.Second
)

// breaker stops calls to a service that fails, and lets one probe through
// after a pause to find out whether it has recovered.
type breaker struct {
	mu           sync.Mutex
	state        BreakerState
	failures     int
	openDuration time.Duration // length of the latest pause before jitter
	openUntil    time.Time     // end of the pause
	openCount    uint64        // times that the breaker opened
}

// ready reports whether a call could pass now; it claims no probe.
func (b *breaker) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state == Closed || b.state == Open && !time.Now().Before(b.openUntil)
}

// allow reports whether a call may be sent. The caller must report the result
// through done. probe says that the call is the only one of a half-open breaker.
func (b *breaker) allow() (ok, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.state == Closed:
		return true, false
	case b.state == Open && !time.Now().Before(b.openUntil):
		b.state = HalfOpen
		return true, true
	default:
		return false, false
	}
}

// callResult says what a call showed about the service.
type callResult int

const (
	healthy  callResult = iota // it answered
	failing                    // it did not answer, or refused
	noResult                   // the caller gave up before it could be seen
)

// record takes the result of an allowed call. Results of calls that were sent
// before the breaker opened do not close it.
func (b *breaker) record(r callResult, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case probe && r == healthy:
		b.state, b.failures, b.openDuration = Closed, 0, 0
	case probe:
		b.openLocked()
	case b.state != Closed || r == noResult:
	case r == healthy:
		b.failures = 0
	default:
		b.failures++
		if b.failures >= failuresToOpen {
			b.openLocked()
		}
	}
}

// openLocked starts a pause. The jitter spreads the probes of the fleet.
func (b *breaker) openLocked() {
	b.openDuration = min(max(2*b.openDuration, openDurationMin), openDurationMax)
	pause := b.openDuration/2 + rand.N(b.openDuration/2)
	b.state, b.failures, b.openUntil = Open, 0, time.Now().Add(pause)
	b.openCount++
}

func (b *breaker) snapshot() (BreakerState, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state, b.openCount
}
