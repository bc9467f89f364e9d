package forward

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/httpclient"
	"github.com/oriolefront/oriolefront/internal/httphead"
	"github.com/oriolefront/oriolefront/internal/overload"
)

// Metrics counts requests by outcome and records their times.
type Metrics struct {
	set        *metrics.Set
	firstEvent *metrics.Histogram
}

// NewMetrics registers the metrics in set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, firstEvent: set.NewHistogram("oriole_first_event_seconds")}
}

// CountRefusal counts a refusal by its status; status 0 is an interrupted stream.
func (m *Metrics) CountRefusal(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`oriole_refused_total{status="%d"}`, status)).Inc()
}

// CountPanic counts a request whose handler panicked.
func (m *Metrics) CountPanic() { m.set.GetOrCreateCounter("oriole_panics_total").Inc() }

// CountQuarantined counts a request that was not sent because of a quarantined part.
func (m *Metrics) CountQuarantined() {
	m.set.GetOrCreateCounter("oriole_quarantine_refusals_total").Inc()
}

// CountForeignResponse counts a response that arrived in place of that to another request.
func (m *Metrics) CountForeignResponse() {
	m.set.GetOrCreateCounter("oriole_foreign_responses_total").Inc()
}

// CountBrokenResponse counts an attempt whose response was broken, if its error tells so.
func (m *Metrics) CountBrokenResponse(err error) {
	reason := ""
	switch {
	case errors.Is(err, httphead.ErrMalformed):
		reason = "malformed_head"
	case errors.Is(err, httpclient.ErrRequestNotReceived):
		reason = "request_not_received"
	default:
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`oriole_broken_responses_total{reason=%q}`, reason)).Inc()
}

// CountEventFault counts an event that cannot belong to the stream in which it was read.
func (m *Metrics) CountEventFault() {
	m.set.GetOrCreateCounter("oriole_event_faults_total").Inc()
}

// CountTargetCrash counts a request under which a target crashed before it was answered.
func (m *Metrics) CountTargetCrash() {
	m.set.GetOrCreateCounter("oriole_target_crash_evidence_total").Inc()
}

// ObserveRequest records the outcome and the duration of a call that was not refused.
func (m *Metrics) ObserveRequest(kind string, o outcome, d time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`oriole_requests_total{kind=%q,outcome=%q}`, kind, o)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`oriole_request_seconds{kind=%q}`, kind)).Update(d.Seconds())
}

// ObserveFirstEvent records the time to the first event of a stream.
func (m *Metrics) ObserveFirstEvent(d time.Duration) { m.firstEvent.Update(d.Seconds()) }

// CountOverloadRefusal counts a late call that was refused because its slot was expected after the
// given time, which is overload.Never if none was.
func (m *Metrics) CountOverloadRefusal(wait time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`oriole_overload_refusals_total{slot_expected="%t"}`, wait < overload.Never)).Inc()
}

// CountDispatch counts a call that got its slot in the order of all VMs: at once, or after it
// waited, on time or late.
func (m *Metrics) CountDispatch(class string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`oriole_overload_dispatches_total{class=%q}`, class)).Inc()
}

// CountCommand counts a command sent to an engine.
func (m *Metrics) CountCommand() { m.set.GetOrCreateCounter("oriole_orders_total").Inc() }
