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
	planVMs           = 590
	planTargets       = 12_000
	planFollowed      = 325 // targets that a VM follows with 16 of 590 seats
	planAccounts      = 22_000
	planChangesPerDay = 16_000
)

const secondsPerDay = 24 * 60 * 60

// Experiment is one or more slopes that one set-up yields.
type Experiment struct {
	Name string
	Run  func(ctx context.Context) ([]Result, error)
}

// All lists the measures in the order in which they run.
func All() []Experiment {
	return []Experiment{
		{"links", links},
		{"membership", membershipCPU},
		{"stages", stages},
		{"config", configCost},
		{"patch_fetch", patchFetch},
		{"heap", heapCost},
		{"polls", polls},
		{"inventory", inventory},
		{"publish", publish},
		{"claims", claims},
		{"fleet", fleet},
		{"replacement", replacement},
		{"gateway", gatewayCPU},
		{"streams", streamHeap},
		{"routing", routing},
	}
}

// Names returns the names of all measures.
func Names() []string {
	var names []string
	for _, m := range All() {
		names = append(names, m.Name)
	}
	return names
}

// maxRun bounds one measure.
const maxRun = 2 * time.Minute

// Run runs the named measures, or all, and prints one line for each slope.
func Run(ctx context.Context, out io.Writer, names []string) error {
	for _, m := range All() {
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
	ctx, cancel := context.WithTimeout(ctx, maxRun)
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

// series collects the points of one slope.
type series struct {
	name, unit string
	planX      float64
	points     []Point
}

func (s *series) add(x, y float64) { s.points = append(s.points, Point{x, y}) }

func (s *series) result() Result {
	return Result{Name: s.name, Unit: s.unit, Points: s.points, Line: Fit(s.points), PlanX: s.planX}
}

func resultsOf(all ...*series) []Result {
	results := make([]Result, len(all))
	for i, s := range all {
		results[i] = s.result()
	}
	return results
}
