// Package forecast predicts the work of calls before they are sent, from the calls that have
// ended. Its memory is bounded, and old observations fade. It uses no clock.
package forecast

import "math"

const (
	// observationWeight is the weight of a new observation in the averages.
	observationWeight = 0.05
	// upperQuantile is the quantile that Estimate.Upper follows.
	upperQuantile = 0.9
	// quantileStep is the step with which the quantiles are followed, as a multiple of the mean
	// deviation.
	quantileStep = 0.2
)

// Estimate holds the decayed mean, the median and an upper quantile of a quantity. The zero
// value has no observations.
type Estimate struct {
	Mean, Median, Upper float64
	deviation           float64
	count               int
}

// Record adds an observation.
func (e *Estimate) Record(x float64) {
	if e.count == 0 {
		*e = Estimate{Mean: x, Median: x, Upper: x, deviation: x / 2, count: 1}
		return
	}
	e.count++
	// The first observations have equal weights.
	weight := max(observationWeight, 1/float64(e.count))
	step := quantileStep * e.deviation
	follow(&e.Median, x, 0.5, step)
	follow(&e.Upper, x, upperQuantile, step)
	e.deviation += weight * (math.Abs(x-e.Mean) - e.deviation)
	e.Mean += weight * (x - e.Mean)
	e.Median, e.Upper = max(e.Median, 0), max(e.Upper, e.Mean)
}

// follow moves the estimate of a quantile by an observation: in balance, the steps up and down
// cancel out.
func follow(estimate *float64, x, quantile, step float64) {
	if x > *estimate {
		*estimate += step * quantile
	} else {
		*estimate -= step * (1 - quantile)
	}
}

// IsKnown reports whether there is an observation.
func (e *Estimate) IsKnown() bool { return e.count > 0 }
