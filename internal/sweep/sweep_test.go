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

// world stands for the ledger, the seats and one engine.
type world struct {
	engine.Client
	mu        sync.Mutex
	held      []seat.Seat
	holders   map[int]uint64
	active    map[string]bool
	inventory engine.Inventory
	followed  []capacity.MonitoredTarget
	observed  []capacity.Observation
	reported  int
	removed   []string
	swept     int
}

func (w *world) Seats() []seat.Seat { return w.held }

func (w *world) HolderOf(i int) (string, uint64, bool) {
	epoch, ok := w.holders[i]
	return "10.0.0.1:1", epoch, ok
}

func (w *world) AttemptPrefix() (string, error)               { return "3.5", nil }
func (w *world) MonitoredTargets() []capacity.MonitoredTarget { return w.followed }
func (w *world) HasAttempt(_, id string) bool                 { return w.active[id] }
func (w *world) Observe(_ string, o capacity.Observation)     { w.observed = append(w.observed, o) }
func (w *world) DeleteExport(_ context.Context, h string) error {
	w.removed = append(w.removed, h)
	return nil
}

func (w *world) Cancel(_ context.Context, id string) error {
	w.removed = append(w.removed, id)
	return nil
}

// ledgerOf and clientOf tell the two methods called Inventory apart.
type ledgerOf struct{ *world }

func (l ledgerOf) ApplyInventory(string, time.Time, engine.Inventory) { l.reported++ }

type clientOf struct{ *world }

func (c clientOf) ApplyInventory(context.Context) (engine.Inventory, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.swept++
	return c.inventory, nil
}

func newWorld() *world {
	return &world{
		held:    []seat.Seat{{Index: 3, Epoch: 5}},
		holders: map[int]uint64{1: 7, 3: 5},
		active:  map[string]bool{"3.5.1.1": true, "3.4.1.1": true},
	}
}

func (w *world) sweeper(log *bytes.Buffer, now func() time.Time) *Sweeper {
	return New(Options{
		Ledger: ledgerOf{w},
		Seats:  w,
		Client: func(string) engine.Client { return clientOf{w} },
		Log:    slog.New(slog.NewTextHandler(log, nil)),
		Now:    now,
	})
}

// TestSweepRemovesOnlyUnowned guards against cancelling attempts that a VM
// still owns, and against memory that nobody frees.
func TestSweepRemovesOnlyUnowned(t *testing.T) {
	const long = time.Hour
	attempts := []struct {
		id       string
		attached bool
		idle     time.Duration
		removed  bool
	}{
		{"3.5.1.1", false, long, false},                                                                  // counted by a reservation
		{"3.5.2.1", false, ownUnattached, true},                                                          // own seat, not counted
		{"3.5.3.1", false, ownUnattached - 1, false},                                                     // too soon
		{"3.5.4.1", true, long, false},                                                                   // has a reader
		{"3.4.1.1", false, long, false},                                                                  // own older epoch, still counted
		{"3.4.2.1", false, olderUnattached, true},                                                        // older epoch of an own seat
		{"1.6.2.1", false, olderUnattached, true},                                                        // older epoch of another seat
		{"1.6.3.1", false, olderUnattached - 1, false},                                                   // too soon
		{"1.7.2.1", false, long, false},                                                                  // another VM's
		{"2.1.2.1", false, long, false},                                                                  // vacant seat, a new holder will find it
		{"3.6.2.1", false, long, false},                                                                  // newer epoch than known here
		{"backup-job", false, long, false}, {"3.5", false, long, false}, {"a.5.1.1", false, long, false}, // not ours
	}
	exports := []struct {
		attempt string
		age     time.Duration
		removed bool
	}{
		{"3.5.1.1", long, false}, {"3.5.9.1", exportAge, true}, {"3.5.8.1", exportAge - 1, false},
		{"1.6.9.1", exportAge, true}, {"1.7.9.1", long, false}, {"backup-job", long, false},
	}
	w := newWorld()
	w.inventory.StartNumber = 9
	var want []string
	for _, a := range attempts {
		w.inventory.Attempts = append(w.inventory.Attempts, engine.Attempt{ID: a.id, Attached: a.attached, Idle: a.idle})
		if a.removed {
			want = append(want, a.id)
		}
	}
	for _, x := range exports {
		h := "handle of " + x.attempt
		w.inventory.Exports = append(w.inventory.Exports, engine.Export{Handle: h, Attempt: x.attempt, Age: x.age})
		if x.removed {
			want = append(want, h)
		}
	}
	var log bytes.Buffer
	w.sweeper(&log, nil).Sweep(context.Background(), "e1")
	assert.DeepEqual(t, w.removed, want)
	assert.Equal(t, bytes.Count(log.Bytes(), []byte("reason=")), len(want))
	assert.Equal(t, w.reported, 1)
	assert.Equal(t, w.observed[0].StartNumber, uint64(9))
}

// TestSweepPace guards the division of the work: the first held seat of a
// target sweeps often, the others seldom, and a seat that waits at once.
func TestSweepPace(t *testing.T) {
	w := newWorld()
	w.followed = []capacity.MonitoredTarget{
		{Target: "first", SeatOrder: []int{2, 3, 1}}, // seat 2 is vacant
		{Target: "backup", SeatOrder: []int{1, 3}},
		{Target: "urgent", SeatOrder: []int{1, 3}, AwaitsInventory: true},
	}
	now := time.Unix(1000, 0)
	s := w.sweeper(&bytes.Buffer{}, func() time.Time { return now })
	counts := map[string]int{}
	for range 200 {
		for _, f := range s.due() {
			counts[f.Target]++
			s.finished(f.Target)
		}
		now = now.Add(100 * time.Millisecond)
	}
	assert.DeepEqual(t, counts, map[string]int{"first": 10, "backup": 2, "urgent": 40})
	assert.Equal(t, len(s.due()), 3)
	assert.Equal(t, len(s.due()), 0, "a sweep that still runs is not started again")
	w.followed = w.followed[:1]
	s.due()
	assert.Equal(t, len(s.last), 1, "forgotten with the target")
	for target := range s.busy {
		s.finished(target)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*tickInterval)
	defer cancel()
	now = now.Add(time.Minute)
	s.Run(ctx)
	assert.Equal(t, w.swept, 1, "Run sweeps and waits for its sweeps")
}
