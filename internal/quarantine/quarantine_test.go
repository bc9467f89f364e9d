package quarantine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// newExperienced returns a detector that has served enough requests to know the usual parts.
func newExperienced() *Detector {
	d := New(slog.New(slog.DiscardHandler))
	for n := range minExperience {
		d.RecordServed(request("", fmt.Sprint(n), []string{"f"}), at(-1000))
	}
	return d
}

// request returns a request whose identity is its own part.
func request(id, ownPart string, parts []string) Request {
	return Request{ID: id, Identity: func() string { return ownPart }, OwnPart: ownPart, Parts: parts}
}

func quarantined(d *Detector, part string, ms int) bool {
	_, found := d.Check(request("", "any", []string{"f", part}), at(ms))
	return found
}

// condemn makes a part crash two targets.
func condemn(d *Detector, part string) {
	d.RecordCrash("t1", request("r1", "o1", []string{"f", part}), false, at(0))
	d.RecordCrash("t2", request("r2", "o2", []string{"f", part}), false, at(500))
	d.Decide(at(550))
}

// exchange passes the report of one detector to the other, as a heartbeat does.
func exchange(t *testing.T, from, to *Detector, ms int) {
	data, err := msgpack.Marshal(from.Report(at(ms)))
	assert.NilError(t, err)
	var r *Report
	assert.NilError(t, msgpack.Unmarshal(data, &r))
	if r != nil {
		to.Merge(r, at(ms))
	}
}

// Guards against a quarantine that never ends, and against one that needs all of its evidence
// again after it has ended.
func TestQuarantineLapsesAndIsRenewed(t *testing.T) {
	d := newExperienced()
	announced := 0
	d.OnQuarantine = func() { announced++ }
	condemn(d, "x")
	assert.Equal(t, announced, 1)
	assert.Assert(t, quarantined(d, "x", 600) && !quarantined(d, "y", 600))
	end := 500 + int(newPartTerm.Milliseconds())
	d.Tick(at(end - 1))
	assert.Assert(t, quarantined(d, "x", end-1))
	d.Tick(at(end))
	assert.Assert(t, !quarantined(d, "x", end))
	assert.Equal(t, d.Active(), 0)
	d.RecordCrash("t3", request("r3", "o3", []string{"f", "x"}), false, at(end+1000))
	d.Decide(at(end + 1030))
	assert.Assert(t, quarantined(d, "x", end+1031))
}

// Guards against a quarantine that ends although requests that were sent before it still crash
// targets.
func TestLaterCrashExtendsQuarantine(t *testing.T) {
	d := newExperienced()
	condemn(d, "x")
	d.RecordCrash("t3", request("r3", "o3", []string{"f", "x"}), false, at(10_000))
	d.Tick(at(500 + int(newPartTerm.Milliseconds())))
	assert.Assert(t, quarantined(d, "x", 9_000+int(newPartTerm.Milliseconds())))
}

// Guards against a part that stays refused although a request with it was served meanwhile.
func TestServedRequestEndsQuarantine(t *testing.T) {
	d := newExperienced()
	condemn(d, "x")
	d.RecordServed(request("", "o9", []string{"x"}), at(-1))
	assert.Assert(t, quarantined(d, "x", 1500))
	d.RecordServed(request("", "o9", []string{"x"}), at(400)) // began after the first crash
	assert.Assert(t, !quarantined(d, "x", 1501))
	d.Tick(at(1600))
	assert.Assert(t, !quarantined(d, "x", 1600))
}

// Guards against a sound part that is refused because it was in all requests that crashed targets
// so far, and against a culprit that goes on because another part is blamed for its crashes.
func TestPartsThatCameTogether(t *testing.T) {
	pair := func() *Detector {
		d := newExperienced()
		d.RecordCrash("t1", request("r1", "o1", []string{"f", "a", "x"}), false, at(0))
		d.RecordCrash("t2", request("r2", "o2", []string{"f", "a", "x"}), false, at(500))
		d.Decide(at(550))
		return d
	}
	forbidden := func(d *Detector, ms int, parts ...string) bool {
		_, found := d.Check(request("", "any", parts), at(ms))
		return found
	}
	d := pair()
	assert.Assert(t, forbidden(d, 600, "f", "a", "x") && !forbidden(d, 600, "f", "a") && !forbidden(d, 600, "f", "x"))
	d.RecordServed(request("", "o8", []string{"f", "a"}), at(400))
	assert.Assert(t, forbidden(d, 1500, "f", "x") && !forbidden(d, 1500, "f", "a"))
	other := newExperienced()
	exchange(t, d, other, 1510)
	assert.Assert(t, forbidden(other, 1520, "f", "x") && !forbidden(other, 1520, "f", "a"))

	d = pair()
	d.RecordCrash("t3", request("r3", "o3", []string{"f", "x"}), false, at(2000))
	d.Decide(at(2030))
	assert.Assert(t, forbidden(d, 2040, "f", "x") && !forbidden(d, 2040, "f", "a"))
}

// Guards against VMs that each need the whole evidence: each of them sees one crash.
func TestEvidenceOfSeveralVMs(t *testing.T) {
	a, b := newExperienced(), newExperienced()
	a.RecordCrash("t1", request("r1", "o1", []string{"f", "x"}), false, at(0))
	exchange(t, a, b, 10)
	b.RecordCrash("t2", request("r2", "o2", []string{"f", "x"}), false, at(500))
	b.Decide(at(530))
	assert.Assert(t, quarantined(b, "x", 531))
	exchange(t, b, a, 540)
	assert.Assert(t, quarantined(a, "x", 541))
	exchange(t, b, a, 700) // reports are repeated
	exchange(t, a, b, 700)
	assert.Equal(t, len(a.crashes), 2)
	assert.Equal(t, len(b.crashes), 2)
}

// Guards against a quarantine of a part that another VM serves.
func TestServedAtAnotherVM(t *testing.T) {
	a, b := newExperienced(), newExperienced()
	asked := false
	b.OnEvidence = func() { asked = true }
	b.RecordServed(request("", "o7", []string{"x"}), at(-5000))
	a.RecordCrash("t1", request("r1", "o1", []string{"f", "x"}), false, at(0))
	exchange(t, a, b, 10)
	assert.Assert(t, asked, "b does not tell at once that it has served the part")
	exchange(t, b, a, 20)
	a.RecordCrash("t2", request("r2", "o2", []string{"f", "x"}), false, at(500))
	a.Decide(at(530))
	assert.Assert(t, !quarantined(a, "x", 531))

	// b serves the part after a has quarantined it.
	a, b = newExperienced(), newExperienced()
	condemn(a, "x")
	exchange(t, a, b, 510)
	assert.Assert(t, quarantined(b, "x", 511))
	b.RecordServed(request("", "o8", []string{"x"}), at(800))
	exchange(t, b, a, 900)
	exchange(t, a, b, 910)
	assert.Assert(t, !quarantined(a, "x", 911) && !quarantined(b, "x", 911))
}

// Guards against a sound part that is quarantined because the VM that had the culprit at the same
// target tells of it a moment later.
func TestCulpritAtAnotherVM(t *testing.T) {
	a, b := newExperienced(), newExperienced()
	a.RecordCrash("t1", request("s1", "q1", []string{"f", "y"}), false, at(0))
	b.RecordCrash("t1", request("r1", "o1", []string{"f", "x"}), false, at(1))
	exchange(t, b, a, 5)
	exchange(t, a, b, 5)
	a.RecordCrash("t2", request("s2", "q2", []string{"f", "y"}), false, at(500))
	a.Decide(at(500))
	assert.Assert(t, !quarantined(a, "y", 501))
	b.RecordCrash("t2", request("r2", "o2", []string{"f", "x"}), false, at(501))
	exchange(t, b, a, 515)
	a.Decide(at(530))
	assert.Assert(t, !quarantined(a, "y", 531))
}

// Guards against a VM that starts late and sends what the others refuse.
func TestLateVMLearnsQuarantine(t *testing.T) {
	a := newExperienced()
	condemn(a, "x")
	late := New(slog.New(slog.DiscardHandler))
	exchange(t, a, late, 60_000)
	assert.Assert(t, quarantined(late, "x", 60_001))
	next := New(slog.New(slog.DiscardHandler))
	exchange(t, late, next, 60_010)
	assert.Assert(t, quarantined(next, "x", 60_011))
	end := 500 + int(newPartTerm.Milliseconds())
	next.Tick(at(end + 100))
	a.Tick(at(end - 100))
	exchange(t, a, next, end+200) // a's clock is behind: the quarantine has ended all the same
	assert.Assert(t, !quarantined(next, "x", end+200))
}

// Guards against memory and heartbeats that grow with the number of crashes, requests or parts,
// also in reports of another VM.
func TestMemoryIsBounded(t *testing.T) {
	d := newExperienced()
	var many []string
	for n := range 1000 {
		many = append(many, fmt.Sprintf("%064d", n))
	}
	for n := range 3000 {
		d.RecordCrash(fmt.Sprint("t", n/100), request(fmt.Sprint("r", n), fmt.Sprint("o", n), many), false, at(n))
	}
	for n := range 3 * maxServed {
		d.RecordServed(request("", fmt.Sprint("o", n), []string{fmt.Sprint("p", n)}), at(n))
	}
	d.Tick(at(3000))
	assert.Assert(t, len(d.crashes) <= maxCrashes && len(d.known) <= maxCrashes)
	assert.Assert(t, len(d.servedHere) <= maxServed+1)
	assert.Assert(t, len(d.suspects) <= maxCrashes*(maxPartsPerCrash+1))
	data, err := msgpack.Marshal(d.Report(at(3000)))
	assert.NilError(t, err)
	assert.Assert(t, len(data) < 20<<10, "%d bytes", len(data))

	r := &Report{}
	for n := range 10_000 {
		r.Crashes = append(r.Crashes, CrashReport{ID: uint64(n), Target: fmt.Sprint(n), Parts: many, AgeMs: -5})
		r.Served = append(r.Served, ServedReport{Subject: fmt.Sprint("q", n), AgeMs: -5})
		r.Verdicts = append(r.Verdicts, VerdictReport{Parts: []string{fmt.Sprint("v", n)}, LastCrashAgeMs: int64(n)})
	}
	for range 20 {
		d.Merge(r, at(3100))
	}
	assert.Assert(t, len(d.crashes) <= maxCrashes && len(d.verdicts) <= maxQuarantines && len(d.servedElsewhere) <= maxServed)
	d.Tick(at(3100 + int((newPartTerm + probationTime + time.Minute).Milliseconds())))
	assert.Equal(t, len(d.crashes)+len(d.known)+len(d.suspects)+len(d.verdicts)+len(d.servedElsewhere), 0)
}
