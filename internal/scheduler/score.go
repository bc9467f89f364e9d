package scheduler

import (
	"strconv"
	"time"
)

// ScoreTerm identifies one term of a score.
type ScoreTerm int

// The terms of a score, all in seconds.
const (
	TermBacklog ScoreTerm = iota
	TermPrefill
	TermDecode
	TermDistance
	TermFailures
	TermIdle
	termCount
)

var termNames = [termCount]string{"backlog", "prefill", "decode", "distance", "failures", "idle"}

// Score holds the terms of a candidate's score. The candidate with the lowest sum
// wins.
type Score [termCount]float64

// Sum returns the value by which candidates are compared.
func (s *Score) Sum() float64 {
	sum := 0.0
	for _, v := range s {
		sum += v
	}
	return sum
}

// timeToFirstToken sums the terms that estimate the time to first token.
func (s *Score) timeToFirstToken() float64 {
	return s[TermBacklog] + s[TermPrefill] + s[TermDecode] + s[TermDistance]
}

// scoreTarget estimates the time to first token of r on t, and adds the
// penalties.
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

// slotWait estimates the wait for a decode slot. It is 0 while at most three
// quarters of the slots are in use, then rises to one decode step. Each request
// beyond the slots adds the duration of a response divided by the number of
// slots.
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
	responseTime := float64(max(1, r.OutputTokens)) / t.DecodeRate
	return 1/t.DecodeRate + responseTime*(float64(running)-slots+1)/slots
}

// plainRequestSeconds is the assumed duration of a plain request on a busy
// target. Only its ratio to the distance between zones matters.
const plainRequestSeconds = 0.02

// Decision is the result of Pick.
type Decision struct {
	OK     bool
	ID     uint32
	Target *Target // points into the snapshot
	Level  int
	Cached int // prompt tokens in the target's prefix cache
	Score  Score
	// Backlog is the estimated number of prefill tokens that are served first.
	Backlog float64
	// Candidates counts the targets that offer the model, Examined those that
	// were examined, Scored those that passed all filters, and Rejected the
	// others by filter.
	Candidates int
	Examined   int
	Scored     int
	Rejected   [filterCount]int
}

// TimeToFirstToken returns the estimated time to first token.
func (d *Decision) TimeToFirstToken() time.Duration { return seconds(d.Score.timeToFirstToken()) }

// Finish returns the estimated time to the end of a response with the given
// number of output tokens.
func (d *Decision) Finish(outputTokens int) time.Duration {
	if d.Target == nil || d.Target.DecodeRate <= 0 {
		return d.TimeToFirstToken()
	}
	return seconds(d.Score.timeToFirstToken() + float64(outputTokens)/d.Target.DecodeRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Reason formats the decision for the log. Only this method allocates.
func (d *Decision) Reason() string {
	b := make([]byte, 0, 192)
	if d.OK {
		b = append(b, "score="...)
		b = strconv.AppendFloat(b, d.Score.Sum(), 'f', 4, 64)
		for i, v := range d.Score {
			if v != 0 {
				b = append(append(append(b, ' '), termNames[i]...), '=')
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
