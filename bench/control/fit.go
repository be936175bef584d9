package control

import "math"

// Point is one measured point.
type Point struct {
	// X is the size, for example the number of registered agents.
	X float64 `json:"x"`
	// Y is the value measured at that size.
	Y float64 `json:"y"`
}

// Line is the straight line y = Base + Slope·x.
type Line struct {
	// Base is the value at x = 0.
	Base float64 `json:"base"`
	// Slope is the increase of the value for each unit of x.
	Slope float64 `json:"slope"`
	// Residual is the root mean square distance of the points from the line.
	Residual float64 `json:"residual"`
}

// FitLine returns the least squares line through the points. If all points have
// the same X, the result is the horizontal line through their mean.
func FitLine(points []Point) Line {
	if len(points) == 0 {
		return Line{}
	}
	meanX, meanY := means(points)
	var sxx, sxy float64
	for _, p := range points {
		sxx += (p.X - meanX) * (p.X - meanX)
		sxy += (p.X - meanX) * (p.Y - meanY)
	}
	line := Line{Base: meanY}
	if sxx > 0 {
		line.Slope = sxy / sxx
		line.Base = meanY - line.Slope*meanX
	}
	var squares float64
	for _, p := range points {
		d := p.Y - line.ValueAt(p.X)
		squares += d * d
	}
	line.Residual = math.Sqrt(squares / float64(len(points)))
	return line
}

// ValueAt returns the line's value at x.
func (l Line) ValueAt(x float64) float64 { return l.Base + l.Slope*x }

// means returns the mean X and the mean Y of the points.
func means(points []Point) (x, y float64) {
	for _, p := range points {
		x += p.X
		y += p.Y
	}
	n := float64(len(points))
	return x / n, y / n
}
