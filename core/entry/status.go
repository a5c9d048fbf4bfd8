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
	// OwnedSlots and ReplicatedSlots count the slots that this entry is home or mirror of;
	// OwnerlessSlots counts those with no owner or one that is dead or silent.
	OwnedSlots      int `json:"Home"`
	ReplicatedSlots int `json:"Mirror"`
	OwnerlessSlots  int `json:"Ownerless"`
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
	Slot     core.SlotID
	Epoch    core.Epoch
	Owner    core.Node   `json:"Home"`
	Replicas []core.Node `json:"Mirrors"`
	// IsOwner says that this entry acts as the home.
	IsOwner bool `json:"Acting"`
	// Ready says that its first write is complete, so that it serves.
	Ready bool
	// ProposalPending says that this entry is changing the slot's owner.
	ProposalPending bool   `json:"Changing"`
	CompleteSince   uint64 `json:"Remembers"`
	Programs        int
	OpenCalls       int
}

// PeerStatus is another entry as this one sees it.
type PeerStatus struct {
	Node     core.Node
	Domain   core.Domain
	Alive    bool
	Leaving  bool
	Draining bool
	// SinceHeard is the time since the peer was heard.
	SinceHeard core.Duration `json:"Silence"`
}

// TargetStatus is a target as this entry sees it.
type TargetStatus struct {
	Node    core.Node
	Pool    core.Pool
	Domain  core.Domain
	Usable  bool
	Leaving bool
	Load    core.Load
	// DispatchedSinceReport is what this entry dispatched since the load report.
	DispatchedSinceReport uint32 `json:"OwnCalls"`
	// ReportAge is the age of the load report.
	ReportAge core.Duration `json:"Age"`
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
			Node:       p.node,
			Domain:     p.domain,
			Alive:      e.alive(p),
			Leaving:    p.leaving,
			Draining:   p.draining,
			SinceHeard: e.silence(p.node),
		})
	}
	for _, t := range e.targets.list {
		st.Targets = append(st.Targets, TargetStatus{
			Node:                  t.node,
			Pool:                  t.pool,
			Domain:                t.domain,
			Usable:                e.usable(t, t.pool),
			Leaving:               t.leaving,
			Load:                  t.load,
			DispatchedSinceReport: t.ownCalls,
			ReportAge:             e.now.Sub(t.reportedAt),
		})
	}
	return st
}

func (e *Entry) addSlot(st *Status, s *slot) {
	ss := SlotStatus{
		Slot:            s.id,
		Epoch:           s.owner.Epoch,
		Owner:           s.homeNode(),
		IsOwner:         s.home != nil,
		ProposalPending: s.proposal != nil,
		CompleteSince:   s.owner.CompleteSince,
	}
	for _, m := range s.owner.Replicas {
		ss.Replicas = append(ss.Replicas, m.Node)
		if m.Node == e.self {
			st.ReplicatedSlots++
		}
	}
	switch home := s.homeNode(); {
	case s.home != nil:
		ss.Ready = s.home.ready
		ss.Programs = len(s.image.programs)
		ss.OpenCalls = len(s.openCalls())
		st.OwnedSlots++
		st.Programs += ss.Programs
		st.OpenCalls += ss.OpenCalls
	case home.IsZero() || e.members.dead(home) || e.silent(home):
		st.OwnerlessSlots++
	}
	st.Slots = append(st.Slots, ss)
}
