package scaling

import (
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against capacity figures that are computed from a wrong fit.
func TestFit(t *testing.T) {
	exact := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	assert.Assert(t, math.Abs(exact.Slope-2) < 1e-9)
	assert.Assert(t, math.Abs(exact.Intercept-3) < 1e-9)
	assert.Assert(t, math.Abs(exact.R2-1) < 1e-9)
	assert.Equal(t, exact.At(10), 23.0)

	noisy := Fit([]Point{{1, 1}, {2, 9}, {3, 2}})
	assert.Assert(t, noisy.R2 < 0.5)

	line := Result{Name: "x", Unit: "bytes", Line: exact, PlannedX: 590}.String()
	assert.Assert(t, strings.Contains(line, "plan_value=1183"), line)
	assert.Assert(t, !strings.Contains(line, "plan_measured"), line)

	measured := Result{Name: "x", Unit: "bytes", Points: []Point{{1, 5}, {4, 12}}, Line: exact, PlannedX: 4}.String()
	poor := Result{Points: []Point{{1, 1}, {2, 9}, {3, 2}}, Line: noisy}.String()
	assert.Assert(t, strings.HasSuffix(poor, " points=1:1,2:9,3:2"), poor)
	assert.Assert(t, strings.Contains(measured, "plan_value=11 plan_measured=12"), measured)
}
