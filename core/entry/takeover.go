package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// takeover drives a slot whose home is another entry, or is this one although it
// had to step down.
func (e *Entry) takeover(s *slot, cs []candidate) {
	home := s.homeNode()
	dead := e.members.dead(home)
	if !dead && home != e.self && !e.silent(home) {
		s.ownerless = 0
		return
	}
	if s.ownerless == 0 {
		s.ownerless = e.now
	}
	place, eligible := e.succession(s)
	waited := e.now.Sub(s.ownerless)
	switch {
	case !eligible:
		e.takeEmpty(s, cs)
	case dead && e.firstAlive(s, place):
		e.takeByEvidence(s, place, cs)
	case home == e.self && waited < e.times.suspect, !dead && e.alone():
	case waited >= int64(place)*e.times.heartbeat:
		e.takeBySwap(s, cs)
	}
}

// succession returns this entry's place in the order of succession, the home's
// being zero, and whether its image lets it take over.
func (e *Entry) succession(s *slot) (int, bool) {
	for i, m := range s.members() {
		if m.Node == e.self {
			return i, e.eligible(s, m)
		}
	}
	return 0, false
}

// members returns the home and the mirrors in order of succession.
func (s *slot) members() []core.Member {
	return append([]core.Member{s.owner.Owner}, s.owner.Replicas...)
}

// firstAlive reports evidence that all members before a place are dead.
func (e *Entry) firstAlive(s *slot, place int) bool {
	for _, m := range s.members()[:place] {
		if !e.members.dead(m.Node) {
			return false
		}
	}
	return true
}

// takeByEvidence takes over at once: through the key-value service while it
// answers, else by raising the rank.
func (e *Entry) takeByEvidence(s *slot, place int, cs []candidate) {
	if e.store.failed && e.rankable(s, place) {
		e.takeByRank(s, place)
		return
	}
	e.takeBySwap(s, cs)
}

// rankable reports whether this entry at a place may take the slot over without
// the key-value service: all members before it are dead by evidence, and it has
// promised no later version.
func (e *Entry) rankable(s *slot, place int) bool {
	return place > 0 && e.firstAlive(s, place) && s.promised.Version == s.owner.Epoch.Version
}

// takeByRank takes the slot over without the key-value service. The other
// members stay the same: those that are not dead by evidence must acknowledge
// every write, and refuse if they have promised a higher epoch.
func (e *Entry) takeByRank(s *slot, place int) {
	o := s.owner
	rank := max(o.Epoch.Rank, s.promised.Rank) + uint32(place) + 1
	o.Epoch = core.Epoch{Version: o.Epoch.Version, Rank: rank}
	o.Owner = s.members()[place]
	o.Replicas = nil
	for i, m := range s.members() {
		if i != place {
			o.Replicas = append(o.Replicas, m)
		}
	}
	e.decideTakeover(s, "rank")
	e.adopt(s, o)
}

// takeBySwap collects promises for the next version and swaps the entry to it.
func (e *Entry) takeBySwap(s *slot, cs []candidate) {
	o := e.nextOwner(s, e.survivors(s), cs)
	e.propose(s, o, false)
	if s.proposal != nil {
		e.decideTakeover(s, "swap")
	}
}

func (e *Entry) decideTakeover(s *slot, how core.Reason) {
	e.emit(core.Decision{Step: "takeover", Slot: s.id, Target: s.homeNode(), Reason: how})
}

// survivors returns the other members that can go on as mirrors.
func (e *Entry) survivors(s *slot) []core.Member {
	var kept []core.Member
	for _, m := range s.members() {
		if m.Node != e.self && e.sound(m.Node) {
			kept = append(kept, m)
		}
	}
	return kept[:min(len(kept), e.mirrorCount())]
}

// sound reports whether a member is neither dead, silent nor leaving.
func (e *Entry) sound(n core.Node) bool {
	return !e.members.dead(n) && !e.silent(n) && !e.leavingEntry(n)
}

// nextOwner returns the owner entry of the next version that keeps the slot's
// memory, with this entry as home.
func (e *Entry) nextOwner(s *slot, kept []core.Member, cs []candidate) core.SlotAssignment {
	o := e.newOwner(s, s.order(cs), kept)
	o.CompleteSince = s.owner.CompleteSince
	for _, m := range s.members() {
		if m.Node == e.self {
			o.Owner = m
		}
	}
	return o
}

// takeEmpty claims a slot of which no member has the memory any more. An entry
// that never was a member does so only if all members are dead by evidence; a
// member without an image finds out from the others, once the home is dead by
// evidence: a request to promise would end the time of a home that lives.
func (e *Entry) takeEmpty(s *slot, cs []candidate) {
	order := s.order(cs)
	member := slices.ContainsFunc(s.members(), func(m core.Member) bool { return m.Node == e.self })
	first := len(order) > 0 && order[0].node == e.self
	mine := member && (e.members.dead(s.homeNode()) || s.homeNode() == e.self)
	if !e.store.ranged || !mine && !(first && e.allDead(s)) {
		return
	}
	e.propose(s, e.newOwner(s, order, nil), true)
}

// allDead reports evidence that no member of the slot lives.
func (e *Entry) allDead(s *slot) bool {
	return !slices.ContainsFunc(s.members(), func(m core.Member) bool {
		return !e.members.dead(m.Node)
	})
}

// unremembered reports whether a call's program is unknown and may be older
// than the slot's memory.
func (e *Entry) unremembered(s *slot, call *core.Call) bool {
	return s.image.programs[call.Program.Root()] == nil && e.forgetful(s)
}

// forgetful reports whether programs can be older than the slot's memory.
func (e *Entry) forgetful(s *slot) bool {
	return s.image.remembers > 1 && e.now.Sub(s.forgotAt) < e.horizon()
}

// horizon returns the greatest age of a program.
func (e *Entry) horizon() core.Duration {
	var age core.Duration
	for i := range e.set.Programs {
		age = max(age, orDefault(e.set.Programs[i].MaxAge.Nanos(), defaultAge))
	}
	return orDefault(age, defaultAge)
}

// freshProgram reports whether a call shows that it begins a new program.
func freshProgram(call *core.Call) bool {
	return call.Seq == 1 || call.Seq == 0 && len(call.Blocks) <= freshBlocks
}
