package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// request is a caller's request that this entry received and has not answered.
type request struct {
	id core.RequestID
	// call is set unless the request ends a program or asks for its conversation.
	call *core.Call
	// history says that the request asks for a conversation.
	history  bool
	program  core.ProgramID
	account  core.Account
	deadline core.Instant
	slot     *slot
	// home is where the request was last sent; zero if it never was.
	home core.Node
	// epoch is the owner's when the request was last sent.
	epoch core.Epoch
	// again says that the request was sent in more than one epoch.
	again  bool
	sentAt core.Instant
	period core.Duration
	// attempt is the attempt whose stream the caller reads.
	attempt core.AttemptID
	// broken is the attempt whose stream was lost for good.
	broken core.AttemptID
}

func (e *Entry) callArrived(ev core.CallArrived) {
	call := ev.Call
	e.arrived(&request{
		id:       ev.Req,
		call:     &call,
		program:  call.Program,
		account:  call.Account,
		deadline: e.now.Add(e.callTimeout(&call) + edgeGrace),
	})
}

func (e *Entry) endArrived(ev core.EndArrived) {
	e.arrived(&request{
		id:       ev.Req,
		program:  ev.Program,
		account:  ev.Account,
		deadline: e.now.Add(defaultCallTimeout),
	})
}

// arrived starts a request. It is refused at once when its slot has had no
// reachable home for longer than a takeover takes, or when this entry is isolated
// and not the home itself.
func (e *Entry) arrived(r *request) {
	if _, ok := e.requests[r.id]; ok {
		return
	}
	s := e.slotOf(r.program)
	if s == nil {
		e.reply(r, refusal(core.ReasonNoOwner, retryHint))
		return
	}
	if e.drain.stopped {
		e.reply(r, refusal(core.ReasonDraining, retryHint))
		return
	}
	r.slot = s
	r.period = e.times.suspect
	e.requests[r.id] = r
	s.requests[r.id] = r
	if e.unreachable(s) || e.isolated() && !e.servesItself(s) {
		e.reply(r, refusal(core.ReasonNoOwner, retryHint))
		return
	}
	e.forward(r)
}

// refusal returns the outcome of a call that did not run and never will.
func refusal(reason core.Reason, retryAfter core.Duration) core.Finish {
	return core.Finish{Outcome: core.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// unreachable reports whether the slot's home has been missing for longer than
// a takeover takes, so that waiting for one is pointless.
func (e *Entry) unreachable(s *slot) bool {
	return s.ownerless > 0 && e.now.Sub(s.ownerless) >= 2*e.times.suspect
}

// forward sends a request to the home of its slot.
func (e *Entry) forward(r *request) {
	home := r.slot.homeNode()
	if home.IsZero() || e.members.dead(home) {
		return
	}
	r.again = r.again || !r.home.IsZero() && r.epoch != r.slot.owner.Epoch
	r.home = home
	r.epoch = r.slot.owner.Epoch
	r.sentAt = e.now
	if r.history {
		e.send(home, core.HistoryRequest{Req: r.id, Program: r.program, Account: r.account, Epoch: r.epoch})
		return
	}
	if r.call == nil {
		e.send(home, core.EndRequest{Req: r.id, Program: r.program, Account: r.account})
		return
	}
	e.send(home, core.Forward{Req: r.id, Call: *r.call, Epoch: r.epoch, Reforwarded: r.again})
}

// forwardAll sends the requests of a slot whose home changed to the new one.
// The home recognizes a request that it already has.
func (e *Entry) forwardAll(s *slot) {
	for _, r := range s.sortedRequests() {
		if r.home != s.homeNode() {
			r.period = e.times.suspect
			e.forward(r)
		}
	}
}

// placed attaches the caller to the stream of an attempt.
func (e *Entry) placed(m core.Placed) {
	r := e.requests[m.Req]
	if r != nil {
		e.attachStream(r, m.Attempt, m.Sidecar)
	}
}

// finished gives the caller the final word.
func (e *Entry) finished(m core.Finished) {
	r := e.requests[m.Req]
	if r == nil {
		return
	}
	f := m.Finish
	if f.Outcome == core.OutcomeNotRun && m.Epoch.Less(r.epoch) {
		// A later home has the request too and may run it.
		return
	}
	lost := f.Attempt == r.broken && !f.Attempt.IsZero()
	if f.Outcome == core.OutcomeRan && lost && f.Answer == nil {
		f.Reason = core.ReasonAnswerLost
	}
	if f.Outcome == core.OutcomeRan && !f.Attempt.IsZero() {
		e.attachStream(r, f.Attempt, f.Sidecar)
	}
	e.reply(r, f)
}

// attachStream makes the shell read the answer of an attempt.
func (e *Entry) attachStream(r *request, a core.AttemptID, sidecar core.Node) {
	if r.attempt == a {
		return
	}
	r.attempt = a
	e.emit(core.AttachStream{Req: r.id, Attempt: a, Sidecar: sidecar})
}

// reply answers a request and forgets it, so that no request is answered twice.
func (e *Entry) reply(r *request, f core.Finish) {
	e.check.Check(invariant.WholeAnswer, f.Outcome != core.OutcomeNone,
		"%s: reply to %s without an outcome", e.self, r.id)
	e.forget(r)
	e.emit(core.Reply{Req: r.id, Finish: f})
}

func (e *Entry) forget(r *request) {
	delete(e.requests, r.id)
	if r.slot != nil {
		delete(r.slot.requests, r.id)
	}
}

// callerGone forgets a request whose caller has disconnected.
func (e *Entry) callerGone(id core.RequestID) {
	r := e.requests[id]
	if r == nil {
		return
	}
	e.forget(r)
	if !r.home.IsZero() && r.call != nil {
		e.send(r.home, core.Withdraw{Req: id})
	}
}

// streamBroken asks the home again: the sidecar's life may have ended, and with
// it the attempt.
func (e *Entry) streamBroken(ev core.StreamBroken) {
	r := e.requests[ev.Req]
	if r == nil || r.attempt != ev.Attempt {
		return
	}
	r.broken = ev.Attempt
	e.forward(r)
}

// tickRequests forwards silent requests again and ends those that are overdue.
func (e *Entry) tickRequests() {
	byID := func(a, b core.RequestID) int { return cmp.Compare(a.N, b.N) }
	for _, id := range slices.SortedFunc(maps.Keys(e.requests), byID) {
		e.tickRequest(e.requests[id])
	}
}

func (e *Entry) tickRequest(r *request) {
	switch {
	case e.now >= r.deadline:
		e.overdue(r)
	case r.home.IsZero() && e.unreachable(r.slot):
		e.reply(r, refusal(core.ReasonNoOwner, retryHint))
	case r.home.IsZero() || e.now.Sub(r.sentAt) >= r.period:
		r.period = min(2*r.period, maxForwardPeriod)
		e.forward(r)
	}
}

// overdue answers a request whose home did not. What was forwarded may run.
func (e *Entry) overdue(r *request) {
	f := refusal(core.ReasonTimeout, 0)
	if !r.home.IsZero() && !r.history {
		f.Outcome = core.OutcomeUnknown
		e.send(r.home, core.Withdraw{Req: r.id})
	}
	e.reply(r, f)
}

// callTimeout returns the time that a call may take.
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
