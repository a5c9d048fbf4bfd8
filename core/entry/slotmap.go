package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// candidate is a live entry that may become a member of slots.
type candidate struct {
	node   core.Node
	domain core.Domain
}

// candidates returns the live entries that are neither leaving nor draining. It
// returns the same slice until the set changes; the slice must not be modified.
func (e *Entry) candidates() []candidate {
	cs := e.candidateBuf[:0]
	if !e.isLeaving(e.self) {
		cs = append(cs, candidate{e.self, e.domain})
	}
	for _, p := range e.members.sorted() {
		if e.isAlive(p) && !p.leaving && !p.draining {
			cs = append(cs, candidate{p.node, p.domain})
		}
	}
	e.candidateBuf = cs
	if !slices.Equal(cs, e.lastCandidates) {
		e.lastCandidates = slices.Clone(cs)
	}
	return e.lastCandidates
}

// order returns the candidates in rendezvous order for the slot. The result is
// cached until the candidates change, because every tick needs it.
func (s *slot) order(cs []candidate) []candidate {
	if len(cs) == 0 {
		return nil
	}
	if s.cachedOrderOf != &cs[0] || len(s.cachedOrder) != len(cs) {
		s.cachedOrderOf = &cs[0]
		s.cachedOrder = rendezvousOrder(s.id, cs)
	}
	return s.cachedOrder
}

// slotScore is the rendezvous weight of a VM for a slot. It does not depend on
// the incarnation, so that a restart moves no slot.
func slotScore(id core.SlotID, vm core.VM) uint64 {
	return xxhash.Sum64String(core.SlotKey(id) + "|" + string(vm))
}

// rendezvousOrder returns the candidates in rendezvous order for a slot.
func rendezvousOrder(id core.SlotID, cs []candidate) []candidate {
	scores := make(map[core.VM]uint64, len(cs))
	for _, c := range cs {
		scores[c.node.VM] = slotScore(id, c.node.VM)
	}
	out := slices.Clone(cs)
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(scores[b.node.VM], scores[a.node.VM]),
			cmp.Compare(a.node.VM, b.node.VM))
	})
	return out
}

// chooseReplicas returns the retained members and as many candidates as are needed
// for count replicas: first from failure domains that have no member yet, then
// from any.
func chooseReplicas(owner candidate, retained []core.Member, order []candidate, count int, since uint64) []core.Member {
	out := slices.Clone(retained)
	usedDomains := map[core.Domain]bool{owner.domain: true}
	chosen := map[core.Node]bool{owner.node: true}
	for _, m := range retained {
		usedDomains[m.Domain] = true
		chosen[m.Node] = true
	}
	for _, newDomainsOnly := range []bool{true, false} {
		for _, c := range order {
			if len(out) >= count || chosen[c.node] || newDomainsOnly && usedDomains[c.domain] {
				continue
			}
			out = append(out, core.Member{Node: c.node, Domain: c.domain, Since: since})
			usedDomains[c.domain] = true
			chosen[c.node] = true
		}
	}
	return out
}

// replicaCount returns the number of replicas that a slot should have.
func (e *Entry) replicaCount() int {
	if e.set == nil {
		return 0
	}
	return e.set.Ownership.Replicas
}

// mayBootstrap reports whether this entry may assign slots that never had an
// owner: it has heard from all listed entries, or has waited twice the
// suspicion time since its start.
func (e *Entry) mayBootstrap() bool {
	if e.now.Sub(e.started) >= 2*e.times.suspect {
		return true
	}
	if !e.members.hasList {
		return false
	}
	for _, vm := range e.members.listed {
		if vm.Role != core.RoleEntry || vm.Leaving || vm.VM == e.self.VM {
			continue
		}
		if p := e.members.peers[vm.VM]; p == nil || !e.isAlive(p) {
			return false
		}
	}
	return true
}

// tickSlots checks the ownership of the slots due in this tick, and the
// replicas and calls of those that this entry owns.
func (e *Entry) tickSlots() {
	if e.slots == nil {
		return
	}
	cs := e.candidates()
	for _, s := range e.slotsDue() {
		e.tickOwnership(s, cs)
		if s.ownerState != nil {
			e.tickReplicas(s)
		}
		switch {
		case s.ownerState == nil:
		case s.ownerState.ready:
			e.tickCalls(s)
		default:
			e.tickFencing(s)
			e.retryPending(s)
		}
	}
}

func (e *Entry) tickOwnership(s *slot, cs []candidate) {
	switch {
	case s.proposal != nil:
		e.tickProposal(s)
	case s.assignment.Epoch.Version == 0:
		e.bootstrap(s, cs)
	case s.ownerState != nil:
		e.maintain(s, cs)
	default:
		e.tickTakeover(s, cs)
	}
}

// bootstrap proposes this entry as owner of a slot that never had one, if this
// entry is the first live one in rendezvous order.
func (e *Entry) bootstrap(s *slot, cs []candidate) {
	if !e.store.hasRange || !e.mayBootstrap() {
		return
	}
	order := s.order(cs)
	if len(order) == 0 || order[0].node != e.self {
		return
	}
	e.propose(s, e.newAssignment(s, order, nil), true)
}

// newAssignment returns an assignment of the next version with this entry as
// owner and without the slot's previous state.
func (e *Entry) newAssignment(s *slot, order []candidate, retained []core.Member) core.SlotAssignment {
	version := s.assignment.Epoch.Version + 1
	self := candidate{e.self, e.domain}
	assignment := core.SlotAssignment{
		Slot:          s.id,
		Epoch:         core.Epoch{Version: version},
		Owner:         core.Member{Node: e.self, Domain: e.domain, Since: version},
		Replicas:      chooseReplicas(self, retained, order, e.replicaCount(), version),
		CompleteSince: version,
	}
	return assignment
}

// adopt applies an assignment if its epoch is higher than that of the known
// one, so that the slot map never reverts to an older state.
func (e *Entry) adopt(s *slot, assignment core.SlotAssignment) {
	if !s.assignment.Epoch.Less(assignment.Epoch) {
		return
	}
	e.mapSum += mapTerm(assignment.Epoch) - mapTerm(s.assignment.Epoch)
	e.scan.stale = true
	e.members.countShared(s.assignment, -1)
	e.members.countShared(assignment, 1)
	s.assignment = assignment
	s.ownerChangedAt = e.now
	s.ownerMissingSince = 0
	if s.promisedEpoch.Less(assignment.Epoch) {
		s.promisedEpoch = assignment.Epoch
	}
	switch {
	case assignment.Owner.Node == e.self:
		e.assumeOwnership(s)
	case s.ownerState != nil:
		e.stepDown(s, assignment.Epoch)
	}
	e.reforwardAll(s)
}

// assumeOwnership makes this entry the owner of a slot whose assignment names
// this incarnation, if the snapshot has every acknowledged write or the
// assignment starts without state.
func (e *Entry) assumeOwnership(s *slot) {
	assignment := s.assignment
	if assignment.Epoch.Less(s.promisedEpoch) {
		return
	}
	startsEmpty := assignment.CompleteSince == assignment.Epoch.Version && assignment.Owner.Since == assignment.Epoch.Version
	stateLost := false
	switch {
	case s.ownerState != nil, e.isEligible(s, assignment.Owner):
	case startsEmpty:
		s.snapshot = emptySnapshot()
		s.snapshot.completeSince = assignment.CompleteSince
		s.stateLostAt = 0
		stateLost = assignment.Epoch.Version > 1
	default:
		return
	}
	e.becomeOwner(s)
	if stateLost {
		e.startFencing(s)
	}
	e.gossip(s)
}

// isEligible reports whether m is this entry and its snapshot has every write
// that was acknowledged before version m.Since.
func (e *Entry) isEligible(s *slot, m core.Member) bool {
	return m.Node == e.self && s.snapshot.valid && s.snapshot.epoch.Version >= m.Since
}

// gossip sends a slot's assignment to every peer.
func (e *Entry) gossip(s *slot) {
	update := core.SlotUpdate{Assignments: []core.SlotAssignment{s.assignment}}
	for _, p := range e.members.sorted() {
		if p.node.Inc > 0 {
			e.send(p.node, update)
		}
	}
}

// handleSlotQuery responds with all assignments known.
func (e *Entry) handleSlotQuery(from core.Node) {
	var assignments []core.SlotAssignment
	for _, s := range e.slots {
		if s.assignment.Epoch.Version > 0 {
			assignments = append(assignments, s.assignment)
		}
	}
	if len(assignments) > 0 {
		e.send(from, core.SlotUpdate{Assignments: assignments})
	}
}

func (e *Entry) handleSlotUpdate(u core.SlotUpdate) {
	for _, assignment := range u.Assignments {
		if s := e.slot(assignment.Slot); s != nil {
			assignment.Revision = 0
			e.adopt(s, assignment)
		}
	}
}

// mapTerm returns a slot's term in the sum that heartbeats carry, by which
// entries detect that their slot maps differ.
func mapTerm(epoch core.Epoch) uint64 { return epoch.Version<<20 + uint64(epoch.Rank) }
