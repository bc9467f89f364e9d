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
	allCells      = flag.Bool("all", false, "run all cells instead of the short selection")
	pairCount     = flag.Int("pairs", 4, "number of pairs of faults to draw")
	pairSeed      = flag.Uint64("seed", 1, "seed from which the pairs are drawn")
	earlierOutput = flag.String("earlier", "", "`file` with the output of earlier runs, whose verdicts the page shows for the cells that this run does not include")
	writeDocs     = flag.String("write-docs", "", "write the page of the fault matrix to this `file` after the run")
)

// maxFleets is the number of fleets that run at the same time.
const maxFleets = 2

// cell is one test case: one fault, or a pair of faults, injected at one step.
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

// has reports whether the cell injects the named fault.
func (c cell) has(name string) bool {
	return slices.ContainsFunc(c.faults, func(f *fault) bool { return f.name == name })
}

// cannotOccur returns why a fault cannot affect a step, or "" if it can.
func cannotOccur(f *fault, s step) string {
	if f.engineFault && (s.family == plainCallFamily || s.family == patchFamily) {
		return "no engine takes part in a " + s.family
	}
	if f.name == "cache_gaps" && s.family == commandFamily {
		return "orders do not depend on cache events"
	}
	return ""
}

// shortSelection contains each fault and each step at least once.
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

// singleFaultCells returns the possible cells with one fault that this run includes.
func singleFaultCells() []cell {
	var cells []cell
	for _, f := range faults {
		for _, s := range stepTable {
			c := cell{faults: []*fault{f}, step: s}
			if cannotOccur(f, s) == "" && (*allCells || shortSelection[c.name()] || selectedByRunFlag(c)) {
				cells = append(cells, c)
			}
		}
	}
	return cells
}

// selectedByRunFlag reports whether -run names the cell, so that each cell can
// be run alone without -all.
func selectedByRunFlag(c cell) bool {
	pattern := flag.Lookup("test.run").Value.String()
	return strings.Contains(strings.NewReplacer("^", "", "$", "").Replace(pattern), c.name())
}

// faultPairCells draws random pairs of faults that can be injected together.
func faultPairCells() []cell {
	random := rand.New(rand.NewPCG(*pairSeed, 0))
	var cells []cell
	seen := map[string]bool{}
	for len(cells) < *pairCount {
		a, b := faults[random.IntN(len(faults))], faults[random.IntN(len(faults))]
		s := stepTable[random.IntN(len(stepTable))]
		c := cell{faults: []*fault{a, b}, step: s}
		if a == b || conflict(a, b) || cannotOccur(a, s) != "" || cannotOccur(b, s) != "" || seen[c.name()] {
			continue
		}
		seen[c.name()] = true
		cells = append(cells, c)
	}
	return cells
}

// conflict reports whether two faults use the same injection point, where the
// second fault would replace the first.
func conflict(a, b *fault) bool {
	return injectionPoint(a) != "" && injectionPoint(a) == injectionPoint(b)
}

// injectionPoint returns the part of the fleet whose state a fault sets, or "" if
// no other fault sets the same state.
func injectionPoint(f *fault) string {
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

// Guards against promises that one fault, or two simultaneous faults, break at
// some step of an operation. The cells share at most two fleets; each fleet runs
// one cell at a time.
func TestMatrix(t *testing.T) {
	if testing.Short() {
		t.Skip("starts two fleets of processes")
	}
	pool := make(chan *harness, maxFleets)
	for range maxFleets {
		pool <- nil // a fleet is started when a cell first needs it
	}
	results := &table{startTime: time.Now(), verdicts: map[string]verdict{}}
	if err := results.readEarlier(*earlierOutput); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { results.finish(t) })
	var startMutex sync.Mutex
	execute := func(t *testing.T, parent *testing.T, c cell) {
		t.Parallel()
		h := <-pool
		defer func() { pool <- h }()
		if h == nil {
			startMutex.Lock()
			h = startHarness(parent)
			startMutex.Unlock()
		}
		startTime := time.Now()
		r := newCellRun(t, h, c)
		defer func() {
			results.add(c, r, time.Since(startTime), t.Failed())
			if t.Failed() {
				h.killAll()
				h = nil
			}
		}()
		r.execute()
	}
	for _, c := range singleFaultCells() {
		t.Run(c.name(), func(sub *testing.T) { execute(sub, t, c) })
	}
	fmt.Printf("pairs of faults: -args -seed=%d -pairs=%d\n", *pairSeed, *pairCount)
	for _, c := range faultPairCells() {
		t.Run("pair/"+c.name(), func(sub *testing.T) { execute(sub, t, c) })
	}
}

// execute runs a cell and reports the promises that were broken.
func (r *cellRun) execute() {
	backgroundDone := make(chan struct{})
	go func() {
		defer close(backgroundDone)
		r.sendBackgroundLoad(r.cell.step.family != plainCallFamily)
	}()
	defer func() {
		// A cell that fails early must still heal its faults.
		r.stop()
		<-backgroundDone
		r.pending.Wait()
		if r.t.Failed() {
			r.logFailures()
		}
	}()
	r.cell.step.run(r)
	<-r.healed
	r.stop()
	<-backgroundDone
	r.pending.Wait()
	r.recover()
	r.check()
	for _, p := range r.problems {
		r.t.Error(p)
	}
}

// logFailures logs the requests that failed and the engine's record, and the
// logs of the VMs whose processes have ended, or of all if FLEET_LOGS is set.
func (r *cellRun) logFailures() {
	for _, s := range r.streams {
		if !s.Complete {
			r.t.Logf("%s at VM %d, sent after %s: status %d, outcome %q, %d events, %s, %s", s.Request.ID, s.vm,
				s.SentAt.Sub(r.startTime), s.Status, s.Outcome, s.Events, s.ended.Sub(s.SentAt), s.Error)
		}
	}
	for _, c := range r.calls {
		if c.status != http.StatusOK {
			r.t.Logf("%s at VM %d, sent after %s: status %d, outcome %q, %s", c.id, c.vm, c.sent.Sub(r.startTime), c.status, c.outcome, c.text)
		}
	}
	record, err := r.harness.engineRecord(r.engine)
	for _, e := range record.Entries {
		if err == nil && e.At.After(r.startTime) {
			r.t.Logf("engine %d after %s: %s %s %s", r.engine, e.At.Sub(r.startTime), e.Event, e.ID, e.Reason)
		}
	}
	for i, e := range r.harness.fleet.Entries {
		if os.Getenv("FLEET_LOGS") != "" || !e.Running() {
			r.t.Logf("VM %d, running %v: %s", i, e.Running(), e.Log())
		}
	}
}

// recoveryTimeout bounds the time after a cell until each VM sees all its peers as
// live, and then the time until it serves calls that need the store.
const recoveryTimeout = 10 * time.Second

// seesAllPeers reports whether a VM holds a seat and sees all other VMs as live,
// which takes 0.5 s after a restart. The next cell must start with the quorum of
// an undisturbed fleet.
func (r *cellRun) seesAllPeers(vm int) bool {
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

// recover waits until all VMs see each other as live, are ready and run
// non-idempotent calls.
func (r *cellRun) recover() {
	for vm := range vmCount {
		for end := time.Now().Add(recoveryTimeout); !r.seesAllPeers(vm); time.Sleep(5 * pollInterval) {
			if time.Now().After(end) {
				r.problem("R1", "VM %d does not see all other VMs as live %s after the cell", vm, recoveryTimeout)
				break
			}
		}
		if err := r.harness.ready(vm, readyTimeout); err != nil {
			r.problem("R1", "after the cell: %v", err)
		}
		for end := time.Now().Add(recoveryTimeout); ; time.Sleep(5 * pollInterval) {
			c := r.call(vm, http.MethodPost, r.nextID("key"), backgroundTimeout, false)
			if c.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				r.problem("R1", "VM %d completed no call within %s after the cell: %s", vm, recoveryTimeout, c.text)
				break
			}
		}
	}
}

func (r *cellRun) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
}

// killAll kills the entry processes of a fleet that a failed cell may have left in
// an unknown state.
func (h *harness) killAll() {
	for _, e := range h.fleet.Entries {
		e.Thaw()
		e.Kill()
	}
}
