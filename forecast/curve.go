package forecast

const (
	// curveWeight is the weight of a new observation in a Curve's averages.
	curveWeight = 0.02
	// priorVariance is the variance of the occupancy, in calls squared, at which observations
	// count as much as the prior slope. If the occupancy hardly varies, they say nothing about
	// the slope.
	priorVariance = 4.0
	// priorSlope is the assumed growth of the time with each further call, as a share of the
	// time on an idle target.
	priorSlope = 0.025
	// maxSlope bounds the learned growth.
	maxSlope = 0.25
)

// Curve learns how the time of a unit of work grows with the number of calls at a target, by a
// regression with a prior.
type Curve struct {
	meanX, meanY, covariance, variance float64
	count                              int
	priorY                             float64
}

// NewCurve returns a curve that predicts idle as the time on an idle target until it has
// observations.
func NewCurve(idle float64) *Curve { return &Curve{priorY: idle} }

// Record adds the time that a unit of work took at an occupancy of calls.
func (c *Curve) Record(calls, y float64) {
	c.count++
	weight := max(curveWeight, 1/float64(c.count))
	dx, dy := calls-c.meanX, y-c.meanY
	c.covariance = (1 - weight) * (c.covariance + weight*dx*dy)
	c.variance = (1 - weight) * (c.variance + weight*dx*dx)
	c.meanX += weight * dx
	c.meanY += weight * dy
}

// At returns the time of a unit of work on a target with that many calls.
func (c *Curve) At(calls float64) float64 {
	if c.count == 0 {
		return c.priorY * (1 + priorSlope*calls)
	}
	return max(c.meanY+c.Slope()*(calls-c.meanX), c.idleAt(maxSlope))
}

// Slope returns the growth of that time with each further call.
func (c *Curve) Slope() float64 {
	if c.count == 0 {
		return c.priorY * priorSlope
	}
	slope := (c.covariance + priorVariance*priorSlope*c.idleAt(priorSlope)) / (c.variance + priorVariance)
	return min(max(slope, 0), maxSlope*c.idleAt(maxSlope))
}

// idleAt returns the time on an idle target that fits the mean if it grows by that share with
// each call.
func (c *Curve) idleAt(slope float64) float64 { return c.meanY / (1 + slope*c.meanX) }
