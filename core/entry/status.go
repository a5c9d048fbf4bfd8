package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Status is a point-in-time view of an entry, for operators.
type Status struct {
	Self       core.Node
	Domain     core.Domain
	Generation uint64
	Draining   bool
	// StoreFailed is set if the last operation on the key-value service failed.
	StoreFailed bool
	// Isolated is set if this entry reaches neither another entry nor the
	// key-value service.
	Isolated bool
	// OwnedSlots and ReplicatedSlots count the slots that this entry owns or
	// replicates; OwnerlessSlots counts those whose owner is missing, dead or
	// suspected.
	OwnedSlots      int `json:"Home"`
	ReplicatedSlots int `json:"Mirror"`
	OwnerlessSlots  int `json:"Ownerless"`
	// Requests counts the callers' requests that this entry accepted, OpenCalls
	// and Programs count those of the slots that it owns.
	Requests  int
	OpenCalls int
	Programs  int
	Slots     []SlotStatus
	Peers     []PeerStatus
	Targets   []TargetStatus
}

// SlotStatus is the assignment of one slot as known to this entry.
type SlotStatus struct {
	Slot     core.SlotID
	Epoch    core.Epoch
	Owner    core.Node   `json:"Home"`
	Replicas []core.Node `json:"Mirrors"`
	// IsOwner is set if this entry acts as the owner.
	IsOwner bool `json:"Acting"`
	// Ready is set if this entry is the owner and its first write is replicated,
	// so that it serves calls.
	Ready bool
	// ProposalPending is set while this entry is changing the slot's assignment.
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
	// SinceHeard is the time since the peer was last heard, minus the additional
	// interval that the peer announced for its next heartbeat.
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
	// DispatchedSinceReport is the number of calls that this entry dispatched
	// since the load report.
	DispatchedSinceReport uint32 `json:"OwnCalls"`
	// ReportAge is the age of the load report.
	ReportAge core.Duration `json:"Age"`
}

// Status returns the entry's current status.
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
			Alive:      e.isAlive(p),
			Leaving:    p.leaving,
			Draining:   p.draining,
			SinceHeard: e.sinceHeard(p.node),
		})
	}
	for _, t := range e.targets.list {
		st.Targets = append(st.Targets, TargetStatus{
			Node:                  t.node,
			Pool:                  t.pool,
			Domain:                t.domain,
			Usable:                e.isUsable(t, t.pool),
			Leaving:               t.leaving,
			Load:                  t.load,
			DispatchedSinceReport: t.callsSinceReport,
			ReportAge:             e.now.Sub(t.reportedAt),
		})
	}
	return st
}

func (e *Entry) addSlot(st *Status, s *slot) {
	ss := SlotStatus{
		Slot:            s.id,
		Epoch:           s.assignment.Epoch,
		Owner:           s.ownerNode(),
		IsOwner:         s.ownerState != nil,
		ProposalPending: s.proposal != nil,
		CompleteSince:   s.assignment.CompleteSince,
	}
	for _, m := range s.assignment.Replicas {
		ss.Replicas = append(ss.Replicas, m.Node)
		if m.Node == e.self {
			st.ReplicatedSlots++
		}
	}
	switch owner := s.ownerNode(); {
	case s.ownerState != nil:
		ss.Ready = s.ownerState.ready
		ss.Programs = len(s.snapshot.programs)
		ss.OpenCalls = len(s.openCalls())
		st.OwnedSlots++
		st.Programs += ss.Programs
		st.OpenCalls += ss.OpenCalls
	case owner.IsZero() || e.members.confirmedDead(owner) || e.isSuspected(owner):
		st.OwnerlessSlots++
	}
	st.Slots = append(st.Slots, ss)
}
