package process

import (
	"time"

	"github.com/oriolefront/oriolefront/internal/pace"
	"github.com/oriolefront/oriolefront/internal/vmsettings"
)

// learnPace sets up what learns which targets are slow, if the settings ask for it.
func (p *Process) learnPace(s vmsettings.Placement) {
	if !s.LearnPace {
		return
	}
	p.pace = pace.NewTracker(p.vm.Name, p.log)
	p.metrics.NewGauge("oriole_slow_targets", func() float64 { return float64(len(p.pace.Slowdowns(time.Now()))) })
	p.metrics.NewGauge("oriole_pace_requests_observed", func() float64 { return float64(p.pace.Observed()) })
}
