package fleet

import "github.com/cespare/xxhash/v2"

// affinityMissShare is the share of a call's duration that a target is assumed to save if
// it has recently handled the call's object. It is added as a cost to all other targets,
// so that calls go to them while the preferred target is loaded more by that time.
const affinityMissShare = 0.5

// preferredFor returns the target with the highest score of rendezvous hashing for an
// object, or nil if the call names no object or the service is one of model engines,
// whose placement follows their caches. Entries agree on it without communication, and
// when targets come or go only the objects of those targets move. Ejected targets stay
// preferred, since they return within seconds; they are not chosen meanwhile.
func (s *service) preferredFor(object string) *target {
	if object == "" || s.isEngine {
		return nil
	}
	var best *target
	bestScore := uint64(0)
	for _, t := range s.targets {
		if t.Draining {
			continue
		}
		if score := xxhash.Sum64String(t.ID + "\x00" + object); best == nil || score > bestScore {
			best, bestScore = t, score
		}
	}
	return best
}
