package entry

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// fingerprint is a digest of what a caller sent, to tell a retry from another
// request with the same key or sequence number.
func fingerprint(c *core.Call) uint64 {
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
		e.answer(s, f.Req, t.finish)
		return
	}
	call := f.Call
	if e.foreign(s, &call) {
		e.answer(s, f.Req, refusal(core.ReasonUnauthorized, 0))
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
	if f.Again && e.forgetful(s) || call.NonIdempotent && e.unremembered(s, &call) {
		// The lost home may have run it.
		e.answer(s, f.Req, core.Finish{Outcome: core.OutcomeUnknown, Reason: core.ReasonForgotten})
		return
	}
	if reason := e.admissible(s, &call); reason != "" {
		e.answer(s, f.Req, refusal(reason, e.hint(reason)))
		return
	}
	e.enqueue(s, f.Req, &call)
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

// refusedRequest is a tombstone: a late copy of a forward that was answered as
// not run must not run.
type refusedRequest struct {
	finish core.Finish
	// epoch is the home's. In a later time as home the tombstone says nothing: a
	// home in between may have run the call.
	epoch core.Epoch
	at    core.Instant
}

// answer sends a final word to the edge of a request.
func (e *Entry) answer(s *slot, req core.RequestID, f core.Finish) {
	if f.Outcome == core.OutcomeNotRun {
		if _, ok := e.refusals[req]; !ok {
			e.emit(core.Decision{Step: "refuse", Slot: s.id, Reason: f.Reason})
		}
		e.refusals[req] = refusedRequest{f, s.home.epoch, e.now}
	}
	e.send(req.Edge, core.Finished{Req: req, Finish: f, Epoch: s.home.epoch})
}

// tickRefusals forgets the tombstones of requests whose copies are long gone.
func (e *Entry) tickRefusals() {
	for req, t := range e.refusals {
		if e.now.Sub(t.at) > e.times.retention || e.members.dead(req.Edge) {
			delete(e.refusals, req)
		}
	}
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
			e.answer(s, req, refusal(reuse(call), 0))
			return true
		}
		c.attach(req)
		if c.body == nil {
			c.body = call
			c.deadline = e.now.Add(e.callTimeout(call))
			c.readyAt = e.now
		}
		if c.state == stateSent {
			e.send(req.Edge, core.Placed{Req: req, Attempt: c.attempt, Sidecar: c.target})
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
	return core.ReasonSequence
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

// nextSeq returns the lowest sequence number of a program that was not begun.
func nextSeq(s *slot, id core.ProgramID) uint64 {
	if p := s.image.programs[id]; p != nil {
		return p.NextSeq
	}
	return 1
}

// pump begins the next call of a program if none is under way.
func (e *Entry) pump(s *slot, id core.ProgramID) {
	l := s.home.lanes[id]
	for l != nil && l.open == nil {
		c := l.next(nextSeq(s, id))
		if c == nil {
			break
		}
		l.open = c
		e.begin(s, c)
	}
	if l != nil && l.empty() {
		delete(s.home.lanes, id)
	}
}

// begin checks a call whose turn it is against the program's limits, history
// and budget, and places it.
func (e *Entry) begin(s *slot, c *openCall) {
	next := nextSeq(s, c.program)
	e.check.Check(invariant.CallOrder, c.seq == 0 || c.seq == next,
		"%s: call %d of %s begun before %d", e.self, c.seq, c.program, next)
	c.seq = next
	c.state = stateReady
	c.readyAt = e.now
	if reason := e.allowed(s, c); reason != "" {
		e.refuse(s, c, reason, e.hint(reason))
		return
	}
	e.place(s, c)
}

// refuse ends a call of which nothing was sent and nothing recorded.
func (e *Entry) refuse(s *slot, c *openCall, reason core.Reason, after core.Duration) {
	f := refusal(reason, after)
	l := s.home.lanes[c.program]
	if l.open == c {
		l.open = nil
	} else {
		l.drop(c)
	}
	for _, req := range c.waiters {
		e.answer(s, req, f)
	}
}

// close records the outcome of a begun call. The waiters learn it once every
// mirror has the record.
func (e *Entry) close(s *slot, c *openCall, f core.Finish) {
	c.state = stateClosing
	e.emit(core.Decision{
		Step: "finish", Program: c.program, Seq: c.seq, Attempt: c.attempt, Target: c.target,
		Slot: s.id, Reason: f.Reason, Wait: e.now.Sub(c.arrived), Usage: f.Usage,
	})
	e.durable(s, func() { e.closed(s, c, f) })
}

func (e *Entry) closed(s *slot, c *openCall, f core.Finish) {
	for _, req := range c.waiters {
		e.answer(s, req, f)
	}
	if !c.attempt.IsZero() {
		e.send(c.target, core.AckResult{Attempt: c.attempt})
	}
	if p := s.image.programs[c.program]; p != nil && p.Ended {
		e.sendEnd(s, c.program)
	}
	if l := s.home.lanes[c.program]; l != nil && l.open == c {
		l.open = nil
		e.pump(s, c.program)
	}
}

// withdrawn drops a request whose caller has gone. A call that nobody awaits is
// canceled unless it must not be repeated.
func (e *Entry) withdrawn(req core.RequestID) {
	for _, s := range e.slots {
		if s.home == nil {
			continue
		}
		for _, c := range s.openCalls() {
			if c.detach(req) {
				e.abandoned(s, c)
				return
			}
		}
	}
}

// openCalls returns the open calls of a home by program.
func (s *slot) openCalls() []*openCall {
	var calls []*openCall
	for _, id := range slices.Sorted(maps.Keys(s.home.lanes)) {
		calls = append(calls, s.home.lanes[id].all()...)
	}
	return calls
}

func (e *Entry) abandoned(s *slot, c *openCall) {
	begun := c.state >= stateTicket
	repeatable := c.key == "" && c.body != nil && !c.body.NonIdempotent
	if len(c.waiters) > 0 || begun && !repeatable {
		return
	}
	e.cancel(s, c, core.ReasonCanceled)
	e.pump(s, c.program)
}

// cancel ends a call that has not been sent and asks the sidecar to stop one
// that has.
func (e *Entry) cancel(s *slot, c *openCall, reason core.Reason) {
	switch c.state {
	case stateQueued:
		e.refuse(s, c, reason, 0)
	case stateReady:
		e.giveUp(s, c, reason, 0)
	case stateTicket, stateSent:
		c.canceled = true
		e.sendCancel(s, c)
	}
}

// tickCalls drives the timeouts of the slot's open calls.
func (e *Entry) tickCalls(s *slot) {
	for _, id := range slices.Sorted(maps.Keys(s.home.lanes)) {
		for _, c := range s.home.lanes[id].all() {
			e.tickCall(s, c)
		}
		e.pump(s, id)
	}
	e.expire(s)
}

func (e *Entry) tickCall(s *slot, c *openCall) {
	overdue := e.now >= c.deadline
	switch c.state {
	case stateQueued:
		e.tickQueued(s, c, overdue)
	case stateReady:
		if overdue {
			e.giveUp(s, c, core.ReasonTimeout, 0)
		} else if e.now >= c.retryAt {
			e.place(s, c)
		}
	case stateSent:
		if overdue && !c.canceled {
			e.cancel(s, c, core.ReasonTimeout)
		}
		e.tickSent(s, c)
	}
}

// tickQueued refuses a call whose predecessor does not come.
func (e *Entry) tickQueued(s *slot, c *openCall, overdue bool) {
	gap := s.home.lanes[c.program].open == nil && e.now.Sub(c.arrived) >= gapWait
	switch {
	case overdue:
		e.refuse(s, c, core.ReasonTimeout, 0)
	case gap && e.isolated(s):
		// Another home may have run the calls before this one.
		e.refuse(s, c, core.ReasonNoOwner, e.hint(core.ReasonNoOwner))
	case gap:
		e.refuse(s, c, core.ReasonSequence, 0)
	}
}

// isolated reports whether a member of a slot is silent and not dead, so that
// this entry cannot know whether it is still the home.
func (e *Entry) isolated(s *slot) bool {
	return slices.ContainsFunc(s.owner.Mirrors, func(m core.Member) bool {
		return e.silent(m.Node) && !e.members.dead(m.Node)
	})
}

// sortCalls keeps a record's calls in order of their sequence numbers.
func sortCalls(p *core.Program) {
	slices.SortStableFunc(p.Calls, func(a, b core.CallRecord) int { return cmp.Compare(a.Seq, b.Seq) })
}
