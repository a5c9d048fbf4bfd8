package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// tickTakeover checks a slot that this entry does not serve: another entry owns
// it, or this entry is the assigned owner but had to step down. If the owner is
// dead or suspected, this entry takes the slot over when its position in the
// order of succession allows it.
func (e *Entry) tickTakeover(s *slot, cs []candidate) {
	owner := s.ownerNode()
	dead := e.members.confirmedDead(owner)
	if !dead && owner != e.self && !e.isSuspected(owner) {
		s.ownerMissingSince = 0
		return
	}
	if s.ownerMissingSince == 0 {
		s.ownerMissingSince = e.now
	}
	position, eligible := e.succession(s)
	waited := e.now.Sub(s.ownerMissingSince)
	switch {
	case !eligible:
		e.takeOverWithoutState(s, cs)
	case dead && e.predecessorsDead(s, position):
		e.takeOverFromDead(s, position, cs)
	case owner == e.self && waited < e.times.suspect, !dead && e.likelyPartitioned():
	case waited >= int64(position)*e.times.heartbeat:
		e.takeOverThroughStore(s, cs)
	}
}

// succession returns this entry's position in the order of succession, where the
// owner's is zero, and whether its snapshot lets it take over.
func (e *Entry) succession(s *slot) (int, bool) {
	for i, m := range s.members() {
		if m.Node == e.self {
			return i, e.isEligible(s, m)
		}
	}
	return 0, false
}

// members returns the owner and the replicas in order of succession.
func (s *slot) members() []core.Member {
	return append([]core.Member{s.assignment.Owner}, s.assignment.Replicas...)
}

// predecessorsDead reports whether all members before a position are confirmed
// dead.
func (e *Entry) predecessorsDead(s *slot, position int) bool {
	for _, m := range s.members()[:position] {
		if !e.members.confirmedDead(m.Node) {
			return false
		}
	}
	return true
}

// takeOverFromDead takes over without waiting: through the key-value service
// while it responds, else by raising the rank.
func (e *Entry) takeOverFromDead(s *slot, position int, cs []candidate) {
	if e.store.failed && e.canRaiseRank(s, position) {
		e.takeOverByRank(s, position)
		return
	}
	e.takeOverThroughStore(s, cs)
}

// canRaiseRank reports whether this entry may take the slot over without the
// key-value service. All members before its position must be confirmed dead, and
// it must not have promised a later version.
func (e *Entry) canRaiseRank(s *slot, position int) bool {
	return position > 0 && e.predecessorsDead(s, position) && s.promisedEpoch.Version == s.assignment.Epoch.Version
}

// takeOverByRank takes the slot over without the key-value service. The other
// members stay the same: those that are not confirmed dead must acknowledge
// every write, and reject it if they have promised a higher epoch.
func (e *Entry) takeOverByRank(s *slot, position int) {
	assignment := s.assignment
	rank := max(assignment.Epoch.Rank, s.promisedEpoch.Rank) + uint32(position) + 1
	assignment.Epoch = core.Epoch{Version: assignment.Epoch.Version, Rank: rank}
	assignment.Owner = s.members()[position]
	assignment.Replicas = nil
	for i, m := range s.members() {
		if i != position {
			assignment.Replicas = append(assignment.Replicas, m)
		}
	}
	e.emitTakeover(s, "rank")
	e.adopt(s, assignment)
}

// takeOverThroughStore proposes an assignment of the next version with this
// entry as owner.
func (e *Entry) takeOverThroughStore(s *slot, cs []candidate) {
	assignment := e.nextAssignment(s, e.survivingMembers(s), cs)
	e.propose(s, assignment, false)
	if s.proposal != nil {
		e.emitTakeover(s, "swap")
	}
}

func (e *Entry) emitTakeover(s *slot, via core.Reason) {
	e.emit(core.Decision{Step: "takeover", Slot: s.id, Target: s.ownerNode(), Reason: via})
}

// survivingMembers returns the other members that can continue as replicas.
func (e *Entry) survivingMembers(s *slot) []core.Member {
	var surviving []core.Member
	for _, m := range s.members() {
		if m.Node != e.self && e.isHealthy(m.Node) {
			surviving = append(surviving, m)
		}
	}
	return surviving[:min(len(surviving), e.replicaCount())]
}

// isHealthy reports whether a member is neither confirmed dead, suspected nor
// leaving.
func (e *Entry) isHealthy(n core.Node) bool {
	return !e.members.confirmedDead(n) && !e.isSuspected(n) && !e.isLeaving(n)
}

// nextAssignment returns an assignment of the next version that keeps the slot's
// state, with this entry as owner.
func (e *Entry) nextAssignment(s *slot, retained []core.Member, cs []candidate) core.SlotAssignment {
	assignment := e.newAssignment(s, s.order(cs), retained)
	assignment.CompleteSince = s.assignment.CompleteSince
	for _, m := range s.members() {
		if m.Node == e.self {
			assignment.Owner = m
		}
	}
	return assignment
}

// takeOverWithoutState proposes this entry as owner of a slot of which no
// member has the state any more. An entry that was never a member does so only
// if all members are confirmed dead. A member without a valid snapshot sends
// promise requests to find out whether the others have one. It does so only
// once the owner is confirmed dead, since a promise request would depose a live
// owner.
func (e *Entry) takeOverWithoutState(s *slot, cs []candidate) {
	order := s.order(cs)
	isMember := slices.ContainsFunc(s.members(), func(m core.Member) bool { return m.Node == e.self })
	isFirst := len(order) > 0 && order[0].node == e.self
	mayClaim := isMember && (e.members.confirmedDead(s.ownerNode()) || s.ownerNode() == e.self)
	if !e.store.hasRange || !mayClaim && !(isFirst && e.allDead(s)) {
		return
	}
	e.propose(s, e.newAssignment(s, order, nil), true)
}

// allDead reports whether all members of the slot are confirmed dead.
func (e *Entry) allDead(s *slot) bool {
	return !slices.ContainsFunc(s.members(), func(m core.Member) bool {
		return !e.members.confirmedDead(m.Node)
	})
}

// programMayBeLost reports whether a call's program is unknown and may be older
// than the slot's state.
func (e *Entry) programMayBeLost(s *slot, call *core.Call) bool {
	return s.snapshot.programs[call.Program.Root()] == nil && e.mayLackPrograms(s)
}

// mayLackPrograms reports whether there can be programs that are older than the
// slot's state, because state was lost less than maxProgramAge ago.
func (e *Entry) mayLackPrograms(s *slot) bool {
	return s.snapshot.completeSince > 1 && e.now.Sub(s.stateLostAt) < e.maxProgramAge()
}

// maxProgramAge returns the greatest age that any kind of program can reach.
func (e *Entry) maxProgramAge() core.Duration {
	var age core.Duration
	for i := range e.set.Programs {
		age = max(age, orDefault(e.set.Programs[i].MaxAge.Nanos(), defaultAge))
	}
	return orDefault(age, defaultAge)
}

// isNewProgram reports whether a call is recognizably the first of a new
// program.
func isNewProgram(call *core.Call) bool {
	return call.Seq == 1 || call.Seq == 0 && len(call.Blocks) <= maxNewProgramBlocks
}
