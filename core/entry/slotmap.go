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
// returns the same slice until they change; the caller must not change it.
func (e *Entry) candidates() []candidate {
	cs := e.scratch[:0]
	if !e.leavingEntry(e.self) {
		cs = append(cs, candidate{e.self, e.domain})
	}
	for _, p := range e.members.sorted() {
		if e.alive(p) && !p.leaving && !p.draining {
			cs = append(cs, candidate{p.node, p.domain})
		}
	}
	e.scratch = cs
	if !slices.Equal(cs, e.cands) {
		e.cands = slices.Clone(cs)
	}
	return e.cands
}

// order returns the candidates in rendezvous order for a slot. It is kept until
// the candidates change, as every tick asks for it.
func (s *slot) order(cs []candidate) []candidate {
	if len(cs) == 0 {
		return nil
	}
	if s.orderOf != &cs[0] || len(s.orderKept) != len(cs) {
		s.orderOf = &cs[0]
		s.orderKept = ranked(s.id, cs)
	}
	return s.orderKept
}

// score is the rendezvous weight of a VM for a slot. It does not depend on the
// incarnation, so that a restart moves no slot.
func score(id core.SlotID, vm core.VM) uint64 {
	return xxhash.Sum64String(core.SlotKey(id) + "|" + string(vm))
}

// ranked returns the candidates in rendezvous order for a slot.
func ranked(id core.SlotID, cs []candidate) []candidate {
	scores := make(map[core.VM]uint64, len(cs))
	for _, c := range cs {
		scores[c.node.VM] = score(id, c.node.VM)
	}
	out := slices.Clone(cs)
	slices.SortFunc(out, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(scores[b.node.VM], scores[a.node.VM]),
			cmp.Compare(a.node.VM, b.node.VM))
	})
	return out
}

// chooseMirrors adds members to kept until there are count: first from failure
// domains that have none yet, then from any.
func chooseMirrors(home candidate, kept []core.Member, order []candidate, count int, since uint64) []core.Member {
	out := slices.Clone(kept)
	used := map[core.Domain]bool{home.domain: true}
	taken := map[core.Node]bool{home.node: true}
	for _, m := range kept {
		used[m.Domain] = true
		taken[m.Node] = true
	}
	for _, fresh := range []bool{true, false} {
		for _, c := range order {
			if len(out) >= count || taken[c.node] || fresh && used[c.domain] {
				continue
			}
			out = append(out, core.Member{Node: c.node, Domain: c.domain, Since: since})
			used[c.domain] = true
			taken[c.node] = true
		}
	}
	return out
}

// mirrorCount returns the number of mirrors that a slot should have.
func (e *Entry) mirrorCount() int {
	if e.set == nil {
		return 0
	}
	return e.set.Ownership.Mirrors
}

// settled reports whether the view of the other entries is complete enough to
// assign slots that have no owner.
func (e *Entry) settled() bool {
	if e.now.Sub(e.started) >= 2*e.times.suspect {
		return true
	}
	if !e.members.list {
		return false
	}
	for _, vm := range e.members.listed {
		if vm.Role != core.RoleEntry || vm.Leaving || vm.VM == e.self.VM {
			continue
		}
		if p := e.members.peers[vm.VM]; p == nil || !e.alive(p) {
			return false
		}
	}
	return true
}

// tickSlots drives the ownership of every slot and the calls of those that this
// entry is the home of.
func (e *Entry) tickSlots() {
	if e.slots == nil {
		return
	}
	cs := e.candidates()
	for _, s := range e.slotsDue() {
		e.tickOwnership(s, cs)
		if s.home != nil {
			e.tickLinks(s)
		}
		switch {
		case s.home == nil:
		case s.home.ready:
			e.tickCalls(s)
		default:
			e.tickFencing(s)
			e.tickEarly(s)
		}
	}
}

func (e *Entry) tickOwnership(s *slot, cs []candidate) {
	switch {
	case s.proposal != nil:
		e.tickProposal(s)
	case s.owner.Epoch.Version == 0:
		e.bootstrap(s, cs)
	case s.home != nil:
		e.maintain(s, cs)
	default:
		e.takeover(s, cs)
	}
}

// bootstrap claims a slot that never had an owner if this entry is the first
// live one in rendezvous order.
func (e *Entry) bootstrap(s *slot, cs []candidate) {
	if !e.store.ranged || !e.settled() {
		return
	}
	order := s.order(cs)
	if len(order) == 0 || order[0].node != e.self {
		return
	}
	e.propose(s, e.newOwner(s, order, nil), true)
}

// newOwner returns an owner entry of the next version with this entry as home.
func (e *Entry) newOwner(s *slot, order []candidate, kept []core.Member) core.SlotAssignment {
	version := s.owner.Epoch.Version + 1
	self := candidate{e.self, e.domain}
	o := core.SlotAssignment{
		Slot:          s.id,
		Epoch:         core.Epoch{Version: version},
		Owner:         core.Member{Node: e.self, Domain: e.domain, Since: version},
		Replicas:      chooseMirrors(self, kept, order, e.mirrorCount(), version),
		CompleteSince: version,
	}
	return o
}

// adopt takes in an owner entry. It follows only a newer epoch than the one
// known, so that the map never goes back.
func (e *Entry) adopt(s *slot, o core.SlotAssignment) {
	if !s.owner.Epoch.Less(o.Epoch) {
		return
	}
	e.mapSum += mapTerm(o.Epoch) - mapTerm(s.owner.Epoch)
	e.walk.stale = true
	e.members.share(s.owner, -1)
	e.members.share(o, 1)
	s.owner = o
	s.changedAt = e.now
	s.ownerless = 0
	if s.promised.Less(o.Epoch) {
		s.promised = o.Epoch
	}
	switch {
	case o.Owner.Node == e.self:
		e.assume(s)
	case s.home != nil:
		e.stepDown(s, o.Epoch)
	}
	e.forwardAll(s)
}

// assume becomes home of a slot whose owner entry names this life, if the image
// has every acknowledged write or the entry starts a new memory.
func (e *Entry) assume(s *slot) {
	o := s.owner
	if o.Epoch.Less(s.promised) {
		return
	}
	fresh := o.CompleteSince == o.Epoch.Version && o.Owner.Since == o.Epoch.Version
	forgotten := false
	switch {
	case s.home != nil, e.eligible(s, o.Owner):
	case fresh:
		s.image = emptyImage()
		s.image.remembers = o.CompleteSince
		s.forgotAt = 0
		forgotten = o.Epoch.Version > 1
	default:
		return
	}
	e.becomeHome(s)
	if forgotten {
		e.beginFencing(s)
	}
	e.gossip(s)
}

// eligible reports whether this entry's image has every write acknowledged
// before it became the member m of the slot.
func (e *Entry) eligible(s *slot, m core.Member) bool {
	return m.Node == e.self && s.image.valid && s.image.epoch.Version >= m.Since
}

// gossip passes a slot's owner on to every peer.
func (e *Entry) gossip(s *slot) {
	update := core.SlotUpdate{Assignments: []core.SlotAssignment{s.owner}}
	for _, p := range e.members.sorted() {
		if p.node.Inc > 0 {
			e.send(p.node, update)
		}
	}
}

// slotQuery answers with all owners known.
func (e *Entry) slotQuery(from core.Node) {
	var owners []core.SlotAssignment
	for _, s := range e.slots {
		if s.owner.Epoch.Version > 0 {
			owners = append(owners, s.owner)
		}
	}
	if len(owners) > 0 {
		e.send(from, core.SlotUpdate{Assignments: owners})
	}
}

func (e *Entry) slotUpdate(u core.SlotUpdate) {
	for _, o := range u.Assignments {
		if s := e.slot(o.Slot); s != nil {
			o.Revision = 0
			e.adopt(s, o)
		}
	}
}

// mapTerm is a slot's part of the sum that tells two maps apart in a heartbeat.
func mapTerm(epoch core.Epoch) uint64 { return epoch.Version<<20 + uint64(epoch.Rank) }
