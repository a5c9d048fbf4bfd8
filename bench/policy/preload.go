package policy

import (
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// preloadSamples is the number of shapes from which the programs are drawn
	// that are under way at the beginning.
	preloadSamples = 4000
	// preloadSpread is the time over which they appear.
	preloadSpread = 15 * core.Second
	// overloadWarmUp multiplies the rate during the warm-up of an overload run,
	// so that the queues are full when the measurement begins.
	overloadWarmUp = 2
)

// preload starts the programs that a steady state has under way, each at a
// random place of its life: long programs are met there more often than they
// arrive.
func (v *driver) preload() {
	g := newGenerator(v.d.Kinds, v.rng.Uint64())
	shapes := make([]*Shape, preloadSamples)
	sums := make([]float64, preloadSamples)
	var total float64
	for i := range shapes {
		shapes[i] = g.next()
		total += addWork(map[core.Pool]*work{}, v.d, shapes[i])
		sums[i] = total
	}
	n := int(v.rate * total / preloadSamples)
	for range n {
		s := rest(pick(shapes, sums, v.rng), v.rng)
		v.sim.After(v.rng.Int64N(preloadSpread), func() { v.launch(s) })
	}
}

// pick draws a shape with a chance in proportion to its duration.
func pick(shapes []*Shape, sums []float64, rng *rand.Rand) *Shape {
	at := rng.Float64() * sums[len(sums)-1]
	for i, sum := range sums {
		if at < sum {
			return shapes[i]
		}
	}
	return shapes[len(shapes)-1]
}

// rest returns what is left of a shape after a random number of its turns; the
// conversation so far becomes part of the first prompt.
func rest(s *Shape, rng *rand.Rand) *Shape {
	done := rng.IntN(len(s.Turns))
	left := &Shape{Kind: s.Kind, Pool: s.Pool, Turns: append([]Turn(nil), s.Turns[done:]...)}
	for _, t := range s.Turns[:done] {
		left.Turns[0].Prompt += t.Prompt + t.Output
	}
	return left
}
