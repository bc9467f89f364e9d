// Package quarantine finds requests and parts of prompts that crash targets. Each VM records
// under which requests targets crashed and what was served without a crash, and tells the others.
// What explains several crashes is quarantined, the narrowest explanation first: the request, or
// all requests with the part, are refused before they are sent. Everything is kept in memory, is
// bounded, and may be lost.
package quarantine

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oriolefront/oriolefront/internal/wait"
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

// Verdict is the quarantine of a request, of a part, or of several parts that always came
// together at crashes: requests with all of them are refused.
type Verdict struct {
	// Request is the identity of the request; Parts is empty then.
	Request string
	Parts   []string
	// Crashes is the number of crashes that are explained by the request or the parts.
	Crashes    int
	Since      time.Time
	FirstCrash time.Time
	LastCrash  time.Time
	// Until is when the quarantine lapses unless another target crashes under the cause.
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

func (v *Verdict) cause() cause { return cause{request: v.Request, parts: v.Parts} }

// key identifies the quarantine by its cause.
func (v *Verdict) key() string { return strings.Join(v.cause().subjects(), "+") }

// forbids reports whether the quarantine is in force and concerns a request.
func (v *Verdict) forbids(identity string, parts []string) bool {
	return v.state == active && v.cause().in(identity, parts)
}

func (v *Verdict) term() time.Duration {
	if v.servedBefore {
		return knownPartTerm
	}
	return newPartTerm
}

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

// RecordServed records that a request is served: a target began its answer at the given time
// and completed it, or went on writing for SurvivalTime.
func (d *Detector) RecordServed(r Request, began time.Time) {
	identity := ""
	if d.anySuspects() {
		identity = r.Identity()
	}
	d.mu.Lock()
	news := d.recordServed(r, identity, began)
	d.mu.Unlock()
	if news && d.OnEvidence != nil {
		d.OnEvidence()
	}
}

func (d *Detector) anySuspects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.suspects) > 0
}

// recordServed implements RecordServed. It reports whether this is news for the other VMs.
// d.mu must be held.
func (d *Detector) recordServed(r Request, identity string, began time.Time) bool {
	if len(r.Parts) > 0 {
		d.servedCount++
		d.recent = append(d.recent[max(len(d.recent)-minServed+1, 0):], began)
	}
	news := false
	for _, part := range r.Parts {
		news = d.clear(part, began) || news
		d.servedHere[part] = latest(d.servedHere[part], began)
	}
	for _, subject := range []string{r.OwnPart, requestKey(identity)} {
		if _, suspected := d.suspects[subject]; suspected {
			news = d.clear(subject, began) || news
			d.servedHere[subject] = latest(d.servedHere[subject], began)
		}
	}
	d.pruneServed(began)
	return news
}

// clear ends the quarantine of a part or a request that was served after its first crash. It
// reports whether this is news for the other VMs: it was a suspect until now. d.mu must be held.
func (d *Detector) clear(subject string, served time.Time) bool {
	crash, suspected := d.suspects[subject]
	news := suspected && served.After(crash) && !d.lastServed(subject).After(crash)
	for _, v := range slices.Collect(maps.Values(d.verdicts)) {
		if v.state != cleared && slices.Contains(v.cause().subjects(), subject) && served.Sub(v.FirstCrash) > clockMargin {
			d.acquit(v, subject, served)
			news = true
		}
	}
	return news
}

// acquit ends a quarantine, or removes one of several parts from it: a request with the part was
// served after the first of the crashes. d.mu must be held.
func (d *Detector) acquit(v *Verdict, part string, served time.Time) {
	if len(v.Parts) <= 1 {
		d.logEnd(v, "it was served", served)
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
	message := "quarantine of a prompt part ended"
	if v.Request != "" {
		message = "quarantine of a request ended"
	}
	d.log.Warn(message, "identity", v.Request, "parts", v.Parts, "reason", reason, "crashes", v.Crashes,
		"last_crash_age", now.Sub(v.LastCrash).Round(time.Millisecond))
}

// lastServed returns when the latest answer with a part, or to a request, began at any VM. d.mu
// must be held.
func (d *Detector) lastServed(subject string) time.Time {
	return latest(d.servedHere[subject], d.servedElsewhere[subject])
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

// logQuarantine logs that a quarantine begins, with the evidence.
func (d *Detector) logQuarantine(v *Verdict, now time.Time, evidence ...any) {
	message, attributes := "prompt part quarantined", []any{"parts", v.Parts, "served_before", v.servedBefore}
	if v.Request != "" {
		message, attributes = "request quarantined", []any{"identity", v.Request, "request_ids", d.requestIDs(v.Request)}
	}
	attributes = append(attributes, "last_crash_age", now.Sub(v.LastCrash).Round(time.Millisecond), "for", v.Until.Sub(now).Round(time.Second))
	d.log.Warn(message, append(attributes, evidence...)...)
}

// requestIDs returns the ids of the tries of a request at crashes. d.mu must be held.
func (d *Detector) requestIDs(identity string) []string {
	var ids []string
	for _, c := range d.crashes {
		if c.Identity == identity && !slices.Contains(ids, c.Request) {
			ids = append(ids, c.Request)
		}
	}
	return ids
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
