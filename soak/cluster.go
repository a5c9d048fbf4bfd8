package soak

import (
	"encoding/json"
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
)

// Reducers construct the reducers of the two roles. Tests wrap them.
type Reducers struct {
	Entry   func(self core.Node, domain core.Domain, seed uint64, rec *invariant.Recorder) core.Reducer
	Sidecar func(self core.Node, domain core.Domain, pool core.Pool, seed uint64, rec *invariant.Recorder) core.Reducer
}

// Options sets the parameters of a run.
type Options struct {
	Seed   uint64
	Events uint64
	// Reducers, if set, replaces the product's reducers.
	Reducers Reducers
	// Schedule replaces the random schedule of faults.
	Schedule []Injection
	// NoFaults disables the injection of faults.
	NoFaults bool
	// NoCallerErrors disables the errors of callers, and the small budgets and
	// endless loops that end in refusals.
	NoCallerErrors bool
	// DuplicateShare is the share of calls that callers send twice, to two
	// independently chosen entries; zero means the default.
	DuplicateShare float64
	// Response is called with every response to a caller; it may be nil.
	Response func(*sim.Response)
}

// Injection is one fault of a given schedule.
type Injection struct {
	After core.Duration
	Fault Fault
	// Pick chooses among the nodes that the fault can hit.
	Pick uint64
}

// Parameters of the load and of the simulation.
const (
	meanArrivalInterval = 260 * core.Millisecond
	// maxPrograms bounds the root programs that run at the same time.
	maxPrograms = 60
	// warmUpTime is the time from the start to the first program and fault.
	warmUpTime = 8 * core.Second
	tick       = 200 * core.Millisecond
)

// Cluster is one run: the nodes, their callers, the observer and the fault
// injector.
type Cluster struct {
	opts          Options
	sim           *sim.Sim
	reducerChecks *invariant.Recorder
	obs           *observer
	faults        [faultCount]uint64
	inject        *injector

	engines   map[core.VM]*sim.Engine
	tools     map[core.VM]*sim.Tool
	startedAt map[core.Node]core.Instant
	vmCount   int

	programs        uint64
	runningPrograms int
	requests        uint64
	configGen       uint64
	// drainTimeouts counts the graceful shutdowns that took too long and were
	// ended by a kill.
	drainTimeouts uint64
}

// Run executes one run and returns its report.
func Run(opts Options) *Report {
	c := NewCluster(opts)
	c.Start()
	c.sim.RunEvents(opts.Events)
	return c.Report()
}

// NewCluster prepares a run. It has no nodes until Start.
func NewCluster(opts Options) *Cluster {
	if opts.Reducers.Entry == nil {
		opts.Reducers = product()
	}
	if opts.DuplicateShare == 0 && !opts.NoCallerErrors {
		opts.DuplicateShare = duplicateShare
	}
	c := &Cluster{
		opts:          opts,
		reducerChecks: &invariant.Recorder{},
		engines:       map[core.VM]*sim.Engine{},
		tools:         map[core.VM]*sim.Tool{},
		startedAt:     map[core.Node]core.Instant{},
	}
	c.obs = newObserver(c)
	c.sim = sim.New(sim.Options{
		Seed:      opts.Seed,
		Tick:      tick,
		ClockSkew: 10 * core.Second,
		Hooks: sim.Hooks{
			Effect:   c.obs.observeEffect,
			Event:    c.obs.observeEvent,
			Response: c.obs.checkResponse,
		},
	})
	c.sim.Store.OnSwap = c.obs.observeSwap
	c.inject = newInjector(c)
	return c
}

// Start adds the nodes and schedules the load and the faults.
func (c *Cluster) Start() {
	c.applyConfig()
	for _, d := range domains {
		for range entriesPerDomain {
			c.AddEntry(d)
		}
		for range enginesPerDomain {
			c.AddSidecar(d, modelPool)
		}
		for range toolsPerDomain {
			c.AddSidecar(d, toolPool)
		}
	}
	c.sim.After(warmUpTime, c.handleArrival)
	if !c.opts.NoFaults {
		c.sim.After(warmUpTime, c.inject.start)
	}
}

// Sim returns the run's simulator.
func (c *Cluster) Sim() *sim.Sim { return c.sim }

// ExecutingPrograms returns the programs that have an execution in flight at the
// target of a sidecar's VM.
func (c *Cluster) ExecutingPrograms(vm core.VM) map[core.ProgramID]bool {
	programs := map[core.ProgramID]bool{}
	for _, p := range c.obs.executing[vm] {
		programs[p] = true
	}
	return programs
}

// Owners returns the owner of each slot according to the key-value service.
func (c *Cluster) Owners() map[core.SlotID]core.VM {
	owners := map[core.SlotID]core.VM{}
	for s := range core.SlotID(slots) {
		if a, ok := c.assignment(s); ok {
			owners[s] = a.Owner.Node.VM
		}
	}
	return owners
}

// assignment returns a slot's assignment in the key-value service; ok is false
// if there is none.
func (c *Cluster) assignment(s core.SlotID) (core.SlotAssignment, bool) {
	var assignment core.SlotAssignment
	err := json.Unmarshal(c.sim.Store.Get(core.SlotKey(s)).Value, &assignment)
	return assignment, err == nil
}

// Slot returns the slot of a program.
func (c *Cluster) Slot(p core.ProgramID) core.SlotID { return p.Slot(slots) }

// applyConfig distributes the next generation of the configuration and schedules
// the check that it is in force everywhere.
func (c *Cluster) applyConfig() {
	c.configGen++
	generation := c.sim.ApplyConfig(settings(c.configGen))
	since := c.sim.Now()
	c.sim.After(configGrace, func() { c.obs.checkInForce(generation, since) })
}

func (c *Cluster) nextVM(role string) core.VM {
	c.vmCount++
	return core.VM(fmt.Sprintf("%s-%d", role, c.vmCount))
}

// AddEntry adds an entry VM to a failure domain.
func (c *Cluster) AddEntry(d core.Domain) *sim.Node {
	return c.sim.AddEntry(c.nextVM("entry"), d, func(self core.Node) core.Reducer {
		c.startedAt[self] = c.sim.Now()
		return c.opts.Reducers.Entry(self, d, c.sim.Rand().Uint64(), c.reducerChecks)
	})
}

// AddSidecar adds a sidecar VM and its target to a pool.
func (c *Cluster) AddSidecar(d core.Domain, pool core.Pool) *sim.Node {
	vm := c.nextVM("sidecar")
	var node *sim.Node
	executed := func(x sim.Execution) { c.obs.checkExecution(node, x) }
	node = c.sim.AddSidecar(vm, d, pool, c.target(vm, pool, executed), func(self core.Node) core.Reducer {
		c.startedAt[self] = c.sim.Now()
		return c.opts.Reducers.Sidecar(self, d, pool, c.sim.Rand().Uint64(), c.reducerChecks)
	})
	return node
}

// target creates the target of a sidecar.
func (c *Cluster) target(vm core.VM, pool core.Pool, executed func(sim.Execution)) sim.Target {
	seed := c.sim.Rand().Uint64()
	if pool == toolPool {
		t := sim.NewTool(sim.ToolOptions{Seed: seed, Refuse: 0.01, Fail: 0.01})
		t.OnExecution = executed
		c.tools[vm] = t
		return t
	}
	e := sim.NewEngine(sim.EngineOptions{Seed: seed, Params: engineParams(), LoadPeriod: 2 * core.Second})
	e.OnExecution = executed
	e.OnUsage = c.obs.recordSpent
	c.engines[vm] = e
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

// handleArrival starts a program, unless too many run, and schedules the next
// arrival.
func (c *Cluster) handleArrival() {
	gap := core.Duration(c.sim.Rand().ExpFloat64() * float64(meanArrivalInterval))
	c.sim.After(gap, c.handleArrival)
	if c.runningPrograms < maxPrograms {
		c.startProgram()
	}
}

// Report returns the results so far.
func (c *Cluster) Report() *Report {
	c.collectFaultCounts()
	r := &Report{
		Seed:            c.opts.Seed,
		Events:          c.sim.Events(),
		VirtualSeconds:  float64(c.sim.Now().Sub(core.Instant(core.Hour))) / float64(core.Second),
		Programs:        c.programs,
		Calls:           c.requests,
		Executions:      c.obs.executions,
		Outcomes:        c.obs.outcomes,
		Reasons:         c.obs.reasonCounts(),
		SlotStateLosses: c.obs.slotStateLosses,
		Invariants:      invariantCounts(c.reducerChecks, c.obs.rec),
		ViolationTexts:  append(c.obs.rec.Messages(), c.reducerChecks.Messages()...),
	}
	for i, n := range c.faults {
		r.Faults = append(r.Faults, FaultCount{Fault(i).String(), n})
	}
	for _, p := range r.Invariants {
		r.Violations += p.Violations
		c.sim.AddToDigest(p.Reducers, p.Observer, p.Violations)
	}
	r.Digest = fmt.Sprintf("%016x", c.sim.Digest())
	return r
}

// collectFaultCounts adds the faults that the network, the store and the targets
// have counted.
func (c *Cluster) collectFaultCounts() {
	net := c.sim.NetworkStats()
	c.faults[MessageLost] = net.Lost
	c.faults[MessageDuplicated] = net.Duplicated
	c.faults[MessageDelayed] = net.Delayed
	c.faults[CompareAndSwapResponseLost] = c.sim.Store.Stats().LostResponses
	for _, t := range c.tools {
		c.faults[ToolHung] += t.Hangs
	}
	for _, e := range c.engines {
		st := e.Stats()
		c.faults[EngineHung] += st.Hangs
		c.faults[CacheEventLost] += st.LostEvents
		c.faults[CacheEventLate] += st.LateEvents
		c.faults[LoadReportLate] += st.LateLoads
	}
}
