package sim

import (
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Times of the connections between callers, ingress entries and sidecars.
const (
	// answerRetryPeriod is the time between an ingress entry's attempts to read an
	// answer from a sidecar.
	answerRetryPeriod = 250 * core.Millisecond
	// connectionRefusedDelay is the time until a caller notices that no process
	// listens.
	connectionRefusedDelay = 2 * core.Millisecond
	// callerGracePeriod is how long a caller waits beyond the call's timeout.
	callerGracePeriod = 5 * core.Second
)

// Response is the result of a request as its caller sees it.
type Response struct {
	Req  core.RequestID
	Call core.Call
	// IsEnd is true for a request to end the program.
	IsEnd  bool
	Finish core.Finish
	// ConnectionLost means that the connection ended without a final result.
	ConnectionLost bool
	// Answer is the complete answer, if it was read from a sidecar.
	Answer *Answer
	// AnswerLost means that the final result was "ran" but the answer could not be
	// read.
	AnswerLost bool
	// SentAt is when the caller sent the request.
	SentAt core.Instant
}

// request is one request of a caller at an ingress entry.
type request struct {
	ingress     *Node
	incarnation core.Incarnation
	res         Response
	done        func(*Response)
	ended       bool
	replied     bool
	// streamed is true if the answer is read from a sidecar's stream.
	streamed   bool
	attempt    core.AttemptID
	sidecar    core.Node
	answer     *Answer
	streamLost bool
	reading    bool
}

// Call sends a call to the ingress entry on vm; done is called once with the
// response.
func (s *Sim) Call(vm core.VM, call core.Call, done func(*Response)) {
	r := &request{done: done, res: Response{Call: call, SentAt: s.now}}
	s.submit(vm, r, call.Timeout)
}

// EndProgram requests the end of a program at the ingress entry on vm; done is
// called once with the response.
func (s *Sim) EndProgram(vm core.VM, p core.ProgramID, a core.Account, timeout core.Duration, done func(*Response)) {
	call := core.Call{Program: p, Account: a}
	r := &request{done: done, res: Response{Call: call, IsEnd: true, SentAt: s.now}}
	s.submit(vm, r, timeout)
}

func (s *Sim) submit(vm core.VM, r *request, timeout core.Duration) {
	s.After(s.opts.CallerLatency, func() { s.accept(vm, r) })
	s.After(timeout+callerGracePeriod, func() { r.timeOut() })
}

// accept passes a request to the process that listens on vm.
func (s *Sim) accept(vm core.VM, r *request) {
	n := s.nodes[vm]
	if n == nil || !n.running {
		s.After(connectionRefusedDelay, func() { r.end(true) })
		return
	}
	n.nextReq++
	r.ingress = n
	r.incarnation = n.id.Inc
	r.res.Req = core.RequestID{Ingress: n.id, N: n.nextReq}
	n.requests[n.nextReq] = r
	if r.res.IsEnd {
		n.schedule(core.EndArrived{Req: r.res.Req, Program: r.res.Call.Program, Account: r.res.Call.Account})
		return
	}
	n.schedule(core.CallArrived{Req: r.res.Req, Call: r.res.Call})
}

// timeOut ends a request whose caller no longer waits.
func (r *request) timeOut() {
	if r.ended {
		return
	}
	if r.ingress != nil {
		r.ingress.sim.schedule(item{at: r.ingress.sim.now, node: r.ingress, incarnation: r.incarnation, ev: core.CallerDisconnected{Req: r.res.Req}})
	}
	r.end(true)
}

// end passes the response to the caller. Further calls do nothing.
func (r *request) end(connectionLost bool) {
	if r.ended {
		return
	}
	r.ended = true
	r.res.ConnectionLost = connectionLost
	if r.ingress != nil && r.ingress.id.Inc == r.incarnation {
		delete(r.ingress.requests, r.res.Req.N)
	}
	if r.ingress != nil && r.ingress.sim.opts.Hooks.Response != nil {
		r.ingress.sim.opts.Hooks.Response(&r.res)
	}
	r.done(&r.res)
}

// loseRequests ends all open requests of a killed incarnation and reports their
// connections as lost.
func (n *Node) loseRequests() {
	open := n.requests
	n.requests = map[uint64]*request{}
	for _, k := range slices.Sorted(maps.Keys(open)) {
		r := open[k]
		n.sim.After(n.sim.opts.CallerLatency, func() { r.end(true) })
	}
}

// OpenRequests returns the number of requests without a final result.
func (n *Node) OpenRequests() int {
	open := 0
	for _, r := range n.requests {
		if !r.replied {
			open++
		}
	}
	return open
}

// handleReply applies the final result of a request. An answer that a sidecar
// stores is read completely before the caller gets the response.
func (n *Node) handleReply(e core.Reply) {
	r := n.requests[e.Req.N]
	if r == nil || e.Req.Ingress != n.id || r.replied {
		return
	}
	r.replied = true
	r.res.Finish = e.Finish
	if e.Finish.Outcome != core.OutcomeRan || e.Finish.Answer != nil || r.res.IsEnd {
		r.respond()
		return
	}
	r.streamed = true
	r.readAnswer(e.Finish.Attempt, e.Finish.Sidecar)
	r.respondIfComplete()
}

// attachStream starts reading the answer of an attempt.
func (n *Node) attachStream(req core.RequestID, a core.AttemptID, sidecar core.Node) {
	r := n.requests[req.N]
	if r == nil || req.Ingress != n.id {
		return
	}
	r.readAnswer(a, sidecar)
}

func (r *request) readAnswer(a core.AttemptID, sidecar core.Node) {
	if r.attempt == a && r.sidecar == sidecar {
		return
	}
	r.attempt, r.sidecar = a, sidecar
	r.answer = nil
	r.streamLost = false
	r.requestAnswer()
}

// requestAnswer requests the answer from the sidecar over a new connection.
func (r *request) requestAnswer() {
	if r.reading || r.ended {
		return
	}
	r.reading = true
	s := r.ingress.sim
	s.After(s.net.latencyTo(r.ingress, r.sidecar.VM), func() { r.arriveAtSidecar(r.attempt) })
}

// arriveAtSidecar handles the ingress entry's request at the sidecar.
func (r *request) arriveAtSidecar(a core.AttemptID) {
	r.reading = false
	if r.ended || !r.ingress.running || r.ingress.id.Inc != r.incarnation {
		return
	}
	s := r.ingress.sim
	if a != r.attempt {
		r.requestAnswer()
		return
	}
	n := s.nodes[r.sidecar.VM]
	if n == nil || n.removed || n.id.Inc != r.sidecar.Inc || !n.running {
		r.reportStreamLost()
		return
	}
	if !s.net.canDeliver(r.ingress, n) || n.paused {
		s.After(answerRetryPeriod, r.requestAnswer)
		return
	}
	answer, ok := n.target.answers[a]
	if !ok {
		r.awaitAnswer(n, a)
		return
	}
	s.After(s.net.latency(n, r.ingress), func() { r.receive(a, answer) })
}

// awaitAnswer waits at the sidecar for the end of the attempt.
func (r *request) awaitAnswer(n *Node, a core.AttemptID) {
	if n.target.dropped[a] {
		r.reportStreamLost()
		return
	}
	n.target.waiters[a] = append(n.target.waiters[a], r)
	// Models the stream's heartbeat, which detects a lost connection or a restarted
	// sidecar.
	n.sim.After(answerRetryPeriod*4, func() { r.checkSidecar(n, a) })
}

// checkSidecar requests the answer again if the sidecar has stopped or
// restarted since the last request.
func (r *request) checkSidecar(n *Node, a core.AttemptID) {
	if r.ended || r.answer != nil || r.attempt != a {
		return
	}
	if n.running && n.id.Inc == r.sidecar.Inc {
		n.sim.After(answerRetryPeriod*4, func() { r.checkSidecar(n, a) })
		return
	}
	r.requestAnswer()
}

func (r *request) receive(a core.AttemptID, answer *Answer) {
	if r.ended || r.answer != nil || a != r.attempt {
		return
	}
	r.answer = answer
	r.respondIfComplete()
}

// reportStreamLost reports to the ingress entry that the answer can no longer be
// read.
func (r *request) reportStreamLost() {
	if r.streamLost {
		return
	}
	r.streamLost = true
	if r.replied {
		r.respondIfComplete()
		return
	}
	ev := core.StreamBroken{Req: r.res.Req, Attempt: r.attempt}
	r.ingress.sim.schedule(item{at: r.ingress.sim.now, node: r.ingress, incarnation: r.incarnation, ev: ev})
}

// respondIfComplete responds if the final result is known, and the answer is
// complete or its stream is lost.
func (r *request) respondIfComplete() {
	if !r.streamed || r.ended {
		return
	}
	if r.answer != nil {
		r.res.Answer = r.answer
		r.respond()
		return
	}
	if r.streamLost {
		r.res.AnswerLost = true
		r.respond()
	}
}

// respond sends the response to the caller. If the ingress entry is paused,
// respond retries later.
func (r *request) respond() {
	s := r.ingress.sim
	if r.ingress.paused && r.ingress.id.Inc == r.incarnation {
		s.After(answerRetryPeriod, r.respond)
		return
	}
	s.After(s.opts.CallerLatency, func() { r.end(false) })
}
