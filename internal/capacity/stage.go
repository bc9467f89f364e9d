package capacity

import "time"

const (
	// maxDoublings bounds the shift of a cold bound: 2^24 times a cold bound
	// of one is above every declared max-running.
	maxDoublings = 24
	// successesPerDoubling is the number of requests that must end well at
	// normal speed before the cold bound doubles.
	successesPerDoubling = 4
	// slowRatio is the share of the declared speed below which an answer counts
	// as a sign that the target is cold.
	slowRatio = 0.5
	// evidenceAge is how old an answer of the target may be while more than
	// the cold share is used. It bounds what a VM sends that has not yet heard
	// of a relapse.
	evidenceAge = time.Second
)

// WarmupStage is what the VMs know together of a target's warm-up. Stages merge
// without coordination: the highest wins.
type WarmupStage struct {
	Start     uint64 // start number of the target
	Relapses  uint64 // times that it turned cold without a new start number
	Doublings int    // doublings of the cold bound since then
}

// Less orders stages by start number, relapses and doublings.
func (s WarmupStage) Less(o WarmupStage) bool {
	if s.Start != o.Start {
		return s.Start < o.Start
	}
	if s.Relapses != o.Relapses {
		return s.Relapses < o.Relapses
	}
	return s.Doublings < o.Doublings
}

// sameWarmth reports whether no relapse lies between s and o.
func (s WarmupStage) sameWarmth(o WarmupStage) bool {
	return s.Start == o.Start && s.Relapses == o.Relapses
}

// warmth is a target's stage as one VM knows it.
type warmth struct {
	stage     WarmupStage
	successes int
	changed   time.Time
	// evidence is the time of the last answer that carried the stage's start
	// number and no sign of cold. Answers from before coldSince do not count.
	evidence  time.Time
	coldSince time.Time
	// relapsedAt is when this VM learned of the latest relapse.
	relapsedAt time.Time
}

// raise replaces the stage by a higher one.
func (w *warmth) raise(s WarmupStage, now time.Time) bool {
	if !w.stage.Less(s) {
		return false
	}
	if !w.stage.sameWarmth(s) {
		w.evidence = time.Time{}
		w.coldSince = now
		w.relapsedAt = now
	}
	w.stage = s
	w.successes = 0
	w.changed = now
	return true
}

// observe takes one answer of the target. An answer of an earlier start of the
// target changes nothing. An answer without a start number can only show that
// an engine is cold.
func (w *warmth) observe(o Observation, l *limits, now time.Time) {
	known := o.StartNumber != 0 || l.plain
	if o.StartNumber != 0 && o.StartNumber < w.stage.Start {
		return
	}
	if o.StartNumber > w.stage.Start {
		w.start(o, now)
	}
	if o.Cold || (o.SpeedRatio > 0 && o.SpeedRatio < slowRatio) {
		w.relapse(now)
		return
	}
	if !known || o.At.Before(w.coldSince) {
		return
	}
	if o.At.After(w.evidence) {
		w.evidence = o.At
	}
	if o.Finished && (l.plain || o.SpeedRatio > 0) {
		w.success(l, now)
	}
}

// start records a new start of the target, whose first answer is evidence too.
func (w *warmth) start(o Observation, now time.Time) {
	w.raise(WarmupStage{Start: o.StartNumber}, now)
	w.coldSince = o.At
}

// relapse records a sign of cold. A stage that is already known to be fully
// cold stays, so that VMs which see the same cold do not outbid each other.
func (w *warmth) relapse(now time.Time) {
	w.evidence = time.Time{}
	w.coldSince = now
	w.successes = 0
	if w.stage.Doublings == 0 && w.stage.Relapses > 0 {
		return
	}
	w.raise(WarmupStage{Start: w.stage.Start, Relapses: w.stage.Relapses + 1}, now)
}

func (w *warmth) success(l *limits, now time.Time) {
	if l.isWarm(w.stage.Doublings) {
		return
	}
	w.successes++
	if w.successes < successesPerDoubling {
		return
	}
	next := w.stage
	next.Doublings++
	w.raise(next, now)
}

// fresh reports whether more than the cold share may be used.
func (w *warmth) fresh(now time.Time) bool {
	return !w.evidence.IsZero() && now.Sub(w.evidence) <= evidenceAge
}
