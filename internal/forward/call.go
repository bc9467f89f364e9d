package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/overload"
	"github.com/oriolefront/oriolefront/internal/topology"
)

// call is the state of one caller's request while it is served.
type call struct {
	meta    RequestInfo
	route   *topology.Route
	service string
	account *topology.Account
	request *http.Request
	body    []byte
	arrived time.Time
	// deadline follows from the timeout of the caller or of the route, whichever is shorter.
	deadline time.Time
	// caller belongs to the call's goroutine.
	caller *callerWriter

	identityOnce sync.Once
	identityHash string // see identity

	// The fields below belong to the call's goroutine, or to that of its standby attempt while
	// there is one.

	// progress is what the caller had of the response when the latest attempt was prepared.
	progress progress
	// usageCounted is true once the call counts for its account.
	usageCounted atomic.Bool
	// tried holds the targets that the request was sent to or that were unreachable;
	// attemptsSent counts those that may have received a byte.
	tried        map[string]bool
	attemptsSent int
	// suspectZones are the zones whose remaining targets have probably failed too.
	suspectZones map[string]bool
	// mayHaveRun is true once a target may have started to process the request.
	mayHaveRun bool
	// lastOutcome and lastErr are the result of the last attempt; noRetry is why no other
	// attempt follows it.
	lastOutcome outcome
	lastErr     error
	noRetry     retryDenial
	// gaps is what the runs of its stream have shown of the steps between the ids of events.
	gaps gapPolicy
	// failure is the error response of a target, kept in case no other target succeeds.
	failure *bufferedResponse
	// predictedFirstEvent is the predicted time to the first event, as of the last attempt to place the call.
	predictedFirstEvent time.Duration
	// untilAdmitted is how long after the last attempt to place the call enough untried
	// targets accept requests again; 0 if they do, or if that is not known.
	untilAdmitted time.Duration
	// zoneDraw decides whether the call belongs to the share that may leave its zone; it is drawn
	// at the first attempt.
	zoneDraw  float64
	zoneDrawn bool
	// queued is true once the call has waited for a target.
	queued bool
	// ordered is set while the call is placed in the order of the calls of all VMs.
	ordered *orderedCall
	// returned is true if its caller was refused before under overload: the call is late in any case.
	returned bool
	// forecast is the reason for a refusal under overload.
	forecast *overload.Forecast
	// reservationCount makes the ids of the call's reservations unique.
	reservationCount int
}

// progress is what a caller has of a response.
type progress struct {
	// begun is true once the header was sent.
	begun       bool
	lastEventID string
	lastEventAt time.Time // zero before the first event
}

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// accountName returns the name of the account, or "" without one.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// callerWriter writes the response to the caller.
type callerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// headerSent is true once the response header was written.
	headerSent bool
	// status is the status of the response.
	status int
	// lastEventID is the id of the last event that the caller has, events the number of
	// events written.
	lastEventID string
	events      int
	// timeToFirstEvent is measured from the call's arrival; longestGap is the longest
	// time between two events, and lastEventAt the time of the last one.
	timeToFirstEvent time.Duration
	longestGap       time.Duration
	lastEventAt      time.Time
	// writeErr is the error of a write: the caller disconnected or does not read.
	writeErr error
}

func newCallerWriter(w http.ResponseWriter) *callerWriter {
	return &callerWriter{w: w, control: http.NewResponseController(w)}
}

func (o *callerWriter) progress() progress {
	return progress{begun: o.headerSent, lastEventID: o.lastEventID, lastEventAt: o.lastEventAt}
}

func (o *callerWriter) writeHeader(status int, header http.Header) {
	if o.headerSent {
		return
	}
	o.headerSent, o.status = true, status
	to := o.w.Header()
	for name, values := range header {
		to[name] = values
	}
	// A nil value keeps net/http from adding the header itself.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, set := to[name]; !set {
			to[name] = nil
		}
	}
	o.w.WriteHeader(status)
}

// successful reports whether the response has a status of success.
func (o *callerWriter) successful() bool { return o.status >= 200 && o.status < 300 }

func (o *callerWriter) write(p []byte) {
	if o.writeErr != nil || len(p) == 0 {
		return
	}
	if _, o.writeErr = o.w.Write(p); o.writeErr == nil {
		o.writeErr = o.control.Flush()
	}
}

// relayComment writes comment lines of a stream.
func (o *callerWriter) relayComment(p []byte) error {
	o.write(p)
	return o.writeErr
}

// writeEvent writes an event of a stream and records its timing.
func (o *callerWriter) writeEvent(p []byte, id string, arrived time.Time) {
	now := time.Now()
	if o.events == 0 {
		o.timeToFirstEvent = now.Sub(arrived)
	} else {
		o.longestGap = max(o.longestGap, now.Sub(o.lastEventAt))
	}
	o.lastEventAt = now
	o.write(p)
	o.events++
	o.lastEventID = id
}

// writeResponse writes a buffered response.
func (o *callerWriter) writeResponse(response *bufferedResponse) {
	o.writeHeader(response.status, response.header)
	o.write(response.body)
}

// expired reports whether the call was cancelled or its deadline has passed.
func (c *call) expired(ctx context.Context) bool {
	return ctx.Err() != nil || c.remaining() <= 0
}
