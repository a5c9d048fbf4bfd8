package entry

import (
	"encoding/json"
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// maxProposals bounds the proposals in flight at once, which spreads the load on
// the key-value service when an entry starts or takes many slots over.
const maxProposals = 16

// readTimeoutHeartbeats is the time, in heartbeats, after which the read of an
// assignment is abandoned if the slot can be taken over without the key-value
// service.
const readTimeoutHeartbeats = 2

// proposalStage is the progress of a proposal.
type proposalStage uint8

const (
	// stageRead: the stored assignment is read first, which also shows that the
	// service responds. A promise without a following compare-and-swap would stall
	// the slot.
	stageRead proposalStage = iota
	// stagePromise: the other members promise to reject older epochs.
	stagePromise
	// stageCompareAndSwap: the compare-and-swap is sent.
	stageCompareAndSwap
	// stageReadBack: the compare-and-swap may have taken effect; the assignment
	// must be read to find out.
	stageReadBack
)

// proposal is a change of a slot's assignment that is in flight.
type proposal struct {
	assignment core.SlotAssignment
	stage      proposalStage
	// withoutState is set if the new owner starts without the slot's state.
	withoutState bool
	// op is the operation whose response is awaited while inFlight.
	op        uint64
	inFlight  bool
	startedAt core.Instant
	triedAt   core.Instant
	// replies holds the replies of the members that have promised.
	replies map[core.Node]core.PromiseReply
}

// propose starts a change of a slot's assignment. It does nothing if a change
// of this slot is in flight, if maxProposals changes are in flight, or if the
// key-value service failed less than a heartbeat ago.
func (e *Entry) propose(s *slot, assignment core.SlotAssignment, withoutState bool) {
	if s.proposal != nil || e.store.openProposals >= maxProposals {
		return
	}
	if e.store.failed && e.now.Sub(e.store.failedAt) < e.times.heartbeat {
		return
	}
	e.store.lastOp++
	assignment.Proposal = fmt.Sprintf("%s/%d", e.self, e.store.lastOp)
	s.proposal = &proposal{
		assignment:   assignment,
		stage:        stageRead,
		withoutState: withoutState,
		startedAt:    e.now,
		replies:      map[core.Node]core.PromiseReply{},
	}
	e.store.openProposals++
	e.scan.stale = true
	e.readAssignment(s, opAssignmentGet)
}

func (e *Entry) endProposal(s *slot) {
	s.proposal = nil
	e.scan.stale = true
	e.store.openProposals--
}

func (e *Entry) readAssignment(s *slot, kind opKind) {
	s.proposal.inFlight = true
	s.proposal.triedAt = e.now
	s.proposal.op = e.newOp(storeOp{kind: kind, slot: s.id})
	e.emit(core.StoreGet{Op: s.proposal.op, Key: core.SlotKey(s.id)})
}

// proposalIsCurrent reports whether the proposal still directly follows the
// newest known assignment and its epoch is not below the promised one.
func (s *slot) proposalIsCurrent() bool {
	next := s.proposal.assignment.Epoch.Version
	return s.assignment.Epoch.Version+1 == next && s.revisionVersion+1 == next &&
		!s.proposal.assignment.Epoch.Less(s.promisedEpoch)
}

// assignmentRead handles the stored assignment: this entry promises the new
// epoch and requests the promises of the other members.
func (e *Entry) assignmentRead(s *slot, r core.StoreResult) {
	p := s.proposal
	p.inFlight = false
	if r.Err {
		e.endProposal(s)
		return
	}
	e.applyStoreChanges(r.Records)
	if !s.proposalIsCurrent() {
		e.endProposal(s)
		return
	}
	s.promisedEpoch = p.assignment.Epoch
	p.stage = stagePromise
	e.requestPromises(s)
	e.compareAndSwapIfPromised(s)
}

// otherMembers returns the members of the slot's assignment except this entry.
func (e *Entry) otherMembers(s *slot) []core.Node {
	var nodes []core.Node
	if s.assignment.Epoch.Version == 0 {
		return nil
	}
	for _, m := range s.members() {
		if m.Node != e.self {
			nodes = append(nodes, m.Node)
		}
	}
	return nodes
}

func (e *Entry) requestPromises(s *slot) {
	s.proposal.triedAt = e.now
	for _, n := range e.otherMembers(s) {
		if s.proposal.replies[n].OK || e.members.confirmedDead(n) {
			continue
		}
		e.send(n, core.PromiseRequest{Slot: s.id, Epoch: s.proposal.assignment.Epoch})
	}
}

// handlePromiseRequest replies to a member that wants to change the assignment.
// An owner that promises a higher epoch gets no further write acknowledged, so
// it steps down.
func (e *Entry) handlePromiseRequest(from core.Node, m core.PromiseRequest) {
	s := e.slot(m.Slot)
	if s == nil {
		return
	}
	reply := core.PromiseReply{Slot: m.Slot, Epoch: m.Epoch, OK: !m.Epoch.Less(s.promisedEpoch)}
	if reply.OK {
		s.promisedEpoch = m.Epoch
		if s.ownerState != nil && s.ownerState.epoch.Less(m.Epoch) && s.proposal == nil {
			e.stepDown(s, m.Epoch)
		}
	}
	reply.Promised = s.promisedEpoch
	_, reply.Eligible = e.succession(s)
	e.send(from, reply)
}

// handlePromiseReply records a promise and sends the compare-and-swap once there
// are enough. A rejection ends the proposal.
func (e *Entry) handlePromiseReply(from core.Node, m core.PromiseReply) {
	s := e.slot(m.Slot)
	if s == nil || s.proposal == nil {
		return
	}
	p := s.proposal
	if p.stage != stagePromise || p.assignment.Epoch != m.Epoch {
		return
	}
	if !m.OK {
		e.endProposal(s)
		e.send(from, core.SlotQuery{})
		return
	}
	p.replies[from] = m
	e.compareAndSwapIfPromised(s)
}

// compareAndSwapIfPromised sends the compare-and-swap if every other member,
// except at most one, has promised or is confirmed dead. A write of the old
// version needs two members that have not promised, so none can complete any
// more. A proposal without the slot's state needs the replies of all other
// members that are not confirmed dead, to make sure that none has the state.
func (e *Entry) compareAndSwapIfPromised(s *slot) {
	p := s.proposal
	missingAllowed := 1
	if p.withoutState {
		missingAllowed = 0
	}
	for _, n := range e.otherMembers(s) {
		reply, promised := p.replies[n]
		switch {
		case e.members.confirmedDead(n):
		case !promised:
			missingAllowed--
		case p.withoutState && reply.Eligible:
			e.endProposal(s)
			return
		}
	}
	if missingAllowed >= 0 {
		e.compareAndSwapAssignment(s)
	}
}

func (e *Entry) compareAndSwapAssignment(s *slot) {
	p := s.proposal
	value, err := json.Marshal(p.assignment)
	if err != nil {
		e.endProposal(s)
		return
	}
	p.stage = stageCompareAndSwap
	p.inFlight = true
	p.op = e.newOp(storeOp{kind: opAssignmentCompareAndSwap, slot: s.id})
	e.emit(core.StoreCompareAndSwap{
		Op:       p.op,
		Key:      core.SlotKey(s.id),
		Revision: s.revision,
		Value:    value,
	})
}

// assignmentSwapped ends a proposal whose compare-and-swap succeeded. In all
// other cases it reads the assignment back, since the compare-and-swap may have
// taken effect although its response was lost.
func (e *Entry) assignmentSwapped(s *slot, r core.StoreResult) {
	p := s.proposal
	if r.Err || !r.Swapped {
		p.stage = stageReadBack
		e.readAssignment(s, opAssignmentReadBack)
		return
	}
	e.endProposal(s)
	e.applyStoreChanges(r.Records)
	e.adopt(s, p.assignment)
}

// assignmentReadBack ends a proposal and applies what the store holds now.
func (e *Entry) assignmentReadBack(s *slot, r core.StoreResult) {
	s.proposal.inFlight = false
	if r.Err {
		return
	}
	e.endProposal(s)
	e.applyStoreChanges(r.Records)
}

// bypassStore ends a proposal whose read takes too long, if the slot can be
// taken over without the key-value service. No member has promised anything at
// this stage.
func (e *Entry) bypassStore(s *slot) {
	position, eligible := e.succession(s)
	if s.proposal.withoutState || s.ownerState != nil || !eligible || !e.canRaiseRank(s, position) {
		return
	}
	e.endProposal(s)
	e.takeOverByRank(s, position)
}

// tickProposal repeats requests without a response and ends a stale proposal.
func (e *Entry) tickProposal(s *slot) {
	p := s.proposal
	if p.stage == stageRead && e.now.Sub(p.startedAt) >= readTimeoutHeartbeats*e.times.heartbeat {
		e.bypassStore(s)
		return
	}
	if p.inFlight || e.now.Sub(p.triedAt) < e.times.heartbeat {
		return
	}
	switch {
	case p.stage == stageReadBack:
		e.readAssignment(s, opAssignmentReadBack)
	case !s.proposalIsCurrent(), e.now.Sub(p.startedAt) >= e.times.suspect:
		e.endProposal(s)
	default:
		e.requestPromises(s)
		e.compareAndSwapIfPromised(s)
	}
}
