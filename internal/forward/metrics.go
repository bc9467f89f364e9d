package forward

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts what became of requests.
type Metrics struct {
	set        *metrics.Set
	firstEvent *metrics.Histogram
}

// NewMetrics registers the counters in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{set: set, firstEvent: set.NewHistogram("oriole_first_event_seconds")}
}

// CountRefusal counts a final answer of this system; status 0 is a broken stream.
func (m *Metrics) CountRefusal(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`oriole_refused_total{status="%d"}`, status)).Inc()
}

// ObserveRequest counts a call that a target answered, and the time it took.
func (m *Metrics) ObserveRequest(kind string, o outcome, d time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`oriole_requests_total{kind=%q,outcome=%q}`, kind, o)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`oriole_request_seconds{kind=%q}`, kind)).Update(d.Seconds())
}

// ObserveFirstEvent notes the time to the first event of a stream.
func (m *Metrics) ObserveFirstEvent(d time.Duration) { m.firstEvent.Update(d.Seconds()) }

// CountCommand counts an order to an engine.
func (m *Metrics) CountCommand() { m.set.GetOrCreateCounter("oriole_orders_total").Inc() }
