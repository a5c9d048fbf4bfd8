package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// refusedRequest is a tombstone: a late copy of a forward that was answered as
// not run must not run.
type refusedRequest struct {
	req    core.RequestID
	finish core.Finish
	// sent says that the edge was told.
	sent bool
	// epoch is the home's. In a later time as home the tombstone says nothing: a
	// home in between may have run the call.
	epoch core.Epoch
	at    core.Instant
}

// answerable reports whether this entry is the home to answer a request that
// was forwarded in an epoch. If it is not, the sender learns the owner.
func (e *Entry) answerable(s *slot, from core.Node, epoch core.Epoch) bool {
	switch {
	case s.home == nil || epoch.Less(s.home.since):
		if s.owner.Epoch.Version > 0 {
			e.send(from, core.SlotUpdate{Assignments: []core.SlotAssignment{s.owner}})
		}
		return false
	case s.home.epoch.Less(epoch):
		e.send(from, core.SlotQuery{})
		return false
	}
	return true
}

// answer sends a final word to the edge of a request.
func (e *Entry) answer(s *slot, req core.RequestID, f core.Finish) {
	if f.Outcome == core.OutcomeNotRun {
		e.bury(s, req, f).sent = true
	}
	e.send(req.Ingress, core.Finished{Req: req, Finish: f, Epoch: s.home.epoch})
}

// bury makes the tombstone of a refused request.
func (e *Entry) bury(s *slot, req core.RequestID, f core.Finish) *refusedRequest {
	if e.refusals[req] == nil {
		e.emit(core.Decision{Step: "refuse", Slot: s.id, Reason: f.Reason})
	}
	t := &refusedRequest{req: req, finish: f, epoch: s.home.epoch, at: e.now}
	e.refusals[req] = t
	return t
}

// decide sends a final word that depends on the slot's records, once a write
// has shown that they are the newest. A home that was replaced unnoticed would
// refuse a program that has gone on elsewhere for good.
func (e *Entry) decide(s *slot, req core.RequestID, f core.Finish) {
	if passing(f.Reason) {
		e.answer(s, req, f)
		return
	}
	t := e.bury(s, req, f)
	s.home.deciding = append(s.home.deciding, t)
	e.durable(s, func() {
		if !t.sent {
			t.sent = true
			e.send(req.Ingress, core.Finished{Req: req, Finish: f, Epoch: s.home.epoch})
		}
	})
}

// passing reports whether a reason to refuse is one of the moment, which needs
// no records.
func passing(reason core.Reason) bool {
	switch reason {
	case core.ReasonOverload, core.ReasonNoTarget, core.ReasonNoOwner, core.ReasonTimeout,
		core.ReasonDraining, core.ReasonCanceled:
		return true
	}
	return false
}

// stalled reports whether writes have waited for the mirrors for longer than a
// silent one takes to be replaced.
func (e *Entry) stalled(s *slot) bool {
	return len(s.home.after) > 0 && e.now.Sub(s.home.after[0].at) >= 2*e.times.suspect
}

// unconfirmed returns the word on a request whose decision no write confirms. An
// unknown outcome stays one.
func unconfirmed(f core.Finish) core.Finish {
	if f.Outcome == core.OutcomeNotRun {
		return refusal(core.ReasonNoOwner, retryHint)
	}
	return f
}

// tickDeciding refuses, for now, the requests whose decision no write confirms.
func (e *Entry) tickDeciding(s *slot) {
	open := s.home.deciding[:0]
	for _, t := range s.home.deciding {
		switch {
		case t.sent:
		case e.now.Sub(t.at) >= 2*e.times.suspect:
			t.sent = true
			e.answer(s, t.req, unconfirmed(t.finish))
		default:
			open = append(open, t)
		}
	}
	s.home.deciding = open
}

// tickRefusals forgets the tombstones of requests whose copies are long gone.
func (e *Entry) tickRefusals() {
	if e.now.Sub(e.buriedAt) < expirePeriod {
		return
	}
	e.buriedAt = e.now
	for req, t := range e.refusals {
		if e.now.Sub(t.at) > refusalRetention || e.members.dead(req.Ingress) {
			delete(e.refusals, req)
		}
	}
}

// wait keeps a call until the first write of a new home is complete. If that
// takes long, the calls that no earlier home can have run are refused.
func (e *Entry) wait(s *slot, from core.Node, f core.Forward) {
	if e.now.Sub(s.changedAt) >= 2*e.times.suspect && !f.Reforwarded {
		e.answer(s, f.Req, refusal(core.ReasonNoOwner, retryHint))
		return
	}
	s.home.keepEarly(from, f)
}

// keepEarly keeps one copy of a request until the home is ready.
func (h *home) keepEarly(from core.Node, m core.Message) {
	known := slices.ContainsFunc(h.early, func(kept core.Recv) bool {
		return requestOf(kept.Msg) == requestOf(m)
	})
	if !known {
		h.early = append(h.early, core.Recv{From: from, Msg: m})
	}
}

// requestOf returns the request that a message to the home is about.
func requestOf(m core.Message) core.RequestID {
	switch m := m.(type) {
	case core.Forward:
		return m.Req
	case core.EndRequest:
		return m.Req
	}
	return core.RequestID{}
}

// tickEarly looks again at the calls that wait for a home that is not ready.
func (e *Entry) tickEarly(s *slot) {
	early := s.home.early
	s.home.early = nil
	for _, m := range early {
		e.receive(m.From, m.Msg)
	}
}
