package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
)

// A turn must not be refused for its time if one in ten such turns would end in it, and must be
// if none would, also after the engines have become slower or faster.
func TestShortestDurationFollowsTurns(t *testing.T) {
	f, random := newFleet(1), rand.New(rand.NewPCG(1, 1))
	run := func(n int, least, spread float64) {
		for range n {
			f.RecordStart(key(0), nil, start)
			f.RecordEnd(key(0), fleet.Answered, time.Duration((least+spread*random.Float64())*float64(time.Millisecond)), start)
		}
	}
	run(50, 300, 400)
	assert.Zero(t, f.ShortestDuration("llm"), "too few turns")
	for _, least := range []float64{300, 900, 100} {
		run(2000, least, 400)
		assert.InDelta(t, least+20, float64(f.ShortestDuration("llm").Milliseconds()), 0.1*least+25)
	}
	assert.Zero(t, f.ShortestDuration("none"))
}
