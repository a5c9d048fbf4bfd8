package soak

import (
	"encoding/json"
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
)

// Reducers make the reducers of the two roles; tests replace or wrap them.
type Reducers struct {
	Entry   func(self core.Node, domain core.Domain, seed uint64, rec *invariant.Recorder) core.Reducer
	Sidecar func(self core.Node, domain core.Domain, pool core.Pool, seed uint64, rec *invariant.Recorder) core.Reducer
}

// Options sets up a run.
type Options struct {
	Seed   uint64
	Events uint64
	// Reducers default to the product's.
	Reducers Reducers
	// Schedule replaces the random schedule of faults.
	Schedule []Injection
	// NoFaults leaves all faults out.
	NoFaults bool
	// NoCallerErrors leaves the mistakes of callers out, and budgets and loops that end in
	// refusals.
	NoCallerErrors bool
	// DuplicateShare is the share of calls that callers send to two entries at once;
	// zero means the default.
	DuplicateShare float64
	// Response sees every response to a caller; it may be nil.
	Response func(*sim.Response)
}

// Injection is one fault of a given schedule.
type Injection struct {
	After core.Duration
	Fault Fault
	// Pick chooses among the nodes that the fault can hit.
	Pick uint64
}

// Rates of the traffic.
const (
	arrivalMean = 260 * core.Millisecond
	// maxPrograms bounds the programs under way.
	maxPrograms = 60
	// warmUp is the time before the first program and the first fault.
	warmUp = 8 * core.Second
	tick   = 200 * core.Millisecond
)

// Cluster is one run: the nodes, their callers, the observer and the injector.
type Cluster struct {
	opts     Options
	sim      *sim.Sim
	reducers *invariant.Recorder
	obs      *observer
	faults   [faultCount]uint64
	inject   *injector

	engines   map[core.VM]*sim.Engine
	tools     map[core.VM]*sim.Tool
	startedAt map[core.Node]core.Instant
	vms       int

	programs  uint64
	underWay  int
	tags      uint64
	configGen uint64
	// drainTimeouts counts the graceful shutdowns that took too long and were cut.
	drainTimeouts uint64
}

// Run executes one run and returns its report.
func Run(opts Options) *Report {
	h := NewCluster(opts)
	h.Start()
	h.sim.RunEvents(opts.Events)
	return h.Report()
}

// NewCluster returns a run without nodes.
func NewCluster(opts Options) *Cluster {
	if opts.Reducers.Entry == nil {
		opts.Reducers = product()
	}
	if opts.DuplicateShare == 0 && !opts.NoCallerErrors {
		opts.DuplicateShare = repeatShare
	}
	h := &Cluster{
		opts:      opts,
		reducers:  &invariant.Recorder{},
		engines:   map[core.VM]*sim.Engine{},
		tools:     map[core.VM]*sim.Tool{},
		startedAt: map[core.Node]core.Instant{},
	}
	h.obs = newObserver(h)
	h.sim = sim.New(sim.Options{
		Seed:      opts.Seed,
		Tick:      tick,
		ClockSkew: 10 * core.Second,
		Hooks: sim.Hooks{
			Effect:   h.obs.effect,
			Event:    h.obs.event,
			Response: h.obs.response,
		},
	})
	h.sim.Store.OnSwap = h.obs.swapped
	h.inject = newInjector(h)
	return h
}

// Start builds the cluster and schedules traffic and faults.
func (h *Cluster) Start() {
	h.apply()
	for _, d := range domains {
		for range entriesPerDomain {
			h.AddEntry(d)
		}
		for range enginesPerDomain {
			h.AddSidecar(d, modelPool)
		}
		for range toolsPerDomain {
			h.AddSidecar(d, toolPool)
		}
	}
	h.sim.After(warmUp, h.arrive)
	if !h.opts.NoFaults {
		h.sim.After(warmUp, h.inject.start)
	}
}

// Sim returns the kernel of the run.
func (h *Cluster) Sim() *sim.Sim { return h.sim }

// ExecutingPrograms returns the programs with an execution under way beside a sidecar.
func (h *Cluster) ExecutingPrograms(vm core.VM) map[core.ProgramID]bool {
	programs := map[core.ProgramID]bool{}
	for _, p := range h.obs.running[vm] {
		programs[p] = true
	}
	return programs
}

// Owners returns the home of each slot as the key-value service holds it.
func (h *Cluster) Owners() map[core.SlotID]core.VM {
	homes := map[core.SlotID]core.VM{}
	for s := range core.SlotID(slots) {
		if owner, ok := h.owner(s); ok {
			homes[s] = owner.Owner.Node.VM
		}
	}
	return homes
}

// owner returns a slot's owner as the key-value service holds it.
func (h *Cluster) owner(s core.SlotID) (core.SlotAssignment, bool) {
	var owner core.SlotAssignment
	err := json.Unmarshal(h.sim.Store.Get(core.SlotKey(s)).Value, &owner)
	return owner, err == nil
}

// Slot returns the slot of a program.
func (h *Cluster) Slot(p core.ProgramID) core.SlotID { return p.Slot(slots) }

// apply puts the next generation of the configuration in force.
func (h *Cluster) apply() {
	h.configGen++
	generation := h.sim.ApplyConfig(settings(h.configGen))
	since := h.sim.Now()
	h.sim.After(configGrace, func() { h.obs.inForce(generation, since) })
}

func (h *Cluster) nextVM(role string) core.VM {
	h.vms++
	return core.VM(fmt.Sprintf("%s-%d", role, h.vms))
}

// AddEntry adds an entry VM to a failure domain.
func (h *Cluster) AddEntry(d core.Domain) *sim.Node {
	return h.sim.AddEntry(h.nextVM("entry"), d, func(self core.Node) core.Reducer {
		h.startedAt[self] = h.sim.Now()
		return h.opts.Reducers.Entry(self, d, h.sim.Rand().Uint64(), h.reducers)
	})
}

// AddSidecar adds a sidecar VM and its target to a pool.
func (h *Cluster) AddSidecar(d core.Domain, pool core.Pool) *sim.Node {
	vm := h.nextVM("sidecar")
	var node *sim.Node
	executed := func(x sim.Execution) { h.obs.execution(node, x) }
	node = h.sim.AddSidecar(vm, d, pool, h.target(vm, pool, executed), func(self core.Node) core.Reducer {
		h.startedAt[self] = h.sim.Now()
		return h.opts.Reducers.Sidecar(self, d, pool, h.sim.Rand().Uint64(), h.reducers)
	})
	return node
}

// target makes the back end of a sidecar.
func (h *Cluster) target(vm core.VM, pool core.Pool, executed func(sim.Execution)) sim.Target {
	seed := h.sim.Rand().Uint64()
	if pool == toolPool {
		t := sim.NewTool(sim.ToolOptions{Seed: seed, Refuse: 0.01, Fail: 0.01})
		t.OnExecution = executed
		h.tools[vm] = t
		return t
	}
	e := sim.NewEngine(sim.EngineOptions{Seed: seed, Params: engineParams(), LoadPeriod: 2 * core.Second})
	e.OnExecution = executed
	e.OnUsage = h.obs.spent
	h.engines[vm] = e
	return e
}

func engineParams() engine.Params {
	return engine.Params{
		MaxBatch:     16,
		CacheTokens:  200_000,
		PrefillRate:  20_000,
		PrefillChunk: 2048,
		StepTime:     8 * core.Millisecond,
	}
}

// arrive starts a program and schedules the next arrival.
func (h *Cluster) arrive() {
	gap := core.Duration(h.sim.Rand().ExpFloat64() * float64(arrivalMean))
	h.sim.After(gap, h.arrive)
	if h.underWay < maxPrograms {
		h.startProgram()
	}
}

// Report closes the books of the run.
func (h *Cluster) Report() *Report {
	h.collect()
	r := &Report{
		Seed:            h.opts.Seed,
		Events:          h.sim.Events(),
		VirtualSeconds:  float64(h.sim.Now().Sub(core.Instant(core.Hour))) / float64(core.Second),
		Programs:        h.programs,
		Calls:           h.tags,
		Executions:      h.obs.executions,
		Outcomes:        h.obs.outcomes,
		Reasons:         h.obs.reasonCounts(),
		SlotStateLosses: h.obs.forgotten,
		Invariants:      promiseCounts(h.reducers, h.obs.rec),
		ViolationTexts:  append(h.obs.rec.Messages(), h.reducers.Messages()...),
	}
	for i, n := range h.faults {
		r.Faults = append(r.Faults, FaultCount{Fault(i).String(), n})
	}
	for _, p := range r.Invariants {
		r.Violations += p.Violations
		h.sim.AddToDigest(p.Reducers, p.Observer, p.Violations)
	}
	r.Digest = fmt.Sprintf("%016x", h.sim.Digest())
	return r
}

// collect adds the faults that the fakes counted themselves.
func (h *Cluster) collect() {
	net := h.sim.NetworkStats()
	h.faults[MessageLost] = net.Lost
	h.faults[MessageDuplicated] = net.Duplicated
	h.faults[MessageDelayed] = net.Delayed
	h.faults[CompareAndSwapResponseLost] = h.sim.Store.Stats().LostResponses
	for _, t := range h.tools {
		h.faults[ToolHung] += t.Hangs
	}
	for _, e := range h.engines {
		st := e.Stats()
		h.faults[EngineHung] += st.Hangs
		h.faults[CacheEventLost] += st.LostEvents
		h.faults[CacheEventLate] += st.LateEvents
		h.faults[LoadReportLate] += st.LateLoads
	}
}
