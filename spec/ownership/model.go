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
	// messages has room for every number, so that it never moves.
	messages []message
}

// maxDistinct bounds the distinct messages of an exploration.
const maxDistinct = 1 << 16

// Overflows counts messages that found no room in a state; an exploration with
// overflows is not exhaustive.
func (m *Model) Overflows() int { return int(m.overflows.Load()) }

// NewModel returns the protocol under rules and bounds.
func NewModel(rules Rules, bounds Bounds) *Model {
	return &Model{Rules: rules, Bounds: bounds, ids: map[message]uint16{}, messages: make([]message, maxDistinct)}
}

// Errors of the invariants.
var (
	errTwice     = errors.New("at_most_once: a non-idempotent call was executed twice")
	errNotRun    = errors.New("not_run: a call that was refused as not run was executed")
	errBudget    = errors.New("budget: more was spent than the budget")
	errLostWrite = errors.New("ownership: a ticket was completed that a newer owner does not know")
)

// Check implements search.System.
func (m *Model) Check(s state) error {
	spent := 0
	for c := range m.Bounds.Calls {
		if s.Executed[c] > 1 {
			return errTwice
		}
		if s.SaidNot[c] && s.Executed[c] > 0 {
			return errNotRun
		}
		spent += int(s.Executed[c])
	}
	if spent > m.Bounds.Budget {
		return errBudget
	}
	if s.LostWrite {
		return errLostWrite
	}
	return nil
}

// Init implements search.System: node 0 is home, the next ones mirror it, and
// all have the empty image.
func (m *Model) Init() state {
	var s state
	s.Version = 1
	first := &s.Entries[1]
	first.Size = uint8(m.Bounds.Members)
	start := epoch{V: 1}
	for i := range m.Bounds.Nodes {
		s.Nodes[i].Known = 1
		if i >= m.Bounds.Members {
			continue
		}
		first.Members[i] = member{Life: life{N: uint8(i)}, Since: 1}
		s.Nodes[i].Promise = start
		s.Nodes[i].Sync = start
		s.Nodes[i].HasImage = true
	}
	home := &s.Nodes[0]
	home.Home, home.Served = true, true
	home.HomeE = start
	home.Required = m.memberBits(first) &^ bit(0)
	return s
}

func (m *Model) memberBits(e *entry) uint8 {
	var set uint8
	for i := range e.Size {
		set |= bit(e.Members[i].Life.N)
	}
	return set
}

// do copies the state, applies change and emits the result.
func (m *Model) do(s *state, emit func(string, state), action string, change func(*state)) {
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
		m.targetCrash(&s, uint8(t), emit)
	}
	for i := range s.Count {
		m.deliver(&s, m.message(s.Messages[i]), emit)
	}
}

func (m *Model) nodeSteps(s *state, i uint8, emit func(string, state)) {
	m.begin(s, i, emit)
	m.complete(s, i, emit)
	m.giveUpTicket(s, i, emit)
	m.claim(s, i, emit)
	m.propose(s, i, emit)
	m.swap(s, i, emit)
	m.readBack(s, i, emit)
	m.learn(s, i, emit)
	m.crash(s, i, emit)
	m.mutantSteps(s, i, emit)
}

// reserved returns the budget that an image holds or has spent.
func (m *Model) reserved(img *image) int {
	sum := 0
	for _, r := range img {
		switch r.Phase {
		case phaseTicket:
			if m.Rules.ReserveBudget {
				sum++
			}
		case phaseRan, phaseUnknown:
			sum++
		}
	}
	return sum
}

// begin writes the ticket of a call at the home.
func (m *Model) begin(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if !n.Home || !n.Served || n.Pending || n.Forgot && m.Rules.TrackStateLoss {
		return
	}
	if m.reserved(&n.Image) >= m.Bounds.Budget {
		return
	}
	for c := range m.Bounds.Calls {
		if n.Image[c].Phase != phaseNone {
			continue
		}
		for t := range m.Bounds.Targets {
			to := life{uint8(t), s.Targets[t].Inc}
			m.do(s, emit, fmt.Sprintf("home %d epoch %v begins call %d at target %v", i, n.HomeE, c, to), func(s *state) {
				n := &s.Nodes[i]
				n.Image[c] = record{Phase: phaseTicket, Attempt: n.HomeE, Target: to}
				m.startWrite(s, i)
				if !m.Rules.ReplicateFirst {
					m.dispatchAll(s, i)
				}
			})
		}
	}
}

// startWrite sends the home's image to the members that must acknowledge it.
func (m *Model) startWrite(s *state, i uint8) {
	n := &s.Nodes[i]
	n.Idx++
	n.Pending = true
	n.Acks = 0
	n.Sync, n.SyncIdx = n.HomeE, n.Idx
	e := &s.Entries[n.HomeE.V]
	for k := range e.Size {
		to := e.Members[k].Life
		if to.N == i || n.Required&bit(to.N) == 0 {
			continue
		}
		m.send(s, message{Kind: kindWrite, From: s.life(i), To: to, E: n.HomeE, Idx: n.Idx, Image: n.Image})
	}
}

// complete ends the home's write once every required member has acknowledged
// it, and then does what waited for it.
func (m *Model) complete(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if !n.Home || !n.Pending || n.Required&^n.Acks != 0 {
		return
	}
	e := &s.Entries[n.HomeE.V]
	if m.Rules.SecondMember && e.Size > 1 && n.Acks == 0 {
		return
	}
	m.do(s, emit, fmt.Sprintf("home %d epoch %v completes write %d", i, n.HomeE, n.Idx), func(s *state) {
		n := &s.Nodes[i]
		n.Pending = false
		n.Served = true
		s.observeDone(n)
		m.dispatchAll(s, i)
	})
}

// observeDone compares a completed write with the newest epoch's: a ticket that
// one of them completed must be known in the other if that is newer.
func (s *state) observeDone(n *node) {
	older, newer := &s.LastImage, &n.Image
	if n.HomeE.less(s.LastDone) {
		older, newer = newer, older
	}
	for c := range older {
		if older[c].Phase != phaseNone && newer[c].Phase == phaseNone {
			s.LostWrite = true
		}
	}
	if !n.HomeE.less(s.LastDone) {
		s.LastDone = n.HomeE
		s.LastImage = n.Image
	}
}

// dispatchAll sends the home's own tickets and asks for the outcome of those
// that it took over.
func (m *Model) dispatchAll(s *state, i uint8) {
	n := &s.Nodes[i]
	for c := range m.Bounds.Calls {
		r := n.Image[c]
		if r.Phase != phaseTicket {
			continue
		}
		k := kindDispatch
		if r.Attempt != n.HomeE {
			k = kindQuery
		}
		m.send(s, message{Kind: k, From: s.life(i), To: r.Target, E: n.HomeE, Call: uint8(c), Attempt: r.Attempt})
	}
}

// giveUpTicket settles a ticket whose sidecar's life has ended.
func (m *Model) giveUpTicket(s *state, i uint8, emit func(string, state)) {
	n := &s.Nodes[i]
	if !n.Home || !n.Served || n.Pending {
		return
	}
	for c := range m.Bounds.Calls {
		r := n.Image[c]
		if r.Phase != phaseTicket || s.Targets[r.Target.N].Inc == r.Target.Inc {
			continue
		}
		m.do(s, emit, fmt.Sprintf("home %d settles call %d: target %v has ended", i, c, r.Target), func(s *state) {
			n := &s.Nodes[i]
			n.Image[c].Phase = phaseUnknown
			if !m.Rules.NoResend {
				n.Image[c] = record{Phase: phaseTicket, Attempt: n.HomeE, Target: life{r.Target.N, s.Targets[r.Target.N].Inc}}
			}
			m.startWrite(s, i)
		})
	}
}
