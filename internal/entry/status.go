package entry

import (
	"fmt"

	"github.com/oriolefront/oriolefront/internal/operator"
)

// status returns the status of this VM for operators.
func (p *Process) status() operator.Status {
	head := p.syncer.Head()
	status := operator.Status{
		Instance:     p.instanceName(),
		Connectivity: p.members.Connectivity().String(),
		Seats:        []int{},
		Version:      head.Version,
		Hash:         head.Hash,
		Peers:        []operator.Peer{},
	}
	if err := p.checkMayStart(); err != nil {
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
