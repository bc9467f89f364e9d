package seat

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/apierror"
	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// usable returns the number of usable seats of a VM.
func (w *world) usable(address string) int { return len(w.nodes[address].holder.Seats()) }

func (w *world) total() (n int) {
	for address := range w.nodes {
		n += w.usable(address)
	}
	return n
}

// Guards against seats that stay vacant although VMs may hold more.
func TestStartClaimsUpToMaxSeats(t *testing.T) {
	for _, c := range []struct{ vms, seats, max, want int }{
		{1, 9, 1, 1}, {3, 9, 2, 6}, {3, 5, 2, 5}, {6, 4, 1, 4},
	} {
		assert.Equal(t, startWorld(t, c.vms, c.seats, c.max).total(), c.want, "%+v", c)
	}
}

// Guards against seats that are lost for good when their holder ends (cases 1
// to 4), and against use of a seat by its old holder.
func TestTakeover(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(*world)
		within time.Duration
	}{
		"resigned": {func(w *world) {
			assert.NilError(t, w.nodes[vm(0)].holder.Resign(t.Context()))
			w.kill(vm(0))
			w.boot("10.0.1.1:7", 1)
		}, 4 * time.Second},
		"replaced": {func(w *world) { w.boot(vm(0), 1) }, 4 * time.Second},
		"gone": {func(w *world) {
			w.kill(vm(0))
			w.boot("10.0.1.1:7", 1)
		}, membership.AbsenceTimeout + 5*time.Second},
		"silent": {func(w *world) {
			w.isolate(vm(0), true)
			w.boot("10.0.1.1:7", 1)
		}, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := startWorld(t, 5, 5, 1)
			c.end(w)
			w.run(c.within)
			assert.Equal(t, w.total(), 5)
		})
	}
}

// Guards against replacement VMs that cannot take the seats of a dead majority.
func TestReplacementOfADeadMajority(t *testing.T) {
	w := startWorld(t, 5, 5, 1)
	for i := range 4 {
		w.boot(vm(i), 1)
	}
	w.run(10 * time.Second)
	assert.Equal(t, w.total(), 5)
}

// Guards against a stop of service in a store outage, and against a minority
// that continues in it.
func TestStoreOutage(t *testing.T) {
	w := startWorld(t, 3, 3, 1)
	w.table.SetFaults(storefake.Faults{Down: true})
	w.run(5 * time.Minute)
	assert.Equal(t, w.nodes[vm(0)].view.Connectivity(), membership.StoreOutage)
	assert.Equal(t, w.total(), 3)
	w.isolate(vm(0), true)
	w.run(4 * time.Second)
	assert.Equal(t, w.usable(vm(0)), 0)
	assert.Equal(t, w.total(), 2)
	w.isolate(vm(0), false)
	w.run(5 * time.Second)
	assert.Equal(t, w.usable(vm(0)), 0, "a lapsed lease is restored by the store only")
	w.table.SetFaults(storefake.Faults{})
	w.run(5 * time.Second)
	assert.Equal(t, w.total(), 3)
}

// Guards against takeovers right after an outage, when no row has been renewed
// for long.
func TestNoTakeoverAfterAnOutage(t *testing.T) {
	w := startWorld(t, 3, 3, 1)
	w.boot("10.0.1.1:7", 3)
	w.table.SetFaults(storefake.Faults{Down: true})
	w.run(time.Minute)
	w.table.SetFaults(storefake.Faults{})
	w.run(time.Minute)
	assert.Equal(t, w.total(), 3)
	assert.Equal(t, w.usable("10.0.1.1:7"), 0)
}

// Guards against the loss of a seat by a VM that reaches a peer but not the
// store.
func TestRenewalIsRelayed(t *testing.T) {
	w := startWorld(t, 3, 3, 1)
	w.nodes[vm(0)].noStore = true
	for _, other := range []string{vm(1)} {
		w.cut[[2]string{vm(0), other}], w.cut[[2]string{other, vm(0)}] = true, true
	}
	w.boot("10.0.1.1:7", 1)
	w.run(2 * time.Minute)
	assert.Equal(t, w.usable(vm(0)), 1)
}

// Guards against a lease that ends because answers of the store are lost.
func TestLostAnswers(t *testing.T) {
	w := newWorld(2)
	w.table.SetFaults(storefake.Faults{LoseResponse: func(store.Txn) bool { return true }})
	w.boot(vm(0), 2)
	w.run(time.Minute)
	assert.Equal(t, w.usable(vm(0)), 2)
}

// Guards against use of a seat right after a freeze, and against refusals
// without a true outcome.
func TestFreeze(t *testing.T) {
	w := startWorld(t, 3, 3, 1)
	n := w.nodes[vm(0)]
	prefix, err := n.holder.AttemptPrefix()
	assert.NilError(t, err)
	assert.Check(t, prefix != "")
	n.frozen = true
	w.run(4 * time.Second)
	assert.Equal(t, n.view.Connectivity(), membership.Isolated)
	_, err = n.holder.AttemptPrefix()
	var typed *apierror.Error
	assert.Assert(t, errors.As(err, &typed))
	assert.Equal(t, typed.Kind, apierror.KindUnavailable)
	assert.Equal(t, typed.Outcome, apierror.NotRun)
	n.frozen = false
	w.run(3 * time.Second)
	assert.Equal(t, w.usable(vm(0)), 1)
}

// Guards against seats above S that stay in use after S was lowered.
func TestFewerSeats(t *testing.T) {
	w := startWorld(t, 2, 4, 2)
	w.seats = 2
	w.run(5 * time.Second)
	assert.Equal(t, w.total(), 2)
	_, _, held := w.nodes[vm(0)].holder.HolderOf(3)
	assert.Check(t, !held)
	address, _, held := w.nodes[vm(0)].holder.HolderOf(1)
	assert.Check(t, held && address != "")
}
