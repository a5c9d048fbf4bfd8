package soak

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// Time limits of the promises.
const (
	// leavingGrace is the time after which a leaving target gets no new work.
	leavingGrace = 5 * core.Second
	// configGrace is the time in which a configuration is in force everywhere.
	configGrace = 7 * core.Second
	// releaseGrace is the time after the end of a program in which every sidecar
	// that has lived since has released its memory, also what it did not know:
	// blocks that nobody claims go after two minutes, seen by two audits of the
	// engine's listing, a minute each.
	releaseGrace = 260 * core.Second
	// promptGrace is the time in which a sidecar that was told the end of a
	// program releases the memory that it knows of.
	promptGrace = 2 * core.Second
)

// callID names one call of a program.
type callID struct {
	program core.ProgramID
	seq     uint64
}

// callState is what the observer knows of one call.
type callState struct {
	executions int
	// open counts the requests without a final word; broken says that one ended
	// without one.
	open   int
	broken bool
	// answer is the first answer that a caller got.
	answer string
}

// programState is what the observer knows of one program.
type programState struct {
	budget uint64
	spent  uint64
	// started is the highest sequence number that was executed.
	started uint64
	// acked is the digest of the conversation that the caller was given last.
	acked uint64
	turns int
	// engines are the sidecar lives that executed model calls of the tree.
	engines map[core.Node]bool
	digests map[uint64]bool
	// branched means that the engines may hold blocks of the tree that its
	// sidecars do not know: of an attempt that failed or ran twice, of an earlier
	// life, or of an answer that the caller never got.
	branched bool
	// created is the version of the slot's owner when the program began, and
	// forgets the times that the slot had lost its memory until then.
	created uint64
	forgets uint64
}

// observer checks the promises from outside, with knowledge of everything.
type observer struct {
	h   *Cluster
	rec *invariant.Recorder

	calls    map[callID]*callState
	programs map[core.ProgramID]*programState
	// keys counts the executions of non-idempotent calls.
	keys map[string]int
	// executed and refused hold the requests by tag.
	executed map[uint64]bool
	refused  map[uint64]bool
	// expected holds the requests by tag that follow an answer that the caller
	// was given, without a mistake: the record of the program must fit them.
	expected map[uint64]bool
	// owner maps the digest of a conversation to its program.
	owner    map[uint64]core.ProgramID
	accounts map[core.Account]uint64
	// running holds the executions under way by sidecar.
	running map[core.VM]map[core.AttemptID]core.ProgramID
	leaving map[core.VM]core.Instant
	resumed map[core.VM]core.Instant
	// drained holds when a life stopped after a graceful shutdown.
	drained map[core.Node]core.Instant
	// generations holds the configuration that each life last announced.
	generations map[core.Node]uint64
	// remembers holds the version since which each slot has forgotten nothing.
	remembers map[core.SlotID]uint64
	// forgets counts how often each slot has lost its memory.
	forgets map[core.SlotID]uint64

	executions uint64
	responses  uint64
	forgotten  uint64
	outcomes   OutcomeCounts
	reasons    map[ReasonCount]uint64
}

func newObserver(h *Cluster) *observer {
	return &observer{
		h: h, rec: &invariant.Recorder{},
		calls:       map[callID]*callState{},
		programs:    map[core.ProgramID]*programState{},
		keys:        map[string]int{},
		executed:    map[uint64]bool{},
		refused:     map[uint64]bool{},
		expected:    map[uint64]bool{},
		owner:       map[uint64]core.ProgramID{},
		accounts:    map[core.Account]uint64{},
		running:     map[core.VM]map[core.AttemptID]core.ProgramID{},
		leaving:     map[core.VM]core.Instant{},
		resumed:     map[core.VM]core.Instant{},
		drained:     map[core.Node]core.Instant{},
		generations: map[core.Node]uint64{},
		remembers:   map[core.SlotID]uint64{},
		forgets:     map[core.SlotID]uint64{},
		reasons:     map[ReasonCount]uint64{},
	}
}

func (o *observer) call(c *core.Call) *callState {
	id := callID{c.Program, c.Seq}
	st := o.calls[id]
	if st == nil {
		st = &callState{}
		o.calls[id] = st
	}
	return st
}

func (o *observer) program(id core.ProgramID) *programState {
	p := o.programs[id]
	if p == nil {
		p = &programState{engines: map[core.Node]bool{}, digests: map[uint64]bool{}}
		o.programs[id] = p
	}
	return p
}

// begin notes a new program and what it may spend.
func (o *observer) begin(id core.ProgramID, budget uint64) {
	p := o.program(id)
	p.budget = budget
	p.created = o.slotVersion(id.Slot(slots))
	p.forgets = o.forgets[id.Slot(slots)]
}

// effect sees every effect of every life.
func (o *observer) effect(n *sim.Node, e core.Effect) {
	switch e := e.(type) {
	case core.Send:
		if hb, ok := e.Msg.(core.Heartbeat); ok {
			o.heartbeat(n, hb)
		}
	case core.StartTarget:
		o.started(n)
	case core.Stopped:
		o.stopped(n)
	}
}

// heartbeat checks that a life never announces an older configuration.
func (o *observer) heartbeat(n *sim.Node, hb core.Heartbeat) {
	last := o.generations[n.ID()]
	o.rec.Check(invariant.ConfigMonotonic, hb.Generation >= last,
		"%s announced generation %d after %d", n.ID(), hb.Generation, last)
	o.generations[n.ID()] = hb.Generation
}

// inForce checks that all lives that could hear of a generation have it.
func (o *observer) inForce(generation uint64, since core.Instant) {
	for _, n := range o.h.sim.Nodes() {
		if n.Role() != core.RoleEntry || !n.Running() || n.Paused() || o.resumed[n.ID().VM] > since || o.h.startedAt[n.ID()] > since {
			continue
		}
		got := o.generations[n.ID()]
		o.rec.Check(invariant.ConfigMonotonic, got >= generation,
			"%s has generation %d %d s after %d was applied", n.ID(), got, configGrace/core.Second, generation)
	}
}

// started checks that a leaving target gets no new work.
func (o *observer) started(n *sim.Node) {
	vm := n.ID().VM
	since, leaving := o.leaving[vm]
	since = max(since, o.resumed[vm])
	late := leaving && o.h.sim.Now().Sub(since) > leavingGrace
	o.rec.Check(invariant.LeavingTarget, !late, "%s got work %d ms after it began to leave",
		vm, o.h.sim.Now().Sub(since)/core.Millisecond)
}

// stopped checks that a graceful shutdown cuts off nothing.
func (o *observer) stopped(n *sim.Node) {
	o.drained[n.ID()] = o.h.sim.Now()
	if n.Role() == core.RoleEntry {
		o.rec.Check(invariant.Drain, n.OpenRequests() == 0, "%s stopped with %d requests in flight", n.ID(), n.OpenRequests())
		return
	}
	running := len(o.running[n.ID().VM])
	o.rec.Check(invariant.Drain, running == 0, "%s stopped with %d attempts at the target", n.ID(), running)
}

// execution checks an execution at the instant it begins at a target.
func (o *observer) execution(n *sim.Node, x sim.Execution) {
	o.executions++
	o.h.sim.AddToDigest(x.Attempt.N, uint64(x.At))
	c := &x.Call
	tag := tagOf(c)
	o.executed[tag] = true
	o.rec.Check(invariant.NotExecuted, !o.refused[tag], "%s: request %d of %s/%d runs after it was refused as not run",
		x.Attempt, tag, c.Program, c.Seq)
	o.call(c).executions++
	o.checkOnce(x)
	o.checkOrder(x)
	if c.Kind == core.CallModel {
		o.checkHistory(x)
		o.program(c.Program).turns++
		o.noteEngine(n, c)
	}
	if o.running[n.ID().VM] == nil {
		o.running[n.ID().VM] = map[core.AttemptID]core.ProgramID{}
	}
	o.running[n.ID().VM][x.Attempt] = c.Program
}

// endLife forgets the executions that a life had under way.
func (o *observer) endLife(n *sim.Node) { delete(o.running, n.ID().VM) }

// event sees every event before its reducer.
func (o *observer) event(n *sim.Node, ev core.Event) {
	switch ev := ev.(type) {
	case core.TargetFinished:
		delete(o.running[n.ID().VM], ev.Attempt)
	case core.TargetFailed:
		o.program(o.running[n.ID().VM][ev.Attempt].Root()).branched = true
		delete(o.running[n.ID().VM], ev.Attempt)
	case core.Recv:
		if end, ok := ev.Msg.(core.EndProgram); ok {
			o.told(n, end)
		}
	}
}

func (o *observer) checkOnce(x sim.Execution) {
	c := &x.Call
	if !c.NonIdempotent {
		return
	}
	key := string(c.Program) + " " + c.Key
	o.keys[key]++
	o.rec.Check(invariant.AtMostOnce, o.keys[key] == 1, "%s: key %q of %s/%d executed %d times",
		x.Attempt, c.Key, c.Program, c.Seq, o.keys[key])
}

func (o *observer) checkOrder(x sim.Execution) {
	p := o.program(x.Call.Program)
	o.rec.Check(invariant.CallOrder, x.Call.Seq >= p.started, "%s: call %d of %s executed after call %d",
		x.Attempt, x.Call.Seq, x.Call.Program, p.started)
	p.started = max(p.started, x.Call.Seq)
}

// checkHistory checks that a conversation is the program's own and contains
// what the program's caller was given last.
func (o *observer) checkHistory(x sim.Execution) {
	c := &x.Call
	p := o.program(c.Program)
	contains := p.acked == 0
	for _, b := range c.Blocks {
		contains = contains || b.Digest == p.acked
		of, known := o.owner[b.Digest]
		o.rec.Check(invariant.History, !known || of == c.Program, "%s: %s/%d runs on the conversation of %s",
			x.Attempt, c.Program, c.Seq, of)
	}
	if !contains && o.hasForgotten(c.Program) {
		return
	}
	o.rec.Check(invariant.History, contains, "%s: %s/%d runs on a conversation older than acknowledged",
		x.Attempt, c.Program, c.Seq)
}

// hasForgotten reports whether the memory of a program's slot was lost with
// all its copies after the program began.
func (o *observer) hasForgotten(id core.ProgramID) bool {
	slot := id.Slot(slots)
	return o.remembers[slot] > o.program(id.Root()).created
}

// swapped follows the slot owners in the key-value service.
func (o *observer) swapped(key string, _, entry core.StoreRecord) {
	if !strings.HasPrefix(key, core.SlotPrefix) {
		return
	}
	var owner core.SlotAssignment
	if json.Unmarshal(entry.Value, &owner) != nil {
		return
	}
	if owner.CompleteSince > o.remembers[owner.Slot] {
		o.remembers[owner.Slot] = owner.CompleteSince
		if owner.CompleteSince > 1 {
			o.forgotten++
			o.forgets[owner.Slot]++
		}
	}
}

func (o *observer) slotVersion(s core.SlotID) uint64 {
	owner, _ := o.h.owner(s)
	return owner.Epoch.Version
}

// spent checks the budgets of the program and of its account. A program whose
// slot has lost its memory with all copies may be begun again by its caller,
// with its budget.
func (o *observer) spent(a core.AttemptID, c *core.Call, tokens uint64) {
	root := o.program(c.Program.Root())
	root.spent += tokens
	budget := root.budget * (1 + o.forgets[c.Program.Slot(slots)] - root.forgets)
	o.rec.Check(invariant.Budget, root.spent <= budget, "%s: program %s has spent %d of %d",
		a, c.Program.Root(), root.spent, budget)
	o.accounts[c.Account] += tokens
	if c.Account != accounts[len(accounts)-1] {
		return
	}
	o.rec.Check(invariant.Budget, o.accounts[c.Account] <= smallBudget, "%s: account %s has spent %d of %d",
		a, c.Account, o.accounts[c.Account], smallBudget)
}

// reasonCounts returns the refusals by outcome and reason.
func (o *observer) reasonCounts() []ReasonCount {
	keys := slices.SortedFunc(maps.Keys(o.reasons), func(a, b ReasonCount) int {
		return strings.Compare(a.Outcome+string(a.Reason), b.Outcome+string(b.Reason))
	})
	for i := range keys {
		keys[i].Count = o.reasons[keys[i]]
	}
	return keys
}
