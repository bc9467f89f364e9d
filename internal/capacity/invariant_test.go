package capacity

import (
	"context"
	"flag"
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oriolefront/oriolefront/internal/config"
)

const testSeats = 4

// init makes the runs of the state machine longer and more than rapid's
// defaults; flags on the command line still apply.
func init() {
	_ = flag.Set("rapid.steps", "100")
	_ = flag.Set("rapid.checks", "300")
}

func sortedOf[V any](m map[string]V) []string {
	all := keys(m)
	sort.Strings(all)
	return all
}

func testTargets() map[string]config.Target {
	return map[string]config.Target{
		"e1": {KVTokens: 1000, MaxRunning: 10, ColdRunning: 2, ColdTokens: 200},
		"e2": {KVTokens: 500, MaxRunning: 6, ColdRunning: 1, ColdTokens: 100},
	}
}

var pickTarget = rapid.SampledFrom([]string{"e1", "e2"})

// The bounds of testTargets, less the reserve of memory when warm.
var (
	warmBounds = map[string]Resources{"e1": {950, 10}, "e2": {475, 6}}
	coldBounds = map[string]Resources{"e1": {200, 2}, "e2": {100, 1}}
)

// machine is the state machine of TestNeverAboveBound.
type machine struct {
	c      *cluster
	starts uint64
	vacant []int // seats that nobody holds
}

func (m *machine) pickVM(t *rapid.T) *vm {
	return m.c.vms[rapid.SampledFrom(sortedOf(m.c.vms)).Draw(t, "vm")]
}

func (m *machine) reserve(t *rapid.T) {
	v := m.pickVM(t)
	target := pickTarget.Draw(t, "target")
	tokens := rapid.IntRange(1, 300).Draw(t, "tokens")
	if v.alive {
		v.run(target, tokens)
	}
}

func (m *machine) borrow(t *rapid.T) {
	v := m.pickVM(t)
	target := pickTarget.Draw(t, "target")
	need := Resources{rapid.IntRange(0, 600).Draw(t, "tokens"), rapid.IntRange(0, 5).Draw(t, "slots")}
	life := time.Duration(rapid.IntRange(1, 60).Draw(t, "life")) * time.Second
	if !v.alive {
		return
	}
	if v.ledger.Borrow(context.Background(), target, need, m.c.now().Add(life)) == nil {
		if !v.ledger.Available(target).covers(need) {
			t.Fatalf("Borrow of %v returned without error, room is %v", need, v.ledger.Available(target))
		}
		v.run(target, max(need.Tokens, 1))
	}
}

func (m *machine) finish(t *rapid.T) {
	target := pickTarget.Draw(t, "target")
	ids := sortedOf(m.c.engines[target])
	if len(ids) == 0 {
		return
	}
	w := m.c.engines[target][rapid.SampledFrom(ids).Draw(t, "attempt")]
	if w.attached {
		m.c.finish(target, w)
	}
}

func (m *machine) pass(t *rapid.T) {
	m.c.round(time.Duration(rapid.SampledFrom([]int{10, 100, 600, 1100, 2500, 30000}).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) network(t *rapid.T) {
	from, to := m.pickVM(t).self.Address, m.pickVM(t).self.Address
	m.c.fates[from+">"+to] = fate(rapid.IntRange(int(delivered), int(late)).Draw(t, "fate"))
}

// cut loses everything that is sent to one VM.
func (m *machine) cut(t *rapid.T) {
	to := m.pickVM(t).self.Address
	for _, from := range sortedOf(m.c.vms) {
		m.c.fates[from+">"+to] = requestLost
	}
}

func (m *machine) heal(*rapid.T) { m.c.fates = map[string]fate{} }

// slowBorrow lets other things happen while the answer to a loan request is
// under way.
func (m *machine) slowBorrow(t *rapid.T) {
	m.c.during = func() {
		if rapid.Bool().Draw(t, "lender replaced") {
			m.isolate(t)
			m.takeOver(t)
		}
		for range 3 {
			m.c.round(1100 * time.Millisecond)
		}
		for range 4 {
			m.reserve(t)
		}
	}
	m.borrow(t)
	m.c.during = nil
}

func (m *machine) deliverLate(t *rapid.T) {
	if len(m.c.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.c.late)-1).Draw(t, "message")
	e := m.c.late[i]
	if rapid.Bool().Draw(t, "again") {
		_, _ = m.c.deliver(e)
	}
	m.c.late = append(m.c.late[:i], m.c.late[i+1:]...)
	_, _ = m.c.deliver(e)
}

func (m *machine) kill(t *rapid.T) {
	v := m.pickVM(t)
	if v.alive {
		m.c.kill(v, rapid.Bool().Draw(t, "resumed"))
		m.vacant = append(m.vacant, v.dropSeats()...)
	}
}

// restart starts a new process at the address of a dead one.
func (m *machine) restart(t *rapid.T) {
	v := m.pickVM(t)
	if v.alive {
		return
	}
	seats := m.vacant[:min(1, len(m.vacant))]
	m.vacant = m.vacant[len(seats):]
	m.startAgain(v.self.Address, seats...)
}

// isolate takes the seats of a VM away that goes on with what it has.
func (m *machine) isolate(t *rapid.T) {
	m.vacant = append(m.vacant, m.pickVM(t).dropSeats()...)
}

func (m *machine) relapse(t *rapid.T) {
	if v := m.pickVM(t); v.alive {
		m.c.relapse(v)
	}
}

func (m *machine) warm(*rapid.T) { m.c.warm() }

func (m *machine) takeOver(t *rapid.T) {
	v := m.pickVM(t)
	if v.alive && len(m.vacant) > 0 {
		m.c.give(v, m.vacant[0])
		m.vacant = m.vacant[1:]
	}
}

func (m *machine) check(t *rapid.T) {
	m.c.hear()
	for id, bound := range warmBounds {
		if used := m.c.used(id); !bound.covers(used) {
			t.Fatalf("granted on %s: %+v, above the bound %+v", id, used, bound)
		}
	}
	if m.c.stage.Doublings > 0 {
		return
	}
	for id, bound := range coldBounds {
		if used := m.c.usedSince(id, m.c.coldSeq); !bound.covers(used) {
			t.Fatalf("granted on %s since it is cold: %+v, above the cold bound %+v", id, used, bound)
		}
	}
}

// settle ends all requests and faults, gives every seat a holder, and lets the
// longest loan expire. Everything must have come back.
func (m *machine) settle(t *rapid.T) {
	m.heal(t)
	m.c.late = nil
	m.c.warm()
	for _, a := range sortedOf(m.c.vms) {
		if !m.c.vms[a].alive {
			m.startAgain(a)
		}
	}
	for len(m.vacant) > 0 {
		m.c.give(m.c.vms[sortedOf(m.c.vms)[0]], m.vacant[0])
		m.vacant = m.vacant[1:]
	}
	for target, works := range m.c.engines {
		for _, w := range works {
			m.c.finish(target, w)
		}
	}
	for range 8 {
		m.c.round(2100 * time.Millisecond)
	}
	// What a dead VM borrowed comes back when it expires.
	m.c.round(70 * time.Second)
	for range 4 {
		m.c.round(2100 * time.Millisecond)
	}
	for id, want := range warmBounds {
		if got := m.c.room(id); got != want {
			t.Fatalf("after quiescence the room of %s is %+v, want %+v", id, got, want)
		}
	}
}

func (m *machine) startAgain(address string, seats ...int) {
	m.starts++
	m.c.start(address, m.starts, seats...)
	m.c.tell()
}

// TestNeverAboveBound guards against two VMs using the same amount when
// messages are lost or late and holders die or are replaced, and against
// amounts that never come back.
func TestNeverAboveBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{c: newCluster(testTargets(), testSeats), starts: 1}
		for i := range testSeats {
			m.c.start(fmt.Sprintf("10.0.0.%d:1", i), 1, i)
		}
		m.c.warm()
		for range 3 {
			m.c.round(1100 * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":            m.check,
			"reserve":     m.reserve,
			"reserve2":    m.reserve,
			"reserve3":    m.reserve,
			"borrow":      m.borrow,
			"borrow2":     m.borrow,
			"finish":      m.finish,
			"pass":        m.pass,
			"pass2":       m.pass,
			"network":     m.network,
			"cut":         m.cut,
			"heal":        m.heal,
			"slowBorrow":  m.slowBorrow,
			"deliverLate": m.deliverLate,
			"kill":        m.kill,
			"restart":     m.restart,
			"isolate":     m.isolate,
			"takeOver":    m.takeOver,
			"relapse":     m.relapse,
			"warm":        m.warm,
		})
		m.settle(t)
	})
}
