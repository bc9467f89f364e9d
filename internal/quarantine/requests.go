package quarantine

import (
	"cmp"
	"maps"
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

// requestFindings returns the evidence against each request, those with the most crashes first.
// A crash that a condemned cause explains is no evidence against another request.
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
	findings := make([]Finding, 0, len(byIdentity))
	for _, t := range byIdentity {
		findings = append(findings, t.Finding)
	}
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(b.Separate-a.Separate, strings.Compare(a.Request, b.Request))
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

// requestCondemned reports whether a request must be quarantined.
func requestCondemned(s snapshot, f Finding) bool {
	if f.Separate < requestCrashes || s.awaitsAnswers(f) {
		return false
	}
	return f.Separate >= tiedRequestCrashes || !otherCause(s, f)
}

// otherCause reports whether something else was present at all crashes of a request: another
// request that was not served since, or a part that was never served.
func otherCause(s snapshot, f Finding) bool {
	var others map[string]bool
	for _, e := range f.events {
		present := map[string]bool{}
		for _, c := range e.held {
			if c.Identity == f.Request {
				continue
			}
			for _, part := range c.Parts {
				if _, ever := s.served[part]; !ever {
					present[part] = true
				}
			}
			if key := requestKey(c.Identity); !s.served[key].After(e.at) {
				present[key] = true
			}
		}
		if others == nil {
			others = present
		}
		maps.DeleteFunc(others, func(subject string, _ bool) bool { return !present[subject] })
	}
	return len(others) > 0
}
