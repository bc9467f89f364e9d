package forward

import (
	"slices"
	"time"

	"github.com/oriolefront/oriolefront/internal/placement"
	"github.com/oriolefront/oriolefront/internal/topology"
)

const (
	// minGaps and minGapsTime are the number of gaps between events, and their time, from
	// which a run tells the pace of its engine.
	minGaps     = 8
	minGapsTime = 500 * time.Millisecond
	// gapQuantile is the part of a run's gaps that must be long: the prefill of a prompt
	// that came and went within the run lengthens few of them.
	gapQuantile = 0.25
	// minReadShare is the part of a gap that must have been spent with waiting for the
	// engine rather than for the caller.
	minReadShare = 0.5
)

// gapEvidence collects the gaps between the events of a run.
type gapEvidence struct {
	model     *topology.EngineModel
	startedAt time.Time
	lastAt    time.Time
	gaps      []time.Duration
	// expected is the expected gap when the run began.
	expected time.Duration
	done     bool
}

// observeGap records that an event of a stream was read, for which the attempt had waited since
// reading. Each run gives evidence once, so that all evidence is of different requests.
func (h *Handler) observeGap(c *call, a *attempt, reading time.Time, err error) {
	if h.Pace == nil || err != nil {
		return
	}
	now := time.Now()
	if a.gapEvidence == nil {
		a.gapEvidence = h.newGapEvidence(c, a, now)
		return
	}
	e := a.gapEvidence
	if e.done {
		return
	}
	e.add(now, reading)
	if len(e.gaps) < minGaps || now.Sub(e.startedAt) < minGapsTime {
		return
	}
	e.done = true
	if expected := h.expectedGap(e.model, a.d.target); expected > 0 {
		h.Pace.ObserveEngine(a.d.target.ID, gapRatio(e.gaps, max(expected, e.expected)), now)
	}
	e.gaps = nil
}

// newGapEvidence returns the evidence of a run of which the first event was read. Nothing is
// collected at targets other than engines, at cold ones, and at those with unknown requests.
func (h *Handler) newGapEvidence(c *call, a *attempt, now time.Time) *gapEvidence {
	e := &gapEvidence{startedAt: now, lastAt: now, done: true}
	service := h.Views.Get().Service(c.service)
	if a.d.plan == nil || service == nil || service.Engine == nil || a.d.target.Cold(now) {
		return e
	}
	e.model, e.expected = service.Engine, h.expectedGap(service.Engine, a.d.target)
	e.done = e.expected <= 0
	return e
}

// add adds the gap before an event, unless the caller caused it.
func (e *gapEvidence) add(now, reading time.Time) {
	gap := now.Sub(e.lastAt)
	e.lastAt = now
	if float64(now.Sub(reading)) >= minReadShare*float64(gap) {
		e.gaps = append(e.gaps, gap)
	}
}

// expectedGap returns the time between events at an engine as far as its load is known, or 0 if
// it has requests that are not known here.
func (h *Handler) expectedGap(m *topology.EngineModel, t *topology.Target) time.Duration {
	if h.Health.Status(t.ID, time.Now()).UnknownRequests > 0 {
		return 0
	}
	load := h.Registry.LoadOf(t.ID)
	return placement.IterationTime(m, placement.Engine{Target: t, Requests: load.Requests, Parts: load.Parts, Ended: load.Ended})
}

// gapRatio returns the ratio of the observed to the expected gap.
func gapRatio(gaps []time.Duration, expected time.Duration) float64 {
	sorted := slices.Sorted(slices.Values(gaps))
	return float64(sorted[int(gapQuantile*float64(len(sorted)))]) / float64(expected)
}

// observeResponse records the response time of a target of a plain service. Requests that may
// have waited for a slot are no evidence.
func (h *Handler) observeResponse(c *call, a *attempt, o outcome, d time.Duration) {
	if h.Pace == nil || o != responded || a.d.plan != nil || c.route.Kind == topology.Stream {
		return
	}
	now := time.Now()
	if a.d.target.Cold(now) || h.Registry.Count(a.d.target.ID)+h.Health.Status(a.d.target.ID, now).UnknownRequests > a.d.target.Slots {
		return
	}
	h.Pace.ObservePlain(c.service, a.d.target.ID, d, now)
}

// plainLoadCost returns the cost of a plain target's requests. At a slow target the request
// itself counts, too, because even without others it takes longer there.
func plainLoadCost(requests, slots int, slowdown float64) float64 {
	if slowdown > 1 {
		return float64(requests+1) / float64(slots) * slowdown
	}
	return float64(requests) / float64(slots)
}
