package scheduler

import (
	"strconv"
	"time"
)

// ScoreTerm names one part of a score.
type ScoreTerm int

// The parts of a score; all are seconds.
const (
	TermBacklog ScoreTerm = iota
	TermPrefill
	TermDecode
	TermDistance
	TermFailures
	TermIdle
	partCount
)

var partNames = [partCount]string{"backlog", "prefill", "decode", "distance", "failures", "idle"}

// Score holds the parts of a candidate's score in seconds. The lowest sum wins.
type Score [partCount]float64

// Sum returns the value that candidates are compared by.
func (s *Score) Sum() float64 {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return sum
}

// firstToken is the part of the score that estimates the time to first token.
func (s *Score) firstToken() float64 {
	return s[TermBacklog] + s[TermPrefill] + s[TermDecode] + s[TermDistance]
}

// scoreTarget estimates the time to first token of r on t and adds penalties.
func scoreTarget(p *Policy, t *Target, r *Request, cached int) (s Score) {
	backlog := t.backlogAt(r.Now, p.LevelOf(r.Class, r.PromptTokens))
	running := t.runningAt()
	if t.PrefillRate > 0 {
		s[TermBacklog] = backlog / t.PrefillRate
		s[TermPrefill] = float64(uncached(r.PromptTokens, cached)) / t.PrefillRate
	}
	s[TermDecode] = slotWait(t, r, running)
	s[TermDistance] = t.Distance
	s[TermFailures] = t.Failures * p.FailurePenalty.Seconds()
	if running == 0 && backlog == 0 {
		s[TermIdle] = -p.IdleBonus.Seconds()
	}
	return s
}

func uncached(promptTokens, cached int) int { return max(1, promptTokens-cached) }

// slotWait is the expected wait for a decode slot: nothing up to three quarters
// of the slots, then a rising part of one decode step, and a share of a whole
// answer for each request beyond the slots.
func slotWait(t *Target, r *Request, running int) float64 {
	slots := float64(t.Declared.MaxRunning)
	if slots <= 0 || t.DecodeRate <= 0 {
		return float64(running) / max(1, slots) * plainRequestSeconds
	}
	busy := float64(running) / slots
	if busy < 0.75 {
		return 0
	}
	if busy < 1 {
		return (busy - 0.75) * 4 / t.DecodeRate
	}
	answer := float64(max(1, r.OutputTokens)) / t.DecodeRate
	return 1/t.DecodeRate + answer*(float64(running)-slots+1)/slots
}

// plainRequestSeconds is the assumed duration of a plain request on a busy
// target; only its ratio to the zone distance matters.
const plainRequestSeconds = 0.02

// Decision is the outcome of Pick.
type Decision struct {
	OK     bool
	ID     uint32
	Target *Target // in the snapshot
	Level  int
	Cached int // prompt tokens in the target's prefix cache
	Score  Score
	// Backlog is the estimate of the prefill tokens ahead.
	Backlog float64
	// Candidates counts the targets that offer the model, Seen those looked
	// at, Scored those that passed, and Rejected the others by filter.
	Candidates int
	Examined   int
	Scored     int
	Rejected   [filterCount]int
}

// TimeToFirstToken is the estimated time to the first token.
func (d *Decision) TimeToFirstToken() time.Duration { return seconds(d.Score.firstToken()) }

// Finish is the estimated time to the end of an answer of some tokens.
func (d *Decision) Finish(outputTokens int) time.Duration {
	if d.Target == nil || d.Target.DecodeRate <= 0 {
		return d.TimeToFirstToken()
	}
	return seconds(d.Score.firstToken() + float64(outputTokens)/d.Target.DecodeRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Reason formats the decision for the log. It is the only part that allocates.
func (d *Decision) Reason() string {
	b := make([]byte, 0, 192)
	if d.OK {
		b = append(b, "score="...)
		b = strconv.AppendFloat(b, d.Score.Sum(), 'f', 4, 64)
		for i, v := range d.Score {
			if v != 0 {
				b = append(append(append(b, ' '), partNames[i]...), '=')
				b = strconv.AppendFloat(b, v, 'f', 4, 64)
			}
		}
		b = append(b, " cached="...)
		b = strconv.AppendInt(b, int64(d.Cached), 10)
		b = append(b, ' ')
	}
	b = append(b, "candidates="...)
	b = strconv.AppendInt(b, int64(d.Candidates), 10)
	b = append(b, " seen="...)
	b = strconv.AppendInt(b, int64(d.Examined), 10)
	b = append(b, " scored="...)
	b = strconv.AppendInt(b, int64(d.Scored), 10)
	for i, n := range d.Rejected {
		if n > 0 {
			b = append(append(append(b, ' '), filterNames[i]...), '=')
			b = strconv.AppendInt(b, int64(n), 10)
		}
	}
	return string(b)
}
