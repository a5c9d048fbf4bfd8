package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// subsetTargets is the number of targets of a pool from which an entry
	// requests load reports, in addition to those that its programs use.
	subsetTargets = 64
	// usedRetention is how long an entry stays subscribed to a target outside the
	// subset after a program last used it.
	usedRetention = 5 * core.Minute
)

// selectSubset marks the targets of each pool that come first in this entry's
// rendezvous order. Entries differ in their order, so that every target has
// about the same number of subscribers.
func (ts *targets) selectSubset() {
	byPool := map[core.Pool][]*target{}
	for _, t := range ts.list {
		byPool[t.pool] = append(byPool[t.pool], t)
	}
	for _, pool := range byPool {
		slices.SortFunc(pool, func(a, b *target) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node.VM, b.node.VM))
		})
		for i, t := range pool {
			t.inSubset = i < ts.subsetLimit
		}
	}
}

// selectSubscribed rebuilds the list of the targets from which this entry
// requests load reports.
func (ts *targets) selectSubscribed(now core.Instant) {
	ts.subscribed = ts.subscribed[:0]
	for _, t := range ts.list {
		if t.inSubset || t.usedAt > 0 && now.Sub(t.usedAt) < usedRetention {
			ts.subscribed = append(ts.subscribed, t)
		}
	}
}

// markUsed keeps this entry subscribed to a target that a program uses.
func (ts *targets) markUsed(n core.Node, now core.Instant) {
	t := ts.byVM[n.VM]
	if t == nil {
		return
	}
	if !t.inSubset && (t.usedAt == 0 || now.Sub(t.usedAt) >= usedRetention) {
		ts.stale = true
	}
	t.usedAt = now
}

// markLastTargetsUsed keeps this entry subscribed to the targets that the
// programs of a slot used last, whose caches hold their history.
func (e *Entry) markLastTargetsUsed(s *slot) {
	for _, p := range s.snapshot.programs {
		e.targets.markUsed(p.LastTarget, e.now)
	}
}

// targetScore is the rendezvous weight of a target for an entry. It does not
// depend on incarnations, so that a restart changes no subset.
func targetScore(self, target core.VM) uint64 {
	return xxhash.Sum64String(string(self) + "|" + string(target))
}
