package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// fingerprint is a digest of what a caller sent, to tell a retry from another
// request with the same key or sequence number.
func fingerprint(c *core.Call) uint64 {
	if c.Fingerprint != 0 {
		return c.Fingerprint
	}
	d := xxhash.New()
	for _, part := range []string{c.Method, c.Path, string(c.Pool)} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

// forwarded takes in a call from an edge. A call that is open or recorded is
// attached to; every other one waits for its turn in its program.
func (e *Entry) forwarded(from core.Node, f core.Forward) {
	s := e.slotOf(f.Call.Program)
	if s == nil || !e.answerable(s, from, f.Epoch) {
		return
	}
	if !s.home.ready {
		e.wait(s, from, f)
		return
	}
	if t, ok := e.refusals[f.Req]; ok && !t.epoch.Less(s.home.since) {
		if t.sent {
			e.answer(s, f.Req, t.finish)
		}
		return
	}
	call := f.Call
	if e.foreign(s, &call) {
		e.decide(s, f.Req, refusal(core.ReasonUnauthorized, 0))
		return
	}
	if e.attach(s, f.Req, &call) {
		return
	}
	if fin, ok := e.recorded(s, f.Req, &call); ok {
		// The record may be older than this home's time and not acknowledged yet.
		e.durable(s, func() { e.answer(s, f.Req, fin) })
		return
	}
	if f.Reforwarded && e.forgetful(s) || call.NonIdempotent && e.unremembered(s, &call) {
		// The lost home may have run it.
		e.decide(s, f.Req, core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonMemoryLost})
		return
	}
	if e.stalled(s) {
		e.answer(s, f.Req, refusal(core.ReasonNoOwner, retryHint))
		return
	}
	if reason := e.admissible(s, &call); reason != "" {
		e.decide(s, f.Req, refusal(reason, e.hint(reason)))
		return
	}
	e.enqueue(s, f.Req, &call)
}

// foreign reports whether a call's program belongs to another account.
func (e *Entry) foreign(s *slot, call *core.Call) bool {
	for _, id := range []core.ProgramID{call.Program, call.Program.Root()} {
		if p := s.image.programs[id]; p != nil && p.Account != call.Account {
			return true
		}
		l := s.home.lanes[id]
		if l == nil {
			continue
		}
		for _, c := range l.all() {
			if c.body != nil && c.body.Account != call.Account {
				return true
			}
		}
	}
	return false
}

// attach joins a request to an open call if it is the same.
func (e *Entry) attach(s *slot, req core.RequestID, call *core.Call) bool {
	l := s.home.lanes[call.Program]
	if l == nil {
		return false
	}
	for _, c := range l.all() {
		if !c.matches(req, call) {
			continue
		}
		if c.print != fingerprint(call) {
			e.decide(s, req, refusal(reuse(call), 0))
			return true
		}
		c.attach(req)
		if c.body == nil {
			c.body = call
			c.deadline = e.now.Add(e.callTimeout(call))
			c.readyAt = e.now
		}
		if c.state == stateSent {
			e.send(req.Ingress, core.Placed{Req: req, Attempt: c.attempt, Sidecar: c.target})
		}
		return true
	}
	return false
}

// reuse returns the reason to refuse a request that repeats the key or the
// sequence number of another one.
func reuse(call *core.Call) core.Reason {
	if call.Key != "" {
		return core.ReasonKeyReuse
	}
	return core.ReasonOutOfSequence
}

// recorded returns the outcome of a call that was finished before.
func (e *Entry) recorded(s *slot, req core.RequestID, call *core.Call) (core.Finish, bool) {
	p := s.image.programs[call.Program]
	if p == nil {
		return core.Finish{}, false
	}
	for i := range p.Calls {
		r := &p.Calls[i]
		if r.Phase != core.PhaseDone || !sameCall(r, req, call) {
			continue
		}
		if r.Fingerprint != fingerprint(call) {
			return refusal(reuse(call), 0), true
		}
		return r.Finish, true
	}
	if call.Seq > 0 && call.Seq < p.NextSeq {
		// The call was begun and its record is no longer kept.
		return core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonAnswerLost}, true
	}
	return core.Finish{}, false
}

func sameCall(r *core.CallRecord, req core.RequestID, call *core.Call) bool {
	return r.Req == req || call.Key != "" && r.Key == call.Key || call.Seq > 0 && r.Seq == call.Seq
}

// enqueue adds a call to its program's lane.
func (e *Entry) enqueue(s *slot, req core.RequestID, call *core.Call) {
	l := s.home.lanes[call.Program]
	if l == nil {
		l = &lane{}
		s.home.lanes[call.Program] = l
	}
	c := &openCall{
		program:  call.Program,
		body:     call,
		seq:      call.Seq,
		key:      call.Key,
		print:    fingerprint(call),
		arrived:  e.now,
		deadline: e.now.Add(e.callTimeout(call)),
	}
	c.attach(req)
	l.waiting = append(l.waiting, c)
	e.pump(s, call.Program)
}
