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

// Refused counts a final answer of this system; status 0 is a broken stream.
func (m *Metrics) Refused(status int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`oriole_refused_total{status="%d"}`, status)).Inc()
}

// Ended counts a call that a target answered, and the time it took.
func (m *Metrics) Ended(kind string, o outcome, d time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`oriole_requests_total{kind=%q,outcome=%q}`, kind, o)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(`oriole_request_seconds{kind=%q}`, kind)).Update(d.Seconds())
}

// FirstEvent notes the time to the first event of a stream.
func (m *Metrics) FirstEvent(d time.Duration) { m.firstEvent.Update(d.Seconds()) }

// Order counts an order to an engine.
func (m *Metrics) Order() { m.set.GetOrCreateCounter("oriole_orders_total").Inc() }
