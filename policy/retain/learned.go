package retain

import (
	"math/bits"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// buckets is the number of pause lengths told apart, each twice the one
	// before, from 1 ms.
	buckets = 24
	// enough is the weight of pauses after which they are believed.
	enough = 20
	// defaultWeight is the weight of the cache where the settings give none.
	defaultWeight = 16
	// missShare over the weight is the share of the pauses that a hold does not
	// cover: the more a recomputed token costs, the longer the blocks are held.
	missShare = 0.8
	// minQuantile bounds the covered share from below.
	minQuantile = 0.5
	// fade is the factor by which older pauses count less with each new one.
	fade = 0.995
)

// learned holds the cache for as long as most pauses of the same kind lasted.
type learned struct {
	longest  core.Duration
	quantile float64
	pauses   map[string]*histogram
}

type histogram struct {
	weight [buckets]float64
	total  float64
}

func newLearned(longest core.Duration, weight float64) *learned {
	if weight <= 0 {
		weight = defaultWeight
	}
	q := max(minQuantile, 1-missShare/weight)
	return &learned{longest: longest, quantile: q, pauses: map[string]*histogram{}}
}

// Hold returns the quantile of the pauses seen, or the longest hold while few
// were seen.
func (l *learned) Hold(kind string) core.Duration {
	h := l.pauses[kind]
	if h == nil || h.total < enough {
		return l.longest
	}
	return min(l.longest, h.at(l.quantile))
}

// Observe adds a pause that ended with the program's next call.
func (l *learned) Observe(kind string, pause core.Duration, returned bool) {
	if !returned {
		return
	}
	h := l.pauses[kind]
	if h == nil {
		h = &histogram{}
		l.pauses[kind] = h
	}
	h.add(pause)
}

func (h *histogram) add(pause core.Duration) {
	for i := range h.weight {
		h.weight[i] *= fade
	}
	i := min(bits.Len64(uint64(pause/core.Millisecond)), buckets-1)
	h.weight[i]++
	h.total = h.total*fade + 1
}

// at returns the upper bound of the bucket that holds quantile q.
func (h *histogram) at(q float64) core.Duration {
	var sum float64
	for i, w := range h.weight {
		sum += w
		if sum >= q*h.total {
			return core.Millisecond << i
		}
	}
	return core.Millisecond << (buckets - 1)
}
