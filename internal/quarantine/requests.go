package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"strings"
)

// Parameters of the decision about single requests.
const (
	// requestCrashes is the number of separate events that condemns a request if nothing else
	// explains all of them, tiedRequestCrashes if something does.
	requestCrashes     = 2
	tiedRequestCrashes = 3
)

// Request is a request as far as the crash of a target may be blamed on it.
type Request struct {
	// ID is the id of one try of the caller.
	ID string
	// Identity returns what identifies the request over its caller's tries. It is called only
	// when a crash may concern the request.
	Identity func() string
	// OwnPart is the part of the prompt that belongs to the request or its session, Parts are
	// those that other requests may share. Both are empty for a request without a prompt.
	OwnPart string
	Parts   []string
}

// identityBytes is the length of an identity. It is long enough that two requests hardly ever
// share one.
const identityBytes = 8

// Identity returns what identifies a request over its caller's tries: a hash of the fields and the
// body that stay the same, which is equal at all VMs.
func Identity(fields string, body []byte) string {
	hash := sha256.New()
	io.WriteString(hash, fields)
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil)[:identityBytes])
}

// requestFindings returns the evidence against each request that may be condemned, those with the
// most crashes first, and of these the ones that were the only explanation of a crash. A crash
// that a condemned cause explains is no evidence against another request.
func requestFindings(s snapshot, events []*event, condemned []cause) []Finding {
	byIdentity := map[string]*tally{}
	for _, e := range events {
		for _, c := range e.held {
			if c.Identity == "" || s.served[requestKey(c.Identity)].After(e.at) || e.explainedWithout(condemned, c.Identity) {
				continue
			}
			if byIdentity[c.Identity] == nil {
				byIdentity[c.Identity] = newTally(Finding{Request: c.Identity})
			}
			byIdentity[c.Identity].add(e, c)
		}
	}
	var findings []Finding
	for _, t := range byIdentity {
		if t.Separate >= requestCrashes || slices.ContainsFunc(condemned, t.renews) {
			findings = append(findings, t.Finding)
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(b.Separate-a.Separate, b.aloneAt(s)-a.aloneAt(s), strings.Compare(a.Request, b.Request))
	})
	return findings
}

// explainedWithout reports whether a condemned cause other than a request itself explains an
// event.
func (e *event) explainedWithout(condemned []cause, identity string) bool {
	return slices.ContainsFunc(condemned, func(x cause) bool {
		return x.request != identity && !x.over(e) && slices.ContainsFunc(e.held, func(c Crash) bool { return x.in(c.Identity, c.Parts) })
	})
}

// condemnedRequests returns the request to quarantine next, with those that were at the same
// crashes and cannot be told from it. There may be none.
func condemnedRequests(s snapshot, findings []Finding) []Finding {
	var condemned []Finding
	for _, f := range findings {
		if requestCondemned(s, f) && (len(condemned) == 0 || slices.Equal(f.events, condemned[0].events)) {
			condemned = append(condemned, f)
		}
	}
	return condemned
}

// requestCondemned reports whether a request must be quarantined.
func requestCondemned(s snapshot, f Finding) bool {
	if f.Separate < requestCrashes || s.awaitsAnswers(f) {
		return false
	}
	best := strongestRival(s, f)
	return best == noRival || best == equalRival && f.Separate >= tiedRequestCrashes
}

// aloneAt returns the number of crashes of a request that nothing else explains.
func (f Finding) aloneAt(s snapshot) int {
	alone := 0
	for _, e := range f.events {
		if len(e.rivals(s, f.Request)) == 0 {
			alone++
		}
	}
	return alone
}

// rival tells how well something else explains all crashes of a request.
type rival uint8

const (
	noRival rival = iota
	equalRival
	strongerRival
)

// strongestRival returns the best other explanation of all crashes of a request: another request
// that was not served since, or a part that was never served. Of two requests the one explains
// better whose response had begun at fewer of the crashes: targets end when they begin to answer.
func strongestRival(s snapshot, f Finding) rival {
	best := noRival
	own := attendanceOf(f)
	for _, other := range rivalAttendance(s, f) {
		switch {
		case other.events < own.events || other.begun > own.begun:
			continue
		case other.begun < own.begun:
			return strongerRival
		}
		best = equalRival
	}
	return best
}

// attendance counts the events at which something was present, and those at which the response to
// a request had begun.
type attendance struct{ events, begun int }

// attendanceOf returns the attendance of a request at its own crashes.
func attendanceOf(f Finding) attendance {
	own := attendance{events: len(f.events)}
	for _, e := range f.events {
		if e.begun(f.Request) {
			own.begun++
		}
	}
	return own
}

// rivalAttendance returns the attendance of the subjects that may explain the crashes of a request
// instead of it.
func rivalAttendance(s snapshot, f Finding) map[string]attendance {
	attendances := map[string]attendance{}
	for _, e := range f.events {
		for subject, begun := range e.rivals(s, f.Request) {
			a := attendances[subject]
			a.events++
			if begun {
				a.begun++
			}
			attendances[subject] = a
		}
	}
	return attendances
}

// rivals returns what was present at an event beside a request and may explain it, and whether
// all responses concerned had begun.
func (e *event) rivals(s snapshot, identity string) map[string]bool {
	rivals := map[string]bool{}
	add := func(subject string, begun bool) {
		known, ok := rivals[subject]
		rivals[subject] = begun && (known || !ok)
	}
	for _, c := range e.held {
		if c.Identity == identity {
			continue
		}
		for _, part := range c.Parts {
			if _, ever := s.served[part]; !ever {
				add(part, c.Begun)
			}
		}
		if key := requestKey(c.Identity); !s.served[key].After(e.at) {
			add(key, c.Begun)
		}
	}
	return rivals
}

// begun reports whether the response to each try of a request at an event had begun.
func (e *event) begun(identity string) bool {
	return !slices.ContainsFunc(e.held, func(c Crash) bool { return c.Identity == identity && !c.Begun })
}
