// Package scaling measures how the cost of the control plane and of the request
// path grows with the size of the system, and fits a line to each measurement.
package scaling

import (
	"fmt"
	"math"
	"strings"
)

// Point is one measurement.
type Point struct {
	X, Y float64
}

// Line is a straight line fitted to points by least squares.
type Line struct {
	Slope, Intercept float64
	R2               float64 // share of the variance that the line explains
	MinX, MaxX       float64
}

// Fit returns the least-squares line. It needs two points with different X.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sumX, sumY float64
	l := Line{MinX: math.Inf(1), MaxX: math.Inf(-1)}
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		l.MinX = min(l.MinX, p.X)
		l.MaxX = max(l.MaxX, p.X)
	}
	meanX, meanY := sumX/n, sumY/n
	var covariance, varianceX, varianceY float64
	for _, p := range points {
		covariance += (p.X - meanX) * (p.Y - meanY)
		varianceX += (p.X - meanX) * (p.X - meanX)
		varianceY += (p.Y - meanY) * (p.Y - meanY)
	}
	l.Slope = covariance / varianceX
	l.Intercept = meanY - l.Slope*meanX
	l.R2 = 1
	if varianceY > 0 {
		l.R2 = covariance * covariance / (varianceX * varianceY)
	}
	return l
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Result is a measured quantity with the line fitted to it.
type Result struct {
	Name   string
	Unit   string // such as "bytes/s per peer"
	Points []Point
	Line   Line
	// PlannedX is X at the planned size, or 0 if the plan does not define it.
	PlannedX float64
}

// String formats the result as one line of output.
func (r Result) String() string {
	text := fmt.Sprintf("measure=%s slope=%.6g intercept=%.6g unit=%q r2=%.4f range=%g..%g",
		r.Name, r.Line.Slope, r.Line.Intercept, r.Unit, r.Line.R2, r.Line.MinX, r.Line.MaxX)
	if r.PlannedX > 0 {
		text += fmt.Sprintf(" plan_x=%g plan_value=%.6g", r.PlannedX, r.Line.At(r.PlannedX))
	}
	for _, p := range r.Points {
		if r.PlannedX > 0 && p.X == r.PlannedX {
			text += fmt.Sprintf(" plan_measured=%.6g", p.Y)
		}
	}
	if r.Line.R2 < minR2 {
		text += " points=" + r.points()
	}
	return text
}

// minR2 is the R2 below which the line is a poor summary, so that the output
// also lists the points.
const minR2 = 0.9

// points formats the points as X:Y, separated by commas.
func (r Result) points() string {
	parts := make([]string, len(r.Points))
	for i, p := range r.Points {
		parts[i] = fmt.Sprintf("%g:%.4g", p.X, p.Y)
	}
	return strings.Join(parts, ",")
}
