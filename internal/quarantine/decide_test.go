package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

// at returns the time a number of milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// crash returns the record of a request that was present at a crash. Its own part, its identity
// and its id are its name; a caller's second try is named with a trailing quote, one
// whose response had begun with a prefix.
func crash(ms int, target, request string, parts ...string) Crash {
	begun := strings.HasPrefix(request, "begun-")
	request = strings.TrimPrefix(request, "begun-")
	ownPart := request
	if request[len(request)-1] == '\'' {
		ownPart = request[:len(request)-1]
	}
	return Crash{Target: target, Request: request, Identity: ownPart, OwnPart: "own-" + ownPart, Parts: parts, Begun: begun, At: at(ms)}
}

// condemned returns the names of what findings condemn.
func condemned(findings []Finding) []string {
	var causes []string
	for _, f := range findings {
		causes = append(causes, strings.Join(f.cause().subjects(), "+"))
	}
	return causes
}

// Guards against a part that goes on crashing targets, and against sound parts that are
// quarantined because they were present at crashes.
func TestDecide(t *testing.T) {
	served := func(ms int, parts ...string) map[string]time.Time {
		m := map[string]time.Time{"f": at(-100)}
		for _, part := range parts {
			m[part] = at(ms)
		}
		return m
	}
	for name, c := range map[string]struct {
		now     int
		crashes []Crash
		served  map[string]time.Time
		change  func(*snapshot)
		want    []string
	}{
		"no crash": {},
		"one crash": {
			crashes: []Crash{crash(0, "a", "r1", "f", "x")},
		},
		"two prompts at two crashes": {now: 300,
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(300, "b", "r2", "f", "x")},
			want:    []string{"x"},
		},
		"one request at two crashes": {now: 300,
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(300, "b", "r1", "f", "x")},
			want:    []string{"request:r1"},
		},
		"one request, its repeat and its caller's second try": {now: 900,
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(300, "b", "r1", "f", "x"), crash(900, "c", "r1'", "f", "x")},
			want:    []string{"request:r1"},
		},
		"two prompts at the crash of one target": {
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(5, "a", "r2", "f", "x")},
		},
		"many targets at once": {now: 10,
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(5, "b", "r2", "f", "x"), crash(9, "c", "r3", "f", "x"), crash(10, "d", "r4", "f", "x")},
		},
		"served between the crashes": {now: 300, served: served(100, "x"),
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(300, "b", "r2", "f", "x")},
		},
		"served after the crashes": {now: 1500, served: served(400, "x"),
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(300, "b", "r2", "f", "x")},
		},
		"bystanders at the crashes of another part": {now: 600,
			crashes: []Crash{
				crash(0, "a", "r1", "f", "x"), crash(0, "a", "s1", "f", "y"),
				crash(300, "b", "r2", "f", "x"), crash(300, "b", "s2", "f", "y"),
				crash(600, "c", "r3", "f", "x")},
			want: []string{"x"},
		},
		"two explanations": {now: 300,
			crashes: []Crash{
				crash(0, "a", "r1", "f", "x"), crash(0, "a", "s1", "f", "y"),
				crash(300, "b", "r2", "f", "x"), crash(300, "b", "s2", "f", "y")},
		},
		"a bystander that is sent again beside the culprit": {now: 300,
			crashes: []Crash{
				crash(0, "a", "r1", "f", "x"), crash(0, "a", "s1", "f"),
				crash(300, "b", "r2", "f", "x"), crash(300, "b", "s1", "f")},
		},
		"a part that always comes with the culprit": {now: 600,
			crashes: []Crash{crash(0, "a", "r1", "x", "y"), crash(300, "b", "r2", "x", "y"), crash(600, "c", "r3", "x", "y")},
			want:    []string{"x+y"},
		},
		"two culprits": {now: 900,
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(300, "b", "r2", "f", "y"), crash(600, "c", "r3", "f", "x"), crash(900, "d", "r4", "f", "y")},
			want:    []string{"x", "y"},
		},
		"part that was sound before, few crashes": {now: 5000, served: served(-5000, "x"),
			crashes: []Crash{crash(0, "a", "r1", "x"), crash(300, "b", "r2", "x")},
		},
		"part that was sound before, three prompts": {now: 2500, served: served(-5000, "x"),
			crashes: []Crash{crash(0, "a", "r1", "x"), crash(300, "b", "r2", "x"), crash(2500, "c", "r3", "x")},
			want:    []string{"x"},
		},
		"part that was sound before, second tries": {now: 2500, served: served(-5000, "x"),
			crashes: []Crash{crash(0, "a", "r1", "x"), crash(300, "b", "r1", "x"), crash(600, "c", "r1'", "x"), crash(2500, "d", "r2", "x")},
			want:    []string{"request:r1"},
		},
		"one request without a prompt": {now: 300,
			crashes: []Crash{crash(0, "a", "r1"), crash(300, "b", "r1'")},
			want:    []string{"request:r1"},
		},
		"one request, with others that are served meanwhile": {now: 300, served: served(100, "request:s1", "request:s2"),
			crashes: []Crash{
				crash(0, "a", "r1", "f"), crash(0, "a", "s1", "f"), crash(0, "a", "s2", "f"),
				crash(300, "b", "r1", "f"), crash(300, "b", "s1", "f")},
			want: []string{"request:r1"},
		},
		"one request, with others at each crash": {now: 300,
			crashes: []Crash{crash(0, "a", "r1", "f"), crash(0, "a", "s1", "f"), crash(300, "b", "r1", "f"), crash(300, "b", "s2", "f")},
			want:    []string{"request:r1"},
		},
		"a request that is sent again beside the culprit three times": {now: 600,
			crashes: []Crash{
				crash(0, "a", "r1", "f"), crash(0, "a", "s1", "f"),
				crash(300, "b", "r1", "f"), crash(300, "b", "s1", "f"),
				crash(600, "c", "r1'", "f")},
			want: []string{"request:r1"},
		},
		"a request that is sent again beside the culprit, and begins": {now: 300,
			crashes: []Crash{
				crash(0, "a", "r1", "f"), crash(0, "a", "a1", "f"),
				crash(300, "b", "r1", "f"), crash(300, "b", "begun-a1", "f")},
			want: []string{"request:r1"},
		},
		"two requests at the same three crashes": {now: 600,
			crashes: []Crash{
				crash(0, "a", "r1", "f"), crash(0, "a", "a1", "f"),
				crash(300, "b", "r1", "f"), crash(300, "b", "a1", "f"),
				crash(600, "c", "r1'", "f"), crash(600, "c", "a1'", "f")},
			want: []string{"request:a1", "request:r1"},
		},
		"a request that had begun at the same three crashes": {now: 600,
			crashes: []Crash{
				crash(0, "a", "r1", "f"), crash(0, "a", "a1", "f"),
				crash(300, "b", "r1", "f"), crash(300, "b", "a1", "f"),
				crash(600, "c", "r1'", "f"), crash(600, "c", "begun-a1'", "f")},
			want: []string{"request:r1"},
		},
		"a bystander of two culprits, of which one is known": {now: 900,
			crashes: []Crash{
				crash(0, "a", "r1", "f"), crash(0, "a", "s1", "f"), crash(300, "b", "r1", "f"),
				crash(600, "c", "r2", "f"), crash(600, "c", "s1", "f")},
			want: []string{"request:r1"},
		},
		"a request that was served between its crashes": {now: 300, served: served(100, "request:r1"),
			crashes: []Crash{crash(0, "a", "r1", "f"), crash(300, "b", "r1'", "f")},
		},
		"a request whose targets end in one outage": {now: 20,
			crashes: []Crash{crash(0, "a", "r1", "f"), crash(20, "b", "r1'", "f")},
		},
		"a sound part at one request's crashes": {now: 9000, served: served(-60000, "x"),
			crashes: []Crash{
				crash(0, "a", "r1", "x"), crash(400, "b", "r1", "x"), crash(800, "c", "r1'", "x"), crash(1200, "d", "r1'", "x"),
				crash(2500, "e", "r1'", "x"), crash(9000, "g", "r1'", "x")},
			want: []string{"request:r1"},
		},
		"a part of two requests that were tried again": {now: 900,
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(300, "b", "r1", "f", "x"), crash(600, "c", "r2", "f", "x"), crash(900, "d", "r2", "f", "x")},
			want:    []string{"x"},
		},
		"a part whose first request was condemned before": {now: 600,
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(300, "b", "r1", "f", "x"), crash(600, "c", "r2", "f", "x")},
			change:  func(s *snapshot) { s.condemned = []cause{{request: "r1"}} },
			want:    []string{"x"},
		},
		"a part with a bystander at the crash of a condemned request": {now: 600,
			crashes: []Crash{crash(0, "a", "r1", "f"), crash(0, "a", "s1", "f", "y"), crash(300, "b", "r1", "f"), crash(600, "c", "s2", "f", "y")},
			change:  func(s *snapshot) { s.condemned = []cause{{request: "r1"}} },
		},
		"a request at the crashes of a quarantined part": {now: 600,
			crashes: []Crash{crash(0, "a", "r1", "x"), crash(300, "b", "r1", "x")},
			change:  func(s *snapshot) { s.condemned = []cause{{parts: []string{"x"}}} },
		},
		"a request after the end of its quarantine": {now: 600,
			crashes: []Crash{crash(0, "a", "r1", "f"), crash(300, "b", "r1", "f"), crash(600, "c", "r1'", "f")},
			change:  func(s *snapshot) { s.condemned = []cause{{request: "r1", until: at(500)}} },
			want:    []string{"request:r1"},
		},
		"part that was sound before, while nothing is served": {now: 2500, served: served(-5000, "x"),
			crashes: []Crash{crash(0, "a", "r1", "x"), crash(300, "b", "r2", "x"), crash(600, "c", "r3", "x"), crash(2500, "d", "r4", "x")},
			change:  func(s *snapshot) { s.recent = []time.Time{at(-300), at(-200), at(-100)} },
		},
		"common part, before its served requests can be known": {now: 900, served: served(-1000, "g"),
			crashes: []Crash{crash(0, "a", "r1", "g"), crash(300, "b", "r2", "g"), crash(600, "c", "r3", "g"), crash(900, "d", "r4", "g")},
		},
		"part that was sound before, with another not served since": {now: 2500, served: served(-60000, "x"),
			crashes: []Crash{crash(0, "a", "r1", "f", "x"), crash(300, "b", "r2", "f", "x"), crash(600, "c", "r3", "f", "x"), crash(2500, "d", "r4", "f", "x")},
			want:    []string{"f+x"},
		},
		"VM that does not know the usual parts yet": {now: 300,
			crashes: []Crash{crash(0, "a", "r1", "x"), crash(300, "b", "r2", "x")},
			change:  func(s *snapshot) { s.experienced = false },
		},
		"explained by a quarantined part": {now: 600,
			crashes: []Crash{
				crash(0, "a", "r1", "x"), crash(0, "a", "s1", "y"),
				crash(300, "b", "r2", "x"), crash(300, "b", "s2", "y"),
				crash(600, "c", "r3", "x"), crash(600, "c", "s3", "y")},
			change: func(s *snapshot) { s.condemned = []cause{{parts: []string{"x"}}} },
		},
		"crashes before the end of a quarantine": {now: 600,
			crashes: []Crash{crash(0, "a", "r1", "x"), crash(300, "b", "r2", "x")},
			change:  func(s *snapshot) { s.condemned = []cause{{parts: []string{"x"}, until: at(500)}} },
		},
		"one crash after the end of a quarantine": {now: 600,
			crashes: []Crash{crash(0, "a", "r1", "x"), crash(300, "b", "r2", "x"), crash(600, "c", "r3", "x")},
			change:  func(s *snapshot) { s.condemned = []cause{{parts: []string{"x"}, until: at(500)}} },
			want:    []string{"x"},
		},
		"old evidence, before other VMs can tell what they served": {now: 60100,
			crashes: []Crash{crash(0, "a", "r1", "x"), crash(60000, "b", "r2", "x")},
		},
		"old evidence, after that": {now: 60400,
			crashes: []Crash{crash(0, "a", "r1", "x"), crash(60000, "b", "r2", "x")},
			want:    []string{"x"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := snapshot{now: at(c.now + 50), crashes: c.crashes, served: c.served, experienced: true, recent: []time.Time{at(100), at(200), at(300)}}
			if s.served == nil {
				s.served = served(0)
			}
			if c.change != nil {
				c.change(&s)
			}
			assert.DeepEqual(t, condemned(decide(s)), c.want)
		})
	}
}

// Guards against decisions that depend on the order in which VMs hear of crashes, and against
// quarantines without enough evidence.
func TestDecisionProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := snapshot{now: at(10_000), served: map[string]time.Time{}, recent: []time.Time{at(9500), at(9600), at(9700)}, experienced: rapid.Bool().Draw(r, "experienced")}
		for range rapid.IntRange(0, 30).Draw(r, "crashes") {
			n := rapid.IntRange(0, 6).Draw(r, "target")
			request := fmt.Sprintf("r%d", rapid.IntRange(0, 15).Draw(r, "request"))
			if rapid.Bool().Draw(r, "begun") {
				request = "begun-" + request
			}
			parts := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 3, rapid.ID).Draw(r, "parts")
			// Each target crashes once, some of them in one outage.
			s.crashes = append(s.crashes, crash([]int{0, 20, 40, 900, 2500, 5000, 9000}[n], fmt.Sprint(n), request, parts...))
		}
		for _, part := range rapid.SliceOfDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.ID).Draw(r, "served") {
			s.served[part] = at(rapid.IntRange(-5000, 10_000).Draw(r, "served at"))
		}
		findings := decide(s)
		for _, f := range findings {
			if f.Request != "" {
				checkRequestFinding(r, s, f)
				continue
			}
			present, requests := map[string]bool{}, map[string]bool{}
			for _, c := range s.crashes {
				for _, part := range c.Parts {
					if part == f.Part && !s.served[part].After(c.At) {
						present[c.Target], requests[c.Request] = true, true
					}
				}
			}
			least := newPartPrompts
			if _, ever := s.served[f.Part]; ever || !s.experienced {
				least = knownPartPrompts
			}
			assert.Assert(r, len(present) >= least && len(requests) >= 2, "%+v", f)
			assert.Assert(r, f.Prompts <= f.Separate && f.Separate <= f.Crashes && f.Crashes <= len(present), "%+v", f)
		}
		shuffled := s
		shuffled.crashes = rapid.Permutation(s.crashes).Draw(r, "order")
		assert.DeepEqual(r, condemned(decide(shuffled)), condemned(findings))
	})
}

// checkRequestFinding checks that a condemned request was at two separate crashes at least, since
// it was last served, and that no part alone is condemned with it.
func checkRequestFinding(r *rapid.T, s snapshot, f Finding) {
	present := map[string]bool{}
	for _, c := range s.crashes {
		if c.Identity == f.Request && !s.served[requestKey(c.Identity)].After(c.At) {
			present[c.Target] = true
		}
	}
	assert.Assert(r, len(present) >= requestCrashes && f.Separate >= requestCrashes && f.Crashes <= len(present), "%+v", f)
	assert.Assert(r, f.Part == "" && len(f.With) == 0, "%+v", f)
}

// Guards against a part that is condemned for the crashes of a single request, whatever else was
// there.
func TestOneRequestNeverCondemnsPart(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := snapshot{now: at(60_000), served: map[string]time.Time{}, recent: []time.Time{at(59_500), at(59_600), at(59_700)}, experienced: true}
		for n := range rapid.IntRange(1, 8).Draw(r, "crashes") {
			s.crashes = append(s.crashes, crash(n*400, fmt.Sprint(n), "r1"+strings.Repeat("'", n%2), "a", "b"))
			for i := range rapid.IntRange(0, 3).Draw(r, "bystanders") {
				bystander := fmt.Sprintf("s%d-%d", n, i)
				part := rapid.SampledFrom([]string{"c", "d", "e"}).Draw(r, "part")
				s.crashes = append(s.crashes, crash(n*400, fmt.Sprint(n), bystander, part))
				s.served[part], s.served[requestKey(bystander)] = at(20_000), at(20_000)
			}
		}
		for _, f := range decide(s) {
			assert.Equal(r, f.Request, "r1")
		}
	})
}
