package sidecar

import (
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

const (
	// auditPeriod is the time between two listings of the target's cache while no
	// discrepancy is known.
	auditPeriod = core.Minute
	// pendingAuditPeriod is the time between two listings while releases are unconfirmed
	// or orphaned blocks exist.
	pendingAuditPeriod = 15 * core.Second
	// orphanGracePeriod is how long an orphaned block stays in the cache, so that the
	// next call of its program can use it.
	orphanGracePeriod = core.Minute
)

// onCacheEvent updates the view of the target's cache. After a gap in the sequence
// the view is unreliable until a listing replaces it.
func (s *Sidecar) onCacheEvent(ev core.CacheEvent) {
	c := &s.cache
	if ev.Sequence <= c.lastSequence {
		return
	}
	hasGap := ev.Sequence != c.lastSequence+1
	c.lastSequence = ev.Sequence
	for _, d := range ev.Stored {
		c.cachedBlocks[d] = struct{}{}
	}
	for _, d := range ev.Evicted {
		delete(c.cachedBlocks, d)
		delete(c.releasing, d)
		delete(c.orphans, d)
	}
	if hasGap {
		s.listCache()
	}
}

func (s *Sidecar) listCache() {
	s.cache.listedAt = s.now
	s.emit(core.ListCache{})
}

// auditCache requests a listing periodically, to find lost releases and lost events.
func (s *Sidecar) auditCache() {
	period := auditPeriod
	if len(s.cache.releasing) > 0 || len(s.cache.orphans) > 0 {
		period = pendingAuditPeriod
	}
	if s.now.Sub(s.cache.listedAt) >= period {
		s.listCache()
	}
}

// onCacheListing replaces the view of the target's cache and repeats releases of
// blocks that should no longer be in it.
func (s *Sidecar) onCacheListing(ev core.CacheListing) {
	c := &s.cache
	c.cachedBlocks = make(map[uint64]struct{}, len(ev.Digests))
	for _, d := range ev.Digests {
		c.cachedBlocks[d] = struct{}{}
	}
	s.repeatReleases()
	s.releaseOrphans(ev.Digests)
}

// repeatReleases repeats the releases of blocks that are still in the listing.
func (s *Sidecar) repeatReleases() {
	c := &s.cache
	pending := map[core.ProgramID][]uint64{}
	for _, d := range slices.Sorted(maps.Keys(c.releasing)) {
		if _, ok := c.cachedBlocks[d]; !ok {
			delete(c.releasing, d)
			continue
		}
		s.check(invariant.CacheReleased, c.blockUses[d].pins == 0, "block %x is released and pinned", d)
		pending[c.releasing[d]] = append(pending[c.releasing[d]], d)
	}
	for _, p := range slices.Sorted(maps.Keys(pending)) {
		s.emit(core.ReleaseCache{Program: p, Digests: pending[p]})
	}
}

// releaseOrphans releases listed blocks that have belonged to no known program for
// orphanGracePeriod. They were cached for programs that an earlier incarnation of this
// process served.
func (s *Sidecar) releaseOrphans(listed []uint64) {
	c := &s.cache
	known := c.knownBlocks()
	orphans := make(map[uint64]core.Instant, len(c.orphans))
	var expired []uint64
	for _, d := range listed {
		if _, ok := known[d]; ok {
			continue
		}
		since, ok := c.orphans[d]
		if !ok {
			since = s.now
		}
		if s.now.Sub(since) > orphanGracePeriod {
			expired = append(expired, d)
			continue
		}
		orphans[d] = since
	}
	c.orphans = orphans
	if len(expired) > 0 {
		slices.Sort(expired)
		s.emit(core.ReleaseCache{Digests: expired})
	}
}

// knownBlocks returns the blocks of all known programs, including those of
// unpinned programs, and the blocks that are being released.
func (c *cache) knownBlocks() map[uint64]struct{} {
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
