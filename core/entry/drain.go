package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// drain is the state of a graceful shutdown.
type drain struct {
	requested bool
	// leaving says that the platform lists this entry's VM as leaving.
	leaving bool
	stopped bool
}

// active reports whether this entry hands its slots over.
func (d *drain) active() bool { return d.requested || d.leaving }

// drainRequested makes this entry hand its slots over. Its heartbeats say so,
// and it answers the requests that it has.
func (e *Entry) drainRequested() {
	e.drain.requested = true
	e.members.beatAt = 0
	e.members.round = 0
	e.tickMembers()
}

// tickDrain reports the end of the shutdown: no request is in flight, and no
// slot depends on this entry unless nobody is left to take it.
func (e *Entry) tickDrain() {
	if !e.drain.requested || e.drain.stopped || len(e.requests) > 0 {
		return
	}
	if len(e.candidates()) > 0 && e.needed() {
		return
	}
	e.check.Check(invariant.Drain, len(e.requests) == 0,
		"%s: stops with %d requests in flight", e.self, len(e.requests))
	e.drain.stopped = true
	e.emit(core.Stopped{})
}

// needed reports whether this entry is a member of any slot.
func (e *Entry) needed() bool {
	for _, s := range e.slots {
		if s.home != nil || s.proposal != nil {
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
