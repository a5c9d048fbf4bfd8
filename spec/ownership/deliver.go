package ownership

import "fmt"

// deliver delivers one message in flight. The message stays in flight, so it may
// be delivered again.
func (m *Model) deliver(s *state, msg *message, emit func(string, state)) {
	switch msg.Kind {
	case kindSwap:
		m.step(s, emit, fmt.Sprintf("the store applies node %v's version %d", msg.From, msg.Epoch.Version), func(s *state) {
			m.applySwap(s, msg)
		})
	case kindDispatch, kindQuery:
		name := "dispatch"
		if msg.Kind == kindQuery {
			name = "query"
		}
		what := fmt.Sprintf("target %v receives %s of call %d attempt %v epoch %v", msg.To, name, msg.Call, msg.Attempt, msg.Epoch)
		m.step(s, emit, what, func(s *state) { m.receiveAtTarget(s, msg, true) })
		if msg.Kind == kindDispatch {
			m.step(s, emit, what+" and refuses it", func(s *state) { m.receiveAtTarget(s, msg, false) })
		}
	default:
		if s.isDead(msg.To) {
			return
		}
		m.deliverToEntry(s, msg, emit)
	}
}

func (m *Model) deliverToEntry(s *state, msg *message, emit func(string, state)) {
	n := msg.To.N
	switch msg.Kind {
	case kindWrite:
		m.step(s, emit, fmt.Sprintf("node %d receives write %d of epoch %v", n, msg.Index, msg.Epoch), func(s *state) { m.receiveWrite(s, msg) })
	case kindAck:
		m.step(s, emit, fmt.Sprintf("owner %d receives ack of write %d from %v", n, msg.Index, msg.From), func(s *state) { m.receiveAck(s, msg) })
	case kindPromiseRequest:
		m.step(s, emit, fmt.Sprintf("node %d receives a promise request for %v", n, msg.Epoch), func(s *state) { m.receivePromiseRequest(s, msg) })
	case kindPromise:
		m.step(s, emit, fmt.Sprintf("node %d receives the promise of %v", n, msg.From), func(s *state) { m.receivePromise(s, msg) })
	case kindResult:
		m.step(s, emit, fmt.Sprintf("owner %d receives result %d of call %d", n, msg.State, msg.Call), func(s *state) { m.receiveResult(s, msg) })
	}
}

// applySwap executes a compare-and-swap in the key-value service.
func (m *Model) applySwap(s *state, msg *message) {
	if s.Version+1 != msg.Epoch.Version {
		return
	}
	s.Version = msg.Epoch.Version
	s.Assignments[s.Version] = msg.Assignment
}

// receiveWrite handles an owner's write at a replica.
func (m *Model) receiveWrite(s *state, msg *message) {
	n := &s.Nodes[msg.To.N]
	if m.Rules.ReplicaFence && msg.Epoch.less(n.Promise) {
		return
	}
	if msg.Epoch == n.WriteEpoch && msg.Index < n.WriteIndex {
		return
	}
	if n.Promise.less(msg.Epoch) {
		n.Promise = msg.Epoch
	}
	if n.IsOwner && n.OwnerEpoch.less(msg.Epoch) {
		n.IsOwner = false
	}
	n.WriteEpoch, n.WriteIndex = msg.Epoch, msg.Index
	n.Snapshot = msg.Snapshot
	n.HasSnapshot = true
	m.send(s, message{Kind: kindAck, From: msg.To, To: msg.From, Epoch: msg.Epoch, Index: msg.Index})
}

func (m *Model) receiveAck(s *state, msg *message) {
	n := &s.Nodes[msg.To.N]
	if n.IsOwner && n.WritePending && n.OwnerEpoch == msg.Epoch && n.LastIndex == msg.Index {
		n.Acks |= bit(msg.From.N) & n.Required
		if !m.Rules.FreshRank {
			n.Acks |= bit(msg.From.N)
		}
	}
}

// receivePromiseRequest gives a promise. An owner that promises a higher epoch
// stops being the owner.
func (m *Model) receivePromiseRequest(s *state, msg *message) {
	n := &s.Nodes[msg.To.N]
	if msg.Epoch.less(n.Promise) {
		return
	}
	if n.Promise.less(msg.Epoch) {
		n.Promise = msg.Epoch
		n.IsOwner = false
	}
	m.send(s, message{Kind: kindPromise, From: msg.To, To: msg.From, Epoch: msg.Epoch})
}

func (m *Model) receivePromise(s *state, msg *message) {
	n := &s.Nodes[msg.To.N]
	if n.Proposed == msg.Epoch.Version {
		n.Promises |= bit(msg.From.N)
	}
}

// receiveAtTarget handles a dispatch or a query at a sidecar. A sidecar that does
// not accept a dispatch, for example because it is overloaded, refuses the
// attempt permanently.
func (m *Model) receiveAtTarget(s *state, msg *message, accept bool) {
	t := &s.Targets[msg.To.N]
	if t.Inc != msg.To.Inc && m.Rules.BindIncarnation {
		return
	}
	row := t.row(msg.Call, msg.Attempt)
	if row == nil {
		return
	}
	if t.Fence.less(msg.Epoch) {
		t.Fence = msg.Epoch
	}
	stale := m.Rules.TargetFence && msg.Epoch.less(t.Fence)
	if row.State == attemptNone && msg.Kind == kindDispatch && accept && !stale {
		*row = attempt{Epoch: msg.Attempt, State: attemptExecuted}
		s.Executed[msg.Call]++
	}
	reported := row.State
	if row.State == attemptNone {
		reported = attemptTombstone
		if m.Rules.Tombstone {
			*row = attempt{Epoch: msg.Attempt, State: attemptTombstone}
		}
	}
	m.send(s, message{Kind: kindResult, From: msg.To, To: msg.From, Call: msg.Call, Attempt: msg.Attempt, State: reported})
}

// row returns the row of an attempt in the call table. If the attempt has none,
// it returns a free row, or nil if the table is full.
func (t *target) row(call uint8, e epoch) *attempt {
	for k := range t.CallTable[call] {
		row := &t.CallTable[call][k]
		if row.State == attemptNone || row.Epoch == e {
			return row
		}
	}
	return nil
}

// receiveResult records the outcome of an attempt at the owner.
func (m *Model) receiveResult(s *state, msg *message) {
	n := &s.Nodes[msg.To.N]
	r := &n.Snapshot[msg.Call]
	if !n.IsOwner || !n.IsReady || n.WritePending || r.Phase != phaseDispatched || r.Attempt != msg.Attempt {
		return
	}
	r.Phase = phaseRan
	if msg.State == attemptTombstone {
		r.Phase = phaseNotRun
		s.ReportedNotRun[msg.Call] = true
	}
	m.startWrite(s, msg.To.N)
}
