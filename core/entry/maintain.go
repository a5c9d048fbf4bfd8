package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// stableFor is the time in units of the suspicion time for which an entry
	// must live before slots move to it.
	stableFor = 3
	// aloneAfter is the silence of the last mirror, in units of the suspicion
	// time, after which a home goes on without any.
	aloneAfter = 4
	// offerPeriod is the period of repeated offers of a slot, in heartbeats.
	offerPeriod = 5
)

// maintain keeps the member set of a slot that this entry is the home of: the
// right number of sound mirrors, the newest epoch in the key-value service, and
// the slot at the first entry in rendezvous order.
func (e *Entry) maintain(s *slot, cs []candidate) {
	order := s.order(cs)
	heir := e.heir(order)
	want := e.wanted(s, order, heir)
	if s.frozen() || s.owner.Epoch.Rank > 0 || !sameMembers(want, s.owner.Replicas) {
		e.remember(s, want, cs)
		return
	}
	if heir != nil {
		e.offer(s, heir.node)
	}
}

// remember writes a changed member set.
func (e *Entry) remember(s *slot, mirrors []core.Member, cs []candidate) {
	o := e.nextOwner(s, nil, cs)
	o.Replicas = mirrors
	e.propose(s, o, false)
}

// heir returns the entry that the slot should move to, or nil.
func (e *Entry) heir(order []candidate) *candidate {
	if len(order) == 0 || order[0].node == e.self {
		return nil
	}
	p := e.members.peers[order[0].node.VM]
	if !e.drain.active() && e.now.Sub(p.since) < stableFor*e.times.suspect {
		return nil
	}
	return &order[0]
}

// wanted returns the mirrors that the slot should have next. A mirror that is
// to leave stays until every new one has the image, so that no change of the
// set makes the slot depend on one copy.
func (e *Entry) wanted(s *slot, order []candidate, heir *candidate) []core.Member {
	count := e.mirrorCount()
	var kept []core.Member
	if heir != nil {
		count = max(count, 1)
		kept = append(kept, s.member(heir))
	}
	for _, m := range s.owner.Replicas {
		if e.sound(m.Node) && (heir == nil || m.Node != heir.node) {
			kept = append(kept, m)
		}
	}
	kept = kept[:min(len(kept), count)]
	want := chooseMirrors(candidate{e.self, e.domain}, kept, order, count, s.owner.Epoch.Version+1)
	want = e.keepSilent(s, want, count)
	if s.synced(want) {
		return want
	}
	for _, m := range s.owner.Replicas {
		known := slices.ContainsFunc(want, func(w core.Member) bool { return w.Node == m.Node })
		if !known && !e.members.dead(m.Node) && !e.silent(m.Node) {
			want = append(want, m)
		}
	}
	return want
}

// keepSilent adds silent mirrors that nobody can replace. The silence may be
// this entry's own: a mirror that lives gets the time to take over first, and a
// home that hears none of several peers never goes on alone.
func (e *Entry) keepSilent(s *slot, want []core.Member, count int) []core.Member {
	for _, m := range s.owner.Replicas {
		if len(want) >= count {
			break
		}
		waiting := e.alone() || e.silence(m.Node) < aloneAfter*e.times.suspect
		if e.silent(m.Node) && waiting && !e.members.dead(m.Node) && !e.leavingEntry(m.Node) {
			want = append(want, m)
		}
	}
	return want
}

// alone reports whether this entry hears none of several peers: it is then more
// likely cut off itself than left as the only one.
func (e *Entry) alone() bool {
	if len(e.members.peers) < 2 {
		return false
	}
	for _, p := range e.members.peers {
		if p.heard > 0 && e.now.Sub(p.heard) < e.times.suspect {
			return false
		}
	}
	return true
}

// member returns a candidate as a mirror of the slot, new or as it stands.
func (s *slot) member(c *candidate) core.Member {
	for _, m := range s.owner.Replicas {
		if m.Node == c.node {
			return m
		}
	}
	return core.Member{Node: c.node, Domain: c.domain, Since: s.owner.Epoch.Version + 1}
}

// synced reports whether every one of the mirrors has acknowledged an image of
// this epoch.
func (s *slot) synced(mirrors []core.Member) bool {
	for _, m := range mirrors {
		i := slices.IndexFunc(s.home.links, func(l *link) bool { return l.member.Node == m.Node })
		if i < 0 || s.home.links[i].acked == 0 {
			return false
		}
	}
	return true
}

// sameMembers reports whether two lists name the same nodes, in any order.
func sameMembers(a, b []core.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !slices.ContainsFunc(b, func(o core.Member) bool { return o.Node == m.Node }) {
			return false
		}
	}
	return true
}

// offer asks a synchronized mirror to take the slot over. One slot at a time is
// offered, but for a drain, so that a joining entry is filled gently.
func (e *Entry) offer(s *slot, to core.Node) {
	period := offerPeriod * e.times.heartbeat
	if s.offeredAt > 0 && e.now.Sub(s.offeredAt) < period {
		return
	}
	if !e.drain.active() && e.now.Sub(e.offeredAt) < e.times.heartbeat {
		return
	}
	s.offeredAt = e.now
	e.offeredAt = e.now
	e.send(to, core.Handover{Slot: s.id, Epoch: s.owner.Epoch})
}

// handover takes over a slot that its home offers.
func (e *Entry) handover(from core.Node, m core.Handover) {
	s := e.slot(m.Slot)
	if s == nil || s.home != nil || s.owner.Epoch != m.Epoch || s.homeNode() != from {
		return
	}
	if _, eligible := e.succession(s); eligible && !e.drain.active() {
		e.takeBySwap(s, e.candidates())
	}
}
