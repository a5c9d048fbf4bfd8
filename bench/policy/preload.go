package policy

import (
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// preloadSamples is the number of shapes from which the programs in progress
	// at the beginning are drawn.
	preloadSamples = 4000
	// preloadSpread is the time over which these programs are started.
	preloadSpread = 15 * core.Second
	// overloadWarmUp multiplies the rate during the warm-up of an overload run,
	// so that the queues are full when the measurement begins.
	overloadWarmUp = 2
)

// startSteadyState starts the programs that are in progress in a steady state,
// each at a random turn. Shapes are drawn in proportion to their duration, since
// long programs are a larger share of the programs in progress than of arrivals.
func (v *driver) startSteadyState() {
	g := newGenerator(v.deployment.Kinds, v.rng.Uint64())
	shapes := make([]*Shape, preloadSamples)
	sums := make([]float64, preloadSamples)
	var total float64
	for i := range shapes {
		shapes[i] = g.next()
		total += addDemand(map[core.Pool]*demand{}, v.deployment, shapes[i])
		sums[i] = total
	}
	n := int(v.rate * total / preloadSamples)
	for range n {
		s := skipRandomTurns(drawByDuration(shapes, sums, v.rng), v.rng)
		v.sim.After(v.rng.Int64N(preloadSpread), func() { v.startRoot(s) })
	}
}

// drawByDuration draws a shape with a probability in proportion to its duration;
// sums are the cumulative durations.
func drawByDuration(shapes []*Shape, sums []float64, rng *rand.Rand) *Shape {
	at := rng.Float64() * sums[len(sums)-1]
	for i, sum := range sums {
		if at < sum {
			return shapes[i]
		}
	}
	return shapes[len(shapes)-1]
}

// skipRandomTurns returns a shape without a random number of its first turns; the
// conversation up to there becomes part of the first prompt.
func skipRandomTurns(s *Shape, rng *rand.Rand) *Shape {
	done := rng.IntN(len(s.Turns))
	remaining := &Shape{Kind: s.Kind, Pool: s.Pool, Turns: append([]Turn(nil), s.Turns[done:]...)}
	for _, t := range s.Turns[:done] {
		remaining.Turns[0].Prompt += t.Prompt + t.Output
	}
	return remaining
}
