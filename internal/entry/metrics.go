package entry

import (
	"fmt"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/claim"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store/httpstore"
)

// registerMetrics registers the metrics that the other packages do not register
// themselves. docs/operate/watch.md describes all metrics.
func (p *Process) registerMetrics() {
	p.registerMembership()
	p.registerCapacity()
	p.registerClaims()
	gauge(p, "quarantines", p.quarantine.Active)
	for _, service := range []struct {
		name  string
		stats func(httpstore.Stats) httpstore.ServiceStats
	}{
		{"table", func(s httpstore.Stats) httpstore.ServiceStats { return s.Table }},
		{"objects", func(s httpstore.Stats) httpstore.ServiceStats { return s.Objects }},
		{"vms", func(s httpstore.Stats) httpstore.ServiceStats { return s.VMs }},
	} {
		p.registerService(service.name, func() httpstore.ServiceStats { return service.stats(p.StoreStats()) })
	}
}

// gauge registers a gauge whose value is read at each scrape.
func gauge[N int | int64 | uint64 | float64](p *Process, name string, read func() N) {
	p.metrics.NewGauge("oriolefront_"+name, func() float64 { return float64(read()) })
}

// boolGauge registers a gauge with the value 1 or 0.
func boolGauge(p *Process, name string, read func() bool) {
	gauge(p, name, func() int {
		if read() {
			return 1
		}
		return 0
	})
}

func (p *Process) registerMembership() {
	boolGauge(p, "ready", func() bool { return p.checkMayStart() == nil })
	gauge(p, "seats", func() int { return len(p.seats.Seats()) })
	gauge(p, "seats_occupied", p.seats.OccupiedSeats)
	for _, v := range []membership.Connectivity{membership.Isolated, membership.Connected, membership.StoreOutage} {
		boolGauge(p, fmt.Sprintf("verdict{verdict=%q}", v), func() bool { return p.members.Connectivity() == v })
	}
	for _, state := range []membership.State{membership.Live, membership.Suspect, membership.Leaving} {
		gauge(p, fmt.Sprintf("peers{state=%q}", state), func() int { return p.countPeers(state) })
	}
	gauge(p, "link_sent_bytes_total", func() uint64 { return uint64(p.LinkStats().BytesOut) })
	gauge(p, "link_received_bytes_total", func() uint64 { return uint64(p.LinkStats().BytesIn) })
}

func (p *Process) countPeers(state membership.State) int {
	n := 0
	for _, peer := range p.members.Peers() {
		if peer.State == state {
			n++
		}
	}
	return n
}

func (p *Process) registerCapacity() {
	for name, read := range map[string]func(capacity.Usage) int{
		"targets_followed":                  func(u capacity.Usage) int { return u.MonitoredTargets },
		"targets_cold":                      func(u capacity.Usage) int { return u.ColdTargets },
		"reserved_requests":                 func(u capacity.Usage) int { return u.Reserved.Slots },
		"reserved_tokens":                   func(u capacity.Usage) int { return u.Reserved.Tokens },
		"orphan_tokens":                     func(u capacity.Usage) int { return u.Orphans.Tokens },
		`loans{direction="lent"}`:           func(u capacity.Usage) int { return u.LentLoans },
		`loans{direction="borrowed"}`:       func(u capacity.Usage) int { return u.BorrowedLoans },
		`loan_tokens{direction="lent"}`:     func(u capacity.Usage) int { return u.Lent.Tokens },
		`loan_tokens{direction="borrowed"}`: func(u capacity.Usage) int { return u.Borrowed.Tokens },
	} {
		gauge(p, name, func() int { return read(p.ledger.Usage()) })
	}
	gauge(p, "sweep_cancelled_total", func() uint64 { return p.sweeper.Stats().Cancelled })
	gauge(p, "sweep_deleted_exports_total", func() uint64 { return p.sweeper.Stats().Deleted })
	gauge(p, "sweep_failed_total", func() uint64 { return p.sweeper.Stats().Failed })
}

func (p *Process) registerClaims() {
	for name, read := range map[string]func(claim.Stats) uint64{
		"claims_total":             func(s claim.Stats) uint64 { return s.Claims },
		"claim_repeats_total":      func(s claim.Stats) uint64 { return s.Replays },
		"claim_transactions_total": func(s claim.Stats) uint64 { return s.Transactions },
		"claim_read_backs_total":   func(s claim.Stats) uint64 { return s.ReadBacks },
		"claims_open":              func(s claim.Stats) uint64 { return uint64(s.Pending) },
	} {
		gauge(p, name, func() uint64 { return read(p.claims.Stats()) })
	}
}

func (p *Process) registerService(service string, stats func() httpstore.ServiceStats) {
	for name, read := range map[string]func(httpstore.ServiceStats) uint64{
		"store_calls_total{call=\"read\",":                 func(s httpstore.ServiceStats) uint64 { return s.Reads },
		"store_calls_total{call=\"write\",":                func(s httpstore.ServiceStats) uint64 { return s.Writes },
		"store_retries_total{":                             func(s httpstore.ServiceStats) uint64 { return s.Retries },
		"store_conflicts_total{":                           func(s httpstore.ServiceStats) uint64 { return s.Conflicts },
		"store_failures_total{result=\"unavailable\",":     func(s httpstore.ServiceStats) uint64 { return s.Unavailable },
		"store_failures_total{result=\"unknown\",":         func(s httpstore.ServiceStats) uint64 { return s.Unknown },
		"store_failures_total{result=\"refused_locally\",": func(s httpstore.ServiceStats) uint64 { return s.RejectedLocally },
		"store_contacts_total{":                            func(s httpstore.ServiceStats) uint64 { return s.Contacts },
		"store_breaker_opened_total{":                      func(s httpstore.ServiceStats) uint64 { return s.BreakerOpenCount },
		"store_breaker_state{":                             func(s httpstore.ServiceStats) uint64 { return uint64(s.Breaker) },
	} {
		gauge(p, name+fmt.Sprintf("service=%q}", service), func() uint64 { return read(stats()) })
	}
}
