package retain

import (
	"math/bits"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// buckets is the number of histogram buckets. The first bucket ends at 1 ms;
	// each later one ends at twice the time of the one before it.
	buckets = 24
	// minTotalWeight is the total weight that the observations must have before the
	// histogram is used.
	minTotalWeight = 20
	// defaultWeight is the cache weight if the settings contain none.
	defaultWeight = 16
	// uncoveredShare determines the quantile: uncoveredShare divided by the cache
	// weight is the share of idle times that are longer than the pin time. The more
	// a recomputed token costs, the longer the blocks stay pinned.
	uncoveredShare = 0.8
	// minQuantile is the lowest quantile of the idle times that is used as the
	// pin time.
	minQuantile = 0.5
	// decay is the factor by which each new observation multiplies the weight of
	// all older ones.
	decay = 0.995
)

// learned pins the cache for a quantile of the idle times of programs of the same kind.
type learned struct {
	maxPinTime core.Duration
	quantile   float64
	idleTimes  map[string]*histogram
}

type histogram struct {
	weight [buckets]float64
	total  float64
}

func newLearned(maxPinTime core.Duration, weight float64) *learned {
	if weight <= 0 {
		weight = defaultWeight
	}
	q := max(minQuantile, 1-uncoveredShare/weight)
	return &learned{maxPinTime: maxPinTime, quantile: q, idleTimes: map[string]*histogram{}}
}

// PinTime returns a quantile of the observed idle times, or the longest pin time while
// there are too few observations.
func (l *learned) PinTime(kind string) core.Duration {
	h := l.idleTimes[kind]
	if h == nil || h.total < minTotalWeight {
		return l.maxPinTime
	}
	return min(l.maxPinTime, h.quantile(l.quantile))
}

// Observe records an idle time that ended with the program's next call; it
// ignores all others.
func (l *learned) Observe(kind string, idleTime core.Duration, returned bool) {
	if !returned {
		return
	}
	h := l.idleTimes[kind]
	if h == nil {
		h = &histogram{}
		l.idleTimes[kind] = h
	}
	h.add(idleTime)
}

func (h *histogram) add(idleTime core.Duration) {
	for i := range h.weight {
		h.weight[i] *= decay
	}
	i := min(bits.Len64(uint64(idleTime/core.Millisecond)), buckets-1)
	h.weight[i]++
	h.total = h.total*decay + 1
}

// quantile returns the upper bound of the bucket that contains quantile q.
func (h *histogram) quantile(q float64) core.Duration {
	var sum float64
	for i, w := range h.weight {
		sum += w
		if sum >= q*h.total {
			return core.Millisecond << i
		}
	}
	return core.Millisecond << (buckets - 1)
}
