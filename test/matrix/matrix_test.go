package matrix

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oriolefront/oriolefront/internal/membership"
	"github.com/oriolefront/oriolefront/internal/operator"
)

var (
	allCells  = flag.Bool("all", false, "run all cells instead of the short selection")
	pairCount = flag.Int("pairs", 4, "number of pairs of faults to draw")
	pairSeed  = flag.Uint64("seed", 1, "seed from which the pairs are drawn")
	earlier   = flag.String("earlier", "", "`file` with what earlier runs printed, whose verdicts the page shows for the cells that this run leaves out")
	writeDocs = flag.String("write-docs", "", "write the page of the fault matrix to this `file` after the run")
)

// fleets is how many fleets run at one time.
const fleets = 2

// cell is one fault, or a pair of faults, at one step.
type cell struct {
	faults []*fault
	step   step
}

func (c cell) name() string {
	var names []string
	for _, f := range c.faults {
		names = append(names, f.name)
	}
	return strings.Join(names, "+") + "/" + c.step.name
}

// has reports whether a fault is one of the cell's.
func (c cell) has(name string) bool {
	return slices.ContainsFunc(c.faults, func(f *fault) bool { return f.name == name })
}

// cannotOccur says why a fault has no meaning at a step, or is empty.
func cannotOccur(f *fault, s step) string {
	if f.engine && (s.family == plainFamily || s.family == patchFamily) {
		return "no engine takes part in a " + s.family
	}
	if f.name == "cache_gaps" && s.family == orderFamily {
		return "orders do not depend on cache events"
	}
	return ""
}

// shortSelection has each fault and each step at least once.
var shortSelection = map[string]bool{
	"process_kill/middle": true, "process_kill/claimed": true, "process_kill/spread": true,
	"process_freeze/call_sent": true, "process_freeze/zone_out": true,
	"lease_lapse/sent": true,
	"link_cut/spread":  true, "link_cut/end": true,
	"link_slow/planned_stop": true, "link_slow/queued": true,
	"store_cut/target_leaves": true, "store_cut/before_arrival": true,
	"store_down/before_claim": true, "store_down/submit": true, "store_down/middle": true,
	"store_slow/claimed":       true,
	"answer_lost/before_claim": true, "answer_lost/accepted": true,
	"engine_death/middle": true, "engine_death/order": true,
	"engine_freeze/sent": true, "engine_cold/end": true, "late_answers/middle": true,
	"cache_gaps/before_arrival": true, "racing_operators/submit": true, "racing_operators/answered": true,
}

// singles are the cells with one fault that can occur.
func singles() []cell {
	var cells []cell
	for _, f := range faults {
		for _, s := range stepTable {
			c := cell{faults: []*fault{f}, step: s}
			if cannotOccur(f, s) == "" && (*allCells || shortSelection[c.name()] || selected(c)) {
				cells = append(cells, c)
			}
		}
	}
	return cells
}

// selected says whether -run names the cell, so that each cell can be run
// alone without -all.
func selected(c cell) bool {
	pattern := flag.Lookup("test.run").Value.String()
	return strings.Contains(strings.NewReplacer("^", "", "$", "").Replace(pattern), c.name())
}

// pairs draws pairs of faults that can occur together.
func pairs() []cell {
	random := rand.New(rand.NewPCG(*pairSeed, 0))
	var cells []cell
	seen := map[string]bool{}
	for len(cells) < *pairCount {
		a, b := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		s := stepTable[random.IntN(len(stepTable))]
		c := cell{faults: []*fault{a, b}, step: s}
		if a == b || clash(a, b) || cannotOccur(a, s) != "" || cannotOccur(b, s) != "" || seen[c.name()] {
			continue
		}
		seen[c.name()] = true
		cells = append(cells, c)
	}
	return cells
}

// clash says whether two faults use the same switch, so that the second would
// end the first.
func clash(a, b *fault) bool {
	return switchOf(a) != "" && switchOf(a) == switchOf(b)
}

func switchOf(f *fault) string {
	switch {
	case f.vmStops:
		return "process"
	case strings.HasPrefix(f.name, "link_"):
		return "link"
	case f.name == "store_down" || f.name == "store_slow" || f.name == "answer_lost":
		return "store"
	}
	return ""
}

// Guards against promises that one fault, or two at one time, break at some
// step of the work. The cells share at most two fleets and run one after the
// other in each of them.
func TestMatrix(t *testing.T) {
	if testing.Short() {
		t.Skip("starts two fleets of processes")
	}
	pool := make(chan *world, fleets)
	for range fleets {
		pool <- nil // a fleet starts when a cell needs it
	}
	results := &table{began: time.Now(), verdicts: map[string]verdict{}}
	if err := results.readEarlier(*earlier); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { results.finish(t) })
	var starting sync.Mutex
	execute := func(t *testing.T, parent *testing.T, c cell) {
		t.Parallel()
		w := <-pool
		defer func() { pool <- w }()
		if w == nil {
			starting.Lock()
			w = startWorld(parent)
			starting.Unlock()
		}
		began := time.Now()
		r := newRun(t, w, c)
		defer func() {
			results.add(c, r, time.Since(began), t.Failed())
			if t.Failed() {
				w.discard()
				w = nil
			}
		}()
		r.execute()
	}
	for _, c := range singles() {
		t.Run(c.name(), func(sub *testing.T) { execute(sub, t, c) })
	}
	fmt.Printf("pairs of faults: -args -seed=%d -pairs=%d\n", *pairSeed, *pairCount)
	for _, c := range pairs() {
		t.Run("pair/"+c.name(), func(sub *testing.T) { execute(sub, t, c) })
	}
}

// execute runs a cell and reports the promises that do not hold.
func (r *run) execute() {
	pulses := make(chan struct{})
	go func() {
		defer close(pulses)
		r.pulse(r.cell.step.family != plainFamily)
	}()
	defer func() {
		// A cell that ends early still has to undo its faults.
		r.stop()
		<-pulses
		r.pending.Wait()
		if r.t.Failed() {
			r.logFailures()
		}
	}()
	r.cell.step.run(r)
	<-r.healed
	r.stop()
	<-pulses
	r.pending.Wait()
	r.recover()
	r.check()
	for _, p := range r.problems {
		r.t.Error(p)
	}
}

// logFailures lists what was not answered, and the logs of the VMs if
// FLEET_LOGS is set.
func (r *run) logFailures() {
	for _, s := range r.streams {
		if !s.Complete {
			r.t.Logf("%s at VM %d, sent after %s: status %d, outcome %q, %d events, %s, %s", s.Request.ID, s.vm,
				s.Sent.Sub(r.began), s.Status, s.Outcome, s.Events, s.ended.Sub(s.Sent), s.Error)
		}
	}
	for _, c := range r.calls {
		if c.status != http.StatusOK {
			r.t.Logf("%s at VM %d, sent after %s: status %d, outcome %q, %s", c.id, c.vm, c.sent.Sub(r.began), c.status, c.outcome, c.text)
		}
	}
	record, err := r.w.engineRecord(r.engine)
	for _, e := range record.Entries {
		if err == nil && e.At.After(r.began) {
			r.t.Logf("engine %d after %s: %s %s %s", r.engine, e.At.Sub(r.began), e.Event, e.ID, e.Reason)
		}
	}
	for i, e := range r.w.f.Entries {
		if os.Getenv("FLEET_LOGS") != "" {
			r.t.Logf("VM %d: %s", i, e.Log())
		}
	}
}

// servesWithin bounds the time after the end of a fault until each VM serves
// calls that need the store again.
const servesWithin = 10 * time.Second

// hearsAll says whether a VM hears all others as live, as it does 0.5 s after a
// restart. The next cell is to begin with the quorum of a fleet at rest.
func (r *run) hearsAll(vm int) bool {
	var s operator.Status
	if err := r.operatorGet(vm, "/status", &s); err != nil {
		return false
	}
	live := 0
	for _, p := range s.Peers {
		if p.State == string(membership.Live) {
			live++
		}
	}
	return live == vmCount-1 && len(s.Seats) > 0
}

// recover waits until all VMs are ready, hear each other and run
// non-idempotent calls.
func (r *run) recover() {
	for vm := range vmCount {
		for end := time.Now().Add(servesWithin); !r.hearsAll(vm); time.Sleep(5 * pollInterval) {
			if time.Now().After(end) {
				r.problem("R1", "VM %d does not hear the others %s after the cell", vm, servesWithin)
				break
			}
		}
		if err := r.w.ready(vm, readyWithin); err != nil {
			r.problem("R1", "after the cell: %v", err)
		}
		for end := time.Now().Add(servesWithin); ; time.Sleep(5 * pollInterval) {
			c := r.call(vm, http.MethodPost, r.nextID("key"), pulseTimeout, false)
			if c.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				r.problem("R1", "VM %d ran no call %s after the cell: %s", vm, servesWithin, c.text)
				break
			}
		}
	}
}

func (r *run) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
}

// discard ends the processes of a fleet that a failed cell may have left in an
// unknown state.
func (w *world) discard() {
	for _, e := range w.f.Entries {
		e.Thaw()
		e.Kill()
	}
}
