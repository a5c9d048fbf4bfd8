package ownership

import "fmt"

// deliver applies one message in flight. The message stays in flight, so it may
// be delivered again.
func (m *Model) deliver(s *state, msg *message, emit func(string, state)) {
	switch msg.Kind {
	case kindSwap:
		m.do(s, emit, fmt.Sprintf("the store applies node %v's version %d", msg.From, msg.E.V), func(s *state) {
			m.applySwap(s, msg)
		})
	case kindDispatch, kindQuery:
		name := "dispatch"
		if msg.Kind == kindQuery {
			name = "query"
		}
		what := fmt.Sprintf("target %v gets %s of call %d attempt %v epoch %v", msg.To, name, msg.Call, msg.Attempt, msg.E)
		m.do(s, emit, what, func(s *state) { m.targetReceives(s, msg, true) })
		if msg.Kind == kindDispatch {
			m.do(s, emit, what+" and refuses it", func(s *state) { m.targetReceives(s, msg, false) })
		}
	default:
		if s.dead(msg.To) {
			return
		}
		m.deliverToNode(s, msg, emit)
	}
}

func (m *Model) deliverToNode(s *state, msg *message, emit func(string, state)) {
	n := msg.To.N
	switch msg.Kind {
	case kindWrite:
		m.do(s, emit, fmt.Sprintf("node %d gets write %d of epoch %v", n, msg.Idx, msg.E), func(s *state) { m.getWrite(s, msg) })
	case kindAck:
		m.do(s, emit, fmt.Sprintf("home %d gets ack of write %d from %v", n, msg.Idx, msg.From), func(s *state) { m.getAck(s, msg) })
	case kindAskPromise:
		m.do(s, emit, fmt.Sprintf("node %d is asked to promise %v", n, msg.E), func(s *state) { m.getAskPromise(s, msg) })
	case kindPromise:
		m.do(s, emit, fmt.Sprintf("node %d gets promise of %v", n, msg.From), func(s *state) { m.getPromise(s, msg) })
	case kindResult:
		m.do(s, emit, fmt.Sprintf("home %d gets result %d of call %d", n, msg.St, msg.Call), func(s *state) { m.getResult(s, msg) })
	}
}

// applySwap is the compare-and-swap of the key-value service.
func (m *Model) applySwap(s *state, msg *message) {
	if s.Version+1 != msg.E.V {
		return
	}
	s.Version = msg.E.V
	s.Entries[s.Version] = msg.Entry
}

// getWrite is a mirror's side of replication.
func (m *Model) getWrite(s *state, msg *message) {
	n := &s.Nodes[msg.To.N]
	if m.Rules.ReplicaFence && msg.E.less(n.Promise) {
		return
	}
	if msg.E == n.Sync && msg.Idx < n.SyncIdx {
		return
	}
	if n.Promise.less(msg.E) {
		n.Promise = msg.E
	}
	if n.Home && n.HomeE.less(msg.E) {
		n.Home = false
	}
	n.Sync, n.SyncIdx = msg.E, msg.Idx
	n.Image = msg.Image
	n.HasImage = true
	m.send(s, message{Kind: kindAck, From: msg.To, To: msg.From, E: msg.E, Idx: msg.Idx})
}

func (m *Model) getAck(s *state, msg *message) {
	n := &s.Nodes[msg.To.N]
	if n.Home && n.Pending && n.HomeE == msg.E && n.Idx == msg.Idx {
		n.Acks |= bit(msg.From.N) & n.Required
		if !m.Rules.FreshRank {
			n.Acks |= bit(msg.From.N)
		}
	}
}

// getAskPromise gives a promise; a home that gives it stops being home.
func (m *Model) getAskPromise(s *state, msg *message) {
	n := &s.Nodes[msg.To.N]
	if msg.E.less(n.Promise) {
		return
	}
	if n.Promise.less(msg.E) {
		n.Promise = msg.E
		n.Home = false
	}
	m.send(s, message{Kind: kindPromise, From: msg.To, To: msg.From, E: msg.E})
}

func (m *Model) getPromise(s *state, msg *message) {
	n := &s.Nodes[msg.To.N]
	if n.Swap == msg.E.V {
		n.Promises |= bit(msg.From.N)
	}
}

// targetReceives is a sidecar's side of dispatches and queries. A sidecar that
// does not accept a dispatch, since it is overloaded, refuses it for ever.
func (m *Model) targetReceives(s *state, msg *message, accept bool) {
	t := &s.Targets[msg.To.N]
	if t.Inc != msg.To.Inc && m.Rules.BindIncarnation {
		return
	}
	row := t.row(msg.Call, msg.Attempt)
	if row == nil {
		return
	}
	if t.Fence.less(msg.E) {
		t.Fence = msg.E
	}
	stale := m.Rules.TargetFence && msg.E.less(t.Fence)
	if row.St == attemptNone && msg.Kind == kindDispatch && accept && !stale {
		*row = attempt{E: msg.Attempt, St: attemptDone}
		s.Executed[msg.Call]++
	}
	answer := row.St
	if row.St == attemptNone {
		answer = attemptTombstone
		if m.Rules.Tombstone {
			*row = attempt{E: msg.Attempt, St: attemptTombstone}
		}
	}
	m.send(s, message{Kind: kindResult, From: msg.To, To: msg.From, Call: msg.Call, Attempt: msg.Attempt, St: answer})
}

// row returns the row of an attempt in the call table, or nil if it is full.
func (t *target) row(call uint8, e epoch) *attempt {
	for k := range t.Table[call] {
		row := &t.Table[call][k]
		if row.St == attemptNone || row.E == e {
			return row
		}
	}
	return nil
}

// getResult records the outcome of an attempt at the home.
func (m *Model) getResult(s *state, msg *message) {
	n := &s.Nodes[msg.To.N]
	r := &n.Image[msg.Call]
	if !n.Home || !n.Served || n.Pending || r.Phase != phaseTicket || r.Attempt != msg.Attempt {
		return
	}
	r.Phase = phaseRan
	if msg.St == attemptTombstone {
		r.Phase = phaseNotRun
		s.SaidNot[msg.Call] = true
	}
	m.startWrite(s, msg.To.N)
}
