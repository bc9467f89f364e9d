// Package quarantine finds parts of prompts that crash targets. Each VM records under which
// requests targets crashed and which parts were served without a crash, and tells the others.
// A part that explains several crashes is quarantined: requests with it are refused before they
// are sent. Everything is kept in memory, is bounded, and may be lost.
package quarantine

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// Times and limits of what is remembered.
const (
	// SurvivalTime is how long a target must have been writing a response until its parts
	// count as served. A crash takes far less.
	SurvivalTime = time.Second
	// newPartTerm and knownPartTerm are how long a part stays quarantined after its last crash.
	// The term of a part that was served earlier is shorter, because it may be condemned wrongly
	// and many requests may have it.
	newPartTerm   = 3 * time.Minute
	knownPartTerm = 30 * time.Second
	// probationTime is how long after the end of a quarantine one crash renews it.
	probationTime = 10 * time.Minute
	// crashMemory is how long a crash counts as evidence.
	crashMemory = 10 * time.Minute
	// servedMemory is how long it is remembered that a part was served.
	servedMemory = 15 * time.Minute
	// clockMargin is added to the time of a crash at another VM, whose report may have taken a while.
	clockMargin = 100 * time.Millisecond
	// minExperience is the number of served requests after which a VM knows the usual parts.
	minExperience = 10

	maxCrashes          = 512
	maxCrashesPerTarget = 64
	maxPartsPerCrash    = 16
	maxServed           = 8192
	maxQuarantines      = 64
)

// Verdict is the quarantine of a part, or of several that always came together at crashes:
// requests with all of them are refused.
type Verdict struct {
	Parts []string
	// Crashes is the number of crashes that are explained by the parts.
	Crashes    int
	Since      time.Time
	FirstCrash time.Time
	LastCrash  time.Time
	// Until is when the quarantine lapses unless another target crashes under the part.
	Until time.Time

	servedBefore bool
	state        state
}

// state is the state of a quarantine. Those that have ended are remembered for a while.
type state uint8

const (
	active  state = iota
	lapsed        // no target crashed under the part for long enough
	cleared       // a request with the part was served
)

// key identifies the quarantine by its parts.
func (v *Verdict) key() string { return strings.Join(v.Parts, "+") }

// forbids reports whether the quarantine is in force and concerns a request with these parts.
func (v *Verdict) forbids(parts []string) bool {
	return v.state == active && combination{parts: v.Parts}.in(parts)
}

func (v *Verdict) term() time.Duration {
	if v.servedBefore {
		return knownPartTerm
	}
	return newPartTerm
}

// Detector decides which parts are quarantined. It may be used concurrently.
type Detector struct {
	log *slog.Logger
	// OnEvidence is called when there is evidence that the other VMs should hear of soon.
	// OnQuarantine is called after parts were quarantined. Both may be nil.
	OnEvidence   func()
	OnQuarantine func()

	mu      sync.Mutex
	crashes []Crash // of all VMs, in order of arrival
	// known holds the ids of the crashes, and whether this VM recorded them.
	known map[uint64]bool
	// undecided is true if there is evidence on which no decision was made after SettleTime.
	undecided bool
	// suspects holds the shared and own parts of the crashes, with the time of the latest one.
	suspects map[string]time.Time
	// servedHere and servedElsewhere hold when the latest answer with a shared or own part began.
	// The latter has entries of suspects only.
	servedHere      map[string]time.Time
	servedElsewhere map[string]time.Time
	servedCount     int
	// recent are the times at which the last minServed answers began that this VM served.
	recent   []time.Time
	verdicts map[string]*Verdict // by key
}

// New returns a Detector without evidence.
func New(log *slog.Logger) *Detector {
	return &Detector{log: log, known: map[uint64]bool{}, suspects: map[string]time.Time{}, servedHere: map[string]time.Time{}, servedElsewhere: map[string]time.Time{}, verdicts: map[string]*Verdict{}}
}

// Check returns the quarantine that forbids to send a request with these parts, if any.
func (d *Detector) Check(parts []string, now time.Time) (Verdict, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.verdicts {
		if v.forbids(parts) && now.Before(v.Until) {
			return *v, true
		}
	}
	return Verdict{}, false
}

// Active returns the number of quarantines in force.
func (d *Detector) Active() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, v := range d.verdicts {
		if v.state == active {
			n++
		}
	}
	return n
}

// RecordCrash records that a target crashed while this VM had a request there that was not
// answered yet. Decide must be called SettleTime later.
func (d *Detector) RecordCrash(target, request, ownPart string, parts []string, now time.Time) {
	d.mu.Lock()
	c := Crash{ID: rand.Uint64(), Target: target, Request: request, OwnPart: ownPart, Parts: d.mostSuspicious(parts), At: now}
	added := d.addCrash(c, true)
	d.mu.Unlock()
	d.announce(false, added)
}

// Decide quarantines the parts that the evidence condemns, if there is new evidence. It is
// called SettleTime after a crash.
func (d *Detector) Decide(now time.Time) {
	d.mu.Lock()
	condemned := false
	if d.undecided {
		condemned = d.decide(now)
	}
	d.mu.Unlock()
	d.announce(condemned, false)
}

// mostSuspicious returns the parts to record of a crash: all, or if there are too many, those
// that were never served or not for the longest time.
func (d *Detector) mostSuspicious(parts []string) []string {
	if len(parts) <= maxPartsPerCrash {
		return parts
	}
	sorted := slices.Clone(parts)
	slices.SortStableFunc(sorted, func(a, b string) int { return d.lastServed(a).Compare(d.lastServed(b)) })
	return sorted[:maxPartsPerCrash]
}

// addCrash adds a record unless it is known or there are enough of its target. d.mu must be held.
func (d *Detector) addCrash(c Crash, own bool) bool {
	if _, known := d.known[c.ID]; known {
		return false
	}
	ofTarget := 0
	for _, other := range d.crashes {
		if other.Target == c.Target {
			ofTarget++
		}
	}
	if ofTarget >= maxCrashesPerTarget {
		return false
	}
	if len(d.crashes) >= maxCrashes {
		delete(d.known, d.crashes[0].ID)
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	d.crashes = append(d.crashes, c)
	d.known[c.ID] = own
	d.undecided = true
	d.suspect(c)
	for _, v := range d.verdicts {
		if v.forbids(c.Parts) && c.At.After(v.LastCrash) {
			v.LastCrash, v.Until = c.At, c.At.Add(v.term())
			if ofTarget == 0 {
				v.Crashes++
			}
		}
	}
	return true
}

// suspect adds the parts of a crash to the suspects. d.mu must be held.
func (d *Detector) suspect(c Crash) {
	for _, part := range append(slices.Clone(c.Parts), c.OwnPart) {
		d.suspects[part] = latest(d.suspects[part], c.At)
	}
}

// RecordServed records that requests with these parts are served: a target began its answer
// at the given time and completed it, or went on writing for SurvivalTime.
func (d *Detector) RecordServed(ownPart string, parts []string, began time.Time) {
	d.mu.Lock()
	d.servedCount++
	d.recent = append(d.recent[max(len(d.recent)-minServed+1, 0):], began)
	cleared := false
	for _, part := range parts {
		cleared = d.clear(part, began) || cleared
		d.servedHere[part] = latest(d.servedHere[part], began)
	}
	if _, suspected := d.suspects[ownPart]; suspected {
		d.servedHere[ownPart] = latest(d.servedHere[ownPart], began)
	}
	d.pruneServed(began)
	d.mu.Unlock()
	if cleared && d.OnEvidence != nil {
		d.OnEvidence()
	}
}

// clear ends the quarantine of a part that was served after its last crash. It reports whether
// this is news for the other VMs: the part was a suspect until now. d.mu must be held.
func (d *Detector) clear(part string, served time.Time) bool {
	crash, suspected := d.suspects[part]
	news := suspected && served.After(crash) && !d.lastServed(part).After(crash)
	for _, v := range slices.Collect(maps.Values(d.verdicts)) {
		if v.state != cleared && slices.Contains(v.Parts, part) && served.Sub(v.FirstCrash) > clockMargin {
			d.acquit(v, part, served)
			news = true
		}
	}
	return news
}

// acquit removes a part from a quarantine: a request with it was served after the first of the
// crashes. d.mu must be held.
func (d *Detector) acquit(v *Verdict, part string, served time.Time) {
	if len(v.Parts) == 1 {
		d.logEnd(v, "a request with it was served", served)
		v.state = cleared
		return
	}
	rest := *v
	rest.Parts = slices.DeleteFunc(slices.Clone(v.Parts), func(other string) bool { return other == part })
	d.log.Info("quarantine of prompt parts narrowed", "parts", v.Parts, "served", part)
	v.state = cleared
	if d.verdicts[rest.key()] == nil {
		d.verdicts[rest.key()] = &rest
	}
}

func (d *Detector) logEnd(v *Verdict, reason string, now time.Time) {
	d.log.Warn("quarantine of a prompt part ended", "parts", v.Parts, "reason", reason, "crashes", v.Crashes,
		"last_crash_age", now.Sub(v.LastCrash).Round(time.Millisecond))
}

// lastServed returns when the latest answer with a part began at any VM. d.mu must be held.
func (d *Detector) lastServed(part string) time.Time {
	return latest(d.servedHere[part], d.servedElsewhere[part])
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// pruneServed bounds the memory of served parts. d.mu must be held.
func (d *Detector) pruneServed(now time.Time) {
	if len(d.servedHere) <= maxServed {
		return
	}
	times := make([]time.Time, 0, len(d.servedHere))
	for _, at := range d.servedHere {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	limit := latest(times[len(times)/4], now.Add(-servedMemory))
	for part, at := range d.servedHere {
		if at.Before(limit) || at.Equal(limit) {
			delete(d.servedHere, part)
		}
	}
}

// Tick ends quarantines that have lapsed, forgets old evidence, and repeats the decision, which
// also depends on time. It is called several times a second.
func (d *Detector) Tick(now time.Time) {
	d.mu.Lock()
	for key, v := range d.verdicts {
		if v.state == active && !now.Before(v.Until) {
			d.logEnd(v, "no target crashed for long enough", now)
			v.state = lapsed
		}
		if now.Sub(v.Until) > probationTime {
			delete(d.verdicts, key)
		}
	}
	d.forgetCrashes(now)
	condemned := false
	if d.undecided || len(d.crashes) > 0 && now.Sub(d.crashes[len(d.crashes)-1].At) < decisionTime {
		condemned = d.decide(now)
	}
	d.mu.Unlock()
	d.announce(condemned, false)
}

// decisionTime is how long after a crash the passing of time may change the decision.
const decisionTime = 2 * servedDelay

// forgetCrashes drops old crashes, and what was served elsewhere when no suspects are left.
func (d *Detector) forgetCrashes(now time.Time) {
	before := len(d.crashes)
	d.crashes = slices.DeleteFunc(d.crashes, func(c Crash) bool {
		old := now.Sub(c.At) > crashMemory
		if old {
			delete(d.known, c.ID)
		}
		return old
	})
	if len(d.crashes) == before && len(d.suspects) <= maxCrashes*maxPartsPerCrash {
		return
	}
	clear(d.suspects)
	for _, c := range d.crashes {
		d.suspect(c)
	}
	if len(d.crashes) == 0 && len(d.verdicts) == 0 {
		clear(d.servedElsewhere)
	}
}

// decide quarantines the parts that the evidence condemns. It reports whether there are any.
// d.mu must be held.
func (d *Detector) decide(now time.Time) bool {
	d.undecided = slices.ContainsFunc(d.crashes, func(c Crash) bool { return now.Sub(c.At) < SettleTime })
	findings := decide(d.snapshot(now))
	for _, f := range findings {
		condemned := &Verdict{Parts: f.parts(), servedBefore: f.ServedBefore}
		v := d.verdicts[condemned.key()]
		if v == nil || v.state == cleared {
			v = condemned
			d.makeRoom()
			d.verdicts[v.key()] = v
		}
		v.FirstCrash = f.First
		v.state, v.Since, v.LastCrash, v.Until = active, now, f.Last, f.Last.Add(v.term())
		v.Crashes += f.Crashes
		d.log.Warn("prompt part quarantined", "parts", v.Parts, "crashes", f.Crashes, "separate", f.Separate, "prompts", f.Prompts, "requests", f.Requests,
			"first_crash_age", now.Sub(f.First).Round(time.Millisecond), "last_crash_age", now.Sub(f.Last).Round(time.Millisecond),
			"served_before", f.ServedBefore, "for", v.Until.Sub(now).Round(time.Second), "heard_from_peer", false)
	}
	return len(findings) > 0
}

func (d *Detector) snapshot(now time.Time) snapshot {
	s := snapshot{now: now, crashes: d.crashes, served: map[string]time.Time{}, experienced: d.servedCount >= minExperience, recent: d.recent}
	for _, c := range d.crashes {
		for _, part := range append(slices.Clone(c.Parts), c.OwnPart) {
			if at := d.lastServed(part); !at.IsZero() {
				s.served[part] = at
			}
		}
	}
	for _, v := range d.verdicts {
		switch v.state {
		case active:
			s.condemned = append(s.condemned, combination{parts: v.Parts})
		case lapsed:
			s.condemned = append(s.condemned, combination{parts: v.Parts, until: v.Until})
		}
	}
	return s
}

// makeRoom drops the quarantine that ends first if there are too many. d.mu must be held.
func (d *Detector) makeRoom() {
	if len(d.verdicts) < maxQuarantines {
		return
	}
	first := ""
	for key, v := range d.verdicts {
		if first == "" || v.Until.Before(d.verdicts[first].Until) {
			first = key
		}
	}
	delete(d.verdicts, first)
}

// announce calls the callbacks, without the lock.
func (d *Detector) announce(condemned, news bool) {
	if (news || condemned) && d.OnEvidence != nil {
		d.OnEvidence()
	}
	if condemned && d.OnQuarantine != nil {
		d.OnQuarantine()
	}
}
