// Package sidecar is the reducer of the sidecar role. It manages one target's queue,
// concurrency limit, fences, call table and cache pins.
package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// Options configures a sidecar.
type Options struct {
	// Self is the incarnation of this process.
	Self   core.Node
	Domain core.Domain
	Pool   core.Pool
	// Seed is unused: the sidecar makes no random choices.
	Seed uint64
	// Invariants records the invariant checks; nil disables them.
	Invariants *invariant.Recorder
}

// Sidecar is the state of one sidecar. It is not safe for concurrent use.
type Sidecar struct {
	opts Options
	now  core.Instant
	out  []core.Effect

	settings   settings
	table      table
	fences     fences
	queue      queue
	cache      cache
	rate       serviceRate
	targetLoad core.TargetLoad
	listeners  map[core.Node]core.Instant
	lastReport lastReport
	drain      drain
}

// New returns a sidecar that uses default settings until the first configuration
// is applied.
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

// Step applies one event and returns its effects in order. An instant before that
// of an earlier step is replaced by the latest instant seen.
func (s *Sidecar) Step(ev core.Event, now core.Instant) []core.Effect {
	s.now = max(s.now, now)
	s.out = nil
	s.apply(ev)
	s.startWaiting()
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
		s.onTargetStarted(ev)
	case core.TargetProgress:
		s.onTargetProgress(ev)
	case core.TargetFinished:
		s.onTargetFinished(ev)
	case core.TargetFailed:
		s.onTargetFailed(ev)
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
		s.onQueryAttempt(from, msg)
	case core.CancelAttempt:
		s.onCancelAttempt(from, msg)
	case core.AckResult:
		s.onAckResult(msg)
	case core.EndProgram:
		s.onEndProgram(msg)
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
	s.evictAttempts()
	s.expirePins()
	s.auditCache()
	s.reportLoad()
}

func (s *Sidecar) emit(e core.Effect) { s.out = append(s.out, e) }

func (s *Sidecar) send(to core.Node, msg core.Message) { s.emit(core.Send{To: to, Msg: msg}) }

func (s *Sidecar) check(p invariant.ID, ok bool, format string, args ...any) {
	s.opts.Invariants.Check(p, ok, format, args...)
}
