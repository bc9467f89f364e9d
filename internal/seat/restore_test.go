package seat

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/membership"
)

// holders records which instance used each seat at each epoch.
type holders map[Seat]membership.Instance

// check returns a description of an epoch that two instances used, or "".
func (h holders) check(sim *simulation) string {
	for _, n := range sim.nodes {
		for _, s := range n.manager.Seats() {
			if other, ok := h[s]; ok && other != n.self {
				return fmt.Sprintf("seat %d was used at epoch %d by %v and by %v", s.Index, s.Epoch, other, n.self)
			}
			h[s] = n.self
		}
	}
	return ""
}

// restoreAfterTakeover lets the store lose the takeover of a seat some time after
// the seat is in use again, and returns the violations that check finds within a
// minute. Another VM without a seat waits for one all the time.
func restoreAfterTakeover(t *testing.T, delay time.Duration, check func(*simulation) string) (violations []string) {
	sim := startSimulation(t, 4, 4, 1)
	sim.startVM("10.0.1.1:7", 1)
	sim.run(5 * time.Second)
	before := sim.table.Copy()
	sim.startVM(vm(0), 1) // the old instance ends
	for sim.totalUsable() < 4 {
		sim.run(simulationStep)
	}
	sim.run(delay)
	sim.check = func() {
		if v := check(sim); v != "" && len(violations) == 0 {
			violations = append(violations, fmt.Sprintf("%v after the takeover: %s", delay, v))
		}
	}
	sim.check()
	sim.table.Restore(before)
	sim.run(time.Minute)
	assert.Equal(t, sim.totalUsable(), 4)
	return violations
}

// Guards against two VMs whose attempts have the same ids, because the store lost
// a takeover and gave its epoch out again.
func TestEpochIsNotReassigned(t *testing.T) {
	for delay := time.Duration(0); delay <= 4*time.Second; delay += simulationStep {
		for _, v := range restoreAfterTakeover(t, delay, holders{}.check) {
			t.Error(v)
		}
	}
}

// Guards against VMs that lose their seats, or cannot renew them, because the
// store lost their latest renewals.
func TestLostRenewals(t *testing.T) {
	sim := startSimulation(t, 3, 3, 1)
	before := sim.table.Copy()
	sim.run(7 * time.Second)
	sim.table.Restore(before)
	for range 120 {
		sim.run(simulationStep)
		assert.Equal(t, sim.totalUsable(), 3)
	}
}

// Guards against two VMs that use one seat, because the store lost the takeover by
// one of them and a second VM repeats it.
func TestLostTakeoverIsNotRepeated(t *testing.T) {
	for delay := time.Duration(0); delay <= 4*time.Second; delay += simulationStep {
		for _, v := range restoreAfterTakeover(t, delay, (*simulation).doubleUse) {
			t.Error(v)
		}
	}
}

// Guards against VMs that lose their seats because the list of VMs went back: it
// lacks a new VM and names one that has ended.
func TestOlderListOfVMs(t *testing.T) {
	sim := startSimulation(t, 3, 3, 1)
	sim.kill(vm(0))
	sim.startVM("10.0.1.1:7", 1)
	sim.run(membership.AbsenceTimeout + 5*time.Second)
	assert.Equal(t, sim.totalUsable(), 3)
	sim.listLag = 20 * time.Second
	for range 120 {
		sim.run(simulationStep)
		assert.Equal(t, sim.totalUsable(), 3)
	}
}
