package admission

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/apierror"
)

// refusalKinds are the error kinds with which requests are refused.
var refusalKinds = []apierror.Kind{
	apierror.KindRateLimited, apierror.KindOverloaded, apierror.KindDeadlineExceeded,
	apierror.KindUnavailable, apierror.KindTooLarge,
}

// registerMetrics registers the controller's metrics in a set.
func (c *Controller) registerMetrics(set *metrics.Set) {
	c.waits = set.GetOrCreateHistogram("oriolefront_queue_wait_seconds")
	set.GetOrCreateGauge("oriolefront_queue_requests", func() float64 { n, _ := c.queued(); return float64(n) })
	set.GetOrCreateGauge("oriolefront_queue_bytes", func() float64 { _, n := c.queued(); return float64(n) })
	c.metrics = set
	for _, kind := range refusalKinds {
		c.refusals(kind)
	}
}

func (c *Controller) refusals(kind apierror.Kind) *metrics.Counter {
	return c.metrics.GetOrCreateCounter(fmt.Sprintf("oriolefront_admission_refused_total{reason=%q}", kind))
}

// queued returns the number of waiting requests and their memory in bytes.
func (c *Controller) queued() (requests int, bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size, c.bytes
}

// recordResult counts the result of Admit.
func (c *Controller) recordResult(err *apierror.Error, waited time.Duration) {
	if err != nil {
		c.refusals(err.Kind).Inc()
		return
	}
	c.waits.Update(waited.Seconds())
}
