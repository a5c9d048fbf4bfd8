package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// refusedRequest is the tombstone of a request whose outcome was not_run: a
// late copy of its forward must not be executed.
type refusedRequest struct {
	req    core.RequestID
	finish core.Finish
	// sent is set once the result was sent to the ingress entry.
	sent bool
	// epoch is the owner's epoch at the refusal. The tombstone is ignored if this
	// entry has lost the slot since and owns it again: another owner in between
	// may have executed the call.
	epoch core.Epoch
	at    core.Instant
}

// checkOwner reports whether this entry is the owner that may handle a request
// forwarded in an epoch. If not, it sends the assignment that it knows to the
// sender, or requests the sender's slot map if that is newer.
func (e *Entry) checkOwner(s *slot, from core.Node, epoch core.Epoch) bool {
	switch {
	case s.ownerState == nil || epoch.Less(s.ownerState.ownedSince):
		if s.assignment.Epoch.Version > 0 {
			e.send(from, core.SlotUpdate{Assignments: []core.SlotAssignment{s.assignment}})
		}
		return false
	case s.ownerState.epoch.Less(epoch):
		e.send(from, core.SlotQuery{})
		return false
	}
	return true
}

// sendResult sends the final result of a request to its ingress entry.
func (e *Entry) sendResult(s *slot, req core.RequestID, f core.Finish) {
	if f.Outcome == core.OutcomeNotRun {
		e.recordRefusal(s, req, f).sent = true
	}
	e.send(req.Ingress, core.Finished{Req: req, Finish: f, Epoch: s.ownerState.epoch})
}

// recordRefusal creates the tombstone of a refused request.
func (e *Entry) recordRefusal(s *slot, req core.RequestID, f core.Finish) *refusedRequest {
	if e.refusals[req] == nil {
		e.emit(core.Decision{Step: "refuse", Slot: s.id, Reason: f.Reason})
	}
	t := &refusedRequest{req: req, finish: f, epoch: s.ownerState.epoch, at: e.now}
	e.refusals[req] = t
	return t
}

// sendResultAfterReplication sends a final result that depends on the slot's
// records once a replicated write has confirmed that they are the newest.
// Without this wait, an owner that was replaced without noticing could
// permanently refuse a program that has continued at another owner. A transient
// refusal is sent immediately.
func (e *Entry) sendResultAfterReplication(s *slot, req core.RequestID, f core.Finish) {
	if isTransient(f.Reason) {
		e.sendResult(s, req, f)
		return
	}
	t := e.recordRefusal(s, req, f)
	s.ownerState.awaitingReplication = append(s.ownerState.awaitingReplication, t)
	e.afterReplication(s, func() {
		if !t.sent {
			t.sent = true
			e.send(req.Ingress, core.Finished{Req: req, Finish: f, Epoch: s.ownerState.epoch})
		}
	})
}

// isTransient reports whether a reason to refuse is temporary and does not
// depend on the slot's records.
func isTransient(reason core.Reason) bool {
	switch reason {
	case core.ReasonOverload, core.ReasonNoTarget, core.ReasonNoOwner, core.ReasonTimeout,
		core.ReasonDraining, core.ReasonCanceled:
		return true
	}
	return false
}

// isStalled reports whether writes have waited for the replicas for longer than
// it takes to replace one that does not respond.
func (e *Entry) isStalled(s *slot) bool {
	return len(s.ownerState.callbacks) > 0 && e.now.Sub(s.ownerState.callbacks[0].at) >= 2*e.times.suspect
}

// unreplicatedResult returns the result to send instead of f if no replicated
// write has confirmed it in time. An unknown outcome stays unknown.
func unreplicatedResult(f core.Finish) core.Finish {
	if f.Outcome == core.OutcomeNotRun {
		return refusal(core.ReasonNoOwner, defaultRetryAfter)
	}
	return f
}

// tickAwaitingReplication refuses, with a retry hint, the requests whose result
// no replicated write has confirmed in time.
func (e *Entry) tickAwaitingReplication(s *slot) {
	waiting := s.ownerState.awaitingReplication[:0]
	for _, t := range s.ownerState.awaitingReplication {
		switch {
		case t.sent:
		case e.now.Sub(t.at) >= 2*e.times.suspect:
			t.sent = true
			e.sendResult(s, t.req, unreplicatedResult(t.finish))
		default:
			waiting = append(waiting, t)
		}
	}
	s.ownerState.awaitingReplication = waiting
}

// tickRefusals removes the tombstones of requests of which no late copies are
// expected any more.
func (e *Entry) tickRefusals() {
	if e.now.Sub(e.refusalsPrunedAt) < expireInterval {
		return
	}
	e.refusalsPrunedAt = e.now
	for req, t := range e.refusals {
		if e.now.Sub(t.at) > refusalRetention || e.members.confirmedDead(req.Ingress) {
			delete(e.refusals, req)
		}
	}
}

// bufferForward buffers a call until the first write of a new owner is
// replicated. If that takes too long, calls that no earlier owner can have
// executed are refused.
func (e *Entry) bufferForward(s *slot, from core.Node, f core.Forward) {
	if e.now.Sub(s.ownerChangedAt) >= 2*e.times.suspect && !f.Reforwarded {
		e.sendResult(s, f.Req, refusal(core.ReasonNoOwner, defaultRetryAfter))
		return
	}
	s.ownerState.addPending(from, f)
}

// addPending buffers a request until the owner is ready, unless it is buffered
// already.
func (st *ownerState) addPending(from core.Node, m core.Message) {
	known := slices.ContainsFunc(st.pending, func(buffered core.Recv) bool {
		return requestOf(buffered.Msg) == requestOf(m)
	})
	if !known {
		st.pending = append(st.pending, core.Recv{From: from, Msg: m})
	}
}

// requestOf returns the request that a message to the owner is about.
func requestOf(m core.Message) core.RequestID {
	switch m := m.(type) {
	case core.Forward:
		return m.Req
	case core.EndRequest:
		return m.Req
	}
	return core.RequestID{}
}

// retryPending handles the buffered requests again while the owner is not ready,
// so that those that have waited too long are refused.
func (e *Entry) retryPending(s *slot) {
	pending := s.ownerState.pending
	s.ownerState.pending = nil
	for _, m := range pending {
		e.handleMessage(m.From, m.Msg)
	}
}
