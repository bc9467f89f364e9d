package seat

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oriolefront/oriolefront/internal/store"
	"github.com/oriolefront/oriolefront/internal/store/storefake"
)

// Guards against two VMs that may use one seat at the same moment, under lost
// answers, freezes (also around a write), partitions in one or both directions,
// outages, restarts and removals. Assumptions: clocks run at the same rate, the
// table is linearizable, a VM that is replaced or taken off the list has ended,
// and the list shows a new VM within 8 s.
func TestNoSeatIsUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(3, 5).Draw(t, "vms")
		w := newWorld(rapid.IntRange(2, 6).Draw(t, "seats"))
		w.lag = time.Duration(rapid.IntRange(0, 8).Draw(t, "list lag in seconds")) * time.Second
		w.check = func() {
			if d := w.doubles(); d != "" {
				t.Fatal(d)
			}
		}
		maxSeats := rapid.SampledFrom([]int{1, 2, 2, 3}).Draw(t, "max seats")
		for i := range vms {
			w.boot(vm(i), maxSeats)
		}
		w.run(10 * time.Second)
		booted := vms
		some := func(t *rapid.T) *node {
			var alive []string
			for i := range booted {
				if w.nodes[vm(i)] != nil {
					alive = append(alive, vm(i))
				}
			}
			return w.nodes[rapid.SampledFrom(alive).Draw(t, "vm")]
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
				if n := w.nodes[vm(i)]; n != nil {
					n.noStore = reach == "none" || reach == "one side" && side[i]
				}
				for j := range booted {
					w.cut[[2]string{vm(i), vm(j)}] = side[i] != side[j] && (both || side[i])
				}
			}
			w.run(seconds(t, 25))
		}
		t.Repeat(map[string]func(*rapid.T){
			"short wait":      func(t *rapid.T) { w.run(seconds(t, 4)) },
			"long wait":       func(t *rapid.T) { w.run(seconds(t, 25)) },
			"partition":       partition,
			"other partition": partition,
			"cut one direction": func(t *rapid.T) {
				w.cut[[2]string{some(t).self.Address, some(t).self.Address}] = true
			},
			"heal": func(*rapid.T) {
				clear(w.cut)
				for _, n := range w.nodes {
					n.noStore, n.frozen = false, false
				}
			},
			"cut store":   func(t *rapid.T) { n := some(t); n.noStore = !n.noStore },
			"isolate":     func(t *rapid.T) { w.isolate(some(t).self.Address, rapid.Bool().Draw(t, "cut")) },
			"store state": func(t *rapid.T) { faults.Down = rapid.Bool().Draw(t, "down"); w.table.SetFaults(faults) },
			"lost answers": func(t *rapid.T) {
				lose := rapid.Bool().Draw(t, "lose")
				faults.LoseResponse = func(store.Txn) bool { return lose }
				w.table.SetFaults(faults)
			},
			"freeze": func(t *rapid.T) { n := some(t); n.frozen = !n.frozen },
			"freeze around the next write": func(t *rapid.T) {
				n, d := some(t), seconds(t, 30)
				n.stallBefore = rapid.Bool().Draw(t, "before")
				n.stall = func() { w.run(d) }
			},
			"replace": func(t *rapid.T) { w.boot(some(t).self.Address, maxSeats) },
			"remove and add": func(t *rapid.T) {
				if booted > 9 {
					t.Skip("enough VMs")
				}
				w.kill(some(t).self.Address)
				w.boot(vm(booted), maxSeats)
				booted++
			},
			"resign": func(t *rapid.T) {
				ctx, cancel := context.WithCancel(context.Background())
				cancel()
				n := some(t)
				if n.busy || n.frozen {
					t.Skip("cannot act")
				}
				_ = n.holder.Resign(ctx)
			},
			"change seats": func(t *rapid.T) { w.seats = rapid.IntRange(2, 6).Draw(t, "seats") },
			"":             func(*rapid.T) { w.check() },
		})
	})
}
