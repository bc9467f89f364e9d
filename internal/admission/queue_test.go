package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolefront/oriolefront/internal/config"
	"github.com/oriolefront/oriolefront/internal/membership"
)

var epoch = time.Unix(1_000_000, 0)

func newTestEntry(id, account string, class config.Class, deadline time.Duration, cost int, weight float64) *entry {
	req := &Request{RequestID: id, Account: account, Class: class, PromptTokens: cost, Deadline: epoch.Add(deadline)}
	return newEntry(req, config.Contract{Weight: weight}, epoch)
}

// Each case guards against a wrong order of service.
func TestQueueOrder(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries []*entry
		want    string
	}{
		{"class before deadline", []*entry{
			newTestEntry("batch", "a", config.ClassBatch, 1, 10, 1),
			newTestEntry("standard", "a", config.ClassStandard, 2, 10, 1),
			newTestEntry("interactive", "a", config.ClassInteractive, 3, 10, 1),
		}, "[interactive standard batch]"},
		{"deadline within a class", []*entry{
			newTestEntry("late", "a", 1, 9, 10, 1), newTestEntry("early", "b", 1, 5, 10, 1), newTestEntry("first", "a", 1, 1, 10, 1),
		}, "[first early late]"},
		{"arrival among equal deadlines", []*entry{
			newTestEntry("x", "a", 1, 9, 10, 1), newTestEntry("y", "a", 1, 9, 10, 1),
		}, "[x y]"},
		{"a large account does not go before a small one for long", []*entry{
			newTestEntry("big1", "big", 1, 1, 40_000, 1), newTestEntry("big2", "big", 1, 2, 40_000, 1),
			newTestEntry("big3", "big", 1, 3, 40_000, 1), newTestEntry("small", "small", 1, 9, 1000, 1),
		}, "[big1 big2 small big3]"},
		{"weight", []*entry{
			newTestEntry("big1", "big", 1, 1, 40_000, 2), newTestEntry("big2", "big", 1, 2, 40_000, 2),
			newTestEntry("big3", "big", 1, 3, 40_000, 2), newTestEntry("small", "small", 1, 9, 1000, 1),
		}, "[big1 big2 big3 small]"},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, ids := newQueue(), []string{}
			for _, e := range c.entries {
				q.push(e)
			}
			for _, e := range q.serviceOrder(maxServeScan) {
				ids = append(ids, e.request.RequestID)
			}
			assert.Equal(t, fmt.Sprint(ids), c.want)
		})
	}
}

// Guards against starvation of a class or an account, and against entries that
// are lost or served twice.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 30_000
		q := newQueue()
		waiting := map[*entry]bool{}
		higher := 0 // grants of higher classes while batch requests wait
		n := 0
		for range rapid.IntRange(10, 300).Draw(t, "steps") {
			if len(waiting) == 0 || rapid.IntRange(0, 2).Draw(t, "push") > 0 {
				n++
				e := newTestEntry(fmt.Sprint(n), fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "account")),
					config.Class(rapid.IntRange(0, 2).Draw(t, "class")),
					time.Duration(rapid.IntRange(0, 1000).Draw(t, "deadline")), rapid.IntRange(1, maxCost).Draw(t, "cost"), 1)
				q.push(e)
				waiting[e] = true
				continue
			}
			ordered := q.serviceOrder(len(waiting) + 1)
			assert.Equal(t, len(ordered), len(waiting))
			e := ordered[0]
			assert.Assert(t, waiting[e])
			least := e.cost()
			class := &q.classes[e.class]
			served := class.accounts[e.request.Account].served
			for _, a := range class.accounts {
				if len(a.entries) > 0 {
					least = min(least, served-a.served)
					assert.Assert(t, served-a.served <= fairnessQuantum, "account is %v tokens ahead", served-a.served)
				}
			}
			for _, x := range class.accounts[e.request.Account].entries {
				assert.Assert(t, !x.request.Deadline.Before(e.request.Deadline), "a later deadline was served first")
			}
			higher++
			if e.class == 2 || q.classes[2].size == 0 {
				higher = 0
			}
			assert.Assert(t, higher <= 2*(classBypassLimit+1), "batch work starves")
			q.granted(e, epoch)
			delete(waiting, e)
			assert.Equal(t, q.size, len(waiting))
		}
	})
}

// limitVM is one VM in a test of limits across several VMs.
type limitVM struct {
	limits   *accountLimits
	admitted float64
}

// runLimits offers demand[i] requests per second to VM i for the duration, and
// returns the rate admitted by all VMs, not counting the first two seconds.
func runLimits(limit float64, demand []float64, duration time.Duration) float64 {
	now := epoch
	vms := make([]*limitVM, len(demand))
	for i := range vms {
		l := newAccountLimits(func() (int, int) { return 1, len(demand) })
		l.now = func() time.Time { return now }
		vms[i] = &limitVM{limits: l}
	}
	const step, settle = 10 * time.Millisecond, 2 * time.Second
	contract := config.Contract{RequestsPerSecond: limit}
	due := make([]float64, len(demand))
	for elapsed := time.Duration(0); elapsed < duration+settle; elapsed += step {
		now = now.Add(step)
		for i, vm := range vms {
			for due[i] += demand[i] * step.Seconds(); due[i] >= 1; due[i]-- {
				if _, err := vm.limits.charge(&Request{Account: "a", PromptTokens: 1}, contract, now); err == nil {
					vm.limits.release("a")
					if elapsed >= settle {
						vm.admitted++
					}
				}
			}
			if elapsed%(500*time.Millisecond) == 0 {
				data := vm.limits.produce()
				for j, other := range vms {
					if j != i {
						other.limits.consume(membership.Instance{Address: fmt.Sprint(i)}, data)
					}
				}
			}
		}
	}
	sum := 0.0
	for _, vm := range vms {
		sum += vm.admitted
	}
	return sum / duration.Seconds()
}

// Guards against a limit that is exceeded, or not reached, when the load balancer
// spreads the requests of an account unevenly.
func TestLimitOverSeveralVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SliceOfN(rapid.Float64Range(0, 300), 1, 9).Draw(t, "demand")
		const limit, duration = 90.0, 10 * time.Second
		total := 0.0
		for _, d := range demand {
			total += d
		}
		rate := runLimits(limit, demand, duration)
		// The measured period can include a burst of one second on each VM.
		bound := limit + limit*burstWindow.Seconds()/duration.Seconds() + float64(len(demand))/duration.Seconds()
		assert.Assert(t, rate <= bound, "admitted %.1f/s, bound %.1f/s", rate, bound)
		assert.Assert(t, rate >= 0.75*min(limit, total)-float64(len(demand)), "admitted %.1f/s of %.1f/s", rate, total)
	})
}

// Guards against silent peers that raise the limit.
func TestSilentPeersKeepTheirShare(t *testing.T) {
	l := newAccountLimits(func() (int, int) { return 1, 9 })
	l.accounts["a"] = &accountState{demand: demandMeter{start: epoch, rate: amount{1000, 0}}}
	share := l.share("a", amount{90, 0}, epoch)
	assert.Equal(t, share[requests], 10.0)
}
