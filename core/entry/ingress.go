package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// request is a caller's request that this entry, as its ingress, accepted and
// has not answered.
type request struct {
	id core.RequestID
	// call is set unless the request ends a program or reads its conversation.
	call *core.Call
	// history is set if the request reads a conversation.
	history  bool
	program  core.ProgramID
	account  core.Account
	deadline core.Instant
	slot     *slot
	// sentTo is the owner to which the request was last sent; zero if it never
	// was.
	sentTo core.Node
	// sentEpoch is the slot's epoch when the request was last sent.
	sentEpoch core.Epoch
	// reforwarded is set once the request was sent in more than one epoch.
	reforwarded    bool
	sentAt         core.Instant
	resendInterval core.Duration
	// attempt is the attempt whose stream the caller reads.
	attempt core.AttemptID
	// brokenAttempt is the attempt whose stream was lost permanently.
	brokenAttempt core.AttemptID
}

func (e *Entry) callArrived(ev core.CallArrived) {
	call := ev.Call
	e.startRequest(&request{
		id:       ev.Req,
		call:     &call,
		program:  call.Program,
		account:  call.Account,
		deadline: e.now.Add(e.callTimeout(&call) + ingressGrace),
	})
}

func (e *Entry) endArrived(ev core.EndArrived) {
	e.startRequest(&request{
		id:       ev.Req,
		program:  ev.Program,
		account:  ev.Account,
		deadline: e.now.Add(defaultCallTimeout),
	})
}

// startRequest accepts a request and forwards it to the owner. It refuses the
// request immediately if the slot has had no reachable owner for longer than a
// takeover takes, or if this entry is isolated and is not the owner itself.
func (e *Entry) startRequest(r *request) {
	if _, ok := e.requests[r.id]; ok {
		return
	}
	s := e.slotOf(r.program)
	if s == nil {
		e.reply(r, refusal(core.ReasonNoOwner, defaultRetryAfter))
		return
	}
	if e.drain.stopped {
		e.reply(r, refusal(core.ReasonDraining, defaultRetryAfter))
		return
	}
	r.slot = s
	r.resendInterval = e.times.suspect
	e.requests[r.id] = r
	s.requests[r.id] = r
	if e.ownerUnreachable(s) || e.isolated() && !e.canServe(s) {
		e.reply(r, refusal(core.ReasonNoOwner, defaultRetryAfter))
		return
	}
	e.forwardRequest(r)
}

// refusal returns the outcome of a call that was not executed and never will be.
func refusal(reason core.Reason, retryAfter core.Duration) core.Finish {
	return core.Finish{Outcome: core.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// ownerUnreachable reports whether the slot's owner has been missing for longer
// than a takeover takes, so that waiting for a new owner is pointless.
func (e *Entry) ownerUnreachable(s *slot) bool {
	return s.ownerMissingSince > 0 && e.now.Sub(s.ownerMissingSince) >= 2*e.times.suspect
}

// forwardRequest sends a request to the owner of its slot, unless there is none
// or it is confirmed dead.
func (e *Entry) forwardRequest(r *request) {
	owner := r.slot.ownerNode()
	if owner.IsZero() || e.members.confirmedDead(owner) {
		return
	}
	r.reforwarded = r.reforwarded || !r.sentTo.IsZero() && r.sentEpoch != r.slot.assignment.Epoch
	r.sentTo = owner
	r.sentEpoch = r.slot.assignment.Epoch
	r.sentAt = e.now
	if r.history {
		e.send(owner, core.HistoryRequest{Req: r.id, Program: r.program, Account: r.account, Epoch: r.sentEpoch})
		return
	}
	if r.call == nil {
		e.send(owner, core.EndRequest{Req: r.id, Program: r.program, Account: r.account})
		return
	}
	e.send(owner, core.Forward{Req: r.id, Call: *r.call, Epoch: r.sentEpoch, Reforwarded: r.reforwarded})
}

// reforwardAll sends the requests of a slot whose owner changed to the new
// owner, which recognizes a request that it already has.
func (e *Entry) reforwardAll(s *slot) {
	for _, r := range s.sortedRequests() {
		if r.sentTo != s.ownerNode() {
			r.resendInterval = e.times.suspect
			e.forwardRequest(r)
		}
	}
}

// handlePlaced attaches the caller to the stream of an attempt.
func (e *Entry) handlePlaced(m core.Placed) {
	r := e.requests[m.Req]
	if r != nil {
		e.attachStream(r, m.Attempt, m.Sidecar)
	}
}

// handleFinished replies to the caller with the final result.
func (e *Entry) handleFinished(m core.Finished) {
	r := e.requests[m.Req]
	if r == nil {
		return
	}
	f := m.Finish
	if f.Outcome == core.OutcomeNotRun && m.Epoch.Less(r.sentEpoch) {
		// The request was also forwarded to a later owner, which may execute it.
		return
	}
	lost := f.Attempt == r.brokenAttempt && !f.Attempt.IsZero()
	if f.Outcome == core.OutcomeRan && lost && f.Answer == nil {
		f.Reason = core.ReasonAnswerLost
	}
	if f.Outcome == core.OutcomeRan && !f.Attempt.IsZero() {
		e.attachStream(r, f.Attempt, f.Sidecar)
	}
	e.reply(r, f)
}

// attachStream makes the runtime read the answer of an attempt.
func (e *Entry) attachStream(r *request, a core.AttemptID, sidecar core.Node) {
	if r.attempt == a {
		return
	}
	r.attempt = a
	e.emit(core.AttachStream{Req: r.id, Attempt: a, Sidecar: sidecar})
}

// reply answers a request and removes it, so that no request is answered twice.
func (e *Entry) reply(r *request, f core.Finish) {
	e.invariants.Check(invariant.CompleteAnswer, f.Outcome != core.OutcomeNone,
		"%s: reply to request %s without an outcome", e.self, r.id)
	e.removeRequest(r)
	e.emit(core.Reply{Req: r.id, Finish: f})
}

func (e *Entry) removeRequest(r *request) {
	delete(e.requests, r.id)
	if r.slot != nil {
		delete(r.slot.requests, r.id)
	}
}

// callerDisconnected removes a request whose caller has disconnected and
// withdraws its call from the owner.
func (e *Entry) callerDisconnected(id core.RequestID) {
	r := e.requests[id]
	if r == nil {
		return
	}
	e.removeRequest(r)
	if !r.sentTo.IsZero() && r.call != nil {
		e.send(r.sentTo, core.Withdraw{Req: id})
	}
}

// streamBroken forwards the request again: the sidecar may have restarted, which
// ends the attempt.
func (e *Entry) streamBroken(ev core.StreamBroken) {
	r := e.requests[ev.Req]
	if r == nil || r.attempt != ev.Attempt {
		return
	}
	r.brokenAttempt = ev.Attempt
	e.forwardRequest(r)
}

// tickRequests forwards unanswered requests again and ends those that are
// overdue.
func (e *Entry) tickRequests() {
	byID := func(a, b core.RequestID) int { return cmp.Compare(a.N, b.N) }
	for _, id := range slices.SortedFunc(maps.Keys(e.requests), byID) {
		e.tickRequest(e.requests[id])
	}
}

func (e *Entry) tickRequest(r *request) {
	switch {
	case e.now >= r.deadline:
		e.timeOut(r)
	case r.sentTo.IsZero() && e.ownerUnreachable(r.slot):
		e.reply(r, refusal(core.ReasonNoOwner, defaultRetryAfter))
	case r.sentTo.IsZero() || e.now.Sub(r.sentAt) >= r.resendInterval:
		r.resendInterval = min(2*r.resendInterval, maxForwardInterval)
		e.forwardRequest(r)
	}
}

// timeOut answers a request for which no result arrived before the deadline. A
// call that was forwarded may already have been executed, or may be executed
// later, so its outcome is unknown.
func (e *Entry) timeOut(r *request) {
	f := refusal(core.ReasonTimeout, 0)
	if !r.sentTo.IsZero() && !r.history {
		f.Outcome = core.OutcomeUnknown
		e.send(r.sentTo, core.Withdraw{Req: r.id})
	}
	e.reply(r, f)
}

// callTimeout returns the timeout of a call: its own, or else its pool's.
func (e *Entry) callTimeout(c *core.Call) core.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	if e.set != nil {
		if p := e.set.Pool(string(c.Pool)); p != nil {
			return orDefault(p.CallTimeout.Nanos(), defaultCallTimeout)
		}
	}
	return defaultCallTimeout
}
