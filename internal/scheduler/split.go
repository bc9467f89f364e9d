package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/capacity"
)

const (
	// partHeadroom is the part of an engine's usable memory, one in so many,
	// that a request for which memory is kept for long leaves free, so that
	// short requests are still served beside it.
	partHeadroom = 10
	// splitShare is the part of the candidates, one in so many and the first
	// in hash order, that parts go to first. All VMs agree on it without a
	// message, so that split prompts of all VMs together leave the other half
	// of the fleet to the rest as long as the first half can hold them.
	splitShare = 2
	// fullPenalty is added for a target whose report shows that all of the
	// memory that a part needs is in use, and a share of it for less.
	fullPenalty = 10.0 // seconds
	// refusedPenalty is added for each failed reservation on a target.
	refusedPenalty = 2.0 // seconds
)

// PartLimit returns the largest part of a request, in tokens, that an engine
// with some KV memory takes.
func PartLimit(kvTokens int) int {
	usable := capacity.AllocatableTokens(kvTokens)
	return usable - usable/partHeadroom
}

// SplitPart is one part of a prompt that is spread over several engines.
type SplitPart struct {
	// Decision names the target and its backlog.
	Decision Decision
	// From and To are the range of the prompt in tokens.
	From, To int
	// Tokens is the KV memory that the part needs.
	Tokens int

	limit int
	score float64
	rank  int // preference before the score; a lower one goes first
}

// SplitPlan is the outcome of Split.
type SplitPlan struct {
	OK    bool
	Parts []SplitPart
	// KVCapacity is the most that all declared candidates hold together, and
	// HoldsOutput the most output.
	KVCapacity, OutputCapacity int
	// TimeToFirstToken and Finish estimate the answer; Alone is Finish on targets
	// without other work.
	TimeToFirstToken, Finish, UnloadedFinish time.Duration
}

// SplitOptions vary a plan after a failed reservation.
type SplitOptions struct {
	// FailedReservations counts failed reservations by target.
	FailedReservations map[string]int
	// ExtraParts is added to the least number of parts.
	ExtraParts int
}

// Split plans a request that is larger than one engine. The parts are as even
// as the targets allow, and the last one holds the output. Targets are taken
// by the reported room, the distance and the expected time. Excluded targets
// are the last choice and not forbidden, because a small fleet may have no
// others.
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
			members = append(members, newMember(p, t, r, id, position, len(list.ids), limit, o))
		}
	}
	slices.SortStableFunc(members, func(a, b SplitPart) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.score, b.score))
	})
	plan.choose(members, total, r, o.ExtraParts)
	plan.estimate(r)
	return plan
}

// newMember scores a target as the place of one part.
func newMember(p *Policy, t *Target, r *Request, id uint32, position, candidates, limit int, o SplitOptions) SplitPart {
	level := p.LevelOf(r.Class, r.PromptTokens)
	m := SplitPart{limit: limit}
	m.Decision = Decision{OK: true, ID: id, Target: t, Level: level, Backlog: t.backlogAt(r.Now, level)}
	m.Decision.Score[TermBacklog] = m.Decision.Backlog / t.PrefillRate
	m.Decision.Score[TermPrefill] = float64(limit) / t.PrefillRate
	// Each token of the output reads the parts before over the network.
	m.Decision.Score[TermDistance] = t.Distance * float64(1+r.OutputTokens)
	m.Decision.Score[TermFailures] = t.Failures * p.FailurePenalty.Seconds()
	missing := limit - (capacity.AllocatableTokens(t.Declared.KVTokens) - t.KVUsed)
	m.score = m.Decision.Score.Sum() + fullPenalty*float64(max(0, missing))/float64(limit) +
		refusedPenalty*float64(o.FailedReservations[t.Name])
	if position >= (candidates+splitShare-1)/splitShare {
		m.rank = 1
	}
	if isExcluded(r, id) {
		m.rank = 2
	}
	return m
}

// choose takes the first members that hold the request, and extra ones.
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
		parts := lastLargest(members[:n])
		if divide(parts, r.PromptTokens, r.OutputTokens) {
			plan.OK, plan.Parts = true, parts
			return
		}
	}
}

// lastLargest returns the members with the one last that has the most memory,
// and of several the nearest, because it streams the answer.
func lastLargest(members []SplitPart) []SplitPart {
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

// divide sets the ranges of the parts, and reports false when the output does
// not fit the last one. Small targets are filled first, so that the others
// share the rest evenly.
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

// estimate adds up the prefills, which follow one another. The backlog of a
// later part's target is worked off while the earlier parts run.
func (plan *SplitPlan) estimate(r *Request) {
	if !plan.OK {
		return
	}
	at, alone := 0.0, 0.0
	for i := range plan.Parts {
		part := &plan.Parts[i]
		t := part.Decision.Target
		own := float64(part.To-part.From)/t.PrefillRate + t.Distance
		at = max(at, part.Decision.Score[TermBacklog]) + own
		alone += own
	}
	output := 0.0
	if t := plan.Parts[len(plan.Parts)-1].Decision.Target; t.DecodeRate > 0 {
		output = float64(r.OutputTokens) / t.DecodeRate
	}
	plan.TimeToFirstToken, plan.Finish, plan.UnloadedFinish = seconds(at), seconds(at+output), seconds(alone+output)
}
