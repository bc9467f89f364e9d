package confsync

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/link"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
	"github.com/oriolefront/oriolefront/internal/wait"
)

// fleet is a set of Syncers with one store, connected by in-memory links.
type fleet struct {
	t        testing.TB
	table    store.Table
	fake     *storefake.Table
	objects  *storefake.Objects
	noQuorum atomic.Bool

	mu       sync.Mutex
	vms      map[string]*vm
	corrupt  func(*fetchReply) // modifies the replies of peers
	maxReply int
}

type vm struct {
	*Syncer
	address     string
	holder      *config.Holder
	handler     link.Handler
	fleet       *fleet
	partitioned atomic.Bool
}

func newFleet(t testing.TB) *fleet {
	fake := storefake.NewTable()
	return &fleet{t: t, table: fake, fake: fake, objects: storefake.NewObjects(), vms: map[string]*vm{}}
}

// add creates a VM without starting it.
func (f *fleet) add(table store.Table) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &vm{address: fmt.Sprintf("127.0.0.1:%d", len(f.vms)+1), holder: &config.Holder{}, fleet: f}
	v.Syncer = New(Options{
		Table: table, Objects: f.objects, Holder: v.holder, Caller: v,
		HasQuorum: func() bool { return !f.noQuorum.Load() }, Peers: v.peers, HeldSeats: func() int { return 1 },
		Now: func() time.Duration { return 0 }, OnSynced: func(time.Duration) {}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewSet(),
		PollInterval: 20 * time.Millisecond,
	})
	v.Register(v)
	f.vms[v.address] = v
	return v
}

// run starts VMs, which send heartbeats to all VMs of the fleet until the test
// ends.
func (f *fleet) run(vms ...*vm) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f.t.Cleanup(func() { cancel(); wg.Wait() })
	for _, v := range vms {
		wg.Go(func() { v.Run(ctx) })
		wg.Go(func() {
			for wait.For(ctx, 10*time.Millisecond) {
				v.sendHeartbeat()
			}
		})
	}
}

// sendHeartbeat sends one heartbeat of v to all other VMs.
func (v *vm) sendHeartbeat() {
	data := v.Attachment().Produce()
	for _, p := range v.peers() {
		other := v.fleet.get(p.Instance.Address)
		if data != nil && !v.partitioned.Load() && !other.partitioned.Load() {
			other.Attachment().Consume(membership.Instance{Address: v.address}, data)
		}
	}
}

func (f *fleet) get(address string) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[address]
}

func (v *vm) Handle(_ string, h link.Handler) { v.handler = h }

func (v *vm) peers() []membership.Peer {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var peers []membership.Peer
	for address := range v.fleet.vms {
		if address != v.address {
			peers = append(peers, membership.Peer{Instance: membership.Instance{Address: address}, State: membership.Live})
		}
	}
	return peers
}

// Call implements link.Caller.
func (v *vm) Call(ctx context.Context, address, _ string, request, reply any) error {
	other := v.fleet.get(address)
	if v.partitioned.Load() || other.partitioned.Load() {
		return fmt.Errorf("no connection to %s", address)
	}
	payload, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	response, err := other.handler(ctx, payload)
	if err != nil {
		return err
	}
	r := response.(fetchReply)
	data, err := msgpack.Marshal(r)
	if err != nil {
		return err
	}
	v.fleet.mu.Lock()
	v.fleet.maxReply = max(v.fleet.maxReply, len(data))
	spoil := v.fleet.corrupt
	v.fleet.mu.Unlock()
	if err := msgpack.Unmarshal(data, reply); err != nil {
		return err
	}
	if spoil != nil {
		spoil(reply.(*fetchReply))
	}
	return nil
}

func zonePatch(id string, base uint64, zone, region string) config.Patch {
	value := fmt.Appendf(nil, `{"region":%q}`, region)
	return config.Patch{ID: id, BaseVersion: base, Submitter: "ana", Operations: []config.Operation{{Action: config.Put, Key: "zone/" + zone, Value: value}}}
}

// submitPatches submits n patches that are accepted.
func (v *vm) submitPatches(n int) {
	v.fleet.t.Helper()
	for range n {
		base := v.Head().Version
		got, err := v.Submit(context.Background(), zonePatch(fmt.Sprint("g", base), base, fmt.Sprint("z", base%50), fmt.Sprint("r", base)))
		assert.NilError(v.fleet.t, err)
		assert.Equal(v.fleet.t, got.Result, Accepted, got.Reason)
	}
}

// await waits up to 5 s until all given VMs have a head.
func (f *fleet) await(head Head, vms ...*vm) {
	f.t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for _, v := range vms {
		for v.Head() != head {
			if time.Now().After(deadline) {
				f.t.Fatalf("%s has %v (%v), want %v", v.address, v.Head(), v.Ready(), head)
			}
			time.Sleep(5 * time.Millisecond)
		}
		assert.NilError(f.t, v.Ready())
		assert.Equal(f.t, v.holder.Current().Hash, head.Hash)
	}
}

// lateTable fails some commits with ErrUnknown and applies them afterwards, like a
// network that delivers a request after the timeout of its sender.
type lateTable struct {
	store.Table
	late func() bool
	wg   sync.WaitGroup
}

func (l *lateTable) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	if !l.late() {
		return l.Table.Commit(ctx, t)
	}
	l.wg.Go(func() {
		time.Sleep(30 * time.Millisecond)
		l.Table.Commit(context.Background(), t)
	})
	return 0, store.ErrUnknown
}

// faultTable injects the faults that the state-machine test sets. The test itself
// reads the wrapped table without faults.
type faultTable struct {
	store.Table
	down, loseResponse, failAfterWrite, delay bool
	delayed                                   []store.Txn // in the network
}

func (f *faultTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if f.down {
		return nil, store.ErrUnavailable
	}
	return f.Table.Get(ctx, keys...)
}

func (f *faultTable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if f.down {
		return nil, store.ErrUnavailable
	}
	return f.Table.Scan(ctx, prefix, after, limit)
}

func (f *faultTable) Commit(ctx context.Context, t store.Txn) (uint64, error) {
	if f.down {
		return 0, store.ErrUnavailable
	}
	if f.delay {
		f.delayed = append(f.delayed, t)
		return 0, store.ErrUnknown
	}
	revision, err := f.Table.Commit(ctx, t)
	f.down = f.failAfterWrite
	if err == nil && (f.loseResponse || f.failAfterWrite) {
		return 0, store.ErrUnknown
	}
	return revision, err
}

// deliverDelayed applies the delayed transactions.
func (f *faultTable) deliverDelayed() {
	for _, t := range f.delayed {
		f.Table.Commit(context.Background(), t) // conditions may no longer hold
	}
	f.delayed = nil
}
