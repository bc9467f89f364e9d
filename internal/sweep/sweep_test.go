package sweep

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/engine"
	"github.com/oriolefront/oriolefront/internal/seat"
)

// fakeSystem fakes the ledger, the seats and one engine.
type fakeSystem struct {
	engine.Client
	mu        sync.Mutex
	held      []seat.Seat
	holders   map[int]uint64
	active    map[string]bool
	inventory engine.Inventory
	monitored []capacity.MonitoredTarget
	observed  []capacity.Observation
	reported  int
	removed   []string
	swept     int
}

func (sys *fakeSystem) Seats() []seat.Seat { return sys.held }

func (sys *fakeSystem) HolderOf(i int) (string, uint64, bool) {
	epoch, ok := sys.holders[i]
	return "10.0.0.1:1", epoch, ok
}

func (sys *fakeSystem) AttemptPrefix() (string, error)               { return "3.5", nil }
func (sys *fakeSystem) MonitoredTargets() []capacity.MonitoredTarget { return sys.monitored }
func (sys *fakeSystem) HasAttempt(_, id string) bool                 { return sys.active[id] }
func (sys *fakeSystem) Observe(_ string, o capacity.Observation) {
	sys.observed = append(sys.observed, o)
}
func (sys *fakeSystem) DeleteExport(_ context.Context, h string) error {
	sys.removed = append(sys.removed, h)
	return nil
}

func (sys *fakeSystem) Cancel(_ context.Context, id string) error {
	sys.removed = append(sys.removed, id)
	return nil
}

// ledgerOf and clientOf separate the methods of the ledger from those of the
// engine client.
type ledgerOf struct{ *fakeSystem }

func (l ledgerOf) ApplyInventory(string, time.Time, engine.Inventory) { l.reported++ }

type clientOf struct{ *fakeSystem }

func (c clientOf) Inventory(context.Context) (engine.Inventory, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.swept++
	return c.inventory, nil
}

func newFakeSystem() *fakeSystem {
	return &fakeSystem{
		held:    []seat.Seat{{Index: 3, Epoch: 5}},
		holders: map[int]uint64{1: 7, 3: 5},
		active:  map[string]bool{"3.5.1.1": true, "3.4.1.1": true},
	}
}

func (sys *fakeSystem) sweeper(log *bytes.Buffer, now func() time.Time) *Sweeper {
	return New(Options{
		Ledger: ledgerOf{sys},
		Seats:  sys,
		Client: func(string) engine.Client { return clientOf{sys} },
		Log:    slog.New(slog.NewTextHandler(log, nil)),
		Now:    now,
	})
}

// TestSweepRemovesOnlyUnowned guards against cancelling attempts that a VM
// still owns, and against memory that is never freed.
func TestSweepRemovesOnlyUnowned(t *testing.T) {
	const long = time.Hour
	attempts := []struct {
		id       string
		attached bool
		idle     time.Duration
		removed  bool
	}{
		{"3.5.1.1", false, long, false},                                                                  // has a reservation
		{"3.5.2.1", false, ownDetachedTimeout, true},                                                     // own seat, no reservation
		{"3.5.3.1", false, ownDetachedTimeout - 1, false},                                                // too soon
		{"3.5.4.1", true, long, false},                                                                   // has a reader
		{"3.4.1.1", false, long, false},                                                                  // older epoch of an own seat, still has a reservation
		{"3.4.2.1", false, olderEpochDetachedTimeout, true},                                              // older epoch of an own seat
		{"1.6.2.1", false, olderEpochDetachedTimeout, true},                                              // older epoch of another seat
		{"1.6.3.1", false, olderEpochDetachedTimeout - 1, false},                                         // too soon
		{"1.7.2.1", false, long, false},                                                                  // another VM's
		{"2.1.2.1", false, long, false},                                                                  // vacant seat, a new holder will find it
		{"3.6.2.1", false, long, false},                                                                  // newer epoch than known here
		{"backup-job", false, long, false}, {"3.5", false, long, false}, {"a.5.1.1", false, long, false}, // not an attempt of this system
	}
	exports := []struct {
		attempt string
		age     time.Duration
		removed bool
	}{
		{"3.5.1.1", long, false}, {"3.5.9.1", minExportAge, true}, {"3.5.8.1", minExportAge - 1, false},
		{"1.6.9.1", minExportAge, true}, {"1.7.9.1", long, false}, {"backup-job", long, false},
	}
	sys := newFakeSystem()
	sys.inventory.StartNumber = 9
	var want []string
	for _, a := range attempts {
		sys.inventory.Attempts = append(sys.inventory.Attempts, engine.Attempt{ID: a.id, Attached: a.attached, Idle: a.idle})
		if a.removed {
			want = append(want, a.id)
		}
	}
	for _, x := range exports {
		h := "handle of " + x.attempt
		sys.inventory.Exports = append(sys.inventory.Exports, engine.Export{Handle: h, Attempt: x.attempt, Age: x.age})
		if x.removed {
			want = append(want, h)
		}
	}
	var log bytes.Buffer
	sys.sweeper(&log, nil).Sweep(context.Background(), "e1")
	assert.DeepEqual(t, sys.removed, want)
	assert.Equal(t, bytes.Count(log.Bytes(), []byte("reason=")), len(want))
	assert.Equal(t, sys.reported, 1)
	assert.Equal(t, sys.observed[0].StartNumber, uint64(9))
}

// TestSweepPace tests the sweep intervals: the VM with the first held seat of
// a target sweeps often, the others rarely, and a VM whose seat waits for an
// inventory most often.
func TestSweepPace(t *testing.T) {
	sys := newFakeSystem()
	sys.monitored = []capacity.MonitoredTarget{
		{Target: "first", SeatOrder: []int{2, 3, 1}}, // seat 2 is vacant
		{Target: "backup", SeatOrder: []int{1, 3}},
		{Target: "urgent", SeatOrder: []int{1, 3}, AwaitsInventory: true},
	}
	now := time.Unix(1000, 0)
	s := sys.sweeper(&bytes.Buffer{}, func() time.Time { return now })
	counts := map[string]int{}
	for range 200 {
		for _, f := range s.takeDue() {
			counts[f.Target]++
			s.markDone(f.Target)
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.DeepEqual(t, counts, map[string]int{"first": 10, "backup": 2, "urgent": 40})
	assert.Equal(t, len(s.takeDue()), 3)
	assert.Equal(t, len(s.takeDue()), 0, "a sweep that still runs is not started again")
	sys.monitored = sys.monitored[:1]
	s.takeDue()
	assert.Equal(t, len(s.lastStart), 1, "forgotten with the target")
	for target := range s.inProgress {
		s.markDone(target)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*tickInterval)
	defer cancel()
	now = now.Add(time.Minute)
	s.Run(ctx)
	assert.Equal(t, sys.swept, 1, "Run sweeps and waits for its sweeps")
}
