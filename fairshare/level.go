// Package fairshare divides the room of a service among client accounts by weighted max-min
// fairness: room that one account leaves goes to those that want more. It uses no clock and no
// network, and is not safe for concurrent use.
package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what one account wants of a common room.
type Claim struct {
	// Weight is relative to those of the other claims and greater than 0.
	Weight float64
	// Wanted is in the unit of the room.
	Wanted float64
}

// Level returns the room per unit of weight at which the claims use up the room, if each gets
// what it wants or its weight times the level, whichever is less. It is infinite if the room
// is enough for all. It sorts the claims.
func Level(claims []Claim, room float64) float64 {
	sortByRatio(claims)
	weights := 0.0
	for _, c := range claims {
		weights += c.Weight
	}
	for _, c := range claims {
		level := max(0, room) / weights
		if c.Wanted > level*c.Weight {
			return level
		}
		room -= c.Wanted
		weights -= c.Weight
	}
	return math.Inf(1)
}

// weightedMedian returns the median of what is wanted per unit of weight; 0 without claims. It
// sorts the claims.
func weightedMedian(claims []Claim, weights float64) float64 {
	sortByRatio(claims)
	below := 0.0
	for _, c := range claims {
		if below += c.Weight; below >= weights/2 {
			return c.Wanted / c.Weight
		}
	}
	return 0
}

func sortByRatio(claims []Claim) {
	slices.SortFunc(claims, func(a, b Claim) int { return cmp.Compare(a.Wanted/a.Weight, b.Wanted/b.Weight) })
}
