package sim

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Options sets the parameters of a simulation. A zero value means the default.
type Options struct {
	Seed uint64
	// Tick is the period of core.Tick at every node.
	Tick core.Duration
	// ClockSkew bounds the deviation of a process's clock from the virtual time.
	ClockSkew core.Duration
	Network   Network
	Store     StoreTimes
	// CallerLatency is the one-way time between a caller and an entry.
	CallerLatency core.Duration
	Hooks         Hooks
}

// Default values of the fields of Options.
const (
	DefaultTick          = 50 * core.Millisecond
	DefaultCallerLatency = 1 * core.Millisecond
)

// start is the virtual time at which a simulation begins; it is above zero so
// that skewed clocks stay positive.
const start = core.Instant(core.Hour)

// Hooks observe a simulation. Each may be nil.
type Hooks struct {
	// Effect is called with every effect of a reducer before the simulator runs it.
	Effect func(n *Node, e core.Effect)
	// Event is called with every event before the reducer handles it.
	Event func(n *Node, ev core.Event)
	// Response is called with every response before its caller gets it.
	Response func(r *Response)
}

// Sim is one simulation.
type Sim struct {
	opts      Options
	rng       *rand.Rand
	now       core.Instant
	seq       uint64
	events    uint64
	queue     queue
	nodes     map[core.VM]*Node
	nodeOrder []*Node
	net       network
	Store     *Store
	VMs       *VMRegistry
	// generation and set are the number and the content of the current
	// configuration. Newly started processes receive them.
	generation uint64
	set        *config.Set
	digest     *xxhash.Digest
}

// New returns a simulation without nodes.
func New(opts Options) *Sim {
	if opts.Tick == 0 {
		opts.Tick = DefaultTick
	}
	if opts.CallerLatency == 0 {
		opts.CallerLatency = DefaultCallerLatency
	}
	opts.Network = opts.Network.withDefaults()
	opts.Store = opts.Store.withDefaults()
	s := &Sim{
		opts:   opts,
		rng:    rand.New(rand.NewPCG(opts.Seed, 0x5eed)),
		now:    start,
		nodes:  map[core.VM]*Node{},
		digest: xxhash.New(),
	}
	s.net = newNetwork(s, opts.Network)
	s.Store = newStore(s, opts.Store)
	s.VMs = newVMRegistry(s)
	return s
}

// Now returns the virtual time.
func (s *Sim) Now() core.Instant { return s.now }

// Events returns the number of events that reducers have handled.
func (s *Sim) Events() uint64 { return s.events }

// Rand returns the simulation's random source; targets have their own.
func (s *Sim) Rand() *rand.Rand { return s.rng }

// At schedules fn for an instant, or for now if the instant is in the past.
func (s *Sim) At(t core.Instant, fn func()) { s.schedule(item{at: t, fn: fn}) }

// After schedules fn after a delay.
func (s *Sim) After(d core.Duration, fn func()) { s.At(s.now.Add(d), fn) }

func (s *Sim) schedule(it item) {
	it.at = max(it.at, s.now)
	s.seq++
	it.seq = s.seq
	s.queue.push(it)
}

// Run executes everything that is due up to an instant.
func (s *Sim) Run(until core.Instant) {
	for len(s.queue.items) > 0 && s.queue.items[0].at <= until {
		s.step()
	}
	s.now = max(s.now, until)
}

// RunEvents executes until reducers have handled n events in total or nothing is
// scheduled.
func (s *Sim) RunEvents(n uint64) {
	for s.events < n && len(s.queue.items) > 0 {
		s.step()
	}
}

func (s *Sim) step() {
	it := s.queue.pop()
	s.now = it.at
	if it.fn != nil {
		it.fn()
		return
	}
	it.node.deliver(it.incarnation, it.ev)
}

// AddToDigest adds values to the digest of the run.
func (s *Sim) AddToDigest(values ...uint64) {
	var buf [8]byte
	for _, v := range values {
		binary.LittleEndian.PutUint64(buf[:], v)
		_, _ = s.digest.Write(buf[:])
	}
}

// Digest adds the event count, the virtual time and the content of the
// key-value service to the digest of the run, and returns the digest.
func (s *Sim) Digest() uint64 {
	s.AddToDigest(s.events, uint64(s.now))
	s.Store.addToDigest()
	return s.digest.Sum64()
}

// ApplyConfig distributes a configuration as a new generation and returns the
// generation's number. Every running node receives it within a second.
func (s *Sim) ApplyConfig(set *config.Set) uint64 {
	s.generation++
	s.set = set
	for _, n := range s.nodeOrder {
		s.sendConfig(n)
	}
	return s.generation
}

// sendConfig sends a node the current configuration after a random delay.
func (s *Sim) sendConfig(n *Node) {
	if s.set == nil || !n.running {
		return
	}
	ev := core.ConfigApplied{Generation: s.generation, Set: s.set}
	delay := s.rng.Int64N(core.Second)
	s.schedule(item{at: s.now.Add(delay), node: n, incarnation: n.id.Inc, ev: ev})
}

// Node returns the node on a VM, or nil.
func (s *Sim) Node(vm core.VM) *Node { return s.nodes[vm] }

// Nodes returns all nodes in order of creation, including removed ones.
func (s *Sim) Nodes() []*Node { return s.nodeOrder }

// AddHooks adds hooks that run after those of Options.
func (s *Sim) AddHooks(h Hooks) {
	previous := s.opts.Hooks
	s.opts.Hooks = Hooks{
		Effect:   joinHooks2(previous.Effect, h.Effect),
		Event:    joinHooks2(previous.Event, h.Event),
		Response: joinHooks1(previous.Response, h.Response),
	}
}

// joinHooks1 joins two hooks of one argument; either may be nil.
func joinHooks1[A any](f, g func(A)) func(A) {
	switch {
	case f == nil:
		return g
	case g == nil:
		return f
	}
	return func(a A) {
		f(a)
		g(a)
	}
}

// joinHooks2 joins two hooks of two arguments; either may be nil.
func joinHooks2[A, B any](f, g func(A, B)) func(A, B) {
	switch {
	case f == nil:
		return g
	case g == nil:
		return f
	}
	return func(a A, b B) {
		f(a, b)
		g(a, b)
	}
}
