package peers

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// traffic counts the bytes that go between zones, by purpose; headers of IP, UDP and TCP are not
// included.
type traffic struct {
	// heartbeat counts ordinary heartbeats that are sent directly, status those that hold a
	// status, full those that hold all requests, relay those that a VM of the other zone is to
	// pass on.
	heartbeat, status, full, relay *metrics.Counter
	// changes counts changes of tables that were fetched from VMs of other zones.
	changes *metrics.Counter
	// relayed counts the heartbeats, not the bytes, of other zones that this VM passed on.
	relayed *metrics.Counter
}

func newTraffic(set *metrics.Set) *traffic {
	if set == nil {
		set = metrics.NewSet()
	}
	counter := func(purpose string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("oriole_zone_traffic_bytes_total{purpose=%q}", purpose))
	}
	return &traffic{heartbeat: counter("heartbeat"), status: counter("status"), full: counter("full"), relay: counter("relay"), changes: counter("changes"),
		relayed: set.NewCounter("oriole_heartbeats_relayed_total")}
}

// of returns the counter for a heartbeat that is sent directly.
func (t *traffic) of(h heartbeat) *metrics.Counter {
	switch {
	case h.Whole:
		return t.full
	case h.Status != nil:
		return t.status
	}
	return t.heartbeat
}
