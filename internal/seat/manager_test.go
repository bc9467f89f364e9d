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
func (sim *simulation) usable(address string) int { return len(sim.nodes[address].manager.Seats()) }

func (sim *simulation) totalUsable() (n int) {
	for address := range sim.nodes {
		n += sim.usable(address)
	}
	return n
}

// Guards against seats that stay vacant although VMs may hold more.
func TestStartClaimsUpToMaxSeats(t *testing.T) {
	for _, c := range []struct{ vms, seats, max, want int }{
		{1, 9, 1, 1}, {3, 9, 2, 6}, {3, 5, 2, 5}, {6, 4, 1, 4},
	} {
		assert.Equal(t, startSimulation(t, c.vms, c.seats, c.max).totalUsable(), c.want, "%+v", c)
	}
}

// Guards against seats that are lost for good when their holder ends (cases 1
// to 4), and against use of a seat by its former holder.
func TestTakeover(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(*simulation)
		within time.Duration
	}{
		"resigned": {func(sim *simulation) {
			assert.NilError(t, sim.nodes[vm(0)].manager.Resign(t.Context()))
			sim.kill(vm(0))
			sim.startVM("10.0.1.1:7", 1)
		}, 4 * time.Second},
		"replaced": {func(sim *simulation) { sim.startVM(vm(0), 1) }, 4 * time.Second},
		"gone": {func(sim *simulation) {
			sim.kill(vm(0))
			sim.startVM("10.0.1.1:7", 1)
		}, membership.AbsenceTimeout + 5*time.Second},
		"silent": {func(sim *simulation) {
			sim.isolate(vm(0), true)
			sim.startVM("10.0.1.1:7", 1)
		}, 20 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := startSimulation(t, 5, 5, 1)
			c.end(sim)
			sim.run(c.within)
			assert.Equal(t, sim.totalUsable(), 5)
		})
	}
}

// Guards against replacement VMs that cannot take over the seats of a dead
// majority.
func TestReplacementOfADeadMajority(t *testing.T) {
	sim := startSimulation(t, 5, 5, 1)
	for i := range 4 {
		sim.startVM(vm(i), 1)
	}
	sim.run(10 * time.Second)
	assert.Equal(t, sim.totalUsable(), 5)
}

// Guards against an interruption of service in a store outage, and against a
// minority that continues to serve in it.
func TestStoreOutage(t *testing.T) {
	sim := startSimulation(t, 3, 3, 1)
	sim.table.SetFaults(storefake.Faults{Down: true})
	sim.run(5 * time.Minute)
	assert.Equal(t, sim.nodes[vm(0)].view.Connectivity(), membership.StoreOutage)
	assert.Equal(t, sim.totalUsable(), 3)
	sim.isolate(vm(0), true)
	sim.run(4 * time.Second)
	assert.Equal(t, sim.usable(vm(0)), 0)
	assert.Equal(t, sim.totalUsable(), 2)
	sim.isolate(vm(0), false)
	sim.run(5 * time.Second)
	assert.Equal(t, sim.usable(vm(0)), 0, "an expired lease is restored only by the store")
	sim.table.SetFaults(storefake.Faults{})
	sim.run(5 * time.Second)
	assert.Equal(t, sim.totalUsable(), 3)
}

// Guards against takeovers right after an outage, when no row has been renewed
// for a long time.
func TestNoTakeoverAfterAnOutage(t *testing.T) {
	sim := startSimulation(t, 3, 3, 1)
	sim.startVM("10.0.1.1:7", 3)
	sim.table.SetFaults(storefake.Faults{Down: true})
	sim.run(time.Minute)
	sim.table.SetFaults(storefake.Faults{})
	sim.run(time.Minute)
	assert.Equal(t, sim.totalUsable(), 3)
	assert.Equal(t, sim.usable("10.0.1.1:7"), 0)
}

// Guards against the loss of a seat by a VM that reaches a peer but not the
// store.
func TestRenewalIsRelayed(t *testing.T) {
	sim := startSimulation(t, 3, 3, 1)
	sim.nodes[vm(0)].noStore = true
	for _, other := range []string{vm(1)} {
		sim.lostMessages[[2]string{vm(0), other}], sim.lostMessages[[2]string{other, vm(0)}] = true, true
	}
	sim.startVM("10.0.1.1:7", 1)
	sim.run(2 * time.Minute)
	assert.Equal(t, sim.usable(vm(0)), 1)
}

// Guards against a lease that expires because responses of the store are lost.
func TestLostAnswers(t *testing.T) {
	sim := newSimulation(2)
	sim.table.SetFaults(storefake.Faults{LoseResponse: func(store.Txn) bool { return true }})
	sim.startVM(vm(0), 2)
	sim.run(time.Minute)
	assert.Equal(t, sim.usable(vm(0)), 2)
}

// Guards against use of a seat right after the process was paused, and against
// refusals without the correct outcome.
func TestFreeze(t *testing.T) {
	sim := startSimulation(t, 3, 3, 1)
	n := sim.nodes[vm(0)]
	prefix, err := n.manager.AttemptPrefix()
	assert.NilError(t, err)
	assert.Check(t, prefix != "")
	n.paused = true
	sim.run(4 * time.Second)
	assert.Equal(t, n.view.Connectivity(), membership.Isolated)
	_, err = n.manager.AttemptPrefix()
	var typed *apierror.Error
	assert.Assert(t, errors.As(err, &typed))
	assert.Equal(t, typed.Kind, apierror.KindUnavailable)
	assert.Equal(t, typed.Outcome, apierror.NotRun)
	n.paused = false
	sim.run(3 * time.Second)
	assert.Equal(t, sim.usable(vm(0)), 1)
}

// Guards against seats above the configured number that stay in use after the
// number was lowered.
func TestFewerSeats(t *testing.T) {
	sim := startSimulation(t, 2, 4, 2)
	sim.seats = 2
	sim.run(5 * time.Second)
	assert.Equal(t, sim.totalUsable(), 2)
	_, _, held := sim.nodes[vm(0)].manager.HolderOf(3)
	assert.Check(t, !held)
	address, _, held := sim.nodes[vm(0)].manager.HolderOf(1)
	assert.Check(t, held && address != "")
}
