package sidecar

import (
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

const (
	// auditPeriod is the time between two listings of the target's cache while
	// nothing is known to be wrong.
	auditPeriod = core.Minute
	// pendingPeriod is the same while releases are not confirmed or blocks of no
	// known program are there.
	pendingPeriod = 15 * core.Second
	// orphanAfter is how long a listed block of no known program is left to be
	// claimed by the next call of its program.
	orphanAfter = core.Minute
)

// onCacheEvent updates the view of the target's cache. After a gap the view is
// worth nothing until a listing replaces it.
func (s *Sidecar) onCacheEvent(ev core.CacheEvent) {
	c := &s.cache
	if ev.Sequence <= c.sequence {
		return
	}
	gap := ev.Sequence != c.sequence+1
	c.sequence = ev.Sequence
	for _, d := range ev.Stored {
		c.present[d] = struct{}{}
	}
	for _, d := range ev.Evicted {
		delete(c.present, d)
		delete(c.releasing, d)
		delete(c.orphans, d)
	}
	if gap {
		s.listCache()
	}
}

func (s *Sidecar) listCache() {
	s.cache.listed = s.now
	s.emit(core.ListCache{})
}

// auditCache asks for a listing from time to time, so that a lost release or a
// lost event is found.
func (s *Sidecar) auditCache() {
	period := auditPeriod
	if len(s.cache.releasing) > 0 || len(s.cache.orphans) > 0 {
		period = pendingPeriod
	}
	if s.now.Sub(s.cache.listed) >= period {
		s.listCache()
	}
}

// onCacheListing replaces the view of the target's cache and releases again
// what should have gone.
func (s *Sidecar) onCacheListing(ev core.CacheListing) {
	c := &s.cache
	c.present = make(map[uint64]struct{}, len(ev.Digests))
	for _, d := range ev.Digests {
		c.present[d] = struct{}{}
	}
	s.releaseAgain()
	s.releaseOrphans(ev.Digests)
}

// releaseAgain repeats the releases that the listing shows as not done.
func (s *Sidecar) releaseAgain() {
	c := &s.cache
	again := map[core.ProgramID][]uint64{}
	for _, d := range slices.Sorted(maps.Keys(c.releasing)) {
		if _, ok := c.present[d]; !ok {
			delete(c.releasing, d)
			continue
		}
		s.check(invariant.CacheReleased, c.holds[d].pins == 0, "block %x is released and held", d)
		again[c.releasing[d]] = append(again[c.releasing[d]], d)
	}
	for _, p := range slices.Sorted(maps.Keys(again)) {
		s.emit(core.ReleaseCache{Program: p, Digests: again[p]})
	}
}

// releaseOrphans drops listed blocks that no program has claimed for a while:
// those of programs of an earlier life of this process.
func (s *Sidecar) releaseOrphans(listed []uint64) {
	c := &s.cache
	claimed := c.claims()
	seen := make(map[uint64]core.Instant, len(c.orphans))
	var old []uint64
	for _, d := range listed {
		if _, ok := claimed[d]; ok {
			continue
		}
		since, ok := c.orphans[d]
		if !ok {
			since = s.now
		}
		if s.now.Sub(since) > orphanAfter {
			old = append(old, d)
			continue
		}
		seen[d] = since
	}
	c.orphans = seen
	if len(old) > 0 {
		slices.Sort(old)
		s.emit(core.ReleaseCache{Digests: old})
	}
}

// claims returns the blocks of known programs, lapsed ones included, and those
// that are being released.
func (c *cache) claims() map[uint64]struct{} {
	all := map[uint64]struct{}{}
	for _, p := range c.pins {
		for _, b := range p.blocks {
			all[b.Digest] = struct{}{}
		}
	}
	for d := range c.releasing {
		all[d] = struct{}{}
	}
	return all
}
