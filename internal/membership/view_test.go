package membership

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/link"
)

// fixedSeats is a seat source for tests.
type fixedSeats struct {
	own      int
	occupied int
}

func (f fixedSeats) LeasedSeats() []LeasedSeat { return []LeasedSeat{{Index: f.own, Epoch: 1}} }
func (f fixedSeats) OccupiedSeats() int        { return f.occupied }

// process is a View with real links on loopback and short times.
type process struct {
	view   *View
	server *link.Server
	client *link.Client
	stop   func()
}

// fleet is the VM list that the Views read.
type fleet struct {
	mu   sync.Mutex
	list []Entry
}

func (f *fleet) List(context.Context) ([]Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list), nil
}

func (f *fleet) remove(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = slices.DeleteFunc(f.list, func(e Entry) bool { return e.PeerAddress == address })
}

const testTimeout = 300 * time.Millisecond

// boot starts a process; attach may be nil.
func (f *fleet) boot(t *testing.T, address string, startNumber uint64, seat int, attach *Attachment) *process {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	server := link.NewServer(link.Plaintext(), log)
	client := link.NewClient(link.Plaintext(), log)
	var view atomic.Pointer[View]
	server.Handle(KindHeartbeat, func(ctx context.Context, p []byte) (any, error) {
		return view.Load().handleHeartbeat(ctx, p)
	})
	server.Handle(KindLastHeard, func(ctx context.Context, p []byte) (any, error) {
		return view.Load().handleLastHeard(ctx, p)
	})
	address, err := server.Listen(address)
	assert.NilError(t, err)
	v := New(Options{
		Self: Instance{address, startNumber}, Zone: "a", Caller: client, Lister: f,
		HeartbeatInterval: 30 * time.Millisecond, HeartbeatTimeout: testTimeout, StoreContactTimeout: testTimeout,
		CallTimeout: 200 * time.Millisecond, ListInterval: 50 * time.Millisecond,
	})
	v.SetSeatSource(fixedSeats{seat, 3})
	if attach != nil {
		v.Attach(*attach)
	}
	view.Store(v)
	f.mu.Lock()
	f.list = append(slices.DeleteFunc(f.list, func(e Entry) bool { return e.PeerAddress == address }), Entry{PeerAddress: address, Zone: "a"})
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); v.Run(ctx) }()
	p := &process{view: v, server: server, client: client}
	p.stop = sync.OnceFunc(func() { cancel(); client.Close(); server.Close(); <-done })
	t.Cleanup(p.stop)
	return p
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), what)
	}
}

// Guards against states, connectivity and attachments that do not follow what
// the links show.
func TestFleetOverLoopback(t *testing.T) {
	var f fleet
	got := make(chan string, 1000)
	data := &Attachment{Name: "load", Produce: func() []byte { return []byte("17") },
		Consume: func(_ Instance, d []byte) { got <- string(d) }}
	a := f.boot(t, "127.0.0.1:0", 1, 0, data)
	b := f.boot(t, "127.0.0.1:0", 1, 1, data)
	c := f.boot(t, "127.0.0.1:0", 1, 2, nil)
	cSelf := c.view.Self()

	eventually(t, "outage with a quorum", func() bool { return a.view.Quorum() && a.view.Connectivity() == StoreOutage })
	assert.Equal(t, <-got, "17")
	b.view.RecordStoreContact()
	b.view.RecordConfigSync(b.view.Now())
	eventually(t, "contact passes through a peer", func() bool { return a.view.Connectivity() == Connected })
	eventually(t, "contact ages", func() bool { return a.view.Connectivity() == StoreOutage })
	assert.Equal(t, a.view.StateOf(cSelf), Live)
	c.view.SetLeaving(true)
	eventually(t, "leaving", func() bool { return a.view.StateOf(cSelf) == Leaving })

	c.stop()
	next := f.boot(t, cSelf.Address, 2, 2, nil)
	eventually(t, "replaced", func() bool { return a.view.StateOf(cSelf) == Replaced })
	eventually(t, "successor is live", func() bool {
		return a.view.StateOf(next.view.Self()) == Live && b.view.StateOf(next.view.Self()) == Live
	})
	states := map[State]int{}
	for _, p := range a.view.Peers() {
		states[p.State]++
	}
	assert.DeepEqual(t, states, map[State]int{Live: 2, Replaced: 1})

	next.stop()
	eventually(t, "silent", func() bool { return a.view.StateOf(next.view.Self()) == Suspect })
	f.remove(cSelf.Address)
	eventually(t, "gone", func() bool { return a.view.StateOf(next.view.Self()) == Removed })
	eventually(t, "the other VM has not heard it either", func() bool {
		answers := a.view.QueryLastHeard(t.Context(), next.view.Self())
		return len(answers) == 1 && answers[0].Heard && answers[0].Age >= testTimeout
	})
	b.stop()
	eventually(t, "isolated without quorum", func() bool { return a.view.Connectivity() == Isolated && !a.view.Quorum() })
	stats := a.client.Stats()
	assert.Check(t, stats.MessagesOut > 0 && stats.BytesIn > 0)
}

// fakePeerView is a View with a clock and a peer under the test's control.
type fakePeerView struct {
	*View
	now   time.Duration
	peer  Heartbeat
	delay time.Duration // time that passes while a heartbeat is answered
}

func newFakePeerView(t *testing.T) *fakePeerView {
	f := &fakePeerView{now: time.Hour, peer: Heartbeat{From: Instance{"10.0.0.2:7", 5}, StoreContactAgeMs: unknownAge, OwnStoreContactAgeMs: unknownAge}}
	f.View = New(Options{Self: Instance{"10.0.0.1:7", 1}, Caller: f, Now: func() time.Duration { return f.now },
		Lister: ListerFunc(func(context.Context) ([]Entry, error) { return []Entry{{PeerAddress: "10.0.0.2:7"}}, nil })})
	f.SetSeatSource(fixedSeats{0, 2})
	f.ReadList(t.Context())
	return f
}

// Call implements link.Caller.
func (f *fakePeerView) Call(_ context.Context, _, _ string, _, reply any) error {
	f.now += f.delay
	*reply.(*Heartbeat) = f.peer
	return nil
}

// Guards against connectivity based on a late, stale or implausible report
// taken for fresh contact.
func TestVerdictAges(t *testing.T) {
	claim := []LeasedSeat{{Index: 1, Epoch: 1}}
	for _, c := range []struct {
		name  string
		seats []LeasedSeat
		ms    int64
		delay time.Duration
		after time.Duration
		want  Connectivity
	}{
		{"fresh contact of a peer", nil, 100, 0, 0, Connected},
		{"contact ages here", nil, 100, 0, 2901 * time.Millisecond, Isolated},
		{"old contact of a peer", nil, 3001, 0, 0, Isolated},
		{"quorum without contact", claim, unknownAge, 0, 0, StoreOutage},
		{"quorum with old contact", claim, 9000, 0, 3 * time.Second, StoreOutage},
		{"paused after the response", claim, 0, 0, time.Hour, Isolated},
		{"paused before the response", claim, 0, time.Hour, 0, Isolated},
		{"no quorum", nil, unknownAge, 0, 0, Isolated},
		{"out-of-range age", nil, -1 << 62, 0, 0, Isolated},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakePeerView(t)
			f.peer.Seats, f.peer.StoreContactAgeMs, f.delay = c.seats, c.ms, c.delay
			f.SendHeartbeats(t.Context())
			f.now += c.after
			assert.Equal(t, f.Connectivity(), c.want)
		})
	}
}

// Guards against work with a configuration that has been replaced: a VM that
// resumes after a pause has fresh contact with the store and with its peers
// before it has the version that they report.
func TestContactCountsOnceTheVersionIsReached(t *testing.T) {
	for name, seats := range map[string][]LeasedSeat{"store contact": nil, "quorum": {{Index: 1, Epoch: 1}}} {
		t.Run(name, func(t *testing.T) {
			own := uint64(1)
			f := newFakePeerView(t)
			f.SetConfigVersion(func() uint64 { return own })
			f.peer.Seats, f.peer.ConfigVersion = seats, 1
			if seats == nil {
				f.peer.StoreContactAgeMs = 0
			}
			f.SendHeartbeats(t.Context())
			assert.Check(t, f.Connectivity() != Isolated)

			f.peer.ConfigVersion = 2
			f.SendHeartbeats(t.Context())
			assert.Check(t, f.Connectivity() != Isolated, "a new version takes a moment to arrive")

			f.now += HeartbeatTimeout + time.Second // paused
			f.SendHeartbeats(t.Context())
			f.RecordStoreContactAt(f.now) // such as a renewed lease
			assert.Equal(t, f.Connectivity(), Isolated)
			own = 2
			f.SendHeartbeats(t.Context())
			assert.Check(t, f.Connectivity() != Isolated)
		})
	}
}

// Guards against reports from a replaced instance of a VM, and against
// requests treated as responses: a request may have waited in a buffer.
func TestLateAndOneWayMessages(t *testing.T) {
	f := newFakePeerView(t)
	f.peer.Seats = []LeasedSeat{{Index: 1, Epoch: 1}}
	payload, err := msgpack.Marshal(&f.peer)
	assert.NilError(t, err)
	_, err = f.handleHeartbeat(t.Context(), payload)
	assert.NilError(t, err)
	f.Refresh()
	assert.Check(t, !f.Quorum(), "a request is no proof that the peer hears this VM")
	age, ok := f.LastHeard(f.peer.From)
	assert.Check(t, ok && age == 0)

	f.peer.From.StartNumber = 4
	f.peer.StoreContactAgeMs = 0
	f.SendHeartbeats(t.Context())
	assert.Equal(t, f.Connectivity(), Isolated)
	late, err := msgpack.Marshal(&f.peer)
	assert.NilError(t, err)
	_, err = f.handleHeartbeat(t.Context(), late)
	assert.ErrorContains(t, err, "replaced")
	assert.Equal(t, f.StateOf(f.peer.From), Replaced)
}

// Guards against locks and allocations in request handling.
func TestVerdictDoesNotAllocate(t *testing.T) {
	f := newFakePeerView(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, testing.AllocsPerRun(100, func() { f.Connectivity(); f.Quorum() }), 0.0)
}

// manyPeers responds for every peer with a fixed list.
type manyPeers []Entry

// Call implements link.Caller.
func (manyPeers) Call(_ context.Context, address, _ string, _, reply any) error {
	*reply.(*Heartbeat) = Heartbeat{From: Instance{address, 1}, Seats: []LeasedSeat{{Index: 1, Epoch: 1}}, StoreContactAgeMs: 0}
	return nil
}

func (m manyPeers) List(context.Context) ([]Entry, error) { return m, nil }

// Guards against a refresh for each response and newly produced attachments
// for each request, whose cost is quadratic in the number of VMs, and against
// responses that never reach the snapshot.
func TestAnswersShareRefreshes(t *testing.T) {
	const peers = 200
	var m manyPeers
	for i := range peers {
		m = append(m, Entry{PeerAddress: fmt.Sprintf("10.0.0.%d:7", i)})
	}
	var refreshes, produced atomic.Int64
	v := New(Options{Self: Instance{"10.0.1.1:7", 1}, Caller: m, Lister: m})
	v.SetSeatSource(fixedSeats{0, 2})
	v.OnUpdate(func() { refreshes.Add(1) })
	v.Attach(Attachment{Name: "load", Produce: func() []byte { produced.Add(1); return []byte("17") }})
	v.ReadList(t.Context())
	v.SendHeartbeats(t.Context()) // each instance is new, which is published immediately
	refreshes.Store(0)
	began := time.Now()
	var running sync.WaitGroup
	v.startHeartbeats(t.Context(), &running)
	running.Wait()
	payload, err := msgpack.Marshal(&Heartbeat{From: Instance{"10.0.0.1:7", 1}})
	assert.NilError(t, err)
	for range peers {
		_, err := v.handleHeartbeat(t.Context(), payload)
		assert.NilError(t, err)
	}
	periods := int64(time.Since(began)/MinRefreshInterval) + 2
	assert.Check(t, refreshes.Load() <= periods, "%d refreshes", refreshes.Load())
	assert.Check(t, produced.Load() <= periods+1, "made %d times", produced.Load())
	eventually(t, "the responses are published", func() bool { return v.snapshot.Load().at >= began.Sub(v.clockBase) })
	assert.Assert(t, v.Quorum() && v.Connectivity() == Connected)
}

// Guards against a large fleet that reads the platform's list hundreds of
// times a second, and against a longer read interval that makes a fresh list
// look too old to show that a VM was removed.
func TestLargeFleetsReadTheListLessOften(t *testing.T) {
	f := newFakePeerView(t)
	assert.Equal(t, f.listInterval(), ListInterval)
	entries := make([]Entry, 590)
	for i := range entries {
		entries[i].PeerAddress = fmt.Sprintf("10.0.%d.%d:7", i/250, i%250)
	}
	f.vmList.update(entries, f.Now())
	assert.Equal(t, f.listInterval(), 590*time.Second/FleetListReadsPerSecond)
	f.vmList.update(entries[1:], f.Now())
	assert.Check(t, f.vmList.removed(entries[0].PeerAddress, f.Now()+f.listInterval(), &f.options))
	assert.Check(t, !f.vmList.removed(entries[0].PeerAddress, f.Now()+4*f.listInterval(), &f.options))
}
