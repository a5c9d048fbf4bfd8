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
	// farRounds is the number of rounds of heartbeats of which a peer that is
	// neither a neighbour nor a fellow member of a slot gets one.
	farRounds = 8
	// maxOwed bounds the time, in heartbeats, that a peer may ask for between two
	// heartbeats.
	maxOwed = 2 * farRounds
)

// ringPoint is a VM's place on the ring. It does not depend on the incarnation.
func ringPoint(vm core.VM) uint64 { return xxhash.Sum64String(string(vm)) }

// neighbourhood returns the peers next to this entry on the ring. Two entries
// with the same VM list agree on whether they are neighbours.
func (m *members) neighbourhood() map[core.VM]bool {
	if m.near != nil {
		return m.near
	}
	own := ringPoint(m.self)
	ring := slices.Clone(m.sorted())
	// Unsigned differences wrap round, so the order starts after this entry.
	slices.SortFunc(ring, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.point-own, b.point-own), cmp.Compare(a.node.VM, b.node.VM))
	})
	m.near = map[core.VM]bool{}
	for i, p := range ring {
		if i < m.neighbours || i >= len(ring)-m.neighbours {
			m.near[p.node.VM] = true
		}
	}
	return m.near
}

// share counts the members of a slot that this entry's VM is a member of, by
// delta.
func (m *members) share(o core.SlotAssignment, delta int) {
	all := append([]core.Member{o.Owner}, o.Replicas...)
	if !slices.ContainsFunc(all, func(c core.Member) bool { return c.Node.VM == m.self }) {
		return
	}
	for _, c := range all {
		m.shared[c.Node.VM] += delta
		if m.shared[c.Node.VM] == 0 {
			delete(m.shared, c.Node.VM)
		}
	}
}

// close reports whether a peer gets heartbeats at the full rate: ownership needs
// those of fellow members, and the spread of the slot map those of neighbours.
func (m *members) close(p *peer) bool {
	return m.shared[p.node.VM] > 0 || m.neighbourhood()[p.node.VM]
}

// due reports whether a peer gets a heartbeat in this round. A peer that becomes
// far is told so at once. The rounds of far peers are spread, so that no round is
// larger than the others.
func (m *members) due(p *peer, near bool) bool {
	return near || m.round == 0 || p.greet || p.close || (m.round+p.point)%farRounds == 0
}

// tickMembers sends heartbeats to the peers and subscribes to load reports.
func (e *Entry) tickMembers() {
	e.tickTargets()
	if e.members.beatAt > 0 && e.now.Sub(e.members.beatAt) < e.times.heartbeat {
		return
	}
	e.members.beatAt = e.now
	e.beat()
	e.members.round++
}

// beat sends one round of heartbeats. A far peer is told how long it waits for
// the next, so that it does not take the wait for silence.
func (e *Entry) beat() {
	h := core.Heartbeat{
		Domain:     e.domain,
		Generation: e.generation,
		MapSum:     e.mapSum,
		Draining:   e.drain.active(),
	}
	for _, p := range e.members.sorted() {
		near := e.members.close(p)
		if !e.members.due(p, near) {
			continue
		}
		p.greet, p.close = false, near
		h.Period = 0
		if !near {
			h.Period = farRounds * e.times.heartbeat
		}
		// Incarnation zero also reaches a life that is not known yet.
		e.send(core.Node{VM: p.node.VM}, h)
	}
}
