package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Status is what an entry knows at an instant, for the operators' page.
type Status struct {
	Self       core.Node
	Domain     core.Domain
	Generation uint64
	Draining   bool
	// StoreFailed says that the key-value service did not answer last time.
	StoreFailed bool
	// Isolated says that this entry hears no other entry and no key-value service.
	Isolated bool
	// Home and Mirror count the slots that this entry is home or mirror of;
	// Ownerless counts those with no owner or one that is dead or silent.
	Home      int
	Mirror    int
	Ownerless int
	// Requests counts the callers' requests at this edge, OpenCalls and Programs
	// those of the slots that this entry is the home of.
	Requests  int
	OpenCalls int
	Programs  int
	Slots     []SlotStatus
	Peers     []PeerStatus
	Targets   []TargetStatus
}

// SlotStatus is the owner of one slot as an entry knows it.
type SlotStatus struct {
	Slot    core.SlotID
	Epoch   core.Epoch
	Home    core.Node
	Mirrors []core.Node
	// Acting says that this entry acts as the home.
	Acting bool
	// Ready says that its first write is complete, so that it serves.
	Ready bool
	// Changing says that this entry is changing the slot's owner.
	Changing  bool
	Remembers uint64
	Programs  int
	OpenCalls int
}

// PeerStatus is another entry as this one sees it.
type PeerStatus struct {
	Node     core.Node
	Domain   core.Domain
	Alive    bool
	Leaving  bool
	Draining bool
	// Silence is the time since the peer was heard.
	Silence core.Duration
}

// TargetStatus is a target as this entry sees it.
type TargetStatus struct {
	Node    core.Node
	Pool    core.Pool
	Domain  core.Domain
	Usable  bool
	Leaving bool
	Load    core.Load
	// OwnCalls is what this entry dispatched since the load report.
	OwnCalls uint32
	// Age is the age of the load report.
	Age core.Duration
}

// Status returns what the entry knows.
func (e *Entry) Status() Status {
	st := Status{
		Self:        e.self,
		Domain:      e.domain,
		Generation:  e.generation,
		Draining:    e.drain.active(),
		StoreFailed: e.store.failed,
		Isolated:    e.isolated(),
		Requests:    len(e.requests),
	}
	for _, s := range e.slots {
		e.addSlot(&st, s)
	}
	for _, p := range e.members.sorted() {
		st.Peers = append(st.Peers, PeerStatus{
			Node:     p.node,
			Domain:   p.domain,
			Alive:    e.alive(p),
			Leaving:  p.leaving,
			Draining: p.draining,
			Silence:  e.silence(p.node),
		})
	}
	for _, t := range e.targets.list {
		st.Targets = append(st.Targets, TargetStatus{
			Node:     t.node,
			Pool:     t.pool,
			Domain:   t.domain,
			Usable:   e.usable(t, t.pool),
			Leaving:  t.leaving,
			Load:     t.load,
			OwnCalls: t.ownCalls,
			Age:      e.now.Sub(t.reportedAt),
		})
	}
	return st
}

func (e *Entry) addSlot(st *Status, s *slot) {
	ss := SlotStatus{
		Slot:      s.id,
		Epoch:     s.owner.Epoch,
		Home:      s.homeNode(),
		Acting:    s.home != nil,
		Changing:  s.proposal != nil,
		Remembers: s.owner.Remembers,
	}
	for _, m := range s.owner.Mirrors {
		ss.Mirrors = append(ss.Mirrors, m.Node)
		if m.Node == e.self {
			st.Mirror++
		}
	}
	switch home := s.homeNode(); {
	case s.home != nil:
		ss.Ready = s.home.ready
		ss.Programs = len(s.image.programs)
		ss.OpenCalls = len(s.openCalls())
		st.Home++
		st.Programs += ss.Programs
		st.OpenCalls += ss.OpenCalls
	case home.IsZero() || e.members.dead(home) || e.silent(home):
		st.Ownerless++
	}
	st.Slots = append(st.Slots, ss)
}
