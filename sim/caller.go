package sim

import (
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Times of the connections between callers, edges and sidecars.
const (
	// reattachPeriod is the time between two tries of an edge to read an answer.
	reattachPeriod = 250 * core.Millisecond
	// refusedAfter is the time until a caller notices that no process listens.
	refusedAfter = 2 * core.Millisecond
	// callerPatience is what a caller waits beyond the call's timeout.
	callerPatience = 5 * core.Second
)

// Response is the end of a request as its caller sees it.
type Response struct {
	Req  core.RequestID
	Call core.Call
	// End says that the request was to end the program.
	End    bool
	Finish core.Finish
	// ConnectionLost means that the connection ended without a final word.
	ConnectionLost bool
	// Answer is the whole answer, when it was read from a sidecar.
	Answer *Answer
	// AnswerLost means that the final word said ran and the answer could not be read.
	AnswerLost bool
	// SentAt is when the caller sent the request.
	SentAt core.Instant
}

// request is one request of a caller at an edge.
type request struct {
	edge    *Node
	life    core.Incarnation
	res     Response
	done    func(*Response)
	ended   bool
	replied bool
	// stream says that the answer is read from a sidecar's stream.
	stream  bool
	attempt core.AttemptID
	sidecar core.Node
	answer  *Answer
	broken  bool
	pulling bool
}

// Call sends a call to an edge; done is called once with the response.
func (s *Sim) Call(vm core.VM, call core.Call, done func(*Response)) {
	r := &request{done: done, res: Response{Call: call, SentAt: s.now}}
	s.submit(vm, r, call.Timeout)
}

// EndProgram asks an edge to end a program.
func (s *Sim) EndProgram(vm core.VM, p core.ProgramID, a core.Account, timeout core.Duration, done func(*Response)) {
	call := core.Call{Program: p, Account: a}
	r := &request{done: done, res: Response{Call: call, End: true, SentAt: s.now}}
	s.submit(vm, r, timeout)
}

func (s *Sim) submit(vm core.VM, r *request, timeout core.Duration) {
	s.After(s.opts.CallerLatency, func() { s.accept(vm, r) })
	s.After(timeout+callerPatience, func() { r.giveUp() })
}

// accept gives a request to the process that listens at the edge.
func (s *Sim) accept(vm core.VM, r *request) {
	n := s.nodes[vm]
	if n == nil || !n.up {
		s.After(refusedAfter, func() { r.end(true) })
		return
	}
	n.nextReq++
	r.edge = n
	r.life = n.id.Inc
	r.res.Req = core.RequestID{Ingress: n.id, N: n.nextReq}
	n.requests[n.nextReq] = r
	if r.res.End {
		n.event(core.EndArrived{Req: r.res.Req, Program: r.res.Call.Program, Account: r.res.Call.Account})
		return
	}
	n.event(core.CallArrived{Req: r.res.Req, Call: r.res.Call})
}

// giveUp ends a request whose caller waits no longer.
func (r *request) giveUp() {
	if r.ended {
		return
	}
	if r.edge != nil {
		r.edge.sim.schedule(item{at: r.edge.sim.now, node: r.edge, life: r.life, ev: core.CallerDisconnected{Req: r.res.Req}})
	}
	r.end(true)
}

// end gives the caller its response, once.
func (r *request) end(broken bool) {
	if r.ended {
		return
	}
	r.ended = true
	r.res.ConnectionLost = broken
	if r.edge != nil && r.edge.id.Inc == r.life {
		delete(r.edge.requests, r.res.Req.N)
	}
	if r.edge != nil && r.edge.sim.opts.Hooks.Response != nil {
		r.edge.sim.opts.Hooks.Response(&r.res)
	}
	r.done(&r.res)
}

// breakRequests ends all requests of a life that died.
func (n *Node) breakRequests() {
	open := n.requests
	n.requests = map[uint64]*request{}
	for _, k := range slices.Sorted(maps.Keys(open)) {
		r := open[k]
		n.sim.After(n.sim.opts.CallerLatency, func() { r.end(true) })
	}
}

// OpenRequests returns the number of requests without a final word.
func (n *Node) OpenRequests() int {
	open := 0
	for _, r := range n.requests {
		if !r.replied {
			open++
		}
	}
	return open
}

// reply gives a request its final word; an answer that is kept at a sidecar is
// read to its end first.
func (n *Node) reply(e core.Reply) {
	r := n.requests[e.Req.N]
	if r == nil || e.Req.Ingress != n.id || r.replied {
		return
	}
	r.replied = true
	r.res.Finish = e.Finish
	if e.Finish.Outcome != core.OutcomeRan || e.Finish.Answer != nil || r.res.End {
		r.respond()
		return
	}
	r.stream = true
	r.read(e.Finish.Attempt, e.Finish.Sidecar)
	r.complete()
}

// attach starts to read the answer of an attempt.
func (n *Node) attach(req core.RequestID, a core.AttemptID, sidecar core.Node) {
	r := n.requests[req.N]
	if r == nil || req.Ingress != n.id {
		return
	}
	r.read(a, sidecar)
}

func (r *request) read(a core.AttemptID, sidecar core.Node) {
	if r.attempt == a && r.sidecar == sidecar {
		return
	}
	r.attempt, r.sidecar = a, sidecar
	r.answer = nil
	r.broken = false
	r.pull()
}

// pull asks the sidecar for the answer over a fresh connection.
func (r *request) pull() {
	if r.pulling || r.ended {
		return
	}
	r.pulling = true
	s := r.edge.sim
	s.After(s.net.latencyTo(r.edge, r.sidecar.VM), func() { r.arrive(r.attempt) })
}

// arrive is the edge's request at the sidecar.
func (r *request) arrive(a core.AttemptID) {
	r.pulling = false
	if r.ended || !r.edge.up || r.edge.id.Inc != r.life {
		return
	}
	s := r.edge.sim
	if a != r.attempt {
		r.pull()
		return
	}
	n := s.nodes[r.sidecar.VM]
	if n == nil || n.gone || n.id.Inc != r.sidecar.Inc || !n.up {
		r.breakStream()
		return
	}
	if !s.net.reachable(r.edge, n) || n.paused {
		s.After(reattachPeriod, r.pull)
		return
	}
	answer, ok := n.target.answers[a]
	if !ok {
		r.await(n, a)
		return
	}
	s.After(s.net.latency(n, r.edge), func() { r.receive(a, answer) })
}

// await waits at the sidecar for the end of the attempt.
func (r *request) await(n *Node, a core.AttemptID) {
	if n.target.dropped[a] {
		r.breakStream()
		return
	}
	n.target.waiters[a] = append(n.target.waiters[a], r)
	// The stream's own heartbeat finds a connection or a life that is gone.
	n.sim.After(reattachPeriod*4, func() { r.check(n, a) })
}

// check repeats the read when the life that kept the answer has changed.
func (r *request) check(n *Node, a core.AttemptID) {
	if r.ended || r.answer != nil || r.attempt != a {
		return
	}
	if n.up && n.id.Inc == r.sidecar.Inc {
		n.sim.After(reattachPeriod*4, func() { r.check(n, a) })
		return
	}
	r.pull()
}

func (r *request) receive(a core.AttemptID, answer *Answer) {
	if r.ended || r.answer != nil || a != r.attempt {
		return
	}
	r.answer = answer
	r.complete()
}

// breakStream reports that the answer can no longer be read.
func (r *request) breakStream() {
	if r.broken {
		return
	}
	r.broken = true
	if r.replied {
		r.complete()
		return
	}
	ev := core.StreamBroken{Req: r.res.Req, Attempt: r.attempt}
	r.edge.sim.schedule(item{at: r.edge.sim.now, node: r.edge, life: r.life, ev: ev})
}

// complete responds when the final word and the whole answer are both there.
func (r *request) complete() {
	if !r.stream || r.ended {
		return
	}
	if r.answer != nil {
		r.res.Answer = r.answer
		r.respond()
		return
	}
	if r.broken {
		r.res.AnswerLost = true
		r.respond()
	}
}

// respond carries the response to the caller; a paused edge sends nothing.
func (r *request) respond() {
	s := r.edge.sim
	if r.edge.paused && r.edge.id.Inc == r.life {
		s.After(reattachPeriod, r.respond)
		return
	}
	s.After(s.opts.CallerLatency, func() { r.end(false) })
}
