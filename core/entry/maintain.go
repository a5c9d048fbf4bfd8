package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// successorAgeFactor is how long an entry must have been alive before slots
	// move to it, as a multiple of the suspicion time.
	successorAgeFactor = 3
	// lastReplicaFactor is the time without a heartbeat from a replica after which
	// the owner may continue without it even if no entry can replace it, as a
	// multiple of the suspicion time.
	lastReplicaFactor = 4
	// offerIntervalHeartbeats is the interval between repeated offers of a slot,
	// in heartbeats.
	offerIntervalHeartbeats = 5
)

// maintain corrects the assignment of a slot that this entry owns: it should
// have the right number of healthy replicas, the newest epoch stored in the
// key-value service, and the first entry in rendezvous order as owner.
func (e *Entry) maintain(s *slot, cs []candidate) {
	order := s.order(cs)
	next := e.successor(order)
	want := e.desiredReplicas(s, order, next)
	if s.isFenced() || s.assignment.Epoch.Rank > 0 || !sameMembers(want, s.assignment.Replicas) {
		e.proposeReplicas(s, want, cs)
		return
	}
	if next != nil {
		e.offerSlot(s, next.node)
	}
}

// proposeReplicas proposes a changed set of replicas.
func (e *Entry) proposeReplicas(s *slot, replicas []core.Member, cs []candidate) {
	assignment := e.nextAssignment(s, nil, cs)
	assignment.Replicas = replicas
	e.propose(s, assignment, false)
}

// successor returns the entry that the slot should move to, or nil.
func (e *Entry) successor(order []candidate) *candidate {
	if len(order) == 0 || order[0].node == e.self {
		return nil
	}
	p := e.members.peers[order[0].node.VM]
	if !e.drain.active() && e.now.Sub(p.firstHeard) < successorAgeFactor*e.times.suspect {
		return nil
	}
	return &order[0]
}

// desiredReplicas returns the replicas that the slot should have next. A replica
// that is to be removed stays until every new one has a snapshot, so that no
// change of the set makes the slot depend on a single copy.
func (e *Entry) desiredReplicas(s *slot, order []candidate, next *candidate) []core.Member {
	count := e.replicaCount()
	var retained []core.Member
	if next != nil {
		count = max(count, 1)
		retained = append(retained, s.replicaMember(next))
	}
	for _, m := range s.assignment.Replicas {
		if e.isHealthy(m.Node) && (next == nil || m.Node != next.node) {
			retained = append(retained, m)
		}
	}
	retained = retained[:min(len(retained), count)]
	want := chooseReplicas(candidate{e.self, e.domain}, retained, order, count, s.assignment.Epoch.Version+1)
	want = e.retainSuspected(s, want, count)
	if s.allSynced(want) {
		return want
	}
	for _, m := range s.assignment.Replicas {
		known := slices.ContainsFunc(want, func(w core.Member) bool { return w.Node == m.Node })
		if !known && !e.members.confirmedDead(m.Node) && !e.isSuspected(m.Node) {
			want = append(want, m)
		}
	}
	return want
}

// retainSuspected adds suspected replicas to want if there are fewer than
// count. The heartbeats may be missing because of a fault of this entry, so a
// live replica must have time to take the slot over first. An owner that has
// several peers and receives heartbeats from none of them never continues without
// replicas.
func (e *Entry) retainSuspected(s *slot, want []core.Member, count int) []core.Member {
	for _, m := range s.assignment.Replicas {
		if len(want) >= count {
			break
		}
		tooEarly := e.likelyPartitioned() || e.sinceHeard(m.Node) < lastReplicaFactor*e.times.suspect
		if e.isSuspected(m.Node) && tooEarly && !e.members.confirmedDead(m.Node) && !e.isLeaving(m.Node) {
			want = append(want, m)
		}
	}
	return want
}

// likelyPartitioned reports whether this entry has at least two peers and no
// heartbeat of any of them has arrived within the suspicion time. It is then more
// likely to be partitioned than to be the only live entry. Unlike reachesNoPeer, it
// is false with a single peer and can be true right after the start.
func (e *Entry) likelyPartitioned() bool {
	if len(e.members.peers) < 2 {
		return false
	}
	for _, p := range e.members.peers {
		if p.lastHeard > 0 && e.now.Sub(p.lastHeard) < e.times.suspect {
			return false
		}
	}
	return true
}

// replicaMember returns a candidate as a replica of the slot: its current
// membership, or a new one.
func (s *slot) replicaMember(c *candidate) core.Member {
	for _, m := range s.assignment.Replicas {
		if m.Node == c.node {
			return m
		}
	}
	return core.Member{Node: c.node, Domain: c.domain, Since: s.assignment.Epoch.Version + 1}
}

// allSynced reports whether every one of the replicas has acknowledged a
// snapshot of this epoch.
func (s *slot) allSynced(replicas []core.Member) bool {
	for _, m := range replicas {
		i := slices.IndexFunc(s.ownerState.replicas, func(r *replicaProgress) bool { return r.member.Node == m.Node })
		if i < 0 || s.ownerState.replicas[i].ackedIndex == 0 {
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

// offerSlot offers the slot to a synchronized replica. Except during a drain,
// slots are offered one at a time, so that a joining entry gets its slots
// gradually.
func (e *Entry) offerSlot(s *slot, to core.Node) {
	interval := offerIntervalHeartbeats * e.times.heartbeat
	if s.offeredAt > 0 && e.now.Sub(s.offeredAt) < interval {
		return
	}
	if !e.drain.active() && e.now.Sub(e.lastOfferAt) < e.times.heartbeat {
		return
	}
	s.offeredAt = e.now
	e.lastOfferAt = e.now
	e.send(to, core.Handover{Slot: s.id, Epoch: s.assignment.Epoch})
}

// handleHandover takes over a slot that its owner offers.
func (e *Entry) handleHandover(from core.Node, m core.Handover) {
	s := e.slot(m.Slot)
	if s == nil || s.ownerState != nil || s.assignment.Epoch != m.Epoch || s.ownerNode() != from {
		return
	}
	if _, eligible := e.succession(s); eligible && !e.drain.active() {
		e.takeOverThroughStore(s, e.candidates())
	}
}
