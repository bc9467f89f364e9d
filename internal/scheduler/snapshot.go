// Package scheduler chooses a target for a request. A decision is a pure function
// of an immutable Snapshot, of the counters of this VM's own requests, and of the
// Request. It neither locks nor allocates.
package scheduler

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oriolefront/oriolefront/internal/config"
)

// LongPromptTokens is the length from which a prompt counts as long. A prefill of
// this length noticeably delays the short requests behind it.
const LongPromptTokens = 32_000

// Levels is the number of priority levels: two per class, short prompts before
// long ones.
const Levels = 6

// Level returns the priority level of a request. A lower level is served first.
func Level(class config.Class, long bool) int {
	level := 2 * min(max(int(class), 0), int(config.ClassBatch))
	if long {
		level++
	}
	return level
}

var processStart = time.Now()

// Now returns the monotonic time used by snapshots and requests.
func Now() time.Duration { return time.Since(processStart) }

// LocalCounters counts this VM's own requests on a target. It is shared by
// successive snapshots, so that each decision takes the VM's earlier decisions
// into account at once.
type LocalCounters struct {
	// Sent is the total of uncached prompt tokens sent, by level.
	Sent [Levels]atomic.Int64
	// Unanswered is the number of uncached prompt tokens of attempts without a
	// first event, by level.
	Unanswered [Levels]atomic.Int64
	// LongUnanswered is the part of Unanswered that belongs to long prompts.
	LongUnanswered atomic.Int64
	// Running is the number of attempts that the target holds.
	Running atomic.Int64
	// Started and Ended are the total numbers of attempts sent and ended.
	Started atomic.Int64
	Ended   atomic.Int64
}

// Target is the state of one target in a snapshot. Its index in Snapshot.Targets
// is its id, which does not change while the target is declared.
type Target struct {
	Name     string
	Declared config.Target
	Local    *LocalCounters
	// Usable is false when the target is leaving, draining or failed, or when its
	// zone is out of service.
	Usable bool
	// Probing limits this VM to one attempt at a time after a failure of the
	// target.
	Probing bool
	// Failures is the number of recent failures, decayed over time.
	Failures float64
	// PrefillRate and DecodeRate are measured or declared, in tokens per second.
	PrefillRate float64
	DecodeRate  float64
	// Distance is the round-trip time to the target's zone in seconds.
	Distance float64

	// ReportedAt is when the latest load report was requested.
	ReportedAt time.Duration
	// Backlog is the reported prefill backlog, in tokens, that is served before a
	// new request of the level.
	Backlog [Levels]float64
	// OtherBacklog is the part of the backlog that other VMs sent.
	OtherBacklog float64
	// Running is the reported number of requests. KVUsed is the reported KV cache
	// in use, in tokens.
	Running int
	KVUsed  int
	// SentAtReport, StartedAtReport and EndedAtReport are the values of the local
	// counters that the report can include.
	SentAtReport    [Levels]int64
	StartedAtReport int64
	EndedAtReport   int64
}

// candidates lists the ids of the targets that offer one model of a service,
// ordered by the hash of their names.
type candidates struct {
	service string
	model   string
	ids     []uint32
	hashes  []uint64
	largest int           // KV cache of the largest target, in tokens
	next    atomic.Uint64 // position of the round-robin baseline
}

// CandidateIndex holds the candidate lists. Snapshots share it; it changes only
// with the configuration or with the models that targets have loaded.
type CandidateIndex struct {
	lists []*candidates
	ids   map[string]uint32
}

// Offer states which models of a service a target offers. A plain service has no
// models.
type Offer struct {
	ID      uint32
	Name    string
	Service string
	Models  []string
	// KVTokens is the target's KV cache in tokens, 0 if it is not limited.
	KVTokens int
}

// NewCandidateIndex builds the candidate lists.
func NewCandidateIndex(offers []Offer) *CandidateIndex {
	offers = slices.Clone(offers)
	slices.SortFunc(offers, func(a, b Offer) int { return cmp.Compare(nameHash(a.Name), nameHash(b.Name)) })
	l := &CandidateIndex{ids: make(map[string]uint32, len(offers))}
	for _, o := range offers {
		l.ids[o.Name] = o.ID
		hash := nameHash(o.Name)
		l.add(&o, "", hash)
		for _, m := range o.Models {
			l.add(&o, m, hash)
		}
	}
	return l
}

func (l *CandidateIndex) add(o *Offer, model string, hash uint64) {
	list := l.find(o.Service, model)
	if list == nil {
		list = &candidates{service: o.Service, model: model}
		l.lists = append(l.lists, list)
	}
	list.ids = append(list.ids, o.ID)
	list.hashes = append(list.hashes, hash)
	list.largest = max(list.largest, o.KVTokens)
}

func (l *CandidateIndex) find(service, model string) *candidates {
	for _, list := range l.lists {
		if list.service == service && list.model == model {
			return list
		}
	}
	return nil
}

// nameHash is FNV-1a. It does not use hash/fnv, which allocates.
func nameHash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mix(h)
}

// Snapshot is an immutable view of all targets that this VM monitors.
type Snapshot struct {
	Version uint64
	Targets []Target // by id; an unused id has an empty name
	Index   *CandidateIndex
}

// ID returns the id of the target with the given name.
func (s *Snapshot) ID(name string) (uint32, bool) {
	id, ok := s.Index.ids[name]
	return id, ok
}

// Candidates returns the number of targets that offer a model of a service.
func (s *Snapshot) Candidates(service, model string) int {
	if list := s.Index.find(service, model); list != nil {
		return len(list.ids)
	}
	return 0
}

// LargestKV returns the KV cache, in tokens, of the largest target that offers a
// model of a service, or 0 if no such target declares one.
func (s *Snapshot) LargestKV(service, model string) int {
	if list := s.Index.find(service, model); list != nil {
		return list.largest
	}
	return 0
}

// backlogAt estimates the prefill tokens that are served before a new request of
// the given level: the reported tokens, less those processed since the report,
// plus those that this VM has sent since.
func (t *Target) backlogAt(now time.Duration, level int) float64 {
	processed := t.PrefillRate * (now - t.ReportedAt).Seconds()
	ahead := max(0, t.Backlog[level]-max(0, processed))
	for l := 0; l <= level; l++ {
		since := t.Local.Sent[l].Load() - t.SentAtReport[l]
		ahead += float64(max(0, min(since, t.Local.Unanswered[l].Load())))
	}
	return ahead
}

// runningAt estimates the number of requests on the target.
func (t *Target) runningAt() int {
	started := t.Local.Started.Load() - t.StartedAtReport
	ended := t.Local.Ended.Load() - t.EndedAtReport
	return max(t.Running+int(started-ended), int(t.Local.Running.Load()), 0)
}
