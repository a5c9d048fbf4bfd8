package slopes

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/entry"
	"github.com/rhubarbsaddle/rhubarbsaddle/core/sidecar"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/wire"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
)

// Names in the configuration of the measurements.
const (
	pool    = "engines"
	kind    = "agent"
	account = core.Account("bench")
)

// Sizes of the measured cluster where they are not varied.
const (
	domains     = 3
	slots       = 64
	mirrors     = 2
	settleTime  = 10 * core.Second
	turnTokens  = 200
	replyTokens = 50
)

// meter sums the processor time of a role's reducers and what they send.
type meter struct {
	spent    time.Duration
	messages uint64
	bytes    uint64
	store    uint64
}

// cluster runs the product's reducers in virtual time and meters them.
type cluster struct {
	sim     *sim.Sim
	entries []core.VM
	roles   map[core.VMRole]*meter
	seed    uint64
}

// timed meters the processor time of a reducer.
type timed struct {
	core.Reducer
	meter *meter
}

// Step implements core.Reducer.
func (t timed) Step(ev core.Event, now core.Instant) []core.Effect {
	began := time.Now()
	effects := t.Reducer.Step(ev, now)
	t.meter.spent += time.Since(began)
	return effects
}

// newCluster starts entries and sidecars and lets them settle.
func newCluster(seed uint64, entries, sidecars int) *cluster {
	return newClusterOf(seed, entries, sidecars, slots)
}

// newClusterOf is newCluster with a number of slots.
func newClusterOf(seed uint64, entries, sidecars int, slots uint32) *cluster {
	c := &cluster{seed: seed, roles: map[core.VMRole]*meter{core.RoleEntry: {}, core.RoleSidecar: {}}}
	c.sim = sim.New(sim.Options{Seed: seed, Hooks: sim.Hooks{Effect: c.effect}})
	c.sim.ApplyConfig(settings(slots))
	for i := range entries {
		vm := core.VM(fmt.Sprintf("entry-%d", i))
		c.entries = append(c.entries, vm)
		c.sim.AddEntry(vm, domainOf(i), c.newEntry(domainOf(i)))
	}
	for i := range sidecars {
		vm := core.VM(fmt.Sprintf("engine-%d", i))
		c.sim.AddSidecar(vm, domainOf(i), pool, newEngine(seed+uint64(i)), c.newSidecar(domainOf(i)))
	}
	c.run(settleTime)
	return c
}

func domainOf(i int) core.Domain { return core.Domain(fmt.Sprintf("domain-%d", i%domains)) }

func newEngine(seed uint64) *sim.Engine {
	return sim.NewEngine(sim.EngineOptions{
		Seed: seed,
		Params: engine.Params{
			MaxBatch: 64, CacheTokens: 4_000_000, PrefillRate: 40_000, StepTime: 2 * core.Millisecond,
		},
		Output: func(*core.Call) uint32 { return replyTokens },
	})
}

func (c *cluster) newEntry(d core.Domain) sim.Factory {
	return func(self core.Node) core.Reducer {
		return timed{entry.New(entry.Options{Self: self, Domain: d, Seed: c.seed}), c.roles[core.RoleEntry]}
	}
}

func (c *cluster) newSidecar(d core.Domain) sim.Factory {
	return func(self core.Node) core.Reducer {
		o := sidecar.Options{Self: self, Domain: d, Pool: pool, Seed: c.seed}
		return timed{sidecar.New(o), c.roles[core.RoleSidecar]}
	}
}

// settings returns the configuration of the measurements.
func settings(slots uint32) *config.Set {
	set := &config.Set{
		Deployment: "slopes",
		Ownership: config.Ownership{
			Slots: slots, Replicas: mirrors,
			Heartbeat:    config.Duration(500 * time.Millisecond),
			SuspectAfter: config.Duration(2 * time.Second),
		},
		Pools: []config.Pool{{
			Name: pool, Kind: config.PoolModel, Model: "m",
			Engine: config.Engine{MaxBatch: 64, CacheTokens: 4_000_000, PrefillRate: 40_000, StepTime: config.Duration(2 * time.Millisecond)},
		}},
		Programs: []config.ProgramKind{{Name: kind, Pools: []string{pool}, BudgetTokens: 10_000_000}},
		Accounts: []config.Account{{Name: string(account), Programs: []string{kind}}},
	}
	set.ApplyDefaults()
	return set
}

// effect meters what a node sends and asks of the key-value service.
func (c *cluster) effect(n *sim.Node, e core.Effect) {
	m := c.roles[n.Role()]
	switch e := e.(type) {
	case core.Send:
		m.messages++
		m.bytes += messageBytes(e)
	case core.StoreGet, core.StoreRange, core.StoreCompareAndSwap:
		m.store++
	}
}

// messageBytes returns the encoded size of a message.
func messageBytes(e core.Send) uint64 {
	envelope, err := wire.Encode(e.Msg, e.To.Inc)
	if err != nil {
		return 0
	}
	return uint64(proto.Size(envelope))
}

func (c *cluster) run(d core.Duration) { c.sim.Run(c.sim.Now().Add(d)) }

// reset empties the meters.
func (c *cluster) reset() {
	for _, m := range c.roles {
		*m = meter{}
	}
}

// program drives one conversation of a number of turns.
type program struct {
	cluster *cluster
	id      core.ProgramID
	edge    core.VM
	turns   int
	blocks  []core.Block
	failed  *int
}

// next sends the program's next turn.
func (p *program) next(seq int) {
	if seq > p.turns {
		return
	}
	digest := uint64(len(p.blocks)+1) * 0x9e3779b97f4a7c15
	p.blocks = append(p.blocks, core.Block{Digest: digest, Tokens: turnTokens})
	call := core.Call{
		Program: p.id, ProgramKind: kind, Seq: uint64(seq), Account: account, Kind: core.CallModel,
		Pool: pool, MaxTokens: replyTokens, Timeout: core.Minute, Blocks: append([]core.Block(nil), p.blocks...),
	}
	p.cluster.sim.Call(p.edge, call, func(r *sim.Response) {
		if r.Finish.Outcome != core.OutcomeRan {
			*p.failed++
			return
		}
		p.blocks = append(p.blocks, core.Block{Digest: sim.AnswerDigest(p.blocks, r.Finish.Attempt), Tokens: replyTokens})
		p.next(seq + 1)
	})
}

// converse starts programs evenly over a time and returns the calls that
// failed, once all have had the time to finish.
func (c *cluster) converse(programs, turns int, over core.Duration) int {
	failed := 0
	for i := range programs {
		p := &program{
			cluster: c, id: core.ProgramID(fmt.Sprintf("program-%d", i)),
			edge: c.entries[i%len(c.entries)], turns: turns, failed: &failed,
		}
		c.sim.After(core.Duration(i)*over/core.Duration(programs), func() { p.next(1) })
	}
	c.run(over + settleTime)
	return failed
}
