package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// Guards against repeats of all VMs together beyond the limit: each VM takes its
// part of the slack only.
func TestRetryBudget(t *testing.T) {
	limits := RetryLimits{Ratio: 0.2, Slack: 90, Window: 10 * time.Second}
	b := NewRetryBudget(func() RetryLimits { return limits }, func() int { return 9 })
	taken := 0
	for b.Allow("s") {
		taken++
	}
	assert.Equal(t, taken, 7) // 0.7 x 90 / 9
	for range 100 {
		b.RecordRequest("s")
	}
	for b.Allow("s") {
		taken++
	}
	assert.Equal(t, taken, 21) // 0.7 x (0.2 x 100 + 90 / 9)
	assert.Assert(t, b.Allow("other"))
}

// Guards against a target that gets work while it cannot be reached, and one
// that is avoided for good.
func TestHealth(t *testing.T) {
	h := NewHealth()
	h.RecordOutcome("a", notSent)
	now := time.Now()
	assert.Assert(t, h.Status("a", now).Unreachable)
	assert.Assert(t, !h.Status("a", now.Add(unreachableMax)).Unreachable)
	for range 10 {
		h.RecordOutcome("a", outcomeUnknown)
	}
	assert.Assert(t, !h.Status("a", time.Now().Add(unreachableMax+time.Millisecond)).Unreachable)
	h.RecordOutcome("a", delivered)
	assert.Assert(t, !h.Status("a", time.Now()).Unreachable)

	for range 4 {
		h.RecordOutcome("grey", failed)
	}
	v := h.Status("grey", time.Now())
	assert.Assert(t, v.FailureRate > 0.5 && !v.Unreachable)
	assert.Assert(t, h.Status("grey", time.Now().Add(time.Minute)).FailureRate < 0.1)

	h.MarkSuspect([]string{"b"})
	assert.Assert(t, h.Status("b", time.Now()).Suspect)
	assert.Assert(t, !h.Status("b", time.Now().Add(peerReportTTL)).Suspect)
	h.MarkReplaced("b")
	assert.Assert(t, h.Status("b", time.Now()).Replaced)
	h.Retain(func(string) bool { return false })
	assert.DeepEqual(t, h.Status("b", time.Now()), HealthStatus{})
}

// Guards against shares of a route that get requests out of proportion, and a
// request that goes to another service when it is looked at again.
func TestPickShare(t *testing.T) {
	shares := []topology.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}
	counts := map[string]int{}
	for i := range 5000 {
		id := time.Duration(i).String()
		s := pickService(shares, id)
		assert.Equal(t, pickService(shares, id), s)
		counts[s]++
	}
	assert.Assert(t, counts["b"] > 350 && counts["b"] < 650, "%v", counts)
	assert.Equal(t, counts["none"], 0)
}

// Guards against events that are passed on twice after a stream went on at
// another target.
func TestNewer(t *testing.T) {
	assert.Assert(t, isNewer("1", ""))
	assert.Assert(t, isNewer("10", "9"))
	assert.Assert(t, !isNewer("9", "10"))
	assert.Assert(t, !isNewer("9", "9"))
}

// Load: a zone loses power under load (trouble-1 of haysled-wa: requests were tried
// at six dead targets of one zone within 14 ms and then refused, with thirteen
// sound ones elsewhere). Guards against the next dead target of such a zone.
func TestTargetsOfALostZoneAreDoubted(t *testing.T) {
	h := NewHealth()
	var targets []*topology.Target
	for _, id := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "b1", "b2", "b3"} {
		targets = append(targets, &topology.Target{ID: id, Zone: id[:1]})
	}
	h.RecordOutcome("a1", notSent)
	assert.Equal(t, len(h.suspectZones(targets, time.Now())), 0, "one target of a zone may die alone")
	h.RecordOutcome("a2", notSent)
	h.RecordOutcome("b1", notSent)
	assert.DeepEqual(t, h.suspectZones(targets, time.Now()), map[string]bool{"a": true})
	assert.Equal(t, len(h.suspectZones(targets, time.Now().Add(unreachableMin))), 0)
}

// Load: a zone lost in a burst that fills all other engines (inc-0c14 of haysled-wa:
// nearly each request was tried at all six dead engines, which looked empty, and
// then refused). Guards against dead targets that win because the others are full.
func TestDeadTargetsAreLeftOut(t *testing.T) {
	h := &Handler{Health: NewHealth()}
	dead, full := &topology.Target{ID: "dead"}, &topology.Target{ID: "full"}
	h.Health.RecordOutcome("dead", notSent)
	assert.DeepEqual(t, h.excludeUnreachable([]*topology.Target{dead, full}), []*topology.Target{full})
	assert.DeepEqual(t, h.excludeUnreachable([]*topology.Target{dead}), []*topology.Target{dead})
}
