package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/bench/placement"
)

func play(knowledge placement.Knowledge, seed uint64) placement.Result {
	return placement.Run(placement.Config{Entries: 60, Knowledge: knowledge, Utilization: 0.7, Duration: 8 * time.Second, Seed: seed})
}

// 60 entries before 60 engines, each of which hears from an engine every few seconds: they
// took loaded engines for idle ones, and turns waited behind others while the fleet was far
// from full (quiet-1 of large/). The bounds are the users': busiest engine under 1.4 times
// the mean, late under 3 in 100.
func TestEntriesThatExchangeTheirLoadPlaceTurnsEvenly(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			exchanged := play(placement.OneBoard, seed)
			assert.Less(t, exchanged.BusiestOverMean, 1.4)
			assert.Less(t, exchanged.LateShare, 0.03)
			assert.Greater(t, play(placement.Answers, seed).LateShare, 0.03, "the load needs the exchange")
		})
	}
}

func TestRunIsReproducible(t *testing.T) {
	assert.Equal(t, play(placement.OneBoard, 7), play(placement.OneBoard, 7))
}
