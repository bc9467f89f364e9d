package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolefront/oriolefront/internal/capacity"
	"github.com/oriolefront/oriolefront/internal/config"
)

type fakeCapacity map[string]capacity.Resources

func (f fakeCapacity) Available(target string) capacity.Resources {
	if r, ok := f[target]; ok {
		return r
	}
	return capacity.Resources{Tokens: 1 << 30, Slots: 32}
}

type fakePrefixes []Holder

func (f fakePrefixes) Holders([]uint64) (h Holders) {
	h.Count = copy(h.List[:], f)
	return h
}

// newSnapshot returns n idle targets t0, t1, ... of service lm, model m.
func newSnapshot(n int) *Snapshot {
	offers := make([]Offer, n)
	targets := make([]Target, n)
	for i := range n {
		name := fmt.Sprintf("t%d", i)
		offers[i] = Offer{ID: uint32(i), Name: name, Service: "lm", Models: []string{"m"}}
		targets[i] = Target{
			Name: name, Local: &LocalCounters{}, Usable: true, PrefillRate: 100_000, DecodeRate: 100,
			Declared: config.Target{Service: "lm", MaxRunning: 32},
		}
	}
	return &Snapshot{Targets: targets, Index: NewCandidateIndex(offers)}
}

func shortRequest() *Request {
	return &Request{Service: "lm", Model: "m", Class: config.ClassStandard, PromptTokens: 1000, OutputTokens: 20}
}

// Each case guards against a filter that accepts an unsuitable target or rejects
// a suitable one.
func TestFilters(t *testing.T) {
	long := func(r *Request) { r.PromptTokens = 100_000 }
	for _, c := range []struct {
		name   string
		set    func(s *Snapshot, available fakeCapacity)
		ask    func(r *Request)
		reject Filter
	}{
		{"passes", func(*Snapshot, fakeCapacity) {}, nil, passed},
		{"excluded", func(*Snapshot, fakeCapacity) {}, func(r *Request) { r.Exclude = []uint32{0} }, FilterExcluded},
		{"state", func(s *Snapshot, _ fakeCapacity) { s.Targets[0].Usable = false }, nil, FilterState},
		{"probing and idle", func(s *Snapshot, _ fakeCapacity) { s.Targets[0].Probing = true }, nil, passed},
		{"probing and busy", func(s *Snapshot, _ fakeCapacity) {
			s.Targets[0].Probing = true
			s.Targets[0].Local.Running.Store(1)
		}, nil, FilterProbing},
		{"no slot", func(_ *Snapshot, available fakeCapacity) { available["t0"] = capacity.Resources{Tokens: 1 << 20} }, nil, FilterCapacity},
		{"no KV cache", func(_ *Snapshot, available fakeCapacity) {
			available["t0"] = capacity.Resources{Tokens: 1019, Slots: 9}
		}, nil, FilterCapacity},
		{"just enough KV cache", func(_ *Snapshot, available fakeCapacity) {
			available["t0"] = capacity.Resources{Tokens: 1020, Slots: 9}
		}, nil, passed},
		{"own long prefill", func(s *Snapshot, _ fakeCapacity) { s.Targets[0].Local.LongUnanswered.Store(150_000) }, long, FilterLongCap},
		{"own long prefill, short request", func(s *Snapshot, _ fakeCapacity) { s.Targets[0].Local.LongUnanswered.Store(150_000) }, nil, passed},
		{"long prefill of others", func(s *Snapshot, _ fakeCapacity) { s.Targets[0].OtherBacklog = 150_000 }, long, FilterLongCap},
		{"prompt above the cap on a free target", func(*Snapshot, fakeCapacity) {}, func(r *Request) { r.PromptTokens = 300_000 }, passed},
		{"headroom, long", func(s *Snapshot, available fakeCapacity) {
			available["t0"] = capacity.Resources{Tokens: 1 << 20, Slots: 1}
			s.Targets[0].Local.Running.Store(3)
		}, long, FilterHeadroom},
		{"headroom, batch", func(s *Snapshot, available fakeCapacity) {
			available["t0"] = capacity.Resources{Tokens: 1 << 20, Slots: 1}
			s.Targets[0].Local.Running.Store(3)
		}, func(r *Request) { r.Class = config.ClassBatch }, FilterHeadroom},
		{"headroom, short", func(s *Snapshot, available fakeCapacity) {
			available["t0"] = capacity.Resources{Tokens: 1 << 20, Slots: 1}
			s.Targets[0].Local.Running.Store(3)
		}, nil, passed},
		{"headroom of a small share", func(_ *Snapshot, available fakeCapacity) {
			available["t0"] = capacity.Resources{Tokens: 1 << 20, Slots: 1}
		}, long, passed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, available, r, p := newSnapshot(1), fakeCapacity{}, shortRequest(), DefaultPolicy()
			c.set(s, available)
			if c.ask != nil {
				c.ask(r)
			}
			d := Pick(s, &p, r, available, nil)
			assert.Equal(t, d.OK, c.reject == passed, d.Reason())
			if c.reject != passed {
				assert.Equal(t, d.Rejected[c.reject], 1, d.Reason())
			}
		})
	}
}

// Guards against long prompts on the targets reserved for short ones, and against
// a refusal when only those are left.
func TestLongFreeShareIsSoft(t *testing.T) {
	s, p := newSnapshot(8), DefaultPolicy()
	last := map[uint32]bool{s.Index.lists[1].ids[6]: true, s.Index.lists[1].ids[7]: true}
	r := &Request{Service: "lm", Model: "m", PromptTokens: 50_000}
	for r.Seed = range 200 {
		d := Pick(s, &p, r, fakeCapacity{}, nil)
		assert.Assert(t, d.OK && !last[d.ID])
	}
	for id := range s.Targets {
		s.Targets[id].Usable = last[uint32(id)]
	}
	d := Pick(s, &p, r, fakeCapacity{}, nil)
	assert.Assert(t, d.OK && last[d.ID])
}

// Each case guards against a score that omits one of its terms.
func TestScorers(t *testing.T) {
	busy := func(s *Snapshot, level int, tokens int64) {
		s.Targets[0].Local.Sent[level].Store(tokens)
		s.Targets[0].Local.Unanswered[level].Store(tokens)
		s.Targets[0].Local.Running.Store(1)
	}
	for _, c := range []struct {
		name string
		set  func(s *Snapshot, r *Request)
		part ScoreTerm
		want float64
	}{
		{"reported backlog", func(s *Snapshot, _ *Request) { s.Targets[0].Backlog[2] = 50_000 }, TermBacklog, 0.5},
		{"backlog processed since the report", func(s *Snapshot, r *Request) {
			s.Targets[0].Backlog[2] = 50_000
			r.Now = 200 * time.Millisecond
		}, TermBacklog, 0.3},
		{"own requests since the report", func(s *Snapshot, _ *Request) { busy(s, 2, 10_000) }, TermBacklog, 0.1},
		{"own requests of lower priority", func(s *Snapshot, _ *Request) { busy(s, 3, 10_000) }, TermBacklog, 0},
		{"prefill", func(*Snapshot, *Request) {}, TermPrefill, 0.01},
		{"distance", func(s *Snapshot, _ *Request) { s.Targets[0].Distance = 0.003 }, TermDistance, 0.003},
		{"failures", func(s *Snapshot, _ *Request) { s.Targets[0].Failures = 2 }, TermFailures, 0.4},
		{"idle", func(*Snapshot, *Request) {}, TermIdle, -0.002},
		{"not idle", func(s *Snapshot, _ *Request) { s.Targets[0].Running = 1 }, TermIdle, 0},
		{"slots in use", func(s *Snapshot, _ *Request) { s.Targets[0].Running = 32 }, TermDecode, 0.01 + 0.2/32},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r, p := newSnapshot(1), shortRequest(), DefaultPolicy()
			c.set(s, r)
			d := Pick(s, &p, r, fakeCapacity{}, nil)
			assert.Assert(t, d.OK)
			assert.Assert(t, d.Score[c.part]-c.want < 1e-9 && c.want-d.Score[c.part] < 1e-9, d.Reason())
		})
	}
}

// Guards against a prefix holder that is overlooked because it is not in the
// sample.
func TestPrefixHolderIsConsidered(t *testing.T) {
	s, r, p := newSnapshot(1000), shortRequest(), DefaultPolicy()
	r.PromptTokens, r.Prefix = 10_000, []uint64{1}
	d := Pick(s, &p, r, fakeCapacity{}, fakePrefixes{{ID: 777, Tokens: 8000}})
	assert.Equal(t, d.Target.Name, "t777")
	assert.Equal(t, d.Cached, 8000)
}

// Guards against VMs that all choose the same target because they have the same
// old report.
func TestSameReportSpreadsOverTargets(t *testing.T) {
	s, p := newSnapshot(20), DefaultPolicy()
	s.Targets[3].Distance = -0.001 // looks best to every VM
	chosen := map[uint32]int{}
	for seed := range uint64(900) {
		r := shortRequest()
		r.Seed = seed
		d := Pick(s, &p, r, fakeCapacity{}, nil)
		chosen[d.ID]++
	}
	assert.Assert(t, chosen[3] < 500, "%v", chosen)
	assert.Assert(t, len(chosen) >= 15, "%v", chosen)
}

// Guards against a choice that violates a filter, and against a decision that
// depends on anything but its arguments.
func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 200).Draw(t, "targets")
		s, available := newSnapshot(n), fakeCapacity{}
		any := false
		for i := range s.Targets {
			s.Targets[i].Usable = rapid.Bool().Draw(t, "usable")
			slots := rapid.IntRange(0, 3).Draw(t, "slots")
			available[s.Targets[i].Name] = capacity.Resources{Tokens: 50_000, Slots: slots}
			any = any || (s.Targets[i].Usable && slots > 0)
		}
		r := shortRequest()
		r.PromptTokens = rapid.IntRange(1, 60_000).Draw(t, "prompt")
		r.Seed = rapid.Uint64().Draw(t, "seed")
		for _, p := range []Policy{DefaultPolicy(), LeastInFlight()} {
			d := Pick(s, &p, r, available, nil)
			again := Pick(s, &p, r, available, nil)
			assert.DeepEqual(t, d.ID, again.ID)
			if d.OK {
				assert.Assert(t, d.Target.Usable)
				resources := available[d.Target.Name]
				assert.Assert(t, resources.Slots > 0 && resources.Tokens >= r.PromptTokens+r.OutputTokens)
			} else if n <= maxScan {
				assert.Assert(t, !any || r.PromptTokens+r.OutputTokens > 50_000, d.Reason())
			}
		}
	})
}

// Guards against a baseline that does not behave as its name says.
func TestBaselines(t *testing.T) {
	s, rr, lif := newSnapshot(5), RoundRobin(), LeastInFlight()
	seen := map[uint32]int{}
	for range 10 {
		d := Pick(s, &rr, shortRequest(), fakeCapacity{}, nil)
		seen[d.ID]++
	}
	for id := range uint32(5) {
		assert.Equal(t, seen[id], 2)
	}
	for i := range s.Targets {
		s.Targets[i].Local.Running.Store(int64(5 - i))
	}
	d := Pick(s, &lif, shortRequest(), fakeCapacity{}, nil)
	assert.Equal(t, d.ID, uint32(4))
}

func benchmarkPick(b *testing.B, full bool) {
	s, p, available := newSnapshot(12_000), DefaultPolicy(), make(fakeCapacity, 12_000)
	for i := range s.Targets {
		available[s.Targets[i].Name] = capacity.Resources{Tokens: 400_000, Slots: 8}
		if full {
			available[s.Targets[i].Name] = capacity.Resources{}
		}
	}
	var holders PrefixIndex = fakePrefixes{{ID: 5, Tokens: 256}, {ID: 7000, Tokens: 512}}
	r := shortRequest()
	r.Prefix = []uint64{1, 2, 3}
	b.ReportAllocs()
	for b.Loop() {
		r.Seed++
		Pick(s, &p, r, available, holders)
	}
}

func BenchmarkPick12000(b *testing.B)     { benchmarkPick(b, false) }
func BenchmarkPick12000Full(b *testing.B) { benchmarkPick(b, true) }

// Guards against allocations during a decision.
func TestPickAllocatesNothing(t *testing.T) {
	s, p, r := newSnapshot(12_000), DefaultPolicy(), shortRequest()
	r.Prefix = []uint64{1}
	var available CapacityReader = fakeCapacity{}
	var prefixes PrefixIndex = fakePrefixes{{ID: 9, Tokens: 256}}
	allocs := testing.AllocsPerRun(100, func() { Pick(s, &p, r, available, prefixes) })
	assert.Equal(t, allocs, 0.0)
}
