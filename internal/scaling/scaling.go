package scaling

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"
)

// Figures of the planned size; docs/design.md, section 1.
const (
	plannedVMs              = 590
	plannedTargets          = 12_000
	plannedMonitoredTargets = 325 // targets that a VM monitors if each is shared by 16 of 590 seats
	plannedAccounts         = 22_000
	plannedChangesPerDay    = 16_000
)

const secondsPerDay = 24 * 60 * 60

// Experiment measures one or more quantities in one set-up.
type Experiment struct {
	Name string
	Run  func(ctx context.Context) ([]Result, error)
}

// Experiments lists the experiments in the order in which they run.
func Experiments() []Experiment {
	return []Experiment{
		{"links", links},
		{"membership", membershipCPU},
		{"stages", warmupStages},
		{"config", configCost},
		{"patch_fetch", patchFetch},
		{"heap", heapCost},
		{"polls", polls},
		{"inventory", inventory},
		{"publish", publish},
		{"claims", claims},
		{"fleet", fleetTraffic},
		{"replacement", replacement},
		{"gateway", gatewayCPU},
		{"streams", streamHeap},
		{"routing", routing},
	}
}

// ExperimentNames returns the names of all experiments.
func ExperimentNames() []string {
	var names []string
	for _, m := range Experiments() {
		names = append(names, m.Name)
	}
	return names
}

// experimentTimeout bounds the duration of one experiment.
const experimentTimeout = 2 * time.Minute

// Run runs the named experiments, or all if names is empty, and prints one line
// for each result.
func Run(ctx context.Context, out io.Writer, names []string) error {
	for _, m := range Experiments() {
		if len(names) > 0 && !slices.Contains(names, m.Name) {
			continue
		}
		if err := runOne(ctx, out, m); err != nil {
			return err
		}
	}
	return nil
}

func runOne(ctx context.Context, out io.Writer, m Experiment) error {
	ctx, cancel := context.WithTimeout(ctx, experimentTimeout)
	defer cancel()
	begin := time.Now()
	results, err := m.Run(ctx)
	if err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	for _, r := range results {
		fmt.Fprintln(out, r)
	}
	fmt.Fprintf(out, "# %s took %s\n", m.Name, time.Since(begin).Round(100*time.Millisecond))
	return nil
}

// series collects the points of one result.
type series struct {
	name, unit string
	planX      float64
	points     []Point
}

func (s *series) add(x, y float64) { s.points = append(s.points, Point{x, y}) }

func (s *series) result() Result {
	return Result{Name: s.name, Unit: s.unit, Points: s.points, Line: Fit(s.points), PlannedX: s.planX}
}

func resultsOf(all ...*series) []Result {
	results := make([]Result, len(all))
	for i, s := range all {
		results[i] = s.result()
	}
	return results
}
