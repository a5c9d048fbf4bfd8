package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/forecast"
)

const (
	// longFactor is the expected work from which on a plain call is long, as a multiple of the
	// mean work of its service.
	longFactor = 4.0
	// longMemory is the share of the counted work that remains with each further call.
	longMemory = 0.9995
	// minLongShare is the share of long calls in the work from which on they get targets of
	// their own.
	minLongShare = 0.05
	// strayShare is what a call costs the others on targets that are not of its kind, as a share
	// of the expected work of a long call: one that no report shows yet may be there.
	strayShare = 0.5
)

// longCalls tracks which part of a service's work comes from long calls. They prefer a part of
// the targets of that size, and all others the rest, so that short calls do not meet long ones
// of other processes that no report shows yet. Processes agree on the order of the targets
// without communication.
type longCalls struct {
	work, longWork float64
	// longMS is the mean work of a long call.
	longMS forecast.Estimate
}

func (l *longCalls) record(workMS, meanMS float64) {
	l.work, l.longWork = longMemory*l.work+workMS, longMemory*l.longWork
	if workMS >= longFactor*meanMS {
		l.longWork += workMS
		l.longMS.Record(workMS)
	}
}

// share returns the share of the targets that long calls prefer, 0 if there are hardly any.
func (l *longCalls) share() float64 {
	if l.work == 0 || l.longWork < minLongShare*l.work {
		return 0
	}
	return l.longWork / l.work
}

// strayMS returns the cost of a call at a target that is not of the call's kind.
func (p *placement) strayMS(t *target) float64 {
	if p.longShare == 0 || t.rank < p.longShare == p.isLong {
		return 0
	}
	return strayShare * p.service.long.longMS.Mean
}

// rankTargets gives each target of a plain service its rank, from 0 to 1.
func (s *service) rankTargets() {
	ordered := slices.Clone(s.targets)
	slices.SortFunc(ordered, func(a, b *target) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.Started, b.Started))
	})
	for i, t := range ordered {
		t.rank = (float64(i) + 0.5) / float64(len(ordered))
	}
}
