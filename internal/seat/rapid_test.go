package seat

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// Guards against two VMs that may use one seat at the same moment, with lost
// responses, process pauses (also around a write), partitions in one or both
// directions, outages, restarts and removals. Assumptions: clocks run at the
// same rate, the table is linearizable, a VM that is replaced or taken off the
// list has ended, and the list shows a new VM within 8 s.
func TestNoSeatIsUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(3, 5).Draw(t, "vms")
		sim := newSimulation(rapid.IntRange(2, 6).Draw(t, "seats"))
		sim.listLag = time.Duration(rapid.IntRange(0, 8).Draw(t, "list lag in seconds")) * time.Second
		sim.check = func() {
			if d := sim.doubleUse(); d != "" {
				t.Fatal(d)
			}
		}
		maxSeats := rapid.SampledFrom([]int{1, 2, 2, 3}).Draw(t, "max seats")
		for i := range vms {
			sim.startVM(vm(i), maxSeats)
		}
		sim.run(10 * time.Second)
		booted := vms
		some := func(t *rapid.T) *node {
			var alive []string
			for i := range booted {
				if sim.nodes[vm(i)] != nil {
					alive = append(alive, vm(i))
				}
			}
			return sim.nodes[rapid.SampledFrom(alive).Draw(t, "vm")]
		}
		seconds := func(t *rapid.T, limit int) time.Duration {
			return time.Duration(rapid.IntRange(1, limit).Draw(t, "seconds")) * time.Second
		}
		var faults storefake.Faults
		partition := func(t *rapid.T) {
			side := rapid.SliceOfN(rapid.Bool(), booted, booted).Draw(t, "side")
			both := rapid.Bool().Draw(t, "both ways")
			reach := rapid.SampledFrom([]string{"all", "one side", "one side", "none"}).Draw(t, "store reached by")
			for i := range booted {
				if n := sim.nodes[vm(i)]; n != nil {
					n.noStore = reach == "none" || reach == "one side" && side[i]
				}
				for j := range booted {
					sim.lostMessages[[2]string{vm(i), vm(j)}] = side[i] != side[j] && (both || side[i])
				}
			}
			sim.run(seconds(t, 25))
		}
		t.Repeat(map[string]func(*rapid.T){
			"short wait":      func(t *rapid.T) { sim.run(seconds(t, 4)) },
			"long wait":       func(t *rapid.T) { sim.run(seconds(t, 25)) },
			"partition":       partition,
			"other partition": partition,
			"cut one direction": func(t *rapid.T) {
				sim.lostMessages[[2]string{some(t).self.Address, some(t).self.Address}] = true
			},
			"heal": func(*rapid.T) {
				clear(sim.lostMessages)
				for _, n := range sim.nodes {
					n.noStore, n.paused = false, false
				}
			},
			"cut store":   func(t *rapid.T) { n := some(t); n.noStore = !n.noStore },
			"isolate":     func(t *rapid.T) { sim.isolate(some(t).self.Address, rapid.Bool().Draw(t, "cut")) },
			"store state": func(t *rapid.T) { faults.Down = rapid.Bool().Draw(t, "down"); sim.table.SetFaults(faults) },
			"lost answers": func(t *rapid.T) {
				lose := rapid.Bool().Draw(t, "lose")
				faults.LoseResponse = func(store.Txn) bool { return lose }
				sim.table.SetFaults(faults)
			},
			"freeze": func(t *rapid.T) { n := some(t); n.paused = !n.paused },
			"freeze around the next write": func(t *rapid.T) {
				n, d := some(t), seconds(t, 30)
				n.pauseBeforeWrite = rapid.Bool().Draw(t, "before")
				n.duringCommit = func() { sim.run(d) }
			},
			"replace": func(t *rapid.T) { sim.startVM(some(t).self.Address, maxSeats) },
			"remove and add": func(t *rapid.T) {
				if booted > 9 {
					t.Skip("enough VMs")
				}
				sim.kill(some(t).self.Address)
				sim.startVM(vm(booted), maxSeats)
				booted++
			},
			"resign": func(t *rapid.T) {
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				n := some(t)
				if n.busy || n.paused {
					t.Skip("cannot act")
				}
				_ = n.manager.Resign(ctx)
			},
			"change seats": func(t *rapid.T) { sim.seats = rapid.IntRange(2, 6).Draw(t, "seats") },
			"":             func(*rapid.T) { sim.check() },
		})
	})
}
