package ownership

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// Model is the transition system of the protocol.
type Model struct {
	Rules  Rules
	Bounds Bounds

	overflows atomic.Int64
	mu        sync.RWMutex
	ids       map[message]uint16
	// messages holds each message at the index that is its number. It is read
	// without a lock, so it must never be reallocated; it has maxDistinctMessages
	// elements from the start.
	messages []message
}

// maxDistinctMessages bounds the distinct messages of an exploration.
const maxDistinctMessages = 1 << 16

// Overflows counts messages that were dropped because a state was full. An
// exploration with overflows is not exhaustive.
func (m *Model) Overflows() int { return int(m.overflows.Load()) }

// NewModel returns the model of the protocol with rules and bounds.
func NewModel(rules Rules, bounds Bounds) *Model {
	return &Model{Rules: rules, Bounds: bounds, ids: map[message]uint16{}, messages: make([]message, maxDistinctMessages)}
}

// Errors of the invariants.
var (
	errExecutedTwice       = errors.New("at_most_once: a non-idempotent call was executed twice")
	errExecutedAfterNotRun = errors.New("not_run: a call that was refused as not run was executed")
	errBudgetExceeded      = errors.New("budget: more was spent than the budget")
	errLostWrite           = errors.New("ownership: a newer owner lacks a dispatch record whose replication was completed")
)

// Check implements search.System.
func (m *Model) Check(s state) error {
	spent := 0
	for c := range m.Bounds.Calls {
		if s.Executed[c] > 1 {
			return errExecutedTwice
		}
		if s.ReportedNotRun[c] && s.Executed[c] > 0 {
			return errExecutedAfterNotRun
		}
		spent += int(s.Executed[c])
	}
	if spent > m.Bounds.Budget {
		return errBudgetExceeded
	}
	if s.LostWrite {
		return errLostWrite
	}
	return nil
}

// Init implements search.System: node 0 is the owner, the next ones are its
// replicas, and all have the empty snapshot.
func (m *Model) Init() state {
	var s state
	s.Version = 1
	first := &s.Assignments[1]
	first.Size = uint8(m.Bounds.Members)
	start := epoch{Version: 1}
	for i := range m.Bounds.Nodes {
		s.Nodes[i].KnownVersion = 1
		if i >= m.Bounds.Members {
			continue
		}
		first.Members[i] = member{Incarnation: incarnation{N: uint8(i)}, Since: 1}
		s.Nodes[i].Promise = start
		s.Nodes[i].WriteEpoch = start
		s.Nodes[i].HasSnapshot = true
	}
	owner := &s.Nodes[0]
	owner.IsOwner, owner.IsReady = true, true
	owner.OwnerEpoch = start
	owner.Required = m.memberBits(first) &^ bit(0)
	return s
}

func (m *Model) memberBits(a *assignment) uint8 {
	var set uint8
	for i := range a.Size {
		set |= bit(a.Members[i].Incarnation.N)
	}
	return set
}

// step copies the state, applies change to the copy, and emits it if it differs.
func (m *Model) step(s *state, emit func(string, state), action string, change func(*state)) {
	next := *s
	change(&next)
	m.prune(&next)
	if next != *s {
		emit(action, next)
	}
}

// Next implements search.System.
func (m *Model) Next(s state, emit func(string, state)) {
	for i := range m.Bounds.Nodes {
		m.nodeSteps(&s, uint8(i), emit)
	}
	for t := range m.Bounds.Targets {
		m.restartTarget(&s, uint8(t), emit)
	}
	for i := range s.MessageCount {
		m.deliver(&s, m.message(s.Messages[i]), emit)
	}
}

func (m *Model) nodeSteps(s *state, i uint8, emit func(string, state)) {
	m.beginCalls(s, i, emit)
	m.completeWrite(s, i, emit)
	m.settleDeadTargets(s, i, emit)
	m.claim(s, i, emit)
	m.propose(s, i, emit)
	m.sendSwap(s, i, emit)
	m.readBack(s, i, emit)
	m.receiveVersion(s, i, emit)
	m.restartNode(s, i, emit)
	m.mutantSteps(s, i, emit)
}

// reservedBudget returns the budget that a snapshot has reserved or spent.
func (m *Model) reservedBudget(snap *snapshot) int {
	sum := 0
	for _, r := range snap {
		switch r.Phase {
		case phaseDispatched:
			if m.Rules.ReserveBudget {
				sum++
			}
		case phaseRan, phaseUnknown:
			sum++
		}
	}
	return sum
}

// beginCalls writes the dispatch record of a call at the owner.
func (m *Model) beginCalls(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if !n.IsOwner || !n.IsReady || n.WritePending || n.StateLost && m.Rules.TrackStateLoss {
		return
	}
	if m.reservedBudget(&n.Snapshot) >= m.Bounds.Budget {
		return
	}
	for c := range m.Bounds.Calls {
		if n.Snapshot[c].Phase != phaseNone {
			continue
		}
		for t := range m.Bounds.Targets {
			to := incarnation{uint8(t), s.Targets[t].Inc}
			m.step(s, emit, fmt.Sprintf("owner %d epoch %v begins call %d at target %v", i, n.OwnerEpoch, c, to), func(s *state) {
				n := &s.Nodes[i]
				n.Snapshot[c] = record{Phase: phaseDispatched, Attempt: n.OwnerEpoch, Target: to}
				m.startWrite(s, i)
				if !m.Rules.ReplicateFirst {
					m.sendDispatches(s, i)
				}
			})
		}
	}
}

// startWrite sends the owner's snapshot to the members that must acknowledge it.
func (m *Model) startWrite(s *state, i uint8) {
	n := &s.Nodes[i]
	n.LastIndex++
	n.WritePending = true
	n.Acks = 0
	n.WriteEpoch, n.WriteIndex = n.OwnerEpoch, n.LastIndex
	a := &s.Assignments[n.OwnerEpoch.Version]
	for k := range a.Size {
		to := a.Members[k].Incarnation
		if to.N == i || n.Required&bit(to.N) == 0 {
			continue
		}
		m.send(s, message{Kind: kindWrite, From: s.incarnation(i), To: to, Epoch: n.OwnerEpoch, Index: n.LastIndex, Snapshot: n.Snapshot})
	}
}

// completeWrite completes the owner's write once every required member has
// acknowledged it, and sends the dispatches that awaited it.
func (m *Model) completeWrite(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if !n.IsOwner || !n.WritePending || n.Required&^n.Acks != 0 {
		return
	}
	a := &s.Assignments[n.OwnerEpoch.Version]
	if m.Rules.SecondMember && a.Size > 1 && n.Acks == 0 {
		return
	}
	m.step(s, emit, fmt.Sprintf("owner %d epoch %v completes write %d", i, n.OwnerEpoch, n.LastIndex), func(s *state) {
		n := &s.Nodes[i]
		n.WritePending = false
		n.IsReady = true
		s.observeCompleted(n)
		m.sendDispatches(s, i)
	})
}

// observeCompleted compares a completed write with the last one of the newest
// epoch so far: the newer of the two must contain every dispatch record of the
// older.
func (s *state) observeCompleted(n *node) {
	older, newer := &s.LastSnapshot, &n.Snapshot
	if n.OwnerEpoch.less(s.LastCompleted) {
		older, newer = newer, older
	}
	for c := range older {
		if older[c].Phase != phaseNone && newer[c].Phase == phaseNone {
			s.LostWrite = true
		}
	}
	if !n.OwnerEpoch.less(s.LastCompleted) {
		s.LastCompleted = n.OwnerEpoch
		s.LastSnapshot = n.Snapshot
	}
}

// sendDispatches dispatches the calls that the owner recorded in its epoch, and
// queries the outcome of those that it took over.
func (m *Model) sendDispatches(s *state, i uint8) {
	n := &s.Nodes[i]
	for c := range m.Bounds.Calls {
		r := n.Snapshot[c]
		if r.Phase != phaseDispatched {
			continue
		}
		k := kindDispatch
		if r.Attempt != n.OwnerEpoch {
			k = kindQuery
		}
		m.send(s, message{Kind: k, From: s.incarnation(i), To: r.Target, Epoch: n.OwnerEpoch, Call: uint8(c), Attempt: r.Attempt})
	}
}

// settleDeadTargets records the outcome of a call as unknown if the call was
// dispatched to a sidecar incarnation that has ended.
func (m *Model) settleDeadTargets(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if !n.IsOwner || !n.IsReady || n.WritePending {
		return
	}
	for c := range m.Bounds.Calls {
		r := n.Snapshot[c]
		if r.Phase != phaseDispatched || s.Targets[r.Target.N].Inc == r.Target.Inc {
			continue
		}
		m.step(s, emit, fmt.Sprintf("owner %d settles call %d: target %v has restarted", i, c, r.Target), func(s *state) {
			n := &s.Nodes[i]
			n.Snapshot[c].Phase = phaseUnknown
			if !m.Rules.NoResend {
				n.Snapshot[c] = record{Phase: phaseDispatched, Attempt: n.OwnerEpoch, Target: incarnation{r.Target.N, s.Targets[r.Target.N].Inc}}
			}
			m.startWrite(s, i)
		})
	}
}
