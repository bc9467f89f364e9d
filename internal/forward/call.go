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
	tried map[string]bool
	sent  int
	// doubtedZones are the zones whose other targets are probably gone, too.
	doubtedZones map[string]bool
	// mayHaveRun is true once a target may have begun to work on the request.
	mayHaveRun bool
	// failure is a target's own failure, kept in case no other target succeeds.
	failure *wholeAnswer
	out     *output
	// held is true once the call has waited for an engine.
	held bool
	// reservations counts the names given to reservations.
	reservations int
}

// wholeAnswer is an answer that was read whole.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (c *call) left() time.Duration { return time.Until(c.deadline) }

// accountName returns the name of the account, empty without one.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}

// output is the caller's side of an answer.
type output struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// begun is true once the head was written.
	begun bool
	// last is the id of the last event written, and events their number.
	last   string
	events int
	// firstAt is when the first event was written after the call's arrival;
	// longest is the longest pause after it, and lastAt the time of the last one.
	firstAt time.Duration
	longest time.Duration
	lastAt  time.Time
	// failed is the error of a write: the caller has gone or does not read.
	failed error
}

func newOutput(w http.ResponseWriter) *output {
	return &output{w: w, control: http.NewResponseController(w)}
}

func (o *output) head(status int, header http.Header) {
	if o.begun {
		return
	}
	o.begun = true
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

func (o *output) write(p []byte) {
	if o.failed != nil || len(p) == 0 {
		return
	}
	if _, o.failed = o.w.Write(p); o.failed == nil {
		o.failed = o.control.Flush()
	}
}

// event writes an event of a stream and notes when.
func (o *output) event(p []byte, id string, arrived time.Time) {
	now := time.Now()
	if o.events == 0 {
		o.firstAt = now.Sub(arrived)
	} else {
		o.longest = max(o.longest, now.Sub(o.lastAt))
	}
	o.lastAt = now
	o.write(p)
	o.events++
	if id != "" {
		o.last = id
	}
}

// whole writes an answer that was read whole.
func (o *output) whole(a *wholeAnswer) {
	o.head(a.status, a.header)
	o.write(a.body)
}

// ended reports why a call must end, if it must.
func (c *call) ended(ctx context.Context) bool {
	return ctx.Err() != nil || c.left() <= 0
}
