package quarantine

import (
	"slices"
	"strings"
	"time"
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
	lapsed        // no target crashed under the cause for long enough
	cleared       // the request, or one with the part, was served
)

func (v *Verdict) cause() cause { return cause{request: v.Request, parts: v.Parts} }

// key identifies the quarantine by its cause.
func (v *Verdict) key() string { return strings.Join(v.cause().subjects(), "+") }

// forbids reports whether the quarantine is in force and concerns a request.
func (v *Verdict) forbids(identity string, parts []string) bool {
	return v.state == active && v.cause().in(identity, parts)
}

// term returns how long the quarantine lasts after the last crash.
func (v *Verdict) term() time.Duration {
	if v.servedBefore {
		return knownPartTerm
	}
	return newPartTerm
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
