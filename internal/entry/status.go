package entry

import (
	"fmt"

	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/operator"
)

// status describes this VM to operators.
func (p *Process) status() operator.Status {
	head := p.syncer.Head()
	status := operator.Status{
		Instance: p.instanceName(),
		Verdict:  p.members.Verdict().String(),
		Seats:    []int{},
		Version:  head.Version,
		Hash:     head.Hash,
		Peers:    []operator.Peer{},
	}
	if err := p.mayStart(); err != nil {
		status.NotReady = err.Error()
	}
	for _, s := range p.seats.Seats() {
		status.Seats = append(status.Seats, s.Index)
	}
	for _, peer := range p.members.Peers() {
		status.Peers = append(status.Peers, operator.Peer{
			Instance:  fmt.Sprintf("%s#%d", peer.Instance.Address, peer.Instance.StartNumber),
			Zone:      peer.Zone,
			Seats:     peer.Seats,
			State:     string(peer.State),
			LastHeard: peer.LastHeard,
			Version:   peer.ConfigVersion,
		})
	}
	return status
}

// registerMetrics adds the gauges that other packages do not register.
func (p *Process) registerMetrics() {
	p.metrics.NewGauge("oriolefront_seats", func() float64 { return float64(len(p.seats.Seats())) })
	for _, v := range []membership.Verdict{membership.Isolated, membership.Connected, membership.Outage} {
		p.metrics.NewGauge(fmt.Sprintf("oriolefront_verdict{verdict=%q}", v), func() float64 {
			if p.members.Verdict() == v {
				return 1
			}
			return 0
		})
	}
	p.metrics.NewGauge("oriolefront_link_sent_bytes_total", func() float64 { return float64(p.LinkStats().BytesOut) })
	p.metrics.NewGauge("oriolefront_link_received_bytes_total", func() float64 { return float64(p.LinkStats().BytesIn) })
	p.metrics.NewGauge("oriolefront_store_reads_total", func() float64 { return float64(p.StoreStats().Table.Reads) })
	p.metrics.NewGauge("oriolefront_store_writes_total", func() float64 { return float64(p.StoreStats().Table.Writes) })
}
