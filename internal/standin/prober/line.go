package prober

import (
	"fmt"
	"math"
)

// Point is one measurement Y at size X.
type Point struct{ X, Y float64 }

// Line is a least-squares regression line with the standard errors of its two coefficients.
type Line struct {
	Slope, SlopeError         float64
	Intercept, InterceptError float64
	// Points is the number of points. With two or fewer, both errors are NaN.
	Points int
}

// Fit returns the least-squares line through the points. Without two distinct X, Slope and
// Intercept are NaN.
func Fit(points []Point) Line {
	l := Line{Points: len(points), SlopeError: math.NaN(), InterceptError: math.NaN()}
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var squares, products, scale float64
	for _, p := range points {
		scale += p.X * p.X
		squares += (p.X - meanX) * (p.X - meanX)
		products += (p.X - meanX) * (p.Y - meanY)
	}
	if squares <= scale*rounding {
		l.Slope, l.Intercept = math.NaN(), math.NaN()
		return l
	}
	l.Slope = products / squares
	l.Intercept = meanY - l.Slope*meanX
	if l.Points <= coefficients {
		return l
	}
	var residue float64
	for _, p := range points {
		d := p.Y - l.At(p.X)
		residue += d * d
	}
	variance := residue / (n - coefficients)
	l.SlopeError = math.Sqrt(variance / squares)
	l.InterceptError = math.Sqrt(variance * (1/n + meanX*meanX/squares))
	return l
}

// coefficients is the number of coefficients of a line.
const coefficients = 2

// rounding is the relative rounding error below which the X are considered equal: the part
// of the sum of squares that remains for equal X.
const rounding = 1e-24

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// String returns the slope and the intercept with their standard errors.
func (l Line) String() string {
	return fmt.Sprintf("slope %.4g ± %.2g, at zero %.4g ± %.2g (%d points)",
		l.Slope, l.SlopeError, l.Intercept, l.InterceptError, l.Points)
}
