package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Parameters of the decision.
const (
	// sameCrashWindow is the time within which crashes of one target are one event: VMs learn
	// of it at slightly different moments.
	sameCrashWindow = 2 * time.Second
	// independenceGap is the least time between events that count as independent. Targets that
	// crash closer together have probably failed in one outage.
	independenceGap = 30 * time.Millisecond
	// newPartPrompts is the number of prompts with crashes that condemns a part of which no
	// request was ever served, tiedPrompts if another explanation fits as many events. A single
	// prompt never condemns a part: its request is the narrower explanation.
	newPartPrompts = 2
	tiedPrompts    = 3
	// knownPartPrompts condemn a part of which requests were served before. servedDelay is the
	// least time since the first of these events: a served request is known after SurvivalTime
	// and a heartbeat. Meanwhile minServed requests without the part must have been served:
	// otherwise the targets fail for another reason.
	knownPartPrompts = 3
	servedDelay      = 2 * time.Second
	minServed        = 3
	// SettleTime is the time after a crash until it counts: other VMs, whose requests were there
	// too, tell of them meanwhile.
	SettleTime = 25 * time.Millisecond
	// answerTime is how long a decision waits for what other VMs have served, if it rests on
	// crashes about which they no longer tell this without being asked.
	answerTime = 300 * time.Millisecond
)

// Crash records that a target crashed while it held a request of which it had not answered
// anything, or only just.
type Crash struct {
	// ID is random. It identifies the record when other VMs repeat it.
	ID      uint64
	Target  string
	Request string
	// Identity identifies the request over its caller's tries, which have new request ids.
	Identity string
	// OwnPart is the part of the prompt that belongs to the request or its session.
	OwnPart string
	// Parts are the parts that other requests may share.
	Parts []string
	// Begun is true if the response had begun, just before the crash.
	Begun bool
	At    time.Time
}

// snapshot is everything on which a decision depends.
type snapshot struct {
	now     time.Time
	crashes []Crash
	// served holds for shared and own parts when the latest answer with them began that was
	// written on without a crash. Parts that were never served are missing.
	served map[string]time.Time
	// condemned are the causes that are quarantined. They explain the crashes of the requests
	// that have them.
	condemned []cause
	// experienced is true if enough requests were served to tell a new part from one whose
	// requests this VM has not seen yet.
	experienced bool
	// recent are the times at which the answers began that this VM has served last.
	recent []time.Time
}

// cause is what crashes are blamed on: one request, or one or more parts of prompts that are
// quarantined together, so that requests with all of them are refused. There are several parts if
// they always came together at crashes, so that it is not known which of them is at fault.
type cause struct {
	request string // its identity; empty if parts are blamed
	parts   []string
	// until is when a quarantine that has lapsed ended: it explains the crashes before, and a
	// single one after it renews it. It is zero for one in force.
	until time.Time
}

// in reports whether a request has the cause.
func (x cause) in(identity string, parts []string) bool {
	if x.request != "" {
		return x.request == identity
	}
	return !slices.ContainsFunc(x.parts, func(part string) bool { return !slices.Contains(parts, part) })
}

func (x cause) equal(other cause) bool {
	return x.request == other.request && slices.Equal(x.parts, other.parts)
}

// subjects returns the keys under which it is remembered when the cause was served.
func (x cause) subjects() []string {
	if x.request != "" {
		return []string{requestKey(x.request)}
	}
	return x.parts
}

// requestKey returns the key of a request beside those of parts, which have no colon.
func requestKey(identity string) string { return "request:" + identity }

// event is the crash of one target, with the requests that it held.
type event struct {
	target string
	at     time.Time
	held   []Crash
}

// Finding is a part or a request that is condemned, with the evidence.
type Finding struct {
	// Part is empty if a request is condemned, and Request if a part is.
	Part    string
	Request string
	// With are the parts that came with it at all crashes and may be the cause instead.
	With []string
	// Crashes is the number of events. Separate is the number of those that are far enough apart
	// to be independent, Prompts that of separate ones with different own parts, and Requests the
	// number of requests.
	Crashes  int
	Separate int
	Prompts  int
	Requests int
	First    time.Time
	Last     time.Time
	// ServedBefore is true for a part of which requests were served earlier.
	ServedBefore bool

	events []*event
}

// decide returns the parts and requests that must be quarantined. It explains the crashes one
// cause at a time, the most conspicuous first: a crash that a condemned cause explains is no
// evidence against the others that were there.
func decide(s snapshot) []Finding {
	var findings []Finding
	events := slices.DeleteFunc(groupEvents(s.crashes), func(e *event) bool { return s.now.Sub(e.at) < SettleTime })
	condemned := slices.Clone(s.condemned)
	for {
		next := mostConspicuous(s, events, condemned)
		if len(next) == 0 {
			return findings
		}
		for _, f := range next {
			findings = append(findings, f)
			condemned = append(condemned, f.cause())
		}
	}
}

// cause returns what the finding condemns, its parts in a fixed order.
func (f Finding) cause() cause {
	if f.Request != "" {
		return cause{request: f.Request}
	}
	parts := append([]string{f.Part}, f.With...)
	slices.Sort(parts)
	return cause{parts: parts}
}

// targets returns the targets that crashed.
func (f Finding) targets() []string {
	var targets []string
	for _, e := range f.events {
		targets = append(targets, e.target)
	}
	return targets
}

// explainsWithout reports whether a condemned cause explains the event, so that it is no evidence
// against a part. A request that has the part is no excuse for it, as the part may be the reason
// why the request crashes targets; neither is one of several parts for each of them.
func (x cause) explainsWithout(part string, e *event) bool {
	if x.over(e) || len(x.parts) > 1 && slices.Contains(x.parts, part) {
		return false
	}
	return slices.ContainsFunc(e.held, func(c Crash) bool {
		return x.in(c.Identity, c.Parts) && (x.request == "" || !slices.Contains(c.Parts, part))
	})
}

// over reports whether the quarantine of the cause had ended at an event.
func (x cause) over(e *event) bool { return !x.until.IsZero() && e.at.After(x.until) }

// explained reports whether a condemned cause explains the event without a part.
func (e *event) explained(condemned []cause, part string) bool {
	return slices.ContainsFunc(condemned, func(x cause) bool { return x.explainsWithout(part, e) })
}

// groupEvents returns the crashes by target and time, in an order that does not depend
// on that of the records.
func groupEvents(crashes []Crash) []*event {
	sorted := slices.Clone(crashes)
	slices.SortStableFunc(sorted, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), strings.Compare(a.Target, b.Target), strings.Compare(a.OwnPart, b.OwnPart), strings.Compare(a.Identity, b.Identity), strings.Compare(a.Request, b.Request))
	})
	var events []*event
	latest := map[string]*event{}
	for _, c := range sorted {
		e := latest[c.Target]
		if e == nil || c.At.Sub(e.at) > sameCrashWindow {
			e = &event{target: c.Target, at: c.At}
			latest[c.Target] = e
			events = append(events, e)
		}
		e.held = append(e.held, c)
	}
	return events
}

// mostConspicuous returns what to condemn next, if there is anything: first a cause that was
// condemned before, then a part that was never served, which explains the crashes of several
// requests, then single requests, and then the part that was served longest ago.
func mostConspicuous(s snapshot, events []*event, condemned []cause) []Finding {
	isNew := func(f Finding) bool {
		return !slices.ContainsFunc(condemned, func(x cause) bool { return x.until.IsZero() && x.equal(f.cause()) })
	}
	parts := slices.DeleteFunc(allFindings(s, events, condemned), func(f Finding) bool { return !isNew(f) })
	requests := slices.DeleteFunc(requestFindings(s, events, condemned), func(f Finding) bool { return !isNew(f) })
	for _, f := range slices.Concat(parts, requests) {
		for _, x := range condemned {
			if f.renews(x) {
				return []Finding{f}
			}
		}
	}
	for _, f := range parts {
		if !f.ServedBefore && s.experienced && newPartCondemned(s, f) {
			return []Finding{f}
		}
	}
	if found := condemnedRequests(s, requests); len(found) > 0 {
		return found
	}
	for _, f := range parts {
		if knownPartCondemned(s, f) {
			return []Finding{f}
		}
	}
	return nil
}

// renews reports whether a target crashed under a request that a lapsed quarantine concerned.
func (f Finding) renews(x cause) bool {
	if x.until.IsZero() || x.request != f.Request || x.request == "" && !slices.Contains(x.parts, f.Part) {
		return false
	}
	return slices.ContainsFunc(f.events, func(e *event) bool {
		return x.over(e) && slices.ContainsFunc(e.held, func(c Crash) bool { return x.in(c.Identity, c.Parts) })
	})
}

// allFindings returns the evidence against each part, ordered by when it was served last, with
// those that were never served first, and then by the number of crashes.
func allFindings(s snapshot, events []*event, condemned []cause) []Finding {
	byPart := map[string]*tally{}
	for _, e := range events {
		for _, c := range e.held {
			for _, part := range c.Parts {
				served, ever := s.served[part]
				if served.After(e.at) || e.explained(condemned, part) {
					continue
				}
				if byPart[part] == nil {
					byPart[part] = newTally(Finding{Part: part, ServedBefore: ever})
				}
				byPart[part].add(e, c)
			}
		}
	}
	findings := make([]Finding, 0, len(byPart))
	for _, t := range byPart {
		t.With = companions(s, t.Finding)
		findings = append(findings, t.Finding)
	}
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(s.served[a.Part].Compare(s.served[b.Part]), b.Crashes-a.Crashes, strings.Compare(a.Part, b.Part))
	})
	return findings
}

// companions returns the parts that were in all requests with the part at its crashes and that
// may be the cause as well: they were not served since, and never if the part was never.
func companions(s snapshot, f Finding) []string {
	var with []string
	first := true
	for _, e := range f.events {
		for _, c := range e.held {
			if !slices.Contains(c.Parts, f.Part) {
				continue
			}
			if first {
				first = false
				with = slices.DeleteFunc(slices.Clone(c.Parts), func(part string) bool {
					served, ever := s.served[part]
					return part == f.Part || ever && !f.ServedBefore || served.After(f.First)
				})
			}
			with = slices.DeleteFunc(with, func(part string) bool { return !slices.Contains(c.Parts, part) })
		}
	}
	return with
}

// tally collects the evidence against a part or a request, from the events since it was last served.
type tally struct {
	Finding
	// last is the event added last, lastSeparate the last separate one, and lastPrompt the last
	// one that was counted for a prompt.
	last, lastSeparate, lastPrompt *event
	ownParts, requests             map[string]bool
}

func newTally(f Finding) *tally {
	return &tally{Finding: f, ownParts: map[string]bool{}, requests: map[string]bool{}}
}

// add adds a request that was present at an event. Events come in order of time.
func (t *tally) add(e *event, c Crash) {
	if t.last == nil {
		t.First = e.at
	}
	if t.last != e {
		t.Crashes++
		t.last, t.Last = e, e.at
		t.events = append(t.events, e)
	}
	if e.separateFrom(t.lastSeparate) {
		t.Separate++
		t.lastSeparate = e
	}
	if !t.ownParts[c.OwnPart] && e.separateFrom(t.lastPrompt) {
		t.Prompts++
		t.lastPrompt = e
		t.ownParts[c.OwnPart] = true
	}
	if !t.requests[c.Request] {
		t.Requests++
		t.requests[c.Request] = true
	}
}

// separateFrom reports whether an event is independent of an earlier one, which may be nil.
func (e *event) separateFrom(earlier *event) bool {
	return earlier == nil || e.at.Sub(earlier.at) >= independenceGap
}

// newPartCondemned reports whether a part that was never served must be quarantined. With the
// least evidence it must be the only explanation.
func newPartCondemned(s snapshot, f Finding) bool {
	if f.Prompts < newPartPrompts || s.awaitsAnswers(f) {
		return false
	}
	return f.Prompts >= tiedPrompts || !otherExplanation(s, f)
}

// awaitsAnswers reports whether other VMs may still tell that they have served what a finding
// concerns: they do so on their own only for recent crashes.
func (s snapshot) awaitsAnswers(f Finding) bool {
	return s.now.Sub(f.First) > reportedFor && s.now.Sub(f.Last) < answerTime
}

// knownPartCondemned reports whether a part that may have been sound earlier must be quarantined.
func knownPartCondemned(s snapshot, f Finding) bool {
	if f.Prompts < knownPartPrompts || s.now.Sub(f.First) < servedDelay {
		return false
	}
	served := 0
	for _, at := range s.recent {
		if at.After(f.First) {
			served++
		}
	}
	return served >= minServed
}

// otherExplanation reports whether another part that was never served, or a prompt without the
// part that was not served since, was present at all crashes of a finding.
func otherExplanation(s snapshot, f Finding) bool {
	var others map[string]bool
	for _, e := range f.events {
		present := map[string]bool{}
		for _, c := range e.held {
			for _, part := range c.Parts {
				if _, ever := s.served[part]; !ever && part != f.Part && !slices.Contains(f.With, part) {
					present[part] = true
				}
			}
			if !slices.Contains(c.Parts, f.Part) && !s.served[c.OwnPart].After(e.at) {
				present[c.OwnPart] = true
			}
		}
		if others == nil {
			others = present
		}
		maps.DeleteFunc(others, func(part string, _ bool) bool { return !present[part] })
	}
	return len(others) > 0
}
