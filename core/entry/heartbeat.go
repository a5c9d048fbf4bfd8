package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// ringNeighbours is the number of peers on each side of an entry on the ring
	// that get its heartbeats at the full rate.
	ringNeighbours = 8
	// reducedRateRounds is the number of heartbeat rounds from one heartbeat to a
	// reduced-rate peer to the next. A reduced-rate peer is neither a ring
	// neighbour nor a member of a common slot.
	reducedRateRounds = 8
	// maxExtraHeartbeats bounds the additional interval that a peer may
	// announce, in heartbeat periods.
	maxExtraHeartbeats = 2 * reducedRateRounds
)

// ringPoint is a VM's position on the ring. It does not depend on the
// incarnation.
func ringPoint(vm core.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// ringNeighbourhood returns the peers next to this entry on the ring. Two
// entries with the same VM list agree on whether they are neighbours.
func (m *members) ringNeighbourhood() map[core.VM]bool {
	if m.ringPeers != nil {
		return m.ringPeers
	}
	own := ringPoint(m.self)
	ring := slices.Clone(m.sorted())
	// Unsigned differences wrap around, so the order starts after this entry.
	slices.SortFunc(ring, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.point-own, b.point-own), cmp.Compare(a.node.VM, b.node.VM))
	})
	m.ringPeers = map[core.VM]bool{}
	for i, p := range ring {
		if i < m.neighbours || i >= len(ring)-m.neighbours {
			m.ringPeers[p.node.VM] = true
		}
	}
	return m.ringPeers
}

// countShared adds delta to sharedSlots for every member of the slot. It does
// nothing if this entry's VM is not a member.
func (m *members) countShared(assignment core.SlotAssignment, delta int) {
	all := append([]core.Member{assignment.Owner}, assignment.Replicas...)
	if !slices.ContainsFunc(all, func(c core.Member) bool { return c.Node.VM == m.self }) {
		return
	}
	for _, c := range all {
		m.sharedSlots[c.Node.VM] += delta
		if m.sharedSlots[c.Node.VM] == 0 {
			delete(m.sharedSlots, c.Node.VM)
		}
	}
}

// needsFullRate reports whether a peer gets heartbeats at the full rate.
// Members of common slots need this rate to detect the failure of an owner or
// replica; ring neighbours need it to propagate the slot map.
func (m *members) needsFullRate(p *peer) bool {
	return m.sharedSlots[p.node.VM] > 0 || m.ringNeighbourhood()[p.node.VM]
}

// isHeartbeatDue reports whether a peer gets a heartbeat in this round. A peer
// that changes to the reduced rate is notified immediately. The rounds of the
// reduced-rate peers are spread, so that no round is larger than the others.
func (m *members) isHeartbeatDue(p *peer, fullRate bool) bool {
	return fullRate || m.round == 0 || p.isNew || p.fullRate || (m.round+p.point)%reducedRateRounds == 0
}

// tickMembers sends heartbeats to the peers and subscribes to load reports.
func (e *Entry) tickMembers() {
	e.tickTargets()
	if e.members.heartbeatAt > 0 && e.now.Sub(e.members.heartbeatAt) < e.times.heartbeat {
		return
	}
	e.members.heartbeatAt = e.now
	e.sendHeartbeats()
	e.members.round++
}

// sendHeartbeats sends one round of heartbeats. To a reduced-rate peer it
// announces the time until the next one, so that the peer does not suspect this
// entry before then.
func (e *Entry) sendHeartbeats() {
	h := core.Heartbeat{
		Domain:     e.domain,
		Generation: e.generation,
		MapSum:     e.mapSum,
		Draining:   e.drain.active(),
	}
	for _, p := range e.members.sorted() {
		fullRate := e.members.needsFullRate(p)
		if !e.members.isHeartbeatDue(p, fullRate) {
			continue
		}
		p.isNew, p.fullRate = false, fullRate
		h.Period = 0
		if !fullRate {
			h.Period = reducedRateRounds * e.times.heartbeat
		}
		// Incarnation zero addresses any incarnation, even one that this entry does
		// not know yet.
		e.send(core.Node{VM: p.node.VM}, h)
	}
}
