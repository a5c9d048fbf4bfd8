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

// Names in the configuration of the measured cluster.
const (
	pool    = "engines"
	kind    = "agent"
	account = core.Account("bench")
)

// Sizes of the measured cluster that a measurement doesn't vary.
const (
	domains      = 3
	slots        = 64
	replicas     = 2
	settleTime   = 10 * core.Second
	turnTokens   = 200
	answerTokens = 50
)

// meter sums the time spent in a role's reducers, the messages and bytes that they
// send, and their calls of the key-value service.
type meter struct {
	reducerTime time.Duration
	messages    uint64
	bytes       uint64
	storeCalls  uint64
}

// cluster runs the product's reducers in virtual time and meters each role.
type cluster struct {
	sim     *sim.Sim
	entries []core.VM
	roles   map[core.VMRole]*meter
	seed    uint64
}

// timedReducer meters the time spent in a reducer.
type timedReducer struct {
	core.Reducer
	meter *meter
}

// Step implements core.Reducer.
func (t timedReducer) Step(ev core.Event, now core.Instant) []core.Effect {
	began := time.Now()
	effects := t.Reducer.Step(ev, now)
	t.meter.reducerTime += time.Since(began)
	return effects
}

// newCluster starts entries and sidecars and waits for settleTime.
func newCluster(seed uint64, entries, sidecars int) *cluster {
	return newClusterWithSlots(seed, entries, sidecars, slots)
}

// newClusterWithSlots is newCluster with a given number of slots.
func newClusterWithSlots(seed uint64, entries, sidecars int, slots uint32) *cluster {
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
		Output: func(*core.Call) uint32 { return answerTokens },
	})
}

func (c *cluster) newEntry(d core.Domain) sim.Factory {
	return func(self core.Node) core.Reducer {
		return timedReducer{entry.New(entry.Options{Self: self, Domain: d, Seed: c.seed}), c.roles[core.RoleEntry]}
	}
}

func (c *cluster) newSidecar(d core.Domain) sim.Factory {
	return func(self core.Node) core.Reducer {
		o := sidecar.Options{Self: self, Domain: d, Pool: pool, Seed: c.seed}
		return timedReducer{sidecar.New(o), c.roles[core.RoleSidecar]}
	}
}

// settings returns the configuration of the measured cluster.
func settings(slots uint32) *config.Set {
	set := &config.Set{
		Deployment: "slopes",
		Ownership: config.Ownership{
			Slots: slots, Replicas: replicas,
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

// effect meters a node's messages and its calls of the key-value service.
func (c *cluster) effect(n *sim.Node, e core.Effect) {
	m := c.roles[n.Role()]
	switch e := e.(type) {
	case core.Send:
		m.messages++
		m.bytes += messageBytes(e)
	case core.StoreGet, core.StoreRange, core.StoreCompareAndSwap:
		m.storeCalls++
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

// reset sets the meters to zero.
func (c *cluster) reset() {
	for _, m := range c.roles {
		*m = meter{}
	}
}

// program makes the calls of one conversation.
type program struct {
	cluster *cluster
	id      core.ProgramID
	ingress core.VM
	turns   int
	blocks  []core.Block
	failed  *int
}

// sendTurn sends the turn with number seq, and the next one after its answer.
func (p *program) sendTurn(seq int) {
	if seq > p.turns {
		return
	}
	digest := uint64(len(p.blocks)+1) * 0x9e3779b97f4a7c15
	p.blocks = append(p.blocks, core.Block{Digest: digest, Tokens: turnTokens})
	call := core.Call{
		Program: p.id, ProgramKind: kind, Seq: uint64(seq), Account: account, Kind: core.CallModel,
		Pool: pool, MaxTokens: answerTokens, Timeout: core.Minute, Blocks: append([]core.Block(nil), p.blocks...),
	}
	p.cluster.sim.Call(p.ingress, call, func(r *sim.Response) {
		if r.Finish.Outcome != core.OutcomeRan {
			*p.failed++
			return
		}
		p.blocks = append(p.blocks, core.Block{Digest: sim.AnswerDigest(p.blocks, r.Finish.Attempt), Tokens: answerTokens})
		p.sendTurn(seq + 1)
	})
}

// runPrograms starts programs at equal intervals over a time, allows them the
// time to finish, and returns the number of calls that failed.
func (c *cluster) runPrograms(programs, turns int, spread core.Duration) int {
	failed := 0
	for i := range programs {
		p := &program{
			cluster: c, id: core.ProgramID(fmt.Sprintf("program-%d", i)),
			ingress: c.entries[i%len(c.entries)], turns: turns, failed: &failed,
		}
		c.sim.After(core.Duration(i)*spread/core.Duration(programs), func() { p.sendTurn(1) })
	}
	c.run(spread + settleTime)
	return failed
}
