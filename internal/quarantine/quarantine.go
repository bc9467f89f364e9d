// Package quarantine finds requests and parts of prompts that crash targets. Each VM records
// under which requests targets crashed and what was served without a crash, and tells the others.
// What explains several crashes is quarantined, the narrowest explanation first: the request, or
// all requests with the part, are refused before they are sent. Everything is kept in memory, is
// bounded, and may be lost.
package quarantine

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/wait"
)

// Times and limits of what is remembered.
const (
	// SurvivalTime is how long a target must have been writing a response until its parts
	// count as served. A crash takes far less.
	SurvivalTime = time.Second
	// newPartTerm and knownPartTerm are how long a part stays quarantined after its last crash, a
	// request as long as a new part. The term of a part that was served earlier is shorter,
	// because it may be condemned wrongly and many requests may have it.
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

// Detector decides which requests and parts are quarantined. It may be used concurrently.
type Detector struct {
	log *slog.Logger
	// OnEvidence is called when there is evidence that the other VMs should hear of soon.
	// OnQuarantine is called after something was quarantined. Both may be nil.
	OnEvidence   func()
	OnQuarantine func()

	mu      sync.Mutex
	crashes []Crash // of all VMs, in order of arrival
	// known holds the ids of the crashes, and whether this VM recorded them.
	known map[uint64]bool
	// undecided is true if there is evidence on which no decision was made after SettleTime.
	undecided bool
	// suspects holds the subjects of the crashes (shared and own parts, and the keys of
	// requests), with the time of the latest one.
	suspects map[string]time.Time
	// servedHere and servedElsewhere hold when the latest answer to a subject began. Only the
	// former has entries that are no suspects, of shared parts.
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

// Check returns the quarantine that forbids to send a request, if any.
func (d *Detector) Check(r Request, now time.Time) (Verdict, bool) {
	identity := ""
	if d.anyRequestQuarantined() {
		identity = r.Identity()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.verdicts {
		if v.forbids(identity, r.Parts) && now.Before(v.Until) {
			return *v, true
		}
	}
	return Verdict{}, false
}

func (d *Detector) anyRequestQuarantined() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.verdicts {
		if v.Request != "" && v.state == active {
			return true
		}
	}
	return false
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
// answered yet, or whose response had only just begun. Decide must be called SettleTime later.
func (d *Detector) RecordCrash(target string, r Request, begun bool, now time.Time) {
	identity := r.Identity()
	d.mu.Lock()
	c := Crash{ID: rand.Uint64(), Target: target, Request: r.ID, Identity: identity, OwnPart: r.OwnPart, Parts: d.mostSuspicious(r.Parts), Begun: begun, At: now}
	added := d.addCrash(c, true)
	d.mu.Unlock()
	d.announce(false, added)
}

// Decide quarantines what the evidence condemns, if there is new evidence. It is
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
		if v.forbids(c.Identity, c.Parts) && c.At.After(v.LastCrash) {
			v.LastCrash, v.Until = c.At, c.At.Add(v.term())
			if ofTarget == 0 {
				v.Crashes++
			}
		}
	}
	return true
}

// subjects returns the keys under which it is remembered when what the crash may be blamed on
// was served, with the own part.
func (c Crash) subjects() []string {
	return append(slices.Clone(c.Parts), c.OwnPart, requestKey(c.Identity))
}

// suspect adds the subjects of a crash to the suspects. d.mu must be held.
func (d *Detector) suspect(c Crash) {
	for _, subject := range c.subjects() {
		d.suspects[subject] = latest(d.suspects[subject], c.At)
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

// tickInterval is the interval at which Run calls Tick.
const tickInterval = 100 * time.Millisecond

// Run calls Tick until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for wait.For(ctx, tickInterval) {
		d.Tick(time.Now())
	}
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

// decide quarantines what the evidence condemns. It reports whether there is anything. d.mu must
// be held.
func (d *Detector) decide(now time.Time) bool {
	d.undecided = slices.ContainsFunc(d.crashes, func(c Crash) bool { return now.Sub(c.At) < SettleTime })
	findings := decide(d.snapshot(now))
	for _, f := range findings {
		condemned := &Verdict{Request: f.Request, Parts: f.cause().parts, servedBefore: f.ServedBefore}
		v := d.verdicts[condemned.key()]
		if v == nil || v.state == cleared {
			v = condemned
			d.makeRoom()
			d.verdicts[v.key()] = v
		}
		v.FirstCrash = f.First
		v.state, v.Since, v.LastCrash, v.Until = active, now, f.Last, f.Last.Add(v.term())
		v.Crashes += f.Crashes
		d.logQuarantine(v, now, "crashes", f.Crashes, "separate", f.Separate, "prompts", f.Prompts, "requests", f.Requests, "targets", f.targets(),
			"first_crash_age", now.Sub(f.First).Round(time.Millisecond), "heard_from_peer", false)
	}
	return len(findings) > 0
}

func (d *Detector) snapshot(now time.Time) snapshot {
	s := snapshot{now: now, crashes: d.crashes, served: map[string]time.Time{}, experienced: d.servedCount >= minExperience, recent: d.recent}
	for _, c := range d.crashes {
		for _, subject := range c.subjects() {
			if at := d.lastServed(subject); !at.IsZero() {
				s.served[subject] = at
			}
		}
	}
	for _, v := range d.verdicts {
		x := v.cause()
		switch v.state {
		case active:
			s.condemned = append(s.condemned, x)
		case lapsed:
			x.until = v.Until
			s.condemned = append(s.condemned, x)
		}
	}
	return s
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
