package policy

import (
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/place"
)

// View says how an entry of a run knows the targets.
type View int

// Views of the targets.
const (
	// ViewCorrected is the last report or result, with the entry's own
	// dispatches since.
	ViewCorrected View = iota
	// ViewReported is the last periodic report alone.
	ViewReported
	// ViewTuned is the last report, replaced by the load in each result: the
	// macro- and micro-tuning of the related paper.
	ViewTuned
	// ViewExact is the present state; only the clairvoyant run has it.
	ViewExact
)

// helloPeriod is the time between two requests for load reports.
const helloPeriod = 2 * core.Second

// home is a thin entry for the policies alone: it places, dispatches and
// settles, without mirrors, budgets or takeover.
type home struct {
	self     core.Node
	domain   core.Domain
	rng      *rand.Rand
	view     View
	exact    func(core.Node) core.Load
	hint     func(core.ProgramID) (uint64, bool)
	policies map[core.Pool]place.Policy
	targets  map[core.Pool][]*seen
	byNode   map[core.Node]*seen
	programs map[core.ProgramID]*track
	open     map[core.AttemptID]*pending
	next     uint64
	greeted  core.Instant
	// reportEvery is the shortest time between two reports that are taken in.
	reportEvery core.Duration
	out         []core.Effect
}

// seen is a target in the view.
type seen struct {
	target place.Target
	pool   core.Pool
	// reportedAt is the instant of the last periodic report.
	reportedAt core.Instant
}

// track is a program as the thin entry knows it.
type track struct {
	last     core.Node
	tokens   uint32
	attained uint64
	turns    uint32
	started  core.Instant
	served   []core.Node
}

type pending struct {
	req    core.RequestID
	call   core.Call
	target core.Node
}

func newHome(self core.Node, domain core.Domain, seed uint64, view View) *home {
	return &home{
		self: self, domain: domain, view: view,
		rng:      rand.New(rand.NewPCG(seed, 0x40e)),
		policies: map[core.Pool]place.Policy{},
		targets:  map[core.Pool][]*seen{},
		byNode:   map[core.Node]*seen{},
		programs: map[core.ProgramID]*track{},
		open:     map[core.AttemptID]*pending{},
	}
}

// addTarget makes a target known.
func (h *home) addTarget(n core.Node, domain core.Domain, pool core.Pool) {
	s := &seen{pool: pool, target: place.Target{Node: n, Local: domain == h.domain}}
	h.targets[pool] = append(h.targets[pool], s)
	h.byNode[n] = s
}

// configure chooses the placement of every pool.
func (h *home) configure(set *config.Set) {
	for _, p := range set.Pools {
		policy, err := place.New(p.Policy.Placement, p.Policy)
		if err != nil {
			panic(err)
		}
		h.policies[core.Pool(p.Name)] = policy
	}
}

// Step applies one event.
func (h *home) Step(ev core.Event, now core.Instant) []core.Effect {
	h.out = nil
	switch ev := ev.(type) {
	case core.Tick:
		h.hello(now)
	case core.CallArrived:
		h.dispatch(ev, now)
	case core.EndArrived:
		h.end(ev)
	case core.Recv:
		h.receive(ev, now)
	}
	return h.out
}

func (h *home) emit(e core.Effect) { h.out = append(h.out, e) }

// hello asks all targets for load reports.
func (h *home) hello(now core.Instant) {
	if now.Sub(h.greeted) < helloPeriod {
		return
	}
	h.greeted = now
	for _, p := range sortedPools(h.targets) {
		for _, s := range h.targets[p] {
			h.emit(core.Send{To: s.target.Node, Msg: core.Hello{}})
		}
	}
}

func (h *home) dispatch(ev core.CallArrived, now core.Instant) {
	call := ev.Call
	t := h.programs[call.Program]
	if t == nil {
		t = &track{started: now}
		h.programs[call.Program] = t
	}
	s := h.choose(&call, t)
	s.target.CallsSinceReport++
	s.target.TokensSinceReport += newTokens(&call, t, s)
	h.next++
	id := core.AttemptID{Epoch: core.Epoch{Version: 1}, N: h.next}
	id.Slot = core.SlotID(h.rngSlot())
	h.open[id] = &pending{req: ev.Req, call: call, target: s.target.Node}
	attained := t.attained
	if h.hint != nil {
		if left, ok := h.hint(call.Program); ok {
			attained = left
		}
	}
	h.emit(core.Send{To: s.target.Node, Msg: core.Dispatch{
		Slot: id.Slot, Epoch: id.Epoch, Attempt: id, Target: s.target.Node, Call: call,
		Attained: attained, Turns: t.turns, Started: t.started, Age: now.Sub(t.started),
	}})
}

// rngSlot gives every thin entry a slot of its own, so that the attempt
// numbers of two of them differ.
func (h *home) rngSlot() uint32 {
	var n uint32
	for _, b := range []byte(h.self.VM) {
		n = n*31 + uint32(b)
	}
	return n
}

func newTokens(call *core.Call, t *track, s *seen) uint64 {
	prompt := call.PromptTokens()
	if s.target.Node == t.last {
		return uint64(prompt - min(prompt, t.tokens))
	}
	return uint64(prompt)
}

func (h *home) choose(call *core.Call, t *track) *seen {
	list := h.targets[call.Pool]
	view := make([]place.Target, len(list))
	for i, s := range list {
		view[i] = h.look(s)
	}
	req := place.Request{
		Program: call.Program, PromptTokens: call.PromptTokens(), MaxTokens: call.MaxTokens,
		Blocks: call.Blocks, LastTarget: t.last, LastTokens: t.tokens,
	}
	i, _ := h.policies[call.Pool].Choose(req, view, h.rng)
	return list[i]
}

func (h *home) look(s *seen) place.Target {
	t := s.target
	switch h.view {
	case ViewReported, ViewTuned:
		t.CallsSinceReport, t.TokensSinceReport = 0, 0
	case ViewExact:
		t.CallsSinceReport, t.TokensSinceReport = 0, 0
		t.Load = h.exact(t.Node)
	}
	return t
}

func (h *home) receive(ev core.Recv, now core.Instant) {
	switch msg := ev.Msg.(type) {
	case core.LoadReport:
		h.periodic(ev.From, msg.Load, now)
	case core.Result:
		if h.view != ViewReported {
			h.report(ev.From, msg.Load)
		}
		h.result(msg)
	}
}

// periodic takes in a load report unless the one before is too recent.
func (h *home) periodic(from core.Node, load core.Load, now core.Instant) {
	s := h.byNode[from]
	if s == nil || now.Sub(s.reportedAt) < h.reportEvery {
		return
	}
	s.reportedAt = now
	h.report(from, load)
}

func (h *home) report(from core.Node, load core.Load) {
	if s := h.byNode[from]; s != nil {
		s.target.Load = load
		s.target.CallsSinceReport, s.target.TokensSinceReport = 0, 0
	}
}

func (h *home) result(r core.Result) {
	p := h.open[r.Attempt]
	if p == nil {
		return
	}
	finish := core.Finish{Attempt: r.Attempt, Sidecar: p.target, Usage: r.Usage, Length: r.Length}
	switch r.State {
	case core.AttemptDone:
		finish.Outcome = core.OutcomeRan
		h.settle(p, r)
	case core.AttemptRefused:
		finish.Outcome, finish.Reason, finish.RetryAfter = core.OutcomeNotRun, r.Reason, r.RetryAfter
	case core.AttemptLost:
		finish.Outcome, finish.Reason = core.OutcomeUnknown, r.Reason
	default:
		return
	}
	delete(h.open, r.Attempt)
	h.emit(core.Send{To: p.target, Msg: core.AckResult{Attempt: r.Attempt}})
	h.emit(core.Reply{Req: p.req, Finish: finish})
}

func (h *home) settle(p *pending, r core.Result) {
	t := h.programs[p.call.Program]
	if t == nil {
		return
	}
	t.last = p.target
	t.tokens = r.Usage.PromptTokens + r.Usage.OutputTokens
	t.attained += uint64(r.Usage.PromptTokens-r.Usage.CachedTokens) + uint64(r.Usage.OutputTokens)
	t.turns++
	for _, n := range t.served {
		if n == p.target {
			return
		}
	}
	t.served = append(t.served, p.target)
}

// end releases a program at every target that served it.
func (h *home) end(ev core.EndArrived) {
	if t := h.programs[ev.Program]; t != nil {
		for _, n := range t.served {
			h.emit(core.Send{To: n, Msg: core.EndProgram{
				Slot: core.SlotID(h.rngSlot()), Epoch: core.Epoch{Version: 1}, Program: ev.Program,
			}})
		}
		delete(h.programs, ev.Program)
	}
	h.emit(core.Reply{Req: ev.Req, Finish: core.Finish{Outcome: core.OutcomeRan}})
}
