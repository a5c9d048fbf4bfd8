package policy

import (
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/place"
)

// View is the source of an entry's knowledge of the targets' load.
type View int

// Views of the targets.
const (
	// ViewCorrected is the load in the last report or result, plus the entry's
	// own dispatches since.
	ViewCorrected View = iota
	// ViewReported is the last periodic report alone.
	ViewReported
	// ViewTuned is the load in the last report or result: the macro- and
	// micro-tuning of the related paper.
	ViewTuned
	// ViewExact is the current load, which only a simulation can know.
	ViewExact
)

// helloPeriod is the period of requests for load reports.
const helloPeriod = 2 * core.Second

// placementEntry is an entry reduced to the policies: it chooses a target,
// dispatches and records usage, without replicas, budgets or takeover.
type placementEntry struct {
	self      core.Node
	domain    core.Domain
	rng       *rand.Rand
	view      View
	exactLoad func(core.Node) core.Load
	// remainingWork, if set, replaces the attained service in dispatches, so that
	// the order las becomes shortest remaining work first.
	remainingWork func(core.ProgramID) (uint64, bool)
	policies      map[core.Pool]place.Policy
	targets       map[core.Pool][]*targetView
	byNode        map[core.Node]*targetView
	programs      map[core.ProgramID]*programState
	attempts      map[core.AttemptID]*openAttempt
	lastAttempt   uint64
	lastHello     core.Instant
	// minReportAge is the least time between two load reports that are applied.
	minReportAge core.Duration
	out          []core.Effect
}

// targetView is the state of a target as recorded by the entry.
type targetView struct {
	target place.Target
	pool   core.Pool
	// reportedAt is when the last periodic report was applied.
	reportedAt core.Instant
}

// programState is the state of a program as recorded by the entry.
type programState struct {
	lastTarget    core.Node
	contextTokens uint32
	attained      uint64
	turns         uint32
	started       core.Instant
	servedBy      []core.Node
}

type openAttempt struct {
	req    core.RequestID
	call   core.Call
	target core.Node
}

func newPlacementEntry(self core.Node, domain core.Domain, seed uint64, view View) *placementEntry {
	return &placementEntry{
		self: self, domain: domain, view: view,
		rng:      rand.New(rand.NewPCG(seed, 0x40e)),
		policies: map[core.Pool]place.Policy{},
		targets:  map[core.Pool][]*targetView{},
		byNode:   map[core.Node]*targetView{},
		programs: map[core.ProgramID]*programState{},
		attempts: map[core.AttemptID]*openAttempt{},
	}
}

// addTarget adds a target to the view.
func (e *placementEntry) addTarget(n core.Node, domain core.Domain, pool core.Pool) {
	s := &targetView{pool: pool, target: place.Target{Node: n, SameDomain: domain == e.domain}}
	e.targets[pool] = append(e.targets[pool], s)
	e.byNode[n] = s
}

// configure creates the placement policy of every pool.
func (e *placementEntry) configure(set *config.Set) {
	for _, p := range set.Pools {
		policy, err := place.New(p.Policy.Placement, p.Policy)
		if err != nil {
			panic(err)
		}
		e.policies[core.Pool(p.Name)] = policy
	}
}

// Step applies one event.
func (e *placementEntry) Step(ev core.Event, now core.Instant) []core.Effect {
	e.out = nil
	switch ev := ev.(type) {
	case core.Tick:
		e.requestReports(now)
	case core.CallArrived:
		e.dispatch(ev, now)
	case core.EndArrived:
		e.endProgram(ev)
	case core.Recv:
		e.receive(ev, now)
	}
	return e.out
}

func (e *placementEntry) emit(effect core.Effect) { e.out = append(e.out, effect) }

// requestReports periodically requests load reports from all targets.
func (e *placementEntry) requestReports(now core.Instant) {
	if now.Sub(e.lastHello) < helloPeriod {
		return
	}
	e.lastHello = now
	for _, p := range sortedPools(e.targets) {
		for _, s := range e.targets[p] {
			e.emit(core.Send{To: s.target.Node, Msg: core.Hello{}})
		}
	}
}

func (e *placementEntry) dispatch(ev core.CallArrived, now core.Instant) {
	call := ev.Call
	t := e.programs[call.Program]
	if t == nil {
		t = &programState{started: now}
		e.programs[call.Program] = t
	}
	s := e.choose(&call, t)
	s.target.CallsSinceReport++
	s.target.TokensSinceReport += uncachedTokens(&call, t, s)
	e.lastAttempt++
	id := core.AttemptID{Epoch: core.Epoch{Version: 1}, N: e.lastAttempt}
	id.Slot = core.SlotID(e.ownSlot())
	e.attempts[id] = &openAttempt{req: ev.Req, call: call, target: s.target.Node}
	attained := t.attained
	if e.remainingWork != nil {
		if remaining, ok := e.remainingWork(call.Program); ok {
			attained = remaining
		}
	}
	e.emit(core.Send{To: s.target.Node, Msg: core.Dispatch{
		Slot: id.Slot, Epoch: id.Epoch, Attempt: id, Target: s.target.Node, Call: call,
		Attained: attained, Turns: t.turns, Started: t.started, Age: now.Sub(t.started),
	}})
}

// ownSlot returns a slot derived from the entry's VM, so that the attempt IDs of
// two entries differ.
func (e *placementEntry) ownSlot() uint32 {
	var n uint32
	for _, b := range []byte(e.self.VM) {
		n = n*31 + uint32(b)
	}
	return n
}

func uncachedTokens(call *core.Call, t *programState, s *targetView) uint64 {
	prompt := call.PromptTokens()
	if s.target.Node == t.lastTarget {
		return uint64(prompt - min(prompt, t.contextTokens))
	}
	return uint64(prompt)
}

func (e *placementEntry) choose(call *core.Call, t *programState) *targetView {
	list := e.targets[call.Pool]
	view := make([]place.Target, len(list))
	for i, s := range list {
		view[i] = e.viewOf(s)
	}
	req := place.Request{
		Program: call.Program, PromptTokens: call.PromptTokens(), MaxTokens: call.MaxTokens,
		Blocks: call.Blocks, LastTarget: t.lastTarget, LastTokens: t.contextTokens,
	}
	i, _ := e.policies[call.Pool].Choose(req, view, e.rng)
	return list[i]
}

func (e *placementEntry) viewOf(s *targetView) place.Target {
	t := s.target
	switch e.view {
	case ViewReported, ViewTuned:
		t.CallsSinceReport, t.TokensSinceReport = 0, 0
	case ViewExact:
		t.CallsSinceReport, t.TokensSinceReport = 0, 0
		t.Load = e.exactLoad(t.Node)
	}
	return t
}

func (e *placementEntry) receive(ev core.Recv, now core.Instant) {
	switch msg := ev.Msg.(type) {
	case core.LoadReport:
		e.applyPeriodicReport(ev.From, msg.Load, now)
	case core.Result:
		if e.view != ViewReported {
			e.setLoad(ev.From, msg.Load)
		}
		e.handleResult(msg)
	}
}

// applyPeriodicReport applies a load report unless the previous one is too
// recent.
func (e *placementEntry) applyPeriodicReport(from core.Node, load core.Load, now core.Instant) {
	s := e.byNode[from]
	if s == nil || now.Sub(s.reportedAt) < e.minReportAge {
		return
	}
	s.reportedAt = now
	e.setLoad(from, load)
}

func (e *placementEntry) setLoad(from core.Node, load core.Load) {
	if s := e.byNode[from]; s != nil {
		s.target.Load = load
		s.target.CallsSinceReport, s.target.TokensSinceReport = 0, 0
	}
}

func (e *placementEntry) handleResult(r core.Result) {
	p := e.attempts[r.Attempt]
	if p == nil {
		return
	}
	finish := core.Finish{Attempt: r.Attempt, Sidecar: p.target, Usage: r.Usage, Length: r.Length}
	switch r.State {
	case core.AttemptDone:
		finish.Outcome = core.OutcomeRan
		e.recordUsage(p, r)
	case core.AttemptRefused:
		finish.Outcome, finish.Reason, finish.RetryAfter = core.OutcomeNotRun, r.Reason, r.RetryAfter
	case core.AttemptLost:
		finish.Outcome, finish.Reason = core.OutcomeUnknown, r.Reason
	default:
		return
	}
	delete(e.attempts, r.Attempt)
	e.emit(core.Send{To: p.target, Msg: core.AckResult{Attempt: r.Attempt}})
	e.emit(core.Reply{Req: p.req, Finish: finish})
}

func (e *placementEntry) recordUsage(p *openAttempt, r core.Result) {
	t := e.programs[p.call.Program]
	if t == nil {
		return
	}
	t.lastTarget = p.target
	t.contextTokens = r.Usage.PromptTokens + r.Usage.OutputTokens
	t.attained += uint64(r.Usage.PromptTokens-r.Usage.CachedTokens) + uint64(r.Usage.OutputTokens)
	t.turns++
	for _, n := range t.servedBy {
		if n == p.target {
			return
		}
	}
	t.servedBy = append(t.servedBy, p.target)
}

// endProgram releases a program at every target that served it.
func (e *placementEntry) endProgram(ev core.EndArrived) {
	if t := e.programs[ev.Program]; t != nil {
		for _, n := range t.servedBy {
			e.emit(core.Send{To: n, Msg: core.EndProgram{
				Slot: core.SlotID(e.ownSlot()), Epoch: core.Epoch{Version: 1}, Program: ev.Program,
			}})
		}
		delete(e.programs, ev.Program)
	}
	e.emit(core.Reply{Req: ev.Req, Finish: core.Finish{Outcome: core.OutcomeRan}})
}
