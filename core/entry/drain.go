package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// drain is the state of a graceful shutdown.
type drain struct {
	requested bool
	// listedLeaving is set if the platform lists this entry's VM as leaving.
	listedLeaving bool
	stopped       bool
}

// active reports whether this entry is handing its slots over.
func (d *drain) active() bool { return d.requested || d.listedLeaving }

// startDrain makes this entry hand its slots over. It announces this in
// heartbeats to all peers immediately, and continues to answer requests until
// it has stopped.
func (e *Entry) startDrain() {
	e.drain.requested = true
	e.members.heartbeatAt = 0
	e.members.round = 0
	e.tickMembers()
}

// tickDrain reports the end of the shutdown once no request is in flight and
// either this entry is a member of no slot or there is no other entry that can
// take its slots.
func (e *Entry) tickDrain() {
	if !e.drain.requested || e.drain.stopped || len(e.requests) > 0 {
		return
	}
	if len(e.candidates()) > 0 && e.isMemberOfAnySlot() {
		return
	}
	e.invariants.Check(invariant.Drain, len(e.requests) == 0,
		"%s: stopped with %d requests in flight", e.self, len(e.requests))
	e.drain.stopped = true
	e.emit(core.Stopped{})
}

// isMemberOfAnySlot reports whether this entry is a member of any slot.
func (e *Entry) isMemberOfAnySlot() bool {
	for _, s := range e.slots {
		if s.ownerState != nil || s.proposal != nil {
			return true
		}
		for _, m := range s.members() {
			if m.Node == e.self {
				return true
			}
		}
	}
	return false
}
