package estimator

import "math"

// Point is one measurement: Y at the size X.
type Point struct{ X, Y float64 }

// Line is a straight line.
type Line struct{ Slope, Base float64 }

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Fit returns the line with the least sum of squared distances to the points.
// Points that all have the same X give a flat line through their mean.
func Fit(points []Point) Line {
	if len(points) == 0 {
		return Line{}
	}
	var x, y float64
	for _, p := range points {
		x += p.X / float64(len(points))
		y += p.Y / float64(len(points))
	}
	var spread, joint float64
	for _, p := range points {
		spread += (p.X - x) * (p.X - x)
		joint += (p.X - x) * (p.Y - y)
	}
	if spread == 0 {
		return Line{Base: y}
	}
	slope := joint / spread
	return Line{Slope: slope, Base: y - slope*x}
}

// Misfit returns the largest distance of a point from the line, as a part of the
// largest value.
func (l Line) Misfit(points []Point) float64 {
	var far, most float64
	for _, p := range points {
		far = max(far, math.Abs(p.Y-l.At(p.X)))
		most = max(most, math.Abs(p.Y))
	}
	if most == 0 {
		return 0
	}
	return far / most
}
