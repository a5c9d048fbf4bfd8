package ownership

// Sizes of the fixed arrays in a state.
const (
	maxNodes    = 5
	maxMembers  = 3
	maxTargets  = 2
	maxCalls    = 2
	maxAttempts = 2
	maxVersions = 5
	maxMessages = 28
)

// epoch is a version of the assignment and a rank within it, in this order of
// significance.
type epoch struct{ Version, Rank uint8 }

func (e epoch) less(f epoch) bool {
	return e.Version < f.Version || e.Version == f.Version && e.Rank < f.Rank
}

// incarnation is one run of an entry's or a sidecar's process.
type incarnation struct{ N, Inc uint8 }

// phase is the progress of a call in a snapshot.
type phase uint8

const (
	phaseNone phase = iota
	phaseDispatched
	phaseRan
	phaseNotRun
	phaseUnknown
)

// record is the record of one call in a snapshot.
type record struct {
	Phase phase
	// Attempt is the epoch in which the dispatch record was written; it identifies
	// the attempt.
	Attempt epoch
	Target  incarnation
}

// snapshot is the replicated state of the slot.
type snapshot [maxCalls]record

// member is one member of an assignment: an incarnation, and the version of the
// assignment in which it became a member.
type member struct {
	Incarnation incarnation
	Since       uint8
}

// assignment is one version of the slot's assignment. Members[0] is the owner.
type assignment struct {
	Members   [maxMembers]member
	Size      uint8
	StateLost bool
}

// node is an entry's process.
type node struct {
	Inc          uint8
	KnownVersion uint8
	Promise      epoch
	// WriteEpoch and WriteIndex identify the last write that Snapshot contains.
	WriteEpoch  epoch
	WriteIndex  uint8
	HasSnapshot bool
	// IsOwner means that the node acts as the owner in epoch OwnerEpoch. IsReady
	// means that its first write in that epoch is complete, WritePending that its
	// last write is incomplete. StateLost is copied from its assignment.
	IsOwner, IsReady, WritePending, StateLost bool
	OwnerEpoch                                epoch
	LastIndex                                 uint8
	// Required and Acks are sets of nodes, as bits.
	Required, Acks uint8
	// Proposed is the version that the node has proposed; zero if none.
	Proposed uint8
	Promises uint8
	Snapshot snapshot
}

// attemptState is the state of an attempt in a sidecar's call table.
type attemptState uint8

const (
	attemptNone attemptState = iota
	attemptExecuted
	attemptTombstone
)

// attempt is a row of a sidecar's call table.
type attempt struct {
	Epoch epoch
	State attemptState
}

// target is a sidecar and its target.
type target struct {
	Inc       uint8
	Fence     epoch
	CallTable [maxCalls][maxAttempts]attempt
}

// state is the state of the whole system. The fields from Executed on belong to
// the observer and have no effect on the protocol.
type state struct {
	Nodes        [maxNodes]node
	Targets      [maxTargets]target
	Version      uint8
	Assignments  [maxVersions]assignment
	Messages     [maxMessages]uint16
	MessageCount uint8

	Crashes, TargetCrashes, Claims uint8

	Executed       [maxCalls]uint8
	ReportedNotRun [maxCalls]bool
	LastCompleted  epoch
	LastSnapshot   snapshot
	LostWrite      bool
}

// kind is the kind of a message.
type kind uint8

const (
	kindWrite kind = iota
	kindAck
	kindPromiseRequest
	kindPromise
	kindSwap
	kindDispatch
	kindQuery
	kindResult
)

// message is a message in flight. Unused fields are zero.
type message struct {
	Kind       kind
	From, To   incarnation
	Epoch      epoch
	Index      uint8
	Call       uint8
	Attempt    epoch
	State      attemptState
	Snapshot   snapshot
	Assignment assignment
}

// bit returns the set of one node.
func bit(n uint8) uint8 { return 1 << n }

// incarnation returns the current incarnation of node n.
func (s *state) incarnation(n uint8) incarnation { return incarnation{n, s.Nodes[n].Inc} }

// isDead reports whether an incarnation of an entry's process has ended.
func (s *state) isDead(inc incarnation) bool { return s.Nodes[inc.N].Inc != inc.Inc }

// position returns the position of an incarnation among the members, or -1.
func (a *assignment) position(inc incarnation) int {
	for i := range a.Size {
		if a.Members[i].Incarnation == inc {
			return int(i)
		}
	}
	return -1
}

// send puts a message in flight, unless it is already in flight. The numbers of
// the messages are kept sorted, so that equal sets of messages give equal states.
func (m *Model) send(s *state, msg message) {
	id := m.intern(msg)
	at := 0
	for at < int(s.MessageCount) && s.Messages[at] < id {
		at++
	}
	if at < int(s.MessageCount) && s.Messages[at] == id {
		return
	}
	if s.MessageCount == maxMessages {
		m.overflows.Add(1)
		return
	}
	copy(s.Messages[at+1:], s.Messages[at:s.MessageCount])
	s.Messages[at] = id
	s.MessageCount++
}

// intern returns the number of a message, assigning one if it is new.
func (m *Model) intern(msg message) uint16 {
	m.mu.RLock()
	id, ok := m.ids[msg]
	m.mu.RUnlock()
	if ok {
		return id
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	id, ok = m.ids[msg]
	if ok {
		return id
	}
	id = uint16(len(m.ids))
	m.ids[msg] = id
	m.messages[id] = msg
	return id
}

// message returns the message with a number that intern has assigned.
func (m *Model) message(id uint16) *message { return &m.messages[id] }

// prune removes the messages that can have no effect in any later state.
func (m *Model) prune(s *state) {
	kept := uint8(0)
	for i := range s.MessageCount {
		if m.isInert(s, m.message(s.Messages[i])) {
			continue
		}
		s.Messages[kept] = s.Messages[i]
		kept++
	}
	for i := kept; i < s.MessageCount; i++ {
		s.Messages[i] = 0
	}
	s.MessageCount = kept
}

// isInert reports whether a message can have no effect in any later state.
func (m *Model) isInert(s *state, msg *message) bool {
	switch msg.Kind {
	case kindSwap:
		return int(msg.Epoch.Version) <= int(s.Version)
	case kindDispatch, kindQuery:
		return m.Rules.BindIncarnation && s.Targets[msg.To.N].Inc != msg.To.Inc
	}
	if s.isDead(msg.To) {
		return true
	}
	n := &s.Nodes[msg.To.N]
	switch msg.Kind {
	case kindWrite:
		return m.Rules.ReplicaFence && (msg.Epoch.less(n.Promise) || msg.Epoch == n.WriteEpoch && msg.Index < n.WriteIndex)
	case kindAck:
		return msg.Epoch.less(n.Promise)
	case kindPromiseRequest, kindPromise:
		return msg.Epoch.less(n.Promise)
	case kindResult:
		return n.Snapshot[msg.Call].Phase > phaseDispatched
	}
	return false
}
