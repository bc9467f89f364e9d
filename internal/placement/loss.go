package placement

import "time"

// Loss returns what the request of a plan and those that it meets are expected to lose, in small
// requests that are late, if every message to the target and back takes a further delay. Unlike
// Cost it contains nothing that only orders engines which serve a request equally well.
func (p Plan) Loss(req Request, delay time.Duration) float64 {
	w := Weight(req.PromptTokens)
	loss := p.Interference + p.faults
	first := p.TimeToFirstEvent + delay
	if first >= req.TimeLeft {
		return loss + w
	}
	late := max(ramp(req.Waited+first, req.Objective), ramp(p.eventGap, req.MaxEventGap))
	return loss + w*lateLoss*late
}
