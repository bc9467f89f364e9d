package forward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// refusal is a final response that this VM generates.
type refusal struct {
	status int
	// reason states the cause for callers and for the log.
	reason string
	// retryAfter is when a retry may succeed; 0 for no hint.
	retryAfter time.Duration
}

// Refusals that do not depend on the request.
var (
	refuseNoConfig        = &refusal{http.StatusServiceUnavailable, "no configuration is known yet; try again", 500 * time.Millisecond}
	refuseKeysUnconfirmed = &refusal{http.StatusServiceUnavailable, "this VM cannot confirm that the API key is still valid; try again", 500 * time.Millisecond}
	refuseIsolated        = &refusal{http.StatusServiceUnavailable, "this VM reaches neither the store nor another VM; try again", 300 * time.Millisecond}
	refuseNoRoute         = &refusal{http.StatusNotFound, "no route matches the host and path", 0}
	refuseUnauthorized    = &refusal{http.StatusUnauthorized, "the key is missing or unknown", 0}
	refuseTooLarge        = &refusal{http.StatusRequestEntityTooLarge, "the body exceeds the limit of the configuration", 0}
	refuseSlowBody        = &refusal{http.StatusRequestTimeout, "the body did not arrive before the deadline", 0}
	refuseBuffersFull     = &refusal{http.StatusServiceUnavailable, "too many request bodies are held; try again", 500 * time.Millisecond}
	refuseStopping        = &refusal{http.StatusServiceUnavailable, "this VM is stopping; try another one", 50 * time.Millisecond}
	refuseNoTarget        = &refusal{http.StatusServiceUnavailable, "no target can take the request now; try again", 400 * time.Millisecond}
	refuseBusy            = &refusal{http.StatusServiceUnavailable, "all targets are busy; try again", 700 * time.Millisecond}
	refuseOverload        = &refusal{http.StatusServiceUnavailable, "no engine is expected to have room in time; try again", time.Second}
	refusePromptTooLarge  = &refusal{http.StatusServiceUnavailable, "the prompt cannot be read before the deadline", 2 * time.Second}
	failInterrupted       = &refusal{http.StatusBadGateway, "the target broke off; the request may have run", 0}
	failTimeout           = &refusal{http.StatusGatewayTimeout, "the deadline passed; the request may have run", 0}
	failTimeoutNotSent    = &refusal{http.StatusServiceUnavailable, "the deadline passed before the request could be sent", 0}
)

// retryJitter spreads the retries of callers that were refused at the same time.
const retryJitter = 0.5

// write sends the refusal to the caller.
func (f *refusal) write(o *callerWriter, p Protocol, id string) {
	header := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	p.SetRequestID(header, id)
	if f.retryAfter > 0 {
		wait := f.retryAfter.Seconds()
		if f.reason != refuseOverload.reason { // its forecast spreads the retries
			wait *= 1 + retryJitter*rand.Float64()
		}
		header.Set("Retry-After", strconv.FormatFloat(wait, 'f', 3, 64))
	}
	body := []byte(f.reason + "\n")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	o.writeHeader(f.status, header)
	o.write(body)
}
