package policy

import (
	"fmt"
	"math/rand/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// Times of a run.
const (
	// tick is the tick period of the nodes.
	tick = 100 * core.Millisecond
	// startUpTime is the time in which the entries acquire their slots.
	startUpTime = 10 * core.Second
	// drainTime is how long measured programs may still run after the window.
	// Programs in progress after that count as unfinished.
	drainTime = 300 * core.Second
)

// Spec specifies one run.
type Spec struct {
	Deployment *Deployment
	Variant    Variant
	Seed       uint64
	// Load is the arrival rate as a multiple of the capacity.
	Load float64
	// Rate is the arrival rate in programs per second.
	Rate float64
	// Faults injects faults of processes and connections during the run.
	Faults bool
}

// cluster is the simulated deployment of one run.
type cluster struct {
	spec     Spec
	sim      *sim.Sim
	driver   *driver
	engines  []*sim.Engine
	sidecars map[core.VM]*sidecar.Sidecar
	entries  []core.VM
}

// noProgressEngine omits progress events, which no policy uses.
type noProgressEngine struct{ *sim.Engine }

// Advance returns the due events other than progress.
func (q noProgressEngine) Advance(now core.Instant) []core.Event {
	due := q.Engine.Advance(now)
	kept := due[:0]
	for _, ev := range due {
		if _, ok := ev.(core.TargetProgress); !ok {
			kept = append(kept, ev)
		}
	}
	return kept
}

func newCluster(spec Spec) *cluster {
	d := spec.Deployment
	c := &cluster{spec: spec, sidecars: map[core.VM]*sidecar.Sidecar{}}
	c.sim = sim.New(sim.Options{Seed: spec.Seed, Tick: tick, Network: sim.Network{Remote: d.Remote}})
	c.driver = &driver{
		sim: c.sim, deployment: d, rate: spec.Rate,
		rng:     rand.New(rand.NewPCG(spec.Seed, 0xa881)),
		gen:     newGenerator(d.Kinds, spec.Seed),
		running: map[core.ProgramID]*programRun{},
		errors:  map[string]int{},
		ingress: c.ingress,
	}
	set := d.settings(spec.Variant.Policy)
	c.addSidecars()
	c.addEntries()
	c.sim.ApplyConfig(set)
	return c
}

func (c *cluster) addSidecars() {
	d := c.spec.Deployment
	for _, pool := range d.Pools {
		for i := range pool.Engines {
			c.addSidecar(&pool, i)
		}
	}
}

func (c *cluster) addSidecar(pool *Pool, i int) {
	d := c.spec.Deployment
	params := pool.Engine.Params
	if c.spec.Variant.Clairvoyant {
		params.CacheTokens *= clairvoyantMemoryFactor
	}
	e := sim.NewEngine(sim.EngineOptions{
		Seed: c.spec.Seed + uint64(len(c.engines)), Params: params, Output: c.driver.outputTokens,
	})
	c.engines = append(c.engines, e)
	vm := core.VM(fmt.Sprintf("%s-%02d", pool.Name, i))
	domain := d.Domains[i%len(d.Domains)]
	name := pool.Name
	c.sim.AddSidecar(vm, domain, name, noProgressEngine{e}, func(self core.Node) core.Reducer {
		reducer := sidecar.New(sidecar.Options{Self: self, Domain: domain, Pool: name, Seed: c.spec.Seed})
		c.sidecars[self.VM] = reducer
		return reducer
	})
}

func (c *cluster) addEntries() {
	d := c.spec.Deployment
	for i := range d.Entries {
		vm := core.VM(fmt.Sprintf("entry-%d", i))
		c.entries = append(c.entries, vm)
		domain := d.Domains[i%len(d.Domains)]
		c.sim.AddEntry(vm, domain, func(self core.Node) core.Reducer { return c.newEntry(self, domain) })
	}
}

// newEntry returns the product's entry reducer, or the placement-only one for
// variants that the product's entry can't run.
func (c *cluster) newEntry(self core.Node, domain core.Domain) core.Reducer {
	if c.spec.Variant.PlacementOnly {
		return c.newPlacementEntry(self, domain)
	}
	return entry.New(entry.Options{Self: self, Domain: domain, Seed: c.spec.Seed})
}

func (c *cluster) newPlacementEntry(self core.Node, domain core.Domain) core.Reducer {
	e := newPlacementEntry(self, domain, c.spec.Seed, c.spec.Variant.View)
	e.minReportAge = c.spec.Variant.MinReportAge
	e.exactLoad = func(n core.Node) core.Load { return c.sidecars[n.VM].Status().Load }
	if c.spec.Variant.Clairvoyant {
		e.remainingWork = c.driver.remainingWork
	}
	for _, n := range c.sim.Nodes() {
		if n.Role() == core.RoleSidecar {
			e.addTarget(n.ID(), n.Domain(), n.Pool())
		}
	}
	e.configure(c.spec.Deployment.settings(c.spec.Variant.Policy))
	return e
}

// ingress returns the entry that a program's calls go to: a random one, as a load
// balancer chooses, or a fixed one by program in placement-only runs, whose
// entries don't forward calls.
func (c *cluster) ingress(id core.ProgramID) core.VM {
	if !c.spec.Variant.PlacementOnly {
		return c.entries[c.sim.Rand().IntN(len(c.entries))]
	}
	n := id.Slot(1 << 16)
	return c.entries[int(n)%len(c.entries)]
}

// Run executes one run and returns its result.
func Run(spec Spec) Result {
	c := newCluster(spec)
	c.sim.Run(c.sim.Now().Add(startUpTime))
	measureFrom := c.sim.Now().Add(spec.Deployment.WarmUp)
	end := measureFrom.Add(spec.Deployment.Window)
	c.driver.measureFrom, c.driver.arrivalsUntil = measureFrom, end
	c.driver.overloaded = spec.Load > fullLoad
	c.driver.start()
	if spec.Faults {
		c.injectFaults(measureFrom)
	}
	c.sim.Run(measureFrom)
	c.driver.resetCounts()
	before := c.waste()
	c.sim.Run(end)
	after := c.waste()
	c.runUntilFinished(measureFrom, end.Add(drainTime))
	return c.result(measureFrom, before, after)
}

// runUntilFinished advances the simulation in steps. It stops when all programs
// that arrived at or after the instant since have ended, or at the instant
// until.
func (c *cluster) runUntilFinished(since, until core.Instant) {
	const slice = 10 * core.Second
	for c.sim.Now() < until && c.driver.hasUnfinished(since) {
		c.sim.Run(c.sim.Now().Add(slice))
	}
}
