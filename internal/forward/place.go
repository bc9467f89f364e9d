package forward

import (
	"context"
	"time"

	"github.com/oriolefront/oriolefront/internal/topology"
)

// place chooses a target for the call.
func (h *Handler) place(_ context.Context, c *call) (*topology.Target, *refusal) {
	view := h.Views.Get()
	loads := h.Board.ByTarget()
	now := time.Now()
	var best *topology.Target
	bestScore := 0.0
	for _, t := range view.Usable(c.service) {
		v := h.Health.Verdict(t.ID, now)
		if c.tried[t.ID] || v.Gone {
			continue
		}
		score := float64(len(loads[t.ID]))/float64(t.Slots) + 2*v.FailRate
		if v.Avoid {
			score += 10
		}
		if best == nil || score < bestScore {
			best, bestScore = t, score
		}
	}
	if best == nil {
		return nil, refuseNoTarget
	}
	return best, nil
}
