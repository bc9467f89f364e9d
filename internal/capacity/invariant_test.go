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

// init gives the state machine longer and more runs than rapid's defaults;
// flags on the command line still apply.
func init() {
	_ = flag.Set("rapid.steps", "100")
	_ = flag.Set("rapid.checks", "300")
}

func sortedKeys[V any](m map[string]V) []string {
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

// The limits of testTargets; the warm ones without the memory that is held
// back.
var (
	warmLimits = map[string]Resources{"e1": {950, 10}, "e2": {475, 6}}
	coldLimits = map[string]Resources{"e1": {200, 2}, "e2": {100, 1}}
)

// stateMachine is the state machine of TestNeverAboveBound.
type stateMachine struct {
	c      *cluster
	starts uint64
	vacant []int // seats without a holder
}

func (m *stateMachine) pickVM(t *rapid.T) *vm {
	return m.c.vms[rapid.SampledFrom(sortedKeys(m.c.vms)).Draw(t, "vm")]
}

func (m *stateMachine) reserve(t *rapid.T) {
	v := m.pickVM(t)
	target := pickTarget.Draw(t, "target")
	tokens := rapid.IntRange(1, 300).Draw(t, "tokens")
	if v.alive {
		v.startAttempt(target, tokens)
	}
}

func (m *stateMachine) borrow(t *rapid.T) {
	v := m.pickVM(t)
	target := pickTarget.Draw(t, "target")
	need := Resources{rapid.IntRange(0, 600).Draw(t, "tokens"), rapid.IntRange(0, 5).Draw(t, "slots")}
	lifetime := time.Duration(rapid.IntRange(1, 60).Draw(t, "life")) * time.Second
	if !v.alive {
		return
	}
	if v.ledger.Borrow(context.Background(), target, need, m.c.now().Add(lifetime)) == nil {
		if !v.ledger.Available(target).covers(need) {
			t.Fatalf("Borrow of %v returned without error, available is %v", need, v.ledger.Available(target))
		}
		v.startAttempt(target, max(need.Tokens, 1))
	}
}

func (m *stateMachine) finish(t *rapid.T) {
	target := pickTarget.Draw(t, "target")
	ids := sortedKeys(m.c.engines[target])
	if len(ids) == 0 {
		return
	}
	w := m.c.engines[target][rapid.SampledFrom(ids).Draw(t, "attempt")]
	if w.attached {
		m.c.finish(target, w)
	}
}

func (m *stateMachine) advanceTime(t *rapid.T) {
	m.c.runRound(time.Duration(rapid.SampledFrom([]int{10, 100, 600, 1100, 2500, 30000}).Draw(t, "ms")) * time.Millisecond)
}

func (m *stateMachine) setDelivery(t *rapid.T) {
	from, to := m.pickVM(t).self.Address, m.pickVM(t).self.Address
	m.c.deliveries[from+">"+to] = delivery(rapid.IntRange(int(delivered), int(late)).Draw(t, "fate"))
}

// cut loses everything that is sent to one VM.
func (m *stateMachine) cut(t *rapid.T) {
	to := m.pickVM(t).self.Address
	for _, from := range sortedKeys(m.c.vms) {
		m.c.deliveries[from+">"+to] = requestLost
	}
}

func (m *stateMachine) heal(*rapid.T) { m.c.deliveries = map[string]delivery{} }

// slowBorrow runs other steps while the response to a loan request is in
// flight.
func (m *stateMachine) slowBorrow(t *rapid.T) {
	m.c.onLoanResponse = func() {
		if rapid.Bool().Draw(t, "lender replaced") {
			m.isolate(t)
			m.takeOver(t)
		}
		for range 3 {
			m.c.runRound(1100 * time.Millisecond)
		}
		for range 4 {
			m.reserve(t)
		}
	}
	m.borrow(t)
	m.c.onLoanResponse = nil
}

func (m *stateMachine) deliverLate(t *rapid.T) {
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

func (m *stateMachine) kill(t *rapid.T) {
	v := m.pickVM(t)
	if v.alive {
		m.c.kill(v, rapid.Bool().Draw(t, "resumed"))
		m.vacant = append(m.vacant, v.dropSeats()...)
	}
}

// restart starts a new process at the address of a dead one.
func (m *stateMachine) restart(t *rapid.T) {
	v := m.pickVM(t)
	if v.alive {
		return
	}
	seats := m.vacant[:min(1, len(m.vacant))]
	m.vacant = m.vacant[len(seats):]
	m.startNextInstance(v.self.Address, seats...)
}

// isolate takes the seats away from a VM that continues with its running
// requests.
func (m *stateMachine) isolate(t *rapid.T) {
	m.vacant = append(m.vacant, m.pickVM(t).dropSeats()...)
}

func (m *stateMachine) resetToCold(t *rapid.T) {
	if v := m.pickVM(t); v.alive {
		m.c.resetToCold(v)
	}
}

func (m *stateMachine) warm(*rapid.T) { m.c.warm() }

func (m *stateMachine) takeOver(t *rapid.T) {
	v := m.pickVM(t)
	if v.alive && len(m.vacant) > 0 {
		m.c.assignSeat(v, m.vacant[0])
		m.vacant = m.vacant[1:]
	}
}

func (m *stateMachine) check(t *rapid.T) {
	m.c.observeAll()
	for id, bound := range warmLimits {
		if used := m.c.inUse(id); !bound.covers(used) {
			t.Fatalf("granted on %s: %+v, above the limit %+v", id, used, bound)
		}
	}
	if m.c.stage.Doublings > 0 {
		return
	}
	for id, bound := range coldLimits {
		if used := m.c.inUseSince(id, m.c.coldSeq); !bound.covers(used) {
			t.Fatalf("granted on %s since it turned cold: %+v, above the cold limit %+v", id, used, bound)
		}
	}
}

// settle ends all requests and faults, gives every seat a holder, and lets the
// longest loan expire. All capacity must be available again.
func (m *stateMachine) settle(t *rapid.T) {
	m.heal(t)
	m.c.late = nil
	m.c.warm()
	for _, a := range sortedKeys(m.c.vms) {
		if !m.c.vms[a].alive {
			m.startNextInstance(a)
		}
	}
	for len(m.vacant) > 0 {
		m.c.assignSeat(m.c.vms[sortedKeys(m.c.vms)[0]], m.vacant[0])
		m.vacant = m.vacant[1:]
	}
	for target, attempts := range m.c.engines {
		for _, w := range attempts {
			m.c.finish(target, w)
		}
	}
	for range 8 {
		m.c.runRound(2100 * time.Millisecond)
	}
	// Loans to a dead VM come back when they expire.
	m.c.runRound(70 * time.Second)
	for range 4 {
		m.c.runRound(2100 * time.Millisecond)
	}
	for id, want := range warmLimits {
		if got := m.c.available(id); got != want {
			t.Fatalf("after quiescence %s has %+v available, want %+v", id, got, want)
		}
	}
}

func (m *stateMachine) startNextInstance(address string, seats ...int) {
	m.starts++
	m.c.start(address, m.starts, seats...)
	m.c.publishStage()
}

// TestNeverAboveBound guards against two VMs using the same capacity when
// messages are lost or late and holders die or are replaced, and against
// capacity that never becomes available again.
func TestNeverAboveBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{c: newCluster(testTargets(), testSeats), starts: 1}
		for i := range testSeats {
			m.c.start(fmt.Sprintf("10.0.0.%d:1", i), 1, i)
		}
		m.c.warm()
		for range 3 {
			m.c.runRound(1100 * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":            m.check,
			"reserve":     m.reserve,
			"reserve2":    m.reserve,
			"reserve3":    m.reserve,
			"borrow":      m.borrow,
			"borrow2":     m.borrow,
			"finish":      m.finish,
			"pass":        m.advanceTime,
			"pass2":       m.advanceTime,
			"network":     m.setDelivery,
			"cut":         m.cut,
			"heal":        m.heal,
			"slowBorrow":  m.slowBorrow,
			"deliverLate": m.deliverLate,
			"kill":        m.kill,
			"restart":     m.restart,
			"isolate":     m.isolate,
			"takeOver":    m.takeOver,
			"relapse":     m.resetToCold,
			"warm":        m.warm,
		})
		m.settle(t)
	})
}
