package forward

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// zoneTraffic returns the counter of the bytes that go to or come from other zones for a purpose.
func (m *Metrics) zoneTraffic(purpose string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("oriole_zone_traffic_bytes_total{purpose=%q}", purpose))
}

// CountZonePlacement counts an attempt by whether its target is in the own zone.
func (m *Metrics) CountZonePlacement(own bool) {
	zone := "other"
	if own {
		zone = "own"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("oriole_zone_placements_total{zone=%q}", zone)).Inc()
}

// countRequestTraffic counts the body of a request to another zone.
func (h *Handler) countRequestTraffic(c *call, target *topology.Target) {
	h.Metrics.CountZonePlacement(target.Zone == h.Zone)
	if target.Zone != h.Zone {
		h.Metrics.zoneTraffic("requests").Add(len(c.body))
	}
}

// countAnswerTraffic returns the body of a response, whose bytes it counts if they come from
// another zone.
func (h *Handler) countAnswerTraffic(body io.ReadCloser, target *topology.Target) io.ReadCloser {
	if target.Zone == h.Zone {
		return body
	}
	return countedBody{body, h.Metrics.zoneTraffic("answers")}
}

// countedBody is a body whose bytes are counted.
type countedBody struct {
	io.ReadCloser
	counter *metrics.Counter
}

// Read implements io.Reader.
func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.counter.Add(n)
	return n, err
}
