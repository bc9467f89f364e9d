package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/oriolefront/oriolefront/internal/freshness"
	"github.com/oriolefront/oriolefront/internal/replica"
	"github.com/oriolefront/oriolefront/internal/wait"
)

const (
	// watchGracePeriod lets this VM's own store watch deliver the changes before
	// they are fetched from another VM.
	watchGracePeriod = 30 * time.Millisecond
	// fetchJitter spreads the fetches of different VMs over time, so that later
	// ones have more VMs to choose from.
	fetchJitter  = 120 * time.Millisecond
	fetchTimeout = 700 * time.Millisecond
	// directTimeout is the time without a heartbeat that came directly after which the link to a
	// VM is taken to be cut. Through relays a VM may be heard all the same.
	directTimeout = 2 * (1 + maxRelayedFulls) * fullInterval
)

// fetchNewer fetches changes of the tables for which the sender of a heartbeat
// has a newer replica.
func (m *Mesh) fetchNewer(ctx context.Context, s status) {
	for table := range s.Versions {
		c := m.replicas[table]
		if c == nil || !c.Position().Before(s.position(table)) || !m.beginFetch(table) {
			continue
		}
		go func() {
			defer m.endFetch(table)
			m.fetch(ctx, c, s.position(table))
		}()
	}
}

func (m *Mesh) beginFetch(table string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fetching[table] {
		return false
	}
	m.fetching[table] = true
	return true
}

func (m *Mesh) endFetch(table string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.fetching, table)
}

// fetch updates a replica to at least the given position, from another VM, or from
// the store if that fails.
func (m *Mesh) fetch(ctx context.Context, c *replica.Replica, to replica.Position) {
	if !wait.For(ctx, watchGracePeriod+rand.N(fetchJitter)) || !c.Position().Before(to) {
		return
	}
	source, ok := m.pickSource(c.Table(), to)
	if ok {
		err := m.fetchFrom(ctx, source, c)
		if err == nil || ctx.Err() != nil {
			return
		}
		m.log.Warn("changes not fetched from peer", "peer", source.Name, "table", c.Table(), "error", err)
	}
	if err := m.refresh(ctx, c.Table()); err != nil {
		m.log.Warn("changes not fetched from the store", "table", c.Table(), "error", err)
	}
}

// pickSource returns a random live VM whose replica of a table has reached the
// given position. It prefers VMs of this zone, and then those that are heard directly.
func (m *Mesh) pickSource(table string, to replica.Position) (status, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var sameZone, otherZones, relayed []status
	for _, p := range m.peers {
		switch {
		case p.suspect || p.lastHeartbeatAt.IsZero() || p.status.position(table).Before(to):
		case p.status.Zone == m.self.Zone:
			sameZone = append(sameZone, p.status)
		case now.Sub(p.directAt) <= directTimeout:
			otherZones = append(otherZones, p.status)
		default:
			relayed = append(relayed, p.status)
		}
	}
	for _, sources := range [][]status{sameZone, otherZones, relayed} {
		if len(sources) > 0 {
			return sources[rand.IntN(len(sources))], true
		}
	}
	return status{}, false
}

func (m *Mesh) fetchFrom(ctx context.Context, source status, c *replica.Replica) error {
	sentAt := freshness.Uptime()
	from := c.Position()
	request := changesRequest{Table: c.Table(), Epoch: from.Epoch, After: from.Version}
	reply, delta, err := m.request(ctx, source, kindChanges, request)
	if err != nil {
		return err
	}
	if err := checkDelta(delta, c.Table()); err != nil {
		return err
	}
	m.applyDelta(delta)
	if reply.StoreClockMs > 0 {
		m.observeClock(c.Table(), reply.Epoch, sentAt, time.Duration(reply.StoreClockMs)*time.Millisecond)
	}
	if reply.ConfirmedMs > 0 {
		m.confirm(c.Table(), replica.Position{Epoch: delta.Epoch, Version: delta.To}, time.Duration(reply.ConfirmedMs)*time.Millisecond)
	}
	m.log.Info("changes fetched from peer", "peer", source.Name, "table", c.Table(), "from", from.Version,
		"to", delta.To, "epoch", delta.Epoch, "records", len(delta.Records), "bytes", len(reply.Delta))
	return nil
}

// request sends another VM a request for changes of a table and decodes its reply.
func (m *Mesh) request(ctx context.Context, source status, kind string, request any) (changesReply, replica.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply changesReply
	if err := m.client.Call(ctx, source.LinkAddress, kind, request, &reply); err != nil {
		return reply, replica.Delta{}, err
	}
	if source.Zone != m.self.Zone {
		m.traffic.changes.Add(len(reply.Delta))
	}
	delta, err := decodeDelta(reply.Delta)
	return reply, delta, err
}

// replicaOf returns the replica of a table that another VM asks for.
func (m *Mesh) replicaOf(table string) (*replica.Replica, error) {
	c := m.replicas[table]
	if c == nil {
		return nil, fmt.Errorf("table %q is not copied here", table)
	}
	return c, nil
}

// handleChangesRequest returns the changes of a table after the requested version.
func (m *Mesh) handleChangesRequest(_ context.Context, payload []byte) (any, error) {
	var request changesRequest
	if err := msgpack.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	c, err := m.replicaOf(request.Table)
	if err != nil {
		return nil, err
	}
	// The changes are read after the time, so that they are never too old for it.
	confirmedEpoch, confirmedAt, confirmed := m.confirmed(request.Table)
	delta := c.ChangesSince(replica.Position{Epoch: request.Epoch, Version: request.After})
	data, err := encodeDelta(delta)
	if err != nil {
		return nil, err
	}
	reply := changesReply{Delta: data}
	if confirmed && confirmedEpoch == delta.Epoch {
		reply.ConfirmedMs = confirmedAt.Milliseconds()
	}
	if epoch, storeTime, ok := m.clock(request.Table); ok {
		reply.Epoch, reply.StoreClockMs = epoch, storeTime.Milliseconds()+1 // rounded up
	}
	return reply, nil
}
