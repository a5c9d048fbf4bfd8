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

// Time limits of the invariants.
const (
	// leavingGrace is the time after which a leaving target must receive no new
	// work.
	leavingGrace = 5 * core.Second
	// configGrace is the time within which a configuration must be in force
	// everywhere.
	configGrace = 7 * core.Second
	// releaseGrace is the time after the end of a program within which every
	// sidecar that has not restarted must have released the program's blocks.
	// Blocks that a sidecar has no record of are released after two minutes, when
	// two audits of the engine's listing, a minute apart, have found them.
	releaseGrace = 260 * core.Second
	// promptReleaseGrace is the time within which a sidecar that received the end
	// of a program must have released the blocks that it has recorded for the
	// program.
	promptReleaseGrace = 2 * core.Second
)

// callID identifies one call of a program.
type callID struct {
	program core.ProgramID
	seq     uint64
}

// callState is what the observer has recorded of one call.
type callState struct {
	executions int
	// openRequests counts the requests without a final result; connectionLost
	// means that at least one request lost its connection before the final
	// result.
	openRequests   int
	connectionLost bool
	// answer is the latest answer that a caller received.
	answer string
}

// programState is what the observer has recorded of one program.
type programState struct {
	budget uint64
	spent  uint64
	// started is the highest sequence number that was executed.
	started uint64
	// acknowledged is the digest of the conversation up to the last answer that
	// the caller received; zero if it has received none.
	acknowledged uint64
	turns        int
	// engines are the sidecar incarnations that executed model calls of the root
	// or its sub-agents.
	engines map[core.Node]bool
	digests map[uint64]bool
	// mayHoldUnknownBlocks means that the engines may cache blocks of the program
	// or its sub-agents that the sidecars have no record of: blocks of an attempt
	// that failed or was executed twice, of an earlier incarnation, or of an
	// answer that the caller never received.
	mayHoldUnknownBlocks bool
	// createdVersion is the version of the slot's assignment when the program
	// began, and stateLosses the number of times that the slot had lost its state
	// until then.
	createdVersion uint64
	stateLosses    uint64
}

// observer checks the invariants from outside the reducers. It sees all events,
// effects, executions and responses.
type observer struct {
	cluster *Cluster
	rec     *invariant.Recorder

	calls    map[callID]*callState
	programs map[core.ProgramID]*programState
	// executionsByKey counts the executions of non-idempotent calls.
	executionsByKey map[string]int
	// executed and refused hold the numbers of the requests that were executed and
	// that were refused as not run.
	executed map[uint64]bool
	refused  map[uint64]bool
	// mustContinue holds the numbers of the requests that contain no caller's
	// error and whose caller received the answer to the previous call. The
	// program's record must contain that answer.
	mustContinue map[uint64]bool
	// programByDigest maps the digest of a conversation to its program.
	programByDigest map[uint64]core.ProgramID
	spentByAccount  map[core.Account]uint64
	// executing maps a sidecar's VM to its executions in flight.
	executing    map[core.VM]map[core.AttemptID]core.ProgramID
	leavingSince map[core.VM]core.Instant
	resumedAt    map[core.VM]core.Instant
	// stoppedAt is the instant at which an incarnation completed a graceful
	// shutdown.
	stoppedAt map[core.Node]core.Instant
	// generations holds the configuration generation that each incarnation last
	// announced.
	generations map[core.Node]uint64
	// completeSince holds the version since which each slot's state is complete.
	completeSince map[core.SlotID]uint64
	// stateLosses counts how often each slot has lost its state.
	stateLosses map[core.SlotID]uint64

	executions      uint64
	responses       uint64
	slotStateLosses uint64
	outcomes        OutcomeCounts
	reasons         map[ReasonCount]uint64
}

func newObserver(c *Cluster) *observer {
	return &observer{
		cluster: c, rec: &invariant.Recorder{},
		calls:           map[callID]*callState{},
		programs:        map[core.ProgramID]*programState{},
		executionsByKey: map[string]int{},
		executed:        map[uint64]bool{},
		refused:         map[uint64]bool{},
		mustContinue:    map[uint64]bool{},
		programByDigest: map[uint64]core.ProgramID{},
		spentByAccount:  map[core.Account]uint64{},
		executing:       map[core.VM]map[core.AttemptID]core.ProgramID{},
		leavingSince:    map[core.VM]core.Instant{},
		resumedAt:       map[core.VM]core.Instant{},
		stoppedAt:       map[core.Node]core.Instant{},
		generations:     map[core.Node]uint64{},
		completeSince:   map[core.SlotID]uint64{},
		stateLosses:     map[core.SlotID]uint64{},
		reasons:         map[ReasonCount]uint64{},
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

// recordProgram records a new program and its budget.
func (o *observer) recordProgram(id core.ProgramID, budget uint64) {
	p := o.program(id)
	p.budget = budget
	p.createdVersion = o.slotVersion(id.Slot(slots))
	p.stateLosses = o.stateLosses[id.Slot(slots)]
}

// observeEffect handles every effect of every reducer.
func (o *observer) observeEffect(n *sim.Node, e core.Effect) {
	switch e := e.(type) {
	case core.Send:
		if hb, ok := e.Msg.(core.Heartbeat); ok {
			o.checkHeartbeat(n, hb)
		}
	case core.StartTarget:
		o.checkStart(n)
	case core.Stopped:
		o.checkStop(n)
	}
}

// checkHeartbeat checks that an incarnation never announces an older
// configuration than before.
func (o *observer) checkHeartbeat(n *sim.Node, hb core.Heartbeat) {
	last := o.generations[n.ID()]
	o.rec.Check(invariant.ConfigMonotonic, hb.Generation >= last,
		"%s announced generation %d after %d", n.ID(), hb.Generation, last)
	o.generations[n.ID()] = hb.Generation
}

// checkInForce checks that a generation is in force at every entry that has run
// without a pause since it was applied.
func (o *observer) checkInForce(generation uint64, since core.Instant) {
	for _, n := range o.cluster.sim.Nodes() {
		if n.Role() != core.RoleEntry || !n.Running() || n.Paused() || o.resumedAt[n.ID().VM] > since || o.cluster.startedAt[n.ID()] > since {
			continue
		}
		got := o.generations[n.ID()]
		o.rec.Check(invariant.ConfigMonotonic, got >= generation,
			"%s has generation %d, %d s after generation %d was applied", n.ID(), got, configGrace/core.Second, generation)
	}
}

// checkStart checks that a leaving target receives no new work.
func (o *observer) checkStart(n *sim.Node) {
	vm := n.ID().VM
	since, leaving := o.leavingSince[vm]
	since = max(since, o.resumedAt[vm])
	tooLate := leaving && o.cluster.sim.Now().Sub(since) > leavingGrace
	o.rec.Check(invariant.LeavingTarget, !tooLate, "%s received work %d ms after it was listed as leaving",
		vm, o.cluster.sim.Now().Sub(since)/core.Millisecond)
}

// checkStop checks that a graceful shutdown interrupts nothing.
func (o *observer) checkStop(n *sim.Node) {
	o.stoppedAt[n.ID()] = o.cluster.sim.Now()
	if n.Role() == core.RoleEntry {
		o.rec.Check(invariant.Drain, n.OpenRequests() == 0, "%s stopped with %d requests in flight", n.ID(), n.OpenRequests())
		return
	}
	running := len(o.executing[n.ID().VM])
	o.rec.Check(invariant.Drain, running == 0, "%s stopped with %d attempts in execution at its target", n.ID(), running)
}

// checkExecution checks an execution when it begins at a target.
func (o *observer) checkExecution(n *sim.Node, x sim.Execution) {
	o.executions++
	o.cluster.sim.AddToDigest(x.Attempt.N, uint64(x.At))
	c := &x.Call
	tag := requestNumber(c)
	o.executed[tag] = true
	o.rec.Check(invariant.NotExecuted, !o.refused[tag], "%s: request %d of %s/%d executed after it was refused as not run",
		x.Attempt, tag, c.Program, c.Seq)
	o.call(c).executions++
	o.checkAtMostOnce(x)
	o.checkOrder(x)
	if c.Kind == core.CallModel {
		o.checkHistory(x)
		o.program(c.Program).turns++
		o.recordEngine(n, c)
	}
	if o.executing[n.ID().VM] == nil {
		o.executing[n.ID().VM] = map[core.AttemptID]core.ProgramID{}
	}
	o.executing[n.ID().VM][x.Attempt] = c.Program
}

// endIncarnation removes the executions that were in flight when an incarnation
// ended.
func (o *observer) endIncarnation(n *sim.Node) { delete(o.executing, n.ID().VM) }

// observeEvent handles every event before its reducer does.
func (o *observer) observeEvent(n *sim.Node, ev core.Event) {
	switch ev := ev.(type) {
	case core.TargetFinished:
		delete(o.executing[n.ID().VM], ev.Attempt)
	case core.TargetFailed:
		o.program(o.executing[n.ID().VM][ev.Attempt].Root()).mayHoldUnknownBlocks = true
		delete(o.executing[n.ID().VM], ev.Attempt)
	case core.Recv:
		if end, ok := ev.Msg.(core.EndProgram); ok {
			o.checkPromptRelease(n, end)
		}
	}
}

func (o *observer) checkAtMostOnce(x sim.Execution) {
	c := &x.Call
	if !c.NonIdempotent {
		return
	}
	key := string(c.Program) + " " + c.Key
	o.executionsByKey[key]++
	o.rec.Check(invariant.AtMostOnce, o.executionsByKey[key] == 1, "%s: key %q of %s/%d executed %d times",
		x.Attempt, c.Key, c.Program, c.Seq, o.executionsByKey[key])
}

func (o *observer) checkOrder(x sim.Execution) {
	p := o.program(x.Call.Program)
	o.rec.Check(invariant.CallOrder, x.Call.Seq >= p.started, "%s: call %d of %s executed after call %d",
		x.Attempt, x.Call.Seq, x.Call.Program, p.started)
	p.started = max(p.started, x.Call.Seq)
}

// checkHistory checks that a call's conversation belongs to its program and
// contains the last answer that the program's caller received.
func (o *observer) checkHistory(x sim.Execution) {
	c := &x.Call
	p := o.program(c.Program)
	contains := p.acknowledged == 0
	for _, b := range c.Blocks {
		contains = contains || b.Digest == p.acknowledged
		program, known := o.programByDigest[b.Digest]
		o.rec.Check(invariant.History, !known || program == c.Program, "%s: %s/%d executed with the conversation of %s",
			x.Attempt, c.Program, c.Seq, program)
	}
	if !contains && o.lostState(c.Program) {
		return
	}
	o.rec.Check(invariant.History, contains, "%s: %s/%d executed with a conversation older than the acknowledged one",
		x.Attempt, c.Program, c.Seq)
}

// lostState reports whether the state of a program's slot was lost with all its
// replicas after the program began.
func (o *observer) lostState(id core.ProgramID) bool {
	slot := id.Slot(slots)
	return o.completeSince[slot] > o.program(id.Root()).createdVersion
}

// observeSwap tracks the slot assignments in the key-value service, and the
// slots that lost their state.
func (o *observer) observeSwap(key string, _, record core.StoreRecord) {
	if !strings.HasPrefix(key, core.SlotPrefix) {
		return
	}
	var assignment core.SlotAssignment
	if json.Unmarshal(record.Value, &assignment) != nil {
		return
	}
	if assignment.CompleteSince > o.completeSince[assignment.Slot] {
		o.completeSince[assignment.Slot] = assignment.CompleteSince
		if assignment.CompleteSince > 1 {
			o.slotStateLosses++
			o.stateLosses[assignment.Slot]++
		}
	}
}

func (o *observer) slotVersion(s core.SlotID) uint64 {
	assignment, _ := o.cluster.assignment(s)
	return assignment.Epoch.Version
}

// recordSpent adds to the tokens spent and checks the budgets of the program and
// of its account. A caller may restart a program, with its whole budget, each
// time that the slot has lost its state with all replicas.
func (o *observer) recordSpent(a core.AttemptID, c *core.Call, tokens uint64) {
	root := o.program(c.Program.Root())
	root.spent += tokens
	budget := root.budget * (1 + o.stateLosses[c.Program.Slot(slots)] - root.stateLosses)
	o.rec.Check(invariant.Budget, root.spent <= budget, "%s: program %s has spent %d of %d",
		a, c.Program.Root(), root.spent, budget)
	o.spentByAccount[c.Account] += tokens
	if c.Account != accounts[len(accounts)-1] {
		return
	}
	o.rec.Check(invariant.Budget, o.spentByAccount[c.Account] <= smallBudget, "%s: account %s has spent %d of %d",
		a, c.Account, o.spentByAccount[c.Account], smallBudget)
}

// reasonCounts returns the counts sorted by outcome and reason.
func (o *observer) reasonCounts() []ReasonCount {
	keys := slices.SortedFunc(maps.Keys(o.reasons), func(a, b ReasonCount) int {
		return strings.Compare(a.Outcome+string(a.Reason), b.Outcome+string(b.Reason))
	})
	for i := range keys {
		keys[i].Count = o.reasons[keys[i]]
	}
	return keys
}
