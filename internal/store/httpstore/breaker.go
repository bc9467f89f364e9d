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
	// failuresToOpen is the number of consecutive failures that open the breaker.
	failuresToOpen  = 5
	openDurationMin = 200 * time.Millisecond
	// openDurationMax is below the 3 s after which a VM without store contact is
	// considered isolated, so that the end of an outage is detected in time.
	openDurationMax = time.Second
)

// breaker is a circuit breaker. While open, it rejects calls to a failing service;
// after a back-off it lets one call through as a probe for recovery.
type breaker struct {
	mu           sync.Mutex
	state        BreakerState
	failures     int
	openDuration time.Duration // latest back-off before jitter
	openUntil    time.Time     // end of the back-off
	openCount    uint64        // number of times the breaker has opened
}

// ready reports whether a call would be allowed now. Unlike allow, it does not
// start a probe.
func (b *breaker) ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state == Closed || b.state == Open && !time.Now().Before(b.openUntil)
}

// allow reports whether a call may be sent, and whether it is the probe of the
// half-open breaker. The caller must pass the result of an allowed call to
// record.
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

// callResult is what a call reveals about the health of the service.
type callResult int

const (
	healthy  callResult = iota // the service responded
	failing                    // no response, or rejected as unavailable
	noResult                   // canceled by the caller before a response
)

// record records the result of an allowed call. Calls sent before the breaker
// opened cannot close it.
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

// openLocked opens the breaker. Jitter spreads the probes of the VMs of the fleet.
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
