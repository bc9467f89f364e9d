package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// kindDeletions is the kind of the link message that requests earlier deletions of a table.
const kindDeletions = "TableDeletions"

const (
	// deletionHistory is the time after which a VM knows all deletions that matter when the
	// store comes back from an older copy, which is some seconds old.
	deletionHistory = 10 * time.Second
	// deletionsInterval is the time between two searches for a VM that has run for so long,
	// and deletionsRetryInterval the time after a failed request.
	deletionsInterval      = 100 * time.Millisecond
	deletionsRetryInterval = time.Second
)

// deletionsRequest requests the deletions of a table up to a version of an epoch.
type deletionsRequest struct {
	Table string `msgpack:"t"`
	Epoch uint64 `msgpack:"e,omitempty"`
	To    uint64 `msgpack:"o"`
}

// learnDeletions fetches the deletions before the first listing of a replica from a VM that
// has run longer. Without them rows that a restored store shows again would count as new. It
// gives up when this VM has seen the deletions of deletionHistory itself.
func (m *Mesh) learnDeletions(ctx context.Context, c *replica.Replica) {
	for c.Position() == (replica.Position{}) {
		if !wait.For(ctx, deletionsInterval) {
			return
		}
	}
	listed := c.Position()
	for end := time.Now().Add(deletionHistory); time.Now().Before(end) && c.Position().Epoch == listed.Epoch; {
		pause := deletionsInterval
		if source, ok := m.pickLongRunning(c.Table(), listed); ok {
			err := m.fetchDeletions(ctx, source, c, listed)
			if err == nil || ctx.Err() != nil {
				return
			}
			m.log.Warn("deletions not fetched from peer", "peer", source.Name, "table", c.Table(), "error", err)
			pause = deletionsRetryInterval
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// pickLongRunning returns a random live VM that has run for deletionHistory and whose replica
// of a table has reached the given position in its epoch. VMs of earlier releases do not tell
// their uptime and are not picked.
func (m *Mesh) pickLongRunning(table string, to replica.Position) (status, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sources []status
	for _, p := range m.peers {
		if !p.live() || p.status.uptime() < deletionHistory {
			continue
		}
		if at := p.status.position(table); at.Epoch == to.Epoch && !at.Before(to) {
			sources = append(sources, p.status)
		}
	}
	if len(sources) == 0 {
		return status{}, false
	}
	return sources[rand.IntN(len(sources))], true
}

func (m *Mesh) fetchDeletions(ctx context.Context, source status, c *replica.Replica, to replica.Position) error {
	request := deletionsRequest{Table: c.Table(), Epoch: to.Epoch, To: to.Version}
	reply, delta, err := m.request(ctx, source, kindDeletions, request)
	if err != nil {
		return err
	}
	if err := checkDeletions(delta, request); err != nil {
		return err
	}
	learned := c.LearnDeletions(delta)
	m.log.Info("deletions fetched from peer", "peer", source.Name, "table", c.Table(), "to", to.Version,
		"epoch", to.Epoch, "records", len(delta.Records), "learned", learned, "bytes", len(reply.Delta))
	return nil
}

// checkDeletions returns an error unless the changes that another VM sent are an answer to
// a request for deletions.
func checkDeletions(d replica.Delta, request deletionsRequest) error {
	if err := checkDelta(d, request.Table); err != nil {
		return err
	}
	if d.Epoch != request.Epoch || d.To != request.To || len(d.Records) > replica.MaxDeletions {
		return fmt.Errorf("found %d deletions up to version %d of epoch %d, asked for at most %d up to version %d of epoch %d",
			len(d.Records), d.To, d.Epoch, replica.MaxDeletions, request.To, request.Epoch)
	}
	for _, r := range d.Records {
		if !r.Deleted || len(r.Value) > 0 || r.Version > d.To {
			return fmt.Errorf("found a record with key %.40q, version %d and %d bytes, asked for deletions up to version %d", r.Key, r.Version, len(r.Value), d.To)
		}
	}
	return nil
}

// handleDeletionsRequest returns the latest deletions of a table up to the requested version.
func (m *Mesh) handleDeletionsRequest(_ context.Context, payload []byte) (any, error) {
	var request deletionsRequest
	if err := msgpack.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	c, err := m.replicaOf(request.Table)
	if err != nil {
		return nil, err
	}
	to := replica.Position{Epoch: request.Epoch, Version: request.To}
	delta, ok := c.DeletionsUntil(to)
	if !ok {
		return nil, fmt.Errorf("the replica of table %q has not reached version %d of epoch %d, or has left that epoch", request.Table, to.Version, to.Epoch)
	}
	data, err := encodeDelta(delta)
	if err != nil {
		return nil, err
	}
	return changesReply{Delta: data}, nil
}
