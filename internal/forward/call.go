package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// call is one request of a caller while it is served.
type call struct {
	meta    RequestInfo
	route   *topology.Route
	service string
	account *topology.Account
	request *http.Request
	body    []byte
	arrived time.Time
	// deadline is the end of the caller's patience or of the route's timeout.
	deadline time.Time

	// tried are the targets that the request was sent to or that could not be
	// reached; sent counts those that got a byte.
	tried        map[string]bool
	attemptsSent int
	// suspectZones are the zones whose other targets are probably gone, too.
	suspectZones map[string]bool
	// mayHaveRun is true once a target may have begun to work on the request.
	mayHaveRun bool
	// failure is a target's own failure, kept in case no other target succeeds.
	failure *bufferedResponse
	caller  *callerWriter
	// queued is true once the call has waited for an engine.
	queued bool
	// reservationCount counts the names given to reservations.
	reservationCount int
}

// bufferedResponse is an answer that was read whole.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// accountName returns the name of the account, empty without one.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// callerWriter is the caller's side of an answer.
type callerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// headerSent is true once the head was written.
	headerSent bool
	// lastEventID is the id of the last event written, and events their number.
	lastEventID string
	events      int
	// timeToFirstEvent is when the first event was written after the call's arrival;
	// longest is the longest pause after it, and lastAt the time of the last one.
	timeToFirstEvent time.Duration
	longestGap       time.Duration
	lastEventAt      time.Time
	// writeErr is the error of a write: the caller has gone or does not read.
	writeErr error
}

func newCallerWriter(w http.ResponseWriter) *callerWriter {
	return &callerWriter{w: w, control: http.NewResponseController(w)}
}

func (o *callerWriter) writeHeader(status int, header http.Header) {
	if o.headerSent {
		return
	}
	o.headerSent = true
	to := o.w.Header()
	for name, values := range header {
		to[name] = values
	}
	// A nil value keeps net/http from adding a header of its own.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, set := to[name]; !set {
			to[name] = nil
		}
	}
	o.w.WriteHeader(status)
}

func (o *callerWriter) write(p []byte) {
	if o.writeErr != nil || len(p) == 0 {
		return
	}
	if _, o.writeErr = o.w.Write(p); o.writeErr == nil {
		o.writeErr = o.control.Flush()
	}
}

// writeEvent writes an event of a stream and notes when.
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
	if id != "" {
		o.lastEventID = id
	}
}

// writeResponse writes an answer that was read whole.
func (o *callerWriter) writeResponse(a *bufferedResponse) {
	o.writeHeader(a.status, a.header)
	o.write(a.body)
}

// expired reports why a call must end, if it must.
func (c *call) expired(ctx context.Context) bool {
	return ctx.Err() != nil || c.remaining() <= 0
}
