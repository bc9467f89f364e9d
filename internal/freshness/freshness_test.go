package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a VM that takes old evidence for fresh: a message that was delayed, or
// read after the VM was suspended, must count from when the store gave the evidence.
func TestDelayedEvidenceIsOld(t *testing.T) {
	now := 100 * time.Second
	tracker := New()
	tracker.uptime = func() time.Duration { return now }
	assert.Equal(t, tracker.Age(), Unknown)
	tracker.Confirm(3 * time.Second) // from another VM, before the store's clock is known
	assert.Equal(t, tracker.Age(), Unknown)
	tracker.ObserveClock(now-time.Second, 5*time.Second) // the call took a second
	assert.Equal(t, tracker.Age(), 3*time.Second)
	now += 10 * time.Second // suspended
	tracker.Confirm(6 * time.Second)
	assert.Equal(t, tracker.Age(), 10*time.Second)
	tracker.Confirm(4 * time.Second) // overtaken by newer evidence
	assert.Equal(t, tracker.Age(), 10*time.Second)
}

// Guards against a replica that counts as current for ever after one wrong message: a
// response without the store's time, or evidence from the future.
func TestImpossibleEvidenceIsIgnored(t *testing.T) {
	now := 100 * time.Second
	tracker := New()
	tracker.uptime = func() time.Duration { return now }
	tracker.Confirm(time.Hour) // before the store's clock is known
	tracker.ObserveClock(now, 5*time.Second)
	assert.Equal(t, tracker.Age(), Unknown)
	tracker.Confirm(5 * time.Second)
	assert.Equal(t, tracker.Age(), time.Duration(0))
	tracker.ObserveClock(now, 0)
	tracker.Confirm(0)
	tracker.Confirm(time.Hour)
	now += 10 * time.Second
	assert.Equal(t, tracker.Age(), 10*time.Second)
}

// Guards against an age that is too small, for any order and delay of responses: a
// revoked API key would be accepted for too long.
func TestAgeIsAnUpperBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const bootedAt = 40 * time.Second // the store's time at the VM's start
		now, latest := time.Duration(0), time.Duration(-1)
		tracker := New()
		tracker.uptime = func() time.Duration { return now }
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			sent := now
			request := time.Duration(rapid.IntRange(0, 3000).Draw(t, "request ms")) * time.Millisecond
			response := time.Duration(rapid.IntRange(0, 3000).Draw(t, "response ms")) * time.Millisecond
			evidence := bootedAt + sent + request
			now = sent + request + response
			if rapid.Bool().Draw(t, "own call") {
				tracker.ObserveClock(sent, evidence)
			}
			tracker.Confirm(evidence)
			latest = max(latest, evidence)
			if age := tracker.Age(); age < bootedAt+now-latest {
				t.Fatalf("age %s, but the latest evidence is %s old", age, bootedAt+now-latest)
			}
		}
	})
}

// Guards against evidence of an earlier epoch of the store that counts as new, or is lost:
// the clock of the restored store may show another time.
func TestEvidenceAgesAcrossEpochs(t *testing.T) {
	for _, clock := range []time.Duration{time.Second, 5 * time.Second, time.Hour} {
		now := 100 * time.Second
		tracker := New()
		tracker.uptime = func() time.Duration { return now }
		tracker.ObserveClock(now, 5*time.Second)
		tracker.Confirm(5 * time.Second)
		now += 3 * time.Second
		tracker.BeginEpoch()
		tracker.ObserveClock(now, clock)
		assert.Equal(t, tracker.Age(), 3*time.Second)
		_, confirmed := tracker.Confirmed()
		assert.Assert(t, !confirmed, "evidence of the epoch before is passed on")
		tracker.Confirm(clock)
		assert.Equal(t, tracker.Age(), time.Duration(0))
	}
}
