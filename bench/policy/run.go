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
	// tick is the period of the nodes' ticks.
	tick = 100 * core.Millisecond
	// startUp is the time in which the entries take their slots.
	startUp = 10 * core.Second
	// drainTime is the time after which programs still under way count as late.
	drainTime = 300 * core.Second
)

// Spec is one run.
type Spec struct {
	Deployment *Deployment
	Variant    Variant
	Seed       uint64
	// Load is the arrival rate over the capacity.
	Load float64
	// Rate is the arrival rate in programs a second.
	Rate float64
	// Faults breaks processes and connections during the run.
	Faults bool
}

// cluster is the world of one run.
type cluster struct {
	spec    Spec
	sim     *sim.Sim
	driver  *driver
	engines []*sim.Engine
	cars    map[core.VM]*sidecar.Sidecar
	entries []core.VM
}

// quietEngine leaves out the progress of answers, which no policy uses.
type quietEngine struct{ *sim.Engine }

// Advance returns the events due without progress.
func (q quietEngine) Advance(now core.Instant) []core.Event {
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
	c := &cluster{spec: spec, cars: map[core.VM]*sidecar.Sidecar{}}
	c.sim = sim.New(sim.Options{Seed: spec.Seed, Tick: tick, Network: sim.Network{Remote: d.Remote}})
	c.driver = &driver{
		sim: c.sim, d: d, rate: spec.Rate,
		rng:    rand.New(rand.NewPCG(spec.Seed, 0xa881)),
		gen:    newGenerator(d.Kinds, spec.Seed),
		live:   map[core.ProgramID]*run{},
		errors: map[string]int{},
		edge:   c.edge,
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
		params.CacheTokens *= memoryFactor
	}
	e := sim.NewEngine(sim.EngineOptions{
		Seed: c.spec.Seed + uint64(len(c.engines)), Params: params, Output: c.driver.output,
	})
	c.engines = append(c.engines, e)
	vm := core.VM(fmt.Sprintf("%s-%02d", pool.Name, i))
	domain := d.Domains[i%len(d.Domains)]
	name := pool.Name
	c.sim.AddSidecar(vm, domain, name, quietEngine{e}, func(self core.Node) core.Reducer {
		car := sidecar.New(sidecar.Options{Self: self, Domain: domain, Pool: name, Seed: c.spec.Seed})
		c.cars[self.VM] = car
		return car
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

// newEntry returns the entry's reducer, or the thin one for the runs that no
// real entry can make.
func (c *cluster) newEntry(self core.Node, domain core.Domain) core.Reducer {
	if c.spec.Variant.PlacementOnly {
		return c.newHome(self, domain)
	}
	return entry.New(entry.Options{Self: self, Domain: domain, Seed: c.spec.Seed})
}

func (c *cluster) newHome(self core.Node, domain core.Domain) core.Reducer {
	h := newHome(self, domain, c.spec.Seed, c.spec.Variant.View)
	h.reportEvery = c.spec.Variant.ReportEvery
	h.exact = func(n core.Node) core.Load { return c.cars[n.VM].Status().Load }
	if c.spec.Variant.Clairvoyant {
		h.hint = c.driver.remaining
	}
	for _, n := range c.sim.Nodes() {
		if n.Role() == core.RoleSidecar {
			h.addTarget(n.ID(), n.Domain(), n.Pool())
		}
	}
	h.configure(c.spec.Deployment.settings(c.spec.Variant.Policy))
	return h
}

// edge returns the entry that a program's calls go to: any, as a balancer
// chooses, or the home of the thin runs.
func (c *cluster) edge(id core.ProgramID) core.VM {
	if !c.spec.Variant.PlacementOnly {
		return c.entries[c.sim.Rand().IntN(len(c.entries))]
	}
	n := id.Slot(1 << 16)
	return c.entries[int(n)%len(c.entries)]
}

// Run executes one run and returns its figures.
func Run(spec Spec) Result {
	c := newCluster(spec)
	c.sim.Run(c.sim.Now().Add(startUp))
	measured := c.sim.Now().Add(spec.Deployment.WarmUp)
	end := measured.Add(spec.Deployment.Window)
	c.driver.measured, c.driver.until = measured, end
	c.driver.overloaded = spec.Load > fullLoad
	c.driver.start()
	if spec.Faults {
		c.breakThings(measured)
	}
	c.sim.Run(measured)
	c.driver.resetCounts()
	before := c.waste()
	c.sim.Run(end)
	after := c.waste()
	c.finish(measured, end.Add(drainTime))
	return c.result(measured, before, after)
}

// finish runs until the programs that arrived since an instant have ended.
func (c *cluster) finish(since, until core.Instant) {
	const slice = 10 * core.Second
	for c.sim.Now() < until && c.driver.underWay(since) {
		c.sim.Run(c.sim.Now().Add(slice))
	}
}
