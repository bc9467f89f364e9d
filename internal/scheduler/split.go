package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
)

const (
	// partHeadroom is the fraction, one in so many, of an engine's allocatable
	// KV cache that a part leaves free. A part holds its reservation for a long
	// time, and short requests are still to be served beside it.
	partHeadroom = 10
	// splitShare is the fraction, one in so many, of the candidates that get
	// parts first: the first in hash order. All VMs derive the same set without
	// messages, so that the split prompts of all VMs leave the other half of the
	// targets to other requests as long as the first half can hold them.
	splitShare = 2
	// fullPenalty is added for a target that reports no free KV cache for a part,
	// and proportionally less when some of what the part needs is free.
	fullPenalty = 10.0 // seconds
	// failedReservationPenalty is added for each failed reservation on a target.
	failedReservationPenalty = 2.0 // seconds
)

// PartLimit returns the size in tokens of the largest part of a request that an
// engine with the given KV cache takes.
func PartLimit(kvTokens int) int {
	allocatable := capacity.AllocatableTokens(kvTokens)
	return allocatable - allocatable/partHeadroom
}

// SplitPart is one part of a prompt that is split over several engines.
type SplitPart struct {
	// Decision holds the target and its backlog.
	Decision Decision
	// From and To are the range of the prompt in tokens.
	From, To int
	// Tokens is the KV cache that the part needs.
	Tokens int

	limit int
	score float64
	rank  int // sorts before the score; lower is better
}

// SplitPlan is the result of Split.
type SplitPlan struct {
	OK    bool
	Parts []SplitPart
	// KVCapacity is the largest request, in tokens, that all declared candidates
	// can hold together, and OutputCapacity the largest output.
	KVCapacity, OutputCapacity int
	// TimeToFirstToken and Finish are estimates for the response. UnloadedFinish
	// estimates Finish on targets without other requests.
	TimeToFirstToken, Finish, UnloadedFinish time.Duration
}

// SplitOptions adjusts a plan after a failed reservation.
type SplitOptions struct {
	// FailedReservations counts failed reservations by target.
	FailedReservations map[string]int
	// ExtraParts is added to the smallest number of parts that suffices.
	ExtraParts int
}

// Split plans a request that is too large for one engine. The parts are as even
// as the targets allow, and the last one also holds the output. Targets are
// ranked by reported free KV cache, distance and expected time. Excluded targets
// are used last rather than never, because a small fleet may have no others.
func Split(s *Snapshot, p *Policy, r *Request, o SplitOptions) SplitPlan {
	var plan SplitPlan
	list := s.Index.find(r.Service, r.Model)
	if list == nil {
		return plan
	}
	total := r.PromptTokens + r.OutputTokens
	var members []SplitPart
	for position, id := range list.ids {
		t := &s.Targets[id]
		limit := PartLimit(t.Declared.KVTokens)
		if limit <= 0 {
			continue
		}
		plan.KVCapacity += limit
		plan.OutputCapacity = max(plan.OutputCapacity, limit-1)
		if t.Usable && !(t.Probing && t.Local.Running.Load() > 0) && t.PrefillRate > 0 {
			members = append(members, newSplitPart(p, t, r, id, position, len(list.ids), limit, o))
		}
	}
	slices.SortStableFunc(members, func(a, b SplitPart) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.score, b.score))
	})
	plan.choose(members, total, r, o.ExtraParts)
	plan.estimate(r)
	return plan
}

// newSplitPart scores a target for one part.
func newSplitPart(p *Policy, t *Target, r *Request, id uint32, position, candidates, limit int, o SplitOptions) SplitPart {
	level := p.LevelOf(r.Class, r.PromptTokens)
	m := SplitPart{limit: limit}
	m.Decision = Decision{OK: true, ID: id, Target: t, Level: level, Backlog: t.backlogAt(r.Now, level)}
	m.Decision.Score[TermBacklog] = m.Decision.Backlog / t.PrefillRate
	m.Decision.Score[TermPrefill] = float64(limit) / t.PrefillRate
	// Each output token reads the earlier parts over the network.
	m.Decision.Score[TermDistance] = t.Distance * float64(1+r.OutputTokens)
	m.Decision.Score[TermFailures] = t.Failures * p.FailurePenalty.Seconds()
	missing := limit - (capacity.AllocatableTokens(t.Declared.KVTokens) - t.KVUsed)
	m.score = m.Decision.Score.Sum() + fullPenalty*float64(max(0, missing))/float64(limit) +
		failedReservationPenalty*float64(o.FailedReservations[t.Name])
	if position >= (candidates+splitShare-1)/splitShare {
		m.rank = 1
	}
	if isExcluded(r, id) {
		m.rank = 2
	}
	return m
}

// choose takes as many members as the request needs, and the extra ones.
func (plan *SplitPlan) choose(members []SplitPart, total int, r *Request, extra int) {
	sum, n := 0, 0
	for n < len(members) && (sum < total || n < 2) {
		sum += members[n].limit
		n++
	}
	if sum < total {
		return
	}
	for n = min(n+extra, len(members)); n <= len(members); n++ {
		parts := largestLast(members[:n])
		if divide(parts, r.PromptTokens, r.OutputTokens) {
			plan.OK, plan.Parts = true, parts
			return
		}
	}
}

// largestLast returns the members with the one that has the most KV cache in last
// place, and among equals the nearest, because the last target streams the
// response.
func largestLast(members []SplitPart) []SplitPart {
	best := 0
	for i := range members {
		a, b := &members[i], &members[best]
		if a.limit > b.limit || a.limit == b.limit && a.Decision.Target.Distance < b.Decision.Target.Distance {
			best = i
		}
	}
	parts := slices.Clone(members)
	last := parts[best]
	return append(slices.Delete(parts, best, best+1), last)
}

// divide sets the ranges of the parts. It returns false when the output does not
// fit the last part. Small targets are filled first, and the others share the
// rest evenly.
func divide(parts []SplitPart, prompt, output int) bool {
	last := &parts[len(parts)-1]
	total := prompt + output
	if output+1 > last.limit || total < len(parts)+output {
		return false
	}
	last.Tokens = min(max((total+len(parts)-1)/len(parts), output+1), last.limit)
	rest := total - last.Tokens
	order := make([]*SplitPart, 0, len(parts)-1)
	for i := range parts[:len(parts)-1] {
		order = append(order, &parts[i])
	}
	slices.SortStableFunc(order, func(a, b *SplitPart) int { return cmp.Compare(a.limit, b.limit) })
	for i, part := range order {
		left := len(order) - i
		part.Tokens = min((rest+left-1)/left, part.limit)
		rest -= part.Tokens
	}
	if last.Tokens += rest; last.Tokens > last.limit {
		return false
	}
	from := 0
	for i := range parts {
		part := &parts[i]
		part.From, part.To = from, from+part.Tokens
		from = part.To
	}
	last.To = prompt
	return true
}

// estimate sums up the prefills, which run one after the other. The backlog of a
// later part's target shrinks while the earlier parts run.
func (plan *SplitPlan) estimate(r *Request) {
	if !plan.OK {
		return
	}
	elapsed, unloaded := 0.0, 0.0
	for i := range plan.Parts {
		part := &plan.Parts[i]
		t := part.Decision.Target
		duration := float64(part.To-part.From)/t.PrefillRate + t.Distance
		elapsed = max(elapsed, part.Decision.Score[TermBacklog]) + duration
		unloaded += duration
	}
	output := 0.0
	if t := plan.Parts[len(plan.Parts)-1].Decision.Target; t.DecodeRate > 0 {
		output = float64(r.OutputTokens) / t.DecodeRate
	}
	plan.TimeToFirstToken, plan.Finish, plan.UnloadedFinish = seconds(elapsed), seconds(elapsed+output), seconds(unloaded+output)
}
