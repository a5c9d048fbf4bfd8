package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// refusedRequest is a tombstone: a late copy of a forward that was answered as
// not run must not run.
type refusedRequest struct {
	finish core.Finish
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
			e.send(from, core.SlotUpdate{Owners: []core.SlotOwner{s.owner}})
		}
		return false
	case s.home.epoch.Less(epoch):
		e.send(from, core.SlotQuery{})
		return false
	}
	return true
}

// answer sends a final word to the edge of a request. A refusal that follows
// from the program's record waits until the mirrors have confirmed that this
// entry is still the home: another one may have a newer record.
func (e *Entry) answer(s *slot, req core.RequestID, f core.Finish) {
	judged := f.Outcome == core.OutcomeNotRun && followsFromRecord(f.Reason)
	if judged && e.isolated(s) {
		f = refusal(core.ReasonNoOwner, retryHint)
		judged = false
	}
	if f.Outcome == core.OutcomeNotRun {
		if _, ok := e.refusals[req]; !ok {
			e.emit(core.Decision{Step: "refuse", Slot: s.id, Reason: f.Reason})
		}
		e.refusals[req] = refusedRequest{f, s.home.epoch, e.now}
	}
	if judged {
		e.durable(s, func() { e.sendFinished(s, req, f) })
		return
	}
	e.sendFinished(s, req, f)
}

func (e *Entry) sendFinished(s *slot, req core.RequestID, f core.Finish) {
	e.send(req.Edge, core.Finished{Req: req, Finish: f, Epoch: s.home.epoch})
}

// followsFromRecord reports whether a refusal depends on what the home knows of
// the program.
func followsFromRecord(r core.Reason) bool {
	switch r {
	case core.ReasonSequence, core.ReasonHistory, core.ReasonBudget, core.ReasonLimit,
		core.ReasonEnded, core.ReasonForgotten, core.ReasonUnauthorized, core.ReasonKeyReuse:
		return true
	}
	return false
}

// tickRefusals forgets the tombstones of requests whose copies are long gone.
func (e *Entry) tickRefusals() {
	for req, t := range e.refusals {
		if e.now.Sub(t.at) > refusalRetention || e.members.dead(req.Edge) {
			delete(e.refusals, req)
		}
	}
}

// wait keeps a call until the first write of a new home is complete. If that
// takes long, the calls that no earlier home can have run are refused.
func (e *Entry) wait(s *slot, from core.Node, f core.Forward) {
	if e.now.Sub(s.changedAt) >= 2*e.times.suspect && !f.Again {
		e.answer(s, f.Req, refusal(core.ReasonNoOwner, retryHint))
		return
	}
	known := slices.ContainsFunc(s.home.early, func(m core.Recv) bool {
		return m.Msg.(core.Forward).Req == f.Req
	})
	if !known {
		s.home.early = append(s.home.early, core.Recv{From: from, Msg: f})
	}
}

// tickEarly looks again at the calls that wait for a home that is not ready.
func (e *Entry) tickEarly(s *slot) {
	early := s.home.early
	s.home.early = nil
	for _, m := range early {
		e.receive(m.From, m.Msg)
	}
}
