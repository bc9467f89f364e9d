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

const (
	// ownReadHead is the time given to this VM's own watch of the store before
	// another VM is asked for the same changes.
	ownReadHead = 30 * time.Millisecond
	// fetchSpread spreads the VMs that ask, so that the later ones find more VMs
	// that can answer.
	fetchSpread  = 120 * time.Millisecond
	fetchTimeout = 700 * time.Millisecond
)

// fetchNewer fetches the changes of tables of which the sender knows more.
func (m *Mesh) fetchNewer(ctx context.Context, s status) {
	for table, position := range s.Positions {
		c := m.copies[table]
		if c == nil || position <= c.Position() || !m.beginFetch(table) {
			continue
		}
		go func() {
			defer m.endFetch(table)
			m.fetch(ctx, c, position)
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

// fetch brings a copy up to a position: from another VM, or from the store when
// that VM does not answer.
func (m *Mesh) fetch(ctx context.Context, c *replica.Replica, position uint64) {
	if !wait.For(ctx, ownReadHead+rand.N(fetchSpread)) || c.Position() >= position {
		return
	}
	source, ok := m.source(c.Table(), position)
	if ok {
		err := m.fetchFrom(ctx, source, c)
		if err == nil || ctx.Err() != nil {
			return
		}
		m.log.Warn("changes not fetched from peer", "peer", source.From, "table", c.Table(), "error", err)
	}
	if err := m.refresh(ctx, c.Table()); err != nil {
		m.log.Warn("changes not fetched from the store", "table", c.Table(), "error", err)
	}
}

// source picks a VM at random that knows a table up to a position, in this zone
// if there is one.
func (m *Mesh) source(table string, position uint64) (status, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far []status
	for _, p := range m.peers {
		if p.lost || p.heardAt.IsZero() || p.last.Positions[table] < position {
			continue
		}
		if p.last.Zone == m.self.Zone {
			near = append(near, p.last)
		} else {
			far = append(far, p.last)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return status{}, false
	}
	return near[rand.IntN(len(near))], true
}

func (m *Mesh) fetchFrom(ctx context.Context, h status, c *replica.Replica) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var reply changesReply
	request := changesRequest{Table: c.Table(), After: c.Position()}
	if err := m.client.Call(ctx, h.Links, kindChanges, request, &reply); err != nil {
		return err
	}
	delta, err := decodeDelta(reply.Delta)
	if err != nil {
		return err
	}
	m.merge(delta)
	m.log.Info("changes fetched from peer", "peer", h.From, "table", c.Table(), "from", request.After,
		"to", c.Position(), "records", len(delta.Records), "bytes", len(reply.Delta))
	return nil
}

// changes answers a changesRequest.
func (m *Mesh) changes(_ context.Context, payload []byte) (any, error) {
	var request changesRequest
	if err := msgpack.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	c := m.copies[request.Table]
	if c == nil {
		return nil, fmt.Errorf("table %q is not copied here", request.Table)
	}
	data, err := encodeDelta(c.ChangesSince(request.After))
	return changesReply{Delta: data}, err
}
