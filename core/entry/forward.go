package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// fingerprint is a digest of what a caller sent. It distinguishes a retry from
// another request with the same key or sequence number.
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

// handleForward accepts a call from its ingress entry. If the call is open
// already, the request is attached to it; if its outcome is recorded, the
// request is answered with it. Otherwise the call is added to its program's
// queue.
func (e *Entry) handleForward(from core.Node, f core.Forward) {
	s := e.slotOf(f.Call.Program)
	if s == nil || !e.checkOwner(s, from, f.Epoch) {
		return
	}
	if !s.ownerState.ready {
		e.bufferForward(s, from, f)
		return
	}
	if t, ok := e.refusals[f.Req]; ok && !t.epoch.Less(s.ownerState.ownedSince) {
		if t.sent {
			e.sendResult(s, f.Req, t.finish)
		}
		return
	}
	call := f.Call
	if e.ownedByOtherAccount(s, &call) {
		e.sendResultAfterReplication(s, f.Req, refusal(core.ReasonUnauthorized, 0))
		return
	}
	if e.attachToOpenCall(s, f.Req, &call) {
		return
	}
	if fin, ok := e.recordedOutcome(s, f.Req, &call); ok {
		// A previous owner may have written the record, and it may not be replicated
		// yet.
		e.afterReplication(s, func() { e.sendResult(s, f.Req, fin) })
		return
	}
	if f.Reforwarded && e.mayLackPrograms(s) || call.NonIdempotent && e.programMayBeLost(s, &call) {
		// The previous owner, whose state was lost, may have executed the call.
		e.sendResultAfterReplication(s, f.Req, core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonMemoryLost})
		return
	}
	if e.isStalled(s) {
		e.sendResult(s, f.Req, refusal(core.ReasonNoOwner, defaultRetryAfter))
		return
	}
	if reason := e.admissionRefusal(s, &call); reason != "" {
		e.sendResultAfterReplication(s, f.Req, refusal(reason, e.retryAfterFor(reason)))
		return
	}
	e.enqueue(s, f.Req, &call)
}

// ownedByOtherAccount reports whether a call's program belongs to another
// account.
func (e *Entry) ownedByOtherAccount(s *slot, call *core.Call) bool {
	for _, id := range []core.ProgramID{call.Program, call.Program.Root()} {
		if p := s.snapshot.programs[id]; p != nil && p.Account != call.Account {
			return true
		}
		q := s.ownerState.queues[id]
		if q == nil {
			continue
		}
		for _, c := range q.calls() {
			if c.call != nil && c.call.Account != call.Account {
				return true
			}
		}
	}
	return false
}

// attachToOpenCall attaches a request to the open call that it repeats and
// reports whether there is one. A request that reuses the key or sequence number
// for another call is refused.
func (e *Entry) attachToOpenCall(s *slot, req core.RequestID, call *core.Call) bool {
	q := s.ownerState.queues[call.Program]
	if q == nil {
		return false
	}
	for _, c := range q.calls() {
		if !c.matches(req, call) {
			continue
		}
		if c.fingerprint != fingerprint(call) {
			e.sendResultAfterReplication(s, req, refusal(reuseReason(call), 0))
			return true
		}
		c.attach(req)
		if c.call == nil {
			c.call = call
			c.deadline = e.now.Add(e.callTimeout(call))
			c.readyAt = e.now
		}
		if c.state == stateDispatched {
			e.send(req.Ingress, core.Placed{Req: req, Attempt: c.attempt, Sidecar: c.target})
		}
		return true
	}
	return false
}

// reuseReason returns the reason to refuse a request that reuses the key or the
// sequence number of another one.
func reuseReason(call *core.Call) core.Reason {
	if call.Key != "" {
		return core.ReasonKeyReuse
	}
	return core.ReasonOutOfSequence
}

// recordedOutcome returns the outcome of a call that has finished, if it is
// known.
func (e *Entry) recordedOutcome(s *slot, req core.RequestID, call *core.Call) (core.Finish, bool) {
	p := s.snapshot.programs[call.Program]
	if p == nil {
		return core.Finish{}, false
	}
	for i := range p.Calls {
		r := &p.Calls[i]
		if r.Phase != core.PhaseDone || !sameCall(r, req, call) {
			continue
		}
		if r.Fingerprint != fingerprint(call) {
			return refusal(reuseReason(call), 0), true
		}
		return r.Finish, true
	}
	if call.Seq > 0 && call.Seq < p.NextSeq {
		// The call was started and its record has been removed.
		return core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonAnswerLost}, true
	}
	return core.Finish{}, false
}

func sameCall(r *core.CallRecord, req core.RequestID, call *core.Call) bool {
	return r.Req == req || call.Key != "" && r.Key == call.Key || call.Seq > 0 && r.Seq == call.Seq
}

// enqueue adds a call to its program's queue.
func (e *Entry) enqueue(s *slot, req core.RequestID, call *core.Call) {
	q := s.ownerState.queues[call.Program]
	if q == nil {
		q = &programQueue{}
		s.ownerState.queues[call.Program] = q
	}
	c := &openCall{
		program:     call.Program,
		call:        call,
		seq:         call.Seq,
		key:         call.Key,
		fingerprint: fingerprint(call),
		arrived:     e.now,
		deadline:    e.now.Add(e.callTimeout(call)),
	}
	c.attach(req)
	q.waiting = append(q.waiting, c)
	e.startNext(s, call.Program)
}
