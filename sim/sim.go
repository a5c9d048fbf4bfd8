package sim

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Options sets the constants of a run. Zero values take the defaults.
type Options struct {
	Seed uint64
	// Tick is the period of core.Tick at every node.
	Tick core.Duration
	// ClockSkew bounds the difference between the clocks of two lives.
	ClockSkew core.Duration
	Network   Network
	Store     StoreTimes
	// CallerLatency is the one-way time between a caller and an entry.
	CallerLatency core.Duration
	Hooks         Hooks
}

// Defaults of Options.
const (
	DefaultTick          = 50 * core.Millisecond
	DefaultCallerLatency = 1 * core.Millisecond
)

// start is the virtual time at which a run begins; it leaves room for clock
// skew below it.
const start = core.Instant(core.Hour)

// Hooks observe a run. Each may be nil.
type Hooks struct {
	// Effect sees every effect of a life before the kernel runs it.
	Effect func(n *Node, e core.Effect)
	// Event sees every event before the reducer does.
	Event func(n *Node, ev core.Event)
	// Response sees every response before its caller does.
	Response func(r *Response)
}

// Sim is one run.
type Sim struct {
	opts   Options
	rng    *rand.Rand
	now    core.Instant
	seq    uint64
	events uint64
	queue  queue
	nodes  map[core.VM]*Node
	order  []*Node
	net    network
	Store  *Store
	VMs    *VMRegistry
	// config in force at the source, given to new lives.
	generation uint64
	set        *config.Set
	digest     *xxhash.Digest
}

// New returns an empty run.
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

// Events returns the number of events that reducers have taken.
func (s *Sim) Events() uint64 { return s.events }

// Rand returns the run's only source of randomness.
func (s *Sim) Rand() *rand.Rand { return s.rng }

// At schedules fn at an instant; an instant in the past means now.
func (s *Sim) At(t core.Instant, fn func()) { s.schedule(item{at: t, fn: fn}) }

// After schedules fn after a delay.
func (s *Sim) After(d core.Duration, fn func()) { s.At(s.now.Add(d), fn) }

func (s *Sim) schedule(it item) {
	it.at = max(it.at, s.now)
	s.seq++
	it.seq = s.seq
	s.queue.push(it)
}

// Run executes all that is due up to an instant.
func (s *Sim) Run(until core.Instant) {
	for len(s.queue.items) > 0 && s.queue.items[0].at <= until {
		s.step()
	}
	s.now = max(s.now, until)
}

// RunEvents executes until reducers have taken n events in total or until
// nothing is scheduled.
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
	it.node.deliver(it.life, it.ev)
}

// AddToDigest adds a value to the digest of the run.
func (s *Sim) AddToDigest(values ...uint64) {
	var buf [8]byte
	for _, v := range values {
		binary.LittleEndian.PutUint64(buf[:], v)
		_, _ = s.digest.Write(buf[:])
	}
}

// Digest returns the digest of everything folded so far, of the event count,
// of the time, and of the key-value service's content.
func (s *Sim) Digest() uint64 {
	s.AddToDigest(s.events, uint64(s.now))
	s.Store.fold()
	return s.digest.Sum64()
}

// ApplyConfig puts a new generation of the configuration in force: every live node
// gets it within a second.
func (s *Sim) ApplyConfig(set *config.Set) uint64 {
	s.generation++
	s.set = set
	for _, n := range s.order {
		s.configure(n)
	}
	return s.generation
}

// configure gives a node the present configuration after a random delay.
func (s *Sim) configure(n *Node) {
	if s.set == nil || !n.up {
		return
	}
	ev := core.ConfigApplied{Generation: s.generation, Set: s.set}
	delay := s.rng.Int64N(core.Second)
	s.schedule(item{at: s.now.Add(delay), node: n, life: n.id.Inc, ev: ev})
}

// Node returns the node on a VM, or nil.
func (s *Sim) Node(vm core.VM) *Node { return s.nodes[vm] }

// Nodes returns all nodes in order of creation, those gone for good included.
func (s *Sim) Nodes() []*Node { return s.order }

// AddHooks adds hooks that run after those of Options.
func (s *Sim) AddHooks(h Hooks) {
	first := s.opts.Hooks
	s.opts.Hooks = Hooks{
		Effect:   chain2(first.Effect, h.Effect),
		Event:    chain2(first.Event, h.Event),
		Response: chain1(first.Response, h.Response),
	}
}

// chain1 joins two hooks of one argument; either may be nil.
func chain1[A any](f, g func(A)) func(A) {
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

// chain2 joins two hooks of two arguments; either may be nil.
func chain2[A, B any](f, g func(A, B)) func(A, B) {
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
