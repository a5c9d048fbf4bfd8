package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// subsetTargets is the number of targets of a pool whose load reports an
	// entry asks for, besides those that its programs use.
	subsetTargets = 64
	// usedFor is how long a target stays known after a program last used it.
	usedFor = 5 * core.Minute
)

// selectSubset marks the targets of each pool that come first in this entry's
// rendezvous order. Entries differ in their order, so that every target is known
// to about the same number of entries.
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
			t.chosen = i < ts.limit
		}
	}
}

// selectKnown rebuilds the list of the targets that this entry listens to.
func (ts *targets) selectKnown(now core.Instant) {
	ts.known = ts.known[:0]
	for _, t := range ts.list {
		if t.chosen || t.usedAt > 0 && now.Sub(t.usedAt) < usedFor {
			ts.known = append(ts.known, t)
		}
	}
}

// use keeps a target known that a program uses.
func (ts *targets) use(n core.Node, now core.Instant) {
	t := ts.byVM[n.VM]
	if t == nil {
		return
	}
	if !t.chosen && (t.usedAt == 0 || now.Sub(t.usedAt) >= usedFor) {
		ts.stale = true
	}
	t.usedAt = now
}

// useTargets keeps the targets known that the programs of a slot used last, whose
// caches hold their history.
func (e *Entry) useTargets(s *slot) {
	for _, p := range s.image.programs {
		e.targets.use(p.LastTarget, e.now)
	}
}

// targetScore is the rendezvous weight of a target for an entry. It does not
// depend on incarnations, so that a restart changes no subset.
func targetScore(self, target core.VM) uint64 {
	return xxhash.Sum64String(string(self) + "|" + string(target))
}
