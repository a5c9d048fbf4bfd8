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

// epoch is a version and a rank.
type epoch struct{ V, R uint8 }

func (e epoch) less(f epoch) bool { return e.V < f.V || e.V == f.V && e.R < f.R }

// life is one life of an entry's or a sidecar's process.
type life struct{ N, Inc uint8 }

// phase is the progress of a call in an image.
type phase uint8

const (
	phaseNone phase = iota
	phaseTicket
	phaseRan
	phaseNotRun
	phaseUnknown
)

// record is a call in an image.
type record struct {
	Phase phase
	// Attempt is the epoch in which the ticket was written; it names the attempt.
	Attempt epoch
	Target  life
}

// image is the replicated state of the slot.
type image [maxCalls]record

// member is a life in an owner entry and the version since which it belongs.
type member struct {
	Life  life
	Since uint8
}

// entry is one version of the owner entry; Members[0] is the home.
type entry struct {
	Members [maxMembers]member
	Size    uint8
	Forgot  bool
}

// node is an entry's process.
type node struct {
	Inc      uint8
	Known    uint8
	Promise  epoch
	Sync     epoch
	SyncIdx  uint8
	HasImage bool
	// Home says that the node acts as home in epoch HomeE; Served that its first
	// write there is complete; Pending that its last write is not.
	Home, Served, Pending, Forgot bool
	HomeE                         epoch
	Idx                           uint8
	// Required and Acks are sets of nodes, as bits.
	Required, Acks uint8
	// Swap is the version that the node has proposed; zero if none.
	Swap     uint8
	Promises uint8
	Image    image
}

// attemptState is what a sidecar knows of an attempt.
type attemptState uint8

const (
	attemptNone attemptState = iota
	attemptDone
	attemptTombstone
)

// attempt is a row of a sidecar's call table.
type attempt struct {
	E  epoch
	St attemptState
}

// target is a sidecar and the target beside it.
type target struct {
	Inc   uint8
	Fence epoch
	Table [maxCalls][maxAttempts]attempt
}

// state is the state of the whole system. The last fields belong to the
// observer and steer nothing.
type state struct {
	Nodes    [maxNodes]node
	Targets  [maxTargets]target
	Version  uint8
	Entries  [maxVersions]entry
	Messages [maxMessages]uint16
	Count    uint8

	Crashes, TargetCrashes, Claims uint8

	Executed  [maxCalls]uint8
	SaidNot   [maxCalls]bool
	LastDone  epoch
	LastImage image
	LostWrite bool
}

// kind is the kind of a message.
type kind uint8

const (
	kindWrite kind = iota
	kindAck
	kindAskPromise
	kindPromise
	kindSwap
	kindDispatch
	kindQuery
	kindResult
)

// message is a message in flight. Unused fields are zero.
type message struct {
	Kind     kind
	From, To life
	E        epoch
	Idx      uint8
	Call     uint8
	Attempt  epoch
	St       attemptState
	Image    image
	Entry    entry
}

// bit returns the set of one node.
func bit(n uint8) uint8 { return 1 << n }

// life returns the present life of node n.
func (s *state) life(n uint8) life { return life{n, s.Nodes[n].Inc} }

// dead reports whether a life of an entry's process has ended.
func (s *state) dead(l life) bool { return s.Nodes[l.N].Inc != l.Inc }

// place returns the place of a life in an entry, or -1.
func (e *entry) place(l life) int {
	for i := range e.Size {
		if e.Members[i].Life == l {
			return int(i)
		}
	}
	return -1
}

// send puts a message in flight.
func (m *Model) send(s *state, msg message) {
	id := m.intern(msg)
	at := 0
	for at < int(s.Count) && s.Messages[at] < id {
		at++
	}
	if at < int(s.Count) && s.Messages[at] == id {
		return
	}
	if s.Count == maxMessages {
		m.overflows.Add(1)
		return
	}
	copy(s.Messages[at+1:], s.Messages[at:s.Count])
	s.Messages[at] = id
	s.Count++
}

// intern returns the number of a message.
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

// message returns the message with a number that intern has given out.
func (m *Model) message(id uint16) *message { return &m.messages[id] }

// prune removes the messages that no receiver will ever act on.
func (m *Model) prune(s *state) {
	kept := uint8(0)
	for i := range s.Count {
		if m.inert(s, m.message(s.Messages[i])) {
			continue
		}
		s.Messages[kept] = s.Messages[i]
		kept++
	}
	for i := kept; i < s.Count; i++ {
		s.Messages[i] = 0
	}
	s.Count = kept
}

// inert reports whether a message can have no effect in any later state.
func (m *Model) inert(s *state, msg *message) bool {
	switch msg.Kind {
	case kindSwap:
		return int(msg.E.V) <= int(s.Version)
	case kindDispatch, kindQuery:
		return m.Rules.BindIncarnation && s.Targets[msg.To.N].Inc != msg.To.Inc
	}
	if s.dead(msg.To) {
		return true
	}
	n := &s.Nodes[msg.To.N]
	switch msg.Kind {
	case kindWrite:
		return m.Rules.ReplicaFence && (msg.E.less(n.Promise) || msg.E == n.Sync && msg.Idx < n.SyncIdx)
	case kindAck:
		return msg.E.less(n.Promise)
	case kindAskPromise, kindPromise:
		return msg.E.less(n.Promise)
	case kindResult:
		return n.Image[msg.Call].Phase > phaseTicket
	}
	return false
}
