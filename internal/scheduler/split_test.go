package scheduler

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/oriolefront/oriolefront/internal/config"
)

// splitSnapshot returns idle targets with the given KV cache sizes.
func splitSnapshot(kv ...int) *Snapshot {
	s := newSnapshot(len(kv))
	for i := range kv {
		s.Targets[i].Declared.KVTokens = kv[i]
	}
	return s
}

func splitOf(s *Snapshot, prompt, output int, o SplitOptions, exclude ...uint32) SplitPlan {
	p := DefaultPolicy()
	r := &Request{Service: "lm", Model: "m", Class: config.ClassBatch, PromptTokens: prompt, OutputTokens: output, Exclude: exclude}
	return Split(s, &p, r, o)
}

// Each case guards against parts that are too many, needlessly uneven, too large
// for their target, or on a target that cannot serve them.
func TestSplit(t *testing.T) {
	k := 1000
	for _, c := range []struct {
		name           string
		kv             []int
		set            func(s *Snapshot)
		prompt, output int
		options        SplitOptions
		exclude        []uint32
		want           []int // KV tokens of the parts; nil when there is no plan
	}{
		{name: "a million tokens", kv: []int{400 * k, 400 * k, 400 * k, 400 * k}, prompt: 1000*k - 100, output: 100, want: []int{333_333, 333_333, 333_334}},
		{name: "just above one", kv: []int{400 * k, 400 * k}, prompt: 342 * k, output: 2, want: []int{171_001, 171_001}},
		{name: "uneven targets", kv: []int{100 * k, 400 * k}, prompt: 400 * k, output: 0, want: []int{85_500, 314_500}},
		{name: "large output", kv: []int{400 * k, 400 * k}, prompt: 200 * k, output: 300 * k, want: []int{199_999, 300_001}},
		{name: "output above one target", kv: []int{400 * k, 400 * k}, prompt: 200 * k, output: 350 * k},
		{name: "too large", kv: []int{400 * k, 400 * k}, prompt: 700 * k},
		{name: "one more part", kv: []int{400 * k, 400 * k, 400 * k}, prompt: 600 * k, options: SplitOptions{ExtraParts: 1}, want: []int{200 * k, 200 * k, 200 * k}},
		{name: "unusable target", kv: []int{400 * k, 400 * k}, set: func(s *Snapshot) { s.Targets[0].Usable = false }, prompt: 500 * k},
		{name: "excluded target as the last choice", kv: []int{400 * k, 400 * k}, prompt: 500 * k, exclude: []uint32{0}, want: []int{250 * k, 250 * k}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := splitSnapshot(c.kv...)
			if c.set != nil {
				c.set(s)
			}
			plan := splitOf(s, c.prompt, c.output, c.options, c.exclude...)
			assert.Equal(t, plan.OK, c.want != nil)
			for i, want := range c.want {
				assert.Equal(t, plan.Parts[i].Tokens, want)
			}
		})
	}
}

// Guards against parts on targets that failed the request, are full, refused a
// reservation or have a backlog, while others do not.
func TestSplitAvoids(t *testing.T) {
	for name, set := range map[string]func(s *Snapshot, o *SplitOptions, bad uint32) []uint32{
		"excluded": func(_ *Snapshot, _ *SplitOptions, bad uint32) []uint32 { return []uint32{bad} },
		"full":     func(s *Snapshot, _ *SplitOptions, bad uint32) []uint32 { s.Targets[bad].KVUsed = 350_000; return nil },
		"refused": func(s *Snapshot, o *SplitOptions, bad uint32) []uint32 {
			o.FailedReservations = map[string]int{s.Targets[bad].Name: 1}
			return nil
		},
		"backlog": func(s *Snapshot, _ *SplitOptions, bad uint32) []uint32 {
			s.Targets[bad].Backlog[Levels-1] = 1e6
			return nil
		},
		"far": func(s *Snapshot, _ *SplitOptions, bad uint32) []uint32 { s.Targets[bad].Distance = 0.1; return nil },
	} {
		t.Run(name, func(t *testing.T) {
			// Of eight targets, the first four in hash order are preferred. The
			// target under test is one of them.
			s, o := splitSnapshot(400_000, 400_000, 400_000, 400_000, 400_000, 400_000, 400_000, 400_000), SplitOptions{}
			bad := s.Index.find("lm", "m").ids[0]
			exclude := set(s, &o, bad)
			plan := splitOf(s, 500_000, 10, o, exclude...)
			assert.Equal(t, len(plan.Parts), 2)
			for _, part := range plan.Parts {
				assert.Assert(t, part.Decision.ID != bad)
				assert.Assert(t, slices.Contains(s.Index.find("lm", "m").ids[1:4], part.Decision.ID))
			}
		})
	}
}

// Guards against a plan with gaps, overlaps, an empty part or a part that exceeds
// its target, and against the refusal of a prompt that the targets can hold.
func TestSplitCoversThePrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := rapid.SliceOfN(rapid.IntRange(100, 500_000), 2, 12).Draw(t, "kv")
		prompt, output := rapid.IntRange(500, 2_000_000).Draw(t, "prompt"), rapid.IntRange(0, 1000).Draw(t, "output")
		plan := splitOf(splitSnapshot(kv...), prompt, output, SplitOptions{ExtraParts: rapid.IntRange(0, 2).Draw(t, "extra")})
		fits := prompt+output <= plan.KVCapacity && output <= plan.OutputCapacity
		if plan.OK != fits {
			t.Fatalf("planned %t, fits %t", plan.OK, fits)
		}
		from := 0
		for i, part := range plan.Parts {
			if part.From != from || part.To <= part.From || part.Tokens > PartLimit(part.Decision.Target.Declared.KVTokens) {
				t.Fatalf("part %d is %+v", i, part)
			}
			from = part.To
		}
		if plan.OK && (from != prompt || plan.Finish < plan.TimeToFirstToken) {
			t.Fatalf("plan ends at %d of %d", from, prompt)
		}
	})
}
