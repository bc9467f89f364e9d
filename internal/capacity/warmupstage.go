package capacity

import "time"

const (
	// maxDoublings bounds the shift of a cold limit: 2^24 times a cold limit of
	// one is above every declared max-running.
	maxDoublings = 24
	// successesPerDoubling is the number of requests that must succeed at
	// normal speed before the cold limit doubles.
	successesPerDoubling = 4
	// slowRatio is the fraction of the declared speed below which a response
	// counts as a sign that the target is cold.
	slowRatio = 0.5
	// maxEvidenceAge is how old a response of the target may be while more than
	// the cold share is used. It bounds what a VM sends before it learns of a
	// cold reset.
	maxEvidenceAge = time.Second
)

// WarmupStage is the warm-up progress of a target that the VMs share. Stages
// merge without coordination: the highest wins.
type WarmupStage struct {
	StartNumber uint64 `msgpack:"Start"`    // start number of the target
	ColdResets  uint64 `msgpack:"Relapses"` // times that it turned cold without a restart
	Doublings   int    // doublings of the cold limit since then
}

// Less orders stages by start number, cold resets and doublings.
func (s WarmupStage) Less(o WarmupStage) bool {
	if s.StartNumber != o.StartNumber {
		return s.StartNumber < o.StartNumber
	}
	if s.ColdResets != o.ColdResets {
		return s.ColdResets < o.ColdResets
	}
	return s.Doublings < o.Doublings
}

// sameWarmPeriod reports whether there is no restart or cold reset between s
// and o.
func (s WarmupStage) sameWarmPeriod(o WarmupStage) bool {
	return s.StartNumber == o.StartNumber && s.ColdResets == o.ColdResets
}

// warmupState is a target's warm-up state as known to one VM.
type warmupState struct {
	stage     WarmupStage
	successes int
	changedAt time.Time
	// lastEvidence is the time of the last response that carried the stage's
	// start number and no sign of a cold target. Responses from before
	// coldSince do not count.
	lastEvidence time.Time
	coldSince    time.Time
	// coldResetAt is when this VM learned of the latest cold reset.
	coldResetAt time.Time
}

// advance replaces the stage by a higher one.
func (w *warmupState) advance(s WarmupStage, now time.Time) bool {
	if !w.stage.Less(s) {
		return false
	}
	if !w.stage.sameWarmPeriod(s) {
		w.lastEvidence = time.Time{}
		w.coldSince = now
		w.coldResetAt = now
	}
	w.stage = s
	w.successes = 0
	w.changedAt = now
	return true
}

// observe processes one response of the target. A response from an earlier
// start of the target changes nothing. A response without a start number can
// only show that an engine is cold.
func (w *warmupState) observe(o Observation, l *limits, now time.Time) {
	known := o.StartNumber != 0 || l.plain
	if o.StartNumber != 0 && o.StartNumber < w.stage.StartNumber {
		return
	}
	if o.StartNumber > w.stage.StartNumber {
		w.recordStart(o, now)
	}
	if o.Cold || (o.SpeedRatio > 0 && o.SpeedRatio < slowRatio) {
		w.recordCold(now)
		return
	}
	if !known || o.At.Before(w.coldSince) {
		return
	}
	if o.At.After(w.lastEvidence) {
		w.lastEvidence = o.At
	}
	if o.Finished && (l.plain || o.SpeedRatio > 0) {
		w.recordSuccess(l, now)
	}
}

// recordStart records a new start of the target. Its first response is also
// evidence.
func (w *warmupState) recordStart(o Observation, now time.Time) {
	w.advance(WarmupStage{StartNumber: o.StartNumber}, now)
	w.coldSince = o.At
}

// recordCold records a sign that the target is cold. A stage that is already
// fully cold is kept, so that VMs that observe the same cold reset do not each
// count it again.
func (w *warmupState) recordCold(now time.Time) {
	w.lastEvidence = time.Time{}
	w.coldSince = now
	w.successes = 0
	if w.stage.Doublings == 0 && w.stage.ColdResets > 0 {
		return
	}
	w.advance(WarmupStage{StartNumber: w.stage.StartNumber, ColdResets: w.stage.ColdResets + 1}, now)
}

func (w *warmupState) recordSuccess(l *limits, now time.Time) {
	if l.isWarm(w.stage.Doublings) {
		return
	}
	w.successes++
	if w.successes < successesPerDoubling {
		return
	}
	next := w.stage
	next.Doublings++
	w.advance(next, now)
}

// evidenceFresh reports whether more than the cold share may be used.
func (w *warmupState) evidenceFresh(now time.Time) bool {
	return !w.lastEvidence.IsZero() && now.Sub(w.lastEvidence) <= maxEvidenceAge
}
