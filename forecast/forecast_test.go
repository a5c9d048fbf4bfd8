package forecast_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/forecast"
)

var (
	firstTurn = forecast.Class{Route: "chat"}
	laterTurn = forecast.Class{Route: "chat", IsLater: true}
)

// Classes that have not been seen get the best guess available: the prior, then what all other
// calls were.
func TestPredictionWithoutObservations(t *testing.T) {
	f := forecast.New(8)
	assert.Equal(t, 8.0, f.Predict(firstTurn).Mean)
	f.Record(laterTurn, 20)
	assert.Equal(t, 20.0, f.Predict(firstTurn).Mean)
	f.Record(firstTurn, 4)
	assert.Equal(t, 4.0, f.Predict(firstTurn).Mean)
	assert.Equal(t, 20.0, f.Predict(laterTurn).Mean)
}

// Heavy-tailed work: the mean and the upper quantile are those of the distribution.
func TestEstimateOfHeavyTailedWork(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	f := forecast.New(0)
	mean, upper := 0.0, 0.0
	const n = 20_000
	for i := range n {
		f.Record(firstTurn, math.Exp(random.NormFloat64()))
		if i >= n/2 {
			mean += f.Predict(firstTurn).Mean / (n / 2)
			upper += f.Predict(firstTurn).Upper / (n / 2)
		}
	}
	// The mean of this distribution is 1.65, its quantile of nine tenths 3.6.
	assert.InDelta(t, 1.65, mean, 0.1)
	assert.InDelta(t, 3.6, upper, 0.5)
}

// After a release the work of a route is another. The estimate follows within a hundred calls.
func TestEstimateFollowsChange(t *testing.T) {
	f := forecast.New(0)
	for range 1000 {
		f.Record(firstTurn, 10)
	}
	for range 100 {
		f.Record(firstTurn, 40)
	}
	assert.InDelta(t, 40, f.Predict(firstTurn).Mean, 1)
}

// Routes come and go with configurations; the memory must not grow with them.
func TestClassesAreBounded(t *testing.T) {
	f := forecast.New(0)
	for i := range 10_000 {
		f.Record(forecast.Class{Route: fmt.Sprint(i)}, float64(i))
	}
	last := f.Predict(forecast.Class{Route: "9999"})
	assert.Equal(t, f.Mean(), last.Mean, "beyond the bound, a class gets the estimate of all")
}

// A call that has done more than the mean is not expected to end at once.
func TestRemainingOfLongCalls(t *testing.T) {
	e := forecast.Estimate{Mean: 10, Upper: 30}
	assert.Equal(t, 10.0, e.Remaining(0))
	assert.Equal(t, 20.0, e.Remaining(10))
	assert.Equal(t, 20.0, e.Remaining(25))
	assert.Equal(t, 90.0, e.Remaining(100))
	assert.Zero(t, forecast.Estimate{}.Remaining(0))
	same := forecast.Estimate{Mean: 10, Upper: 10}
	assert.InDelta(t, 2, same.Remaining(8), 1e-9)
}

// Steps of a batch slow down with the calls in it; the curve learns by how much.
func TestCurveLearnsContention(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	c := forecast.NewCurve(5)
	assert.Equal(t, 5.0, c.At(0))
	for range 500 {
		calls := float64(1 + random.IntN(12))
		c.Record(calls, (20+2*calls)*(0.9+0.2*random.Float64()))
	}
	assert.InDelta(t, 20, c.At(0), 2.5)
	assert.InDelta(t, 44, c.At(12), 2.5)
}

// A fleet at a steady occupancy says nothing about the slope, and noise must not pretend to.
func TestCurveKeepsPriorSlopeAtConstantOccupancy(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	c := forecast.NewCurve(5)
	for range 500 {
		c.Record(4, 22*(0.5+random.Float64()))
	}
	assert.InDelta(t, 0.5, c.Slope(), 0.1)
	assert.Greater(t, c.At(0), 15.0)
}
