// Package direct searches the real reducers of entries and sidecars for
// violations of the invariants of spec/ownership, so that specification and
// code cannot drift apart unseen.
//
// A path is a sequence of choices of an adversary: which message is delivered,
// lost or delivered again, whose clock moves and by how much, which process
// restarts, which compare-and-swap takes effect and which of its answers is
// lost. A process is paused by letting neither its clock move nor messages
// reach it. The reducers are run anew for each path, from a seed.
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
	// callCost is the most that one call can spend.
	callCost = 10
	// programBudget pays for as many calls.
	programBudget = 3 * callCost
)

// MessageMutation changes a message on its way, to take a rule of the protocol away. It
// may return nil to drop the message.
type MessageMutation func(to core.Node, m core.Message) core.Message

// Options set up a search.
type Options struct {
	// Entries and Sidecars count processes; the slot has two mirrors.
	Entries, Sidecars int
	// Calls is the number of non-idempotent calls, all of one program.
	Calls int
	// Steps is the length of a path, Restarts bounds those of either role.
	Steps    int
	Restarts int
	Mutate   MessageMutation
	// DeliverToAnyIncarnation delivers dispatches to whatever life the VM has, as a transport
	// that does not tell lives apart would.
	DeliverToAnyIncarnation bool
}

// process is one VM with the reducer of its present life.
type process struct {
	node    core.Node
	domain  core.Domain
	sidecar bool
	reducer core.Reducer
	now     core.Instant
}

// flight is a message on its way.
type flight struct {
	from, to core.Node
	msg      core.Message
}

// operation is a call of the key-value service on its way.
type operation struct {
	by     core.Node
	effect core.Effect
}

// started is an execution whose end the sidecar has not been told.
type started struct {
	by      core.Node
	attempt core.AttemptID
}

// world is the state of one path.
type world struct {
	opts    Options
	rng     *rand.Rand
	seed    uint64
	procs   []*process
	flights []flight
	ops     []operation
	running []started
	kv      map[string]core.StoreRecord
	rev     int64
	vms     []core.VMInfo
	set     *config.Set
	check   *invariant.Recorder

	restarts int
	issued   int
	executed map[string]int
	saidNot  map[string]bool
	keyOf    map[core.RequestID]string
	trace    []string
	fault    error
}

func newWorld(o Options, seed uint64) *world {
	w := &world{
		opts: o, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		kv: map[string]core.StoreRecord{}, set: settings(), check: &invariant.Recorder{},
		executed: map[string]int{}, saidNot: map[string]bool{}, keyOf: map[core.RequestID]string{},
	}
	for i := range o.Entries {
		w.add(core.VM(fmt.Sprintf("entry-%d", i)), core.Domain(fmt.Sprintf("d%d", i)), false)
	}
	for i := range o.Sidecars {
		w.add(core.VM(fmt.Sprintf("sidecar-%d", i)), core.Domain(fmt.Sprintf("d%d", i)), true)
	}
	for _, p := range w.procs {
		w.begin(p)
	}
	return w
}

// settings returns the configuration: one slot, two mirrors, one tool pool.
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

// begin starts the next life of a process.
func (w *world) begin(p *process) {
	p.node.Inc++
	seed := w.seed + uint64(p.node.Inc)
	if p.sidecar {
		p.reducer = sidecar.New(sidecar.Options{Self: p.node, Domain: p.domain, Pool: pool, Seed: seed, Invariants: w.check})
	} else {
		p.reducer = entry.New(entry.Options{Self: p.node, Domain: p.domain, Seed: seed, Invariants: w.check})
	}
	w.step(p, core.ConfigApplied{Generation: 1, Set: w.set})
	w.step(p, core.VMList{VMs: w.vms})
}

// step gives a process an event and takes its effects in.
func (w *world) step(p *process, ev core.Event) {
	for _, eff := range p.reducer.Step(ev, p.now) {
		w.effect(p, eff)
	}
}

func (w *world) effect(p *process, eff core.Effect) {
	switch eff := eff.(type) {
	case core.Send:
		w.flights = append(w.flights, flight{p.node, eff.To, eff.Msg})
	case core.StoreGet, core.StoreRange, core.StoreCompareAndSwap:
		w.ops = append(w.ops, operation{p.node, eff})
	case core.StartTarget:
		w.execute(p, eff)
	case core.Reply:
		w.reply(eff)
	}
}

// execute runs a call at the target; its end is told later.
func (w *world) execute(p *process, eff core.StartTarget) {
	key := eff.Call.Key
	w.executed[key]++
	w.note("%s executes %s, attempt %s", p.node, key, eff.Attempt)
	w.running = append(w.running, started{p.node, eff.Attempt})
	if w.executed[key] > 1 {
		w.fail("at_most_once: call %s was executed twice", key)
	}
	if w.saidNot[key] {
		w.fail("not_run: call %s was executed after it was refused as not run", key)
	}
	if spent := len(w.executed) * callCost; spent > programBudget {
		w.fail("budget: %d tokens spent of %d", spent, programBudget)
	}
}

// reply checks the final word on a call. Each key belongs to one request.
func (w *world) reply(eff core.Reply) {
	key := w.keyOf[eff.Req]
	w.note("reply to %s: %s %s", key, eff.Finish.Outcome, eff.Finish.Reason)
	if eff.Finish.Outcome != core.OutcomeNotRun {
		return
	}
	w.saidNot[key] = true
	if w.executed[key] > 0 {
		w.fail("not_run: call %s had been executed", key)
	}
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) {
	if w.fault == nil {
		w.fault = fmt.Errorf(format, args...)
	}
}

// process returns the present life that a message is addressed to, or nil.
func (w *world) process(n core.Node) *process {
	for _, p := range w.procs {
		if p.node.VM == n.VM && (n.Inc == 0 || n.Inc == p.node.Inc) {
			return p
		}
	}
	return nil
}
