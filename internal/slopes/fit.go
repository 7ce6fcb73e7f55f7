package slopes

import "math"

// Fit is a straight line fitted to points.
type Fit struct {
	// Slope is the cost per unit of size.
	Slope float64 `json:"slope"`
	// Intercept is the cost at size 0.
	Intercept float64 `json:"intercept"`
	// Error is the root mean square of the residuals, relative to the mean
	// cost.
	Error float64 `json:"error"`
}

// At returns the cost at size x.
func (f Fit) At(x float64) float64 {
	return f.Intercept + f.Slope*x
}

// FitLine returns the least-squares line through the points. At least two points
// must have different sizes.
func FitLine(points []Point) Fit {
	n := float64(len(points))
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.X - meanX) * (p.Y - meanY)
		variance += (p.X - meanX) * (p.X - meanX)
	}
	fit := Fit{Slope: covariance / variance}
	fit.Intercept = meanY - fit.Slope*meanX
	var squares float64
	for _, p := range points {
		residual := p.Y - fit.At(p.X)
		squares += residual * residual
	}
	if meanY != 0 {
		fit.Error = math.Sqrt(squares/n) / math.Abs(meanY)
	}
	return fit
}
