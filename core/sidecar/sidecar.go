// Package sidecar is the reducer of the sidecar role: the queue, the limit, the
// fence, the call table and the cache pins of one target.
package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// Options sets up a sidecar.
type Options struct {
	// Self is the life of the process.
	Self   core.Node
	Domain core.Domain
	Pool   core.Pool
	// Seed would determine random choices; the sidecar makes none at present.
	Seed uint64
	// Invariants records the checks of the promises; nil checks nothing.
	Invariants *invariant.Recorder
}

// Sidecar is the state of one sidecar. It is not safe for concurrent use.
type Sidecar struct {
	opts Options
	now  core.Instant
	out  []core.Effect

	settings  settings
	table     table
	fences    fences
	queue     queue
	cache     cache
	rate      rate
	target    core.TargetLoad
	listeners map[core.Node]core.Instant
	reports   reports
	drain     drain
}

// New returns a sidecar that serves with default settings until the first
// configuration arrives.
func New(opts Options) *Sidecar {
	return &Sidecar{
		opts:      opts,
		settings:  defaultSettings(),
		table:     newTable(),
		fences:    newFences(),
		cache:     newCache(),
		listeners: map[core.Node]core.Instant{},
	}
}

// Step applies one event and returns its effects in order.
func (s *Sidecar) Step(ev core.Event, now core.Instant) []core.Effect {
	s.now = max(s.now, now)
	s.out = nil
	s.apply(ev)
	s.pump()
	s.finishDrain()
	return s.out
}

func (s *Sidecar) apply(ev core.Event) {
	switch ev := ev.(type) {
	case core.Tick:
		s.onTick()
	case core.Recv:
		s.onMessage(ev.From, ev.Msg)
	case core.TargetStarted:
		s.onStarted(ev)
	case core.TargetProgress:
		s.onProgress(ev)
	case core.TargetFinished:
		s.onFinished(ev)
	case core.TargetFailed:
		s.onFailed(ev)
	case core.TargetLoad:
		s.onTargetLoad(ev)
	case core.CacheEvent:
		s.onCacheEvent(ev)
	case core.CacheListing:
		s.onCacheListing(ev)
	case core.VMList:
		s.onVMList(ev)
	case core.ConfigApplied:
		s.onConfig(ev)
	case core.DrainRequested:
		s.onDrain()
	}
}

func (s *Sidecar) onMessage(from core.Node, msg core.Message) {
	switch msg := msg.(type) {
	case core.Dispatch:
		s.onDispatch(from, msg)
	case core.QueryAttempt:
		s.onQuery(from, msg)
	case core.CancelAttempt:
		s.onCancel(from, msg)
	case core.AckResult:
		s.onAck(msg)
	case core.EndProgram:
		s.onEnd(msg)
	case core.HistoryDrop:
		s.onHistoryDrop(msg)
	case core.Hello:
		s.onHello(from)
	}
}

func (s *Sidecar) onTick() {
	s.expireWaiting()
	s.abortOverdue()
	s.resendResults()
	s.forgetAttempts()
	s.expirePins()
	s.auditCache()
	s.reportLoad()
}

func (s *Sidecar) emit(e core.Effect) { s.out = append(s.out, e) }

func (s *Sidecar) send(to core.Node, msg core.Message) { s.emit(core.Send{To: to, Msg: msg}) }

func (s *Sidecar) check(p invariant.Promise, ok bool, format string, args ...any) {
	s.opts.Invariants.Check(p, ok, format, args...)
}
