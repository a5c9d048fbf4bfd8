// Package direct searches the real reducers of entries and sidecars for
// violations of the invariants of spec/ownership, so that a difference between
// specification and code is noticed.
//
// A path is a sequence of an adversary's choices: which message is delivered,
// lost or delivered again, which clock advances and by how much, which process
// restarts, which compare-and-swaps take effect, and which of their responses are
// lost. A process is paused when its clock does not advance and no message is
// delivered to it. Each path starts with new reducers, from its own seed.
package direct

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// Names of the deployment that is searched.
const (
	pool    = "tools"
	kind    = "agent"
	account = core.Account("a")
	program = core.ProgramID("p")
)

// Costs in tokens.
const (
	// callCost is the token limit of a call, and what every execution spends.
	callCost = 10
	// programBudget pays for fewer calls than are issued.
	programBudget = 3 * callCost
)

// MessageMutation changes a message before its delivery, to remove a rule of the
// protocol. It may return nil to drop the message.
type MessageMutation func(to core.Node, m core.Message) core.Message

// Options configure a search.
type Options struct {
	// Entries and Sidecars are the numbers of processes. The slot has two
	// replicas.
	Entries, Sidecars int
	// Calls is the number of non-idempotent calls, all of one program.
	Calls int
	// Steps is the number of choices in a path. Restarts bounds the restarts of
	// all processes.
	Steps    int
	Restarts int
	Mutate   MessageMutation
	// DeliverToAnyIncarnation delivers dispatches to the VM's current
	// incarnation, like a transport that does not check incarnations.
	DeliverToAnyIncarnation bool
}

// process is one VM with the reducer of its current incarnation.
type process struct {
	node    core.Node
	domain  core.Domain
	sidecar bool
	reducer core.Reducer
	now     core.Instant
}

// messageInFlight is a message that is not yet delivered.
type messageInFlight struct {
	from, to core.Node
	msg      core.Message
}

// storeCall is a call of the key-value service that is not yet served.
type storeCall struct {
	by     core.Node
	effect core.Effect
}

// execution is an execution whose end is not yet reported to the sidecar.
type execution struct {
	by      core.Node
	attempt core.AttemptID
}

// world is the state of one path.
type world struct {
	opts       Options
	rng        *rand.Rand
	seed       uint64
	procs      []*process
	inFlight   []messageInFlight
	storeCalls []storeCall
	executions []execution
	kv         map[string]core.StoreRecord
	revision   int64
	vms        []core.VMInfo
	set        *config.Set
	invariants *invariant.Recorder

	restarts       int
	issued         int
	executed       map[string]int
	reportedNotRun map[string]bool
	keyByRequest   map[core.RequestID]string
	trace          []string
	violation      error
}

func newWorld(o Options, seed uint64) *world {
	w := &world{
		opts: o, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		kv: map[string]core.StoreRecord{}, set: settings(), invariants: &invariant.Recorder{},
		executed: map[string]int{}, reportedNotRun: map[string]bool{}, keyByRequest: map[core.RequestID]string{},
	}
	for i := range o.Entries {
		w.add(core.VM(fmt.Sprintf("entry-%d", i)), core.Domain(fmt.Sprintf("d%d", i)), false)
	}
	for i := range o.Sidecars {
		w.add(core.VM(fmt.Sprintf("sidecar-%d", i)), core.Domain(fmt.Sprintf("d%d", i)), true)
	}
	for _, p := range w.procs {
		w.startIncarnation(p)
	}
	return w
}

// settings returns the configuration: one slot, two replicas, one tool pool.
func settings() *config.Set {
	set := &config.Set{
		Deployment: "direct",
		Ownership: config.Ownership{
			Slots: 1, Replicas: 2,
			Heartbeat:    config.Duration(100 * time.Millisecond),
			SuspectAfter: config.Duration(500 * time.Millisecond),
			VMListLag:    config.Duration(time.Second),
		},
		Pools:    []config.Pool{{Name: pool, Kind: config.PoolTool}},
		Programs: []config.ProgramKind{{Name: kind, Pools: []string{pool}, BudgetTokens: programBudget}},
		Accounts: []config.Account{{Name: string(account), Programs: []string{kind}}},
	}
	set.ApplyDefaults()
	return set
}

func (w *world) add(vm core.VM, d core.Domain, isSidecar bool) {
	info := core.VMInfo{VM: vm, Domain: d, Role: core.RoleEntry}
	if isSidecar {
		info.Role, info.Pool = core.RoleSidecar, pool
	}
	w.vms = append(w.vms, info)
	p := &process{node: core.Node{VM: vm}, domain: d, sidecar: isSidecar, now: core.Instant(core.Hour)}
	w.procs = append(w.procs, p)
}

// startIncarnation starts the next incarnation of a process.
func (w *world) startIncarnation(p *process) {
	p.node.Inc++
	seed := w.seed + uint64(p.node.Inc)
	if p.sidecar {
		p.reducer = sidecar.New(sidecar.Options{Self: p.node, Domain: p.domain, Pool: pool, Seed: seed, Invariants: w.invariants})
	} else {
		p.reducer = entry.New(entry.Options{Self: p.node, Domain: p.domain, Seed: seed, Invariants: w.invariants})
	}
	w.step(p, core.ConfigApplied{Generation: 1, Set: w.set})
	w.step(p, core.VMList{VMs: w.vms})
}

// step passes an event to a process and applies the effects.
func (w *world) step(p *process, ev core.Event) {
	for _, eff := range p.reducer.Step(ev, p.now) {
		w.applyEffect(p, eff)
	}
}

func (w *world) applyEffect(p *process, eff core.Effect) {
	switch eff := eff.(type) {
	case core.Send:
		w.inFlight = append(w.inFlight, messageInFlight{p.node, eff.To, eff.Msg})
	case core.StoreGet, core.StoreRange, core.StoreCompareAndSwap:
		w.storeCalls = append(w.storeCalls, storeCall{p.node, eff})
	case core.StartTarget:
		w.execute(p, eff)
	case core.Reply:
		w.reply(eff)
	}
}

// execute executes a call at the target and checks the invariants. Its end is
// reported later.
func (w *world) execute(p *process, eff core.StartTarget) {
	key := eff.Call.Key
	w.executed[key]++
	w.addTrace("%s executes %s, attempt %s", p.node, key, eff.Attempt)
	w.executions = append(w.executions, execution{p.node, eff.Attempt})
	if w.executed[key] > 1 {
		w.fail("at_most_once: call %s was executed twice", key)
	}
	if w.reportedNotRun[key] {
		w.fail("not_run: call %s was executed after it was refused as not run", key)
	}
	if spent := len(w.executed) * callCost; spent > programBudget {
		w.fail("budget: %d tokens spent of %d", spent, programBudget)
	}
}

// reply checks the final result of a call. Each key belongs to one request.
func (w *world) reply(eff core.Reply) {
	key := w.keyByRequest[eff.Req]
	w.addTrace("reply to %s: %s %s", key, eff.Finish.Outcome, eff.Finish.Reason)
	if eff.Finish.Outcome != core.OutcomeNotRun {
		return
	}
	w.reportedNotRun[key] = true
	if w.executed[key] > 0 {
		w.fail("not_run: call %s was refused as not run after it was executed", key)
	}
}

func (w *world) addTrace(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

// currentProcess returns the process on the VM of n. It returns nil if n names an
// incarnation other than the current one.
func (w *world) currentProcess(n core.Node) *process {
	for _, p := range w.procs {
		if p.node.VM == n.VM && (n.Inc == 0 || n.Inc == p.node.Inc) {
			return p
		}
	}
	return nil
}
