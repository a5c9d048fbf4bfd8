package fleet

import "math"

const (
	// lowShare is the share of the samples that are below a lowQuantile.
	lowShare = 0.05
	// quantileStep is the greatest relative change of a lowQuantile by one sample.
	quantileStep = 0.1
	// minQuantileSamples is the number of samples before a lowQuantile is known.
	minQuantileSamples = 100
)

// lowQuantile estimates a low quantile of positive samples that change over time. Its zero value
// has no samples.
type lowQuantile struct {
	estimate float64
	samples  int
}

func (q *lowQuantile) add(x float64) {
	if x <= 0 {
		return
	}
	if q.samples < minQuantileSamples {
		q.samples++
	}
	if q.estimate == 0 {
		q.estimate = x
		return
	}
	step := quantileStep * lowShare
	if x < q.estimate {
		step = -quantileStep * (1 - lowShare)
	}
	q.estimate *= math.Exp(step)
}

// value returns the estimate; zero if there are too few samples.
func (q *lowQuantile) value() float64 {
	if q.samples < minQuantileSamples {
		return 0
	}
	return q.estimate
}
