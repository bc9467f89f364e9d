package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Limits of what a report holds, so that a heartbeat stays small.
const (
	// reportedFor is how long a crash is repeated in reports: a VM that has missed some, or has
	// just started, still learns it.
	reportedFor        = 10 * time.Second
	maxReportedCrashes = 24
	maxReportedServed  = 64
	// maxReportedBytes bounds the names in the reported crashes.
	maxReportedBytes = 8 << 10
	// maxReportedName bounds each name that is taken from a report, in bytes. Ids of parts and
	// identities of requests are shorter.
	maxReportedName = 256
	// maxReportedAge is longer than anything is remembered, and far below the range of a
	// time.Duration.
	maxReportedAge = 24 * time.Hour
)

// Report is what a VM tells the others. Times are ages in milliseconds, because clocks of VMs
// differ. It holds only what the VM has seen itself, except for verdicts: ages that are passed
// on several times would drift.
type Report struct {
	Crashes  []CrashReport   `msgpack:"c,omitempty"`
	Served   []ServedReport  `msgpack:"s,omitempty"`
	Verdicts []VerdictReport `msgpack:"q,omitempty"`
}

// CrashReport is the wire format of a Crash.
type CrashReport struct {
	ID       uint64   `msgpack:"i"`
	Target   string   `msgpack:"t"`
	Request  string   `msgpack:"r"`
	Identity string   `msgpack:"n,omitempty"`
	OwnPart  string   `msgpack:"o"`
	Parts    []string `msgpack:"p"`
	Begun    bool     `msgpack:"b,omitempty"`
	AgeMs    int64    `msgpack:"a"`
}

// ServedReport tells when the latest answer began that was served to a suspected request, or
// with a suspected part.
type ServedReport struct {
	Subject string `msgpack:"p"`
	AgeMs   int64  `msgpack:"a"`
}

// VerdictReport is the wire format of a Verdict.
type VerdictReport struct {
	Request         string   `msgpack:"r,omitempty"`
	Parts           []string `msgpack:"p"`
	Crashes         int      `msgpack:"n"`
	FirstCrashAgeMs int64    `msgpack:"f"`
	LastCrashAgeMs  int64    `msgpack:"a"`
	ServedBefore    bool     `msgpack:"s,omitempty"`
}

// Report returns what the other VMs must know; nil if there is nothing.
func (d *Detector) Report(now time.Time) *Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.crashes) == 0 && len(d.verdicts) == 0 {
		return nil
	}
	r := &Report{}
	size := 0
	for _, c := range slices.Backward(d.crashes) {
		if d.known[c.ID] && now.Sub(c.At) < reportedFor {
			size += c.size()
			if len(r.Crashes) == maxReportedCrashes || size > maxReportedBytes {
				break
			}
			r.Crashes = append(r.Crashes, CrashReport{ID: c.ID, Target: c.Target, Request: c.Request, Identity: c.Identity, OwnPart: c.OwnPart, Parts: c.Parts, Begun: c.Begun, AgeMs: now.Sub(c.At).Milliseconds()})
		}
	}
	r.Served = d.servedSuspects(now)
	for _, v := range d.verdicts {
		if v.state == active {
			r.Verdicts = append(r.Verdicts, VerdictReport{Request: v.Request, Parts: v.Parts, Crashes: v.Crashes, FirstCrashAgeMs: now.Sub(v.FirstCrash).Milliseconds(), LastCrashAgeMs: now.Sub(v.LastCrash).Milliseconds(), ServedBefore: v.servedBefore})
		}
	}
	if len(r.Crashes)+len(r.Served)+len(r.Verdicts) == 0 {
		return nil
	}
	return r
}

// size returns the number of bytes of the names in a crash.
func (c *Crash) size() int {
	size := len(c.Target) + len(c.Request) + len(c.Identity) + len(c.OwnPart)
	for _, part := range c.Parts {
		size += len(part)
	}
	return size
}

// servedSuspects returns what this VM has served of the subjects that recent crashes and
// quarantines concern. d.mu must be held.
func (d *Detector) servedSuspects(now time.Time) []ServedReport {
	var reports []ServedReport
	told := map[string]bool{}
	tell := func(subject string) {
		at, ok := d.servedHere[subject]
		if ok && !told[subject] && len(reports) < maxReportedServed {
			told[subject] = true
			reports = append(reports, ServedReport{Subject: subject, AgeMs: now.Sub(at).Milliseconds()})
		}
	}
	for _, v := range d.verdicts {
		for _, subject := range v.cause().subjects() {
			tell(subject)
		}
	}
	for _, c := range slices.Backward(d.crashes) {
		if now.Sub(c.At) > reportedFor {
			continue
		}
		for _, subject := range c.subjects() {
			tell(subject)
		}
	}
	return reports
}

// Merge adds what another VM reported.
func (d *Detector) Merge(r *Report, now time.Time) {
	d.mu.Lock()
	news := false
	for _, s := range r.Served {
		d.mergeServed(clip(s.Subject), now.Add(-age(s.AgeMs)))
	}
	for _, reported := range r.Crashes[:min(len(r.Crashes), maxReportedCrashes)] {
		c := Crash{
			ID: reported.ID, Target: clip(reported.Target), Request: clip(reported.Request), Identity: clip(reported.Identity), OwnPart: clip(reported.OwnPart),
			Parts: clipParts(reported.Parts), Begun: reported.Begun, At: now.Add(-age(reported.AgeMs)),
		}
		if d.addCrash(c, false) {
			news = news || d.servedAnyOf(c)
		}
	}
	condemned := d.mergeVerdicts(r.Verdicts, now)
	d.mu.Unlock()
	d.announce(condemned, news)
}

// age converts an age of a report, which must not lie in the future.
func age(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxReportedAge.Milliseconds())) * time.Millisecond
}

// clip returns a name of a report, cut if it is too long.
func clip(name string) string { return strings.Clone(name[:min(len(name), maxReportedName)]) }

// clipParts returns the parts of a report, without those that are too many.
func clipParts(parts []string) []string {
	clipped := make([]string, 0, maxPartsPerCrash)
	for _, part := range parts[:min(len(parts), maxPartsPerCrash)] {
		clipped = append(clipped, clip(part))
	}
	return clipped
}

// servedAnyOf reports whether this VM has served a subject of a crash, which is
// news for the other VMs. d.mu must be held.
func (d *Detector) servedAnyOf(c Crash) bool {
	return slices.ContainsFunc(c.subjects(), func(subject string) bool {
		_, ok := d.servedHere[subject]
		return ok
	})
}

// mergeServed records that a subject was served at another VM. d.mu must be held.
func (d *Detector) mergeServed(subject string, began time.Time) {
	if _, known := d.servedElsewhere[subject]; !known && len(d.servedElsewhere) >= maxServed {
		return
	}
	d.clear(subject, began)
	d.servedElsewhere[subject] = latest(d.servedElsewhere[subject], began)
}

// mergeVerdicts adopts the quarantines that another VM reports, except of what was served since. It reports whether there are new ones. d.mu must be held.
func (d *Detector) mergeVerdicts(reports []VerdictReport, now time.Time) bool {
	condemned := false
	for _, r := range reports[:min(len(reports), maxQuarantines)] {
		v := &Verdict{Request: clip(r.Request), Parts: clipParts(r.Parts), Crashes: r.Crashes, Since: now, FirstCrash: now.Add(-age(r.FirstCrashAgeMs)), LastCrash: now.Add(-age(r.LastCrashAgeMs)), servedBefore: r.ServedBefore}
		v.Until = v.LastCrash.Add(v.term())
		served := slices.ContainsFunc(v.cause().subjects(), func(subject string) bool { return d.lastServed(subject).Sub(v.FirstCrash) > clockMargin })
		if (v.Request == "") == (len(v.Parts) == 0) || !now.Before(v.Until) || served || !newerThan(v, d.verdicts[v.key()]) {
			continue
		}
		d.makeRoom()
		d.verdicts[v.key()] = v
		condemned = true
		d.logQuarantine(v, now, "crashes", r.Crashes, "heard_from_peer", true)
	}
	return condemned
}

// newerThan reports whether a reported quarantine is not known yet, or rests on a crash after
// the end of the known one.
func newerThan(v, known *Verdict) bool {
	return known == nil || known.state != active && v.LastCrash.Sub(known.LastCrash) > sameCrashWindow
}
