package sidecar

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/limit"
)

const (
	// listenFor is how long a Hello asks for load reports.
	listenFor = 10 * core.Second
	// changedPeriod and steadyPeriod are the times between two reports of a load
	// that has changed, and of one that has not.
	changedPeriod = 100 * core.Millisecond
	steadyPeriod  = core.Second
)

// reports remembers the last report sent.
type reports struct {
	at   core.Instant
	last core.Load
	any  bool
}

// onHello adds an entry to those that get load reports.
func (s *Sidecar) onHello(from core.Node) {
	_, known := s.listeners[from]
	s.listeners[from] = s.now
	if !known {
		s.send(from, core.LoadReport{Load: s.load()})
	}
}

// onTargetLoad takes in the target's own report and adjusts the limit.
func (s *Sidecar) onTargetLoad(ev core.TargetLoad) {
	s.target = ev
	s.settings.limit.Observe(limit.Observation{
		StepTime:      ev.StepTime,
		Running:       uint32(len(s.queue.running)),
		Waiting:       uint32(len(s.queue.waiting)),
		CacheTokens:   ev.CacheTokens,
		RunningTokens: s.queue.demand,
	})
}

// reportLoad sends the load to the listeners when it is due.
func (s *Sidecar) reportLoad() {
	load := s.load()
	age := s.now.Sub(s.reports.at)
	due := !s.reports.any || age >= steadyPeriod || age >= changedPeriod && load != s.reports.last
	if due {
		s.sendReports(load)
	}
}

func (s *Sidecar) sendReports(load core.Load) {
	s.reports = reports{at: s.now, last: load, any: true}
	for _, n := range slices.SortedFunc(maps.Keys(s.listeners), compareNodes) {
		if s.now.Sub(s.listeners[n]) > listenFor {
			delete(s.listeners, n)
			continue
		}
		s.send(n, core.LoadReport{Load: load})
	}
}

func compareNodes(a, b core.Node) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Inc, b.Inc))
}

// load returns the target's load as entries see it.
func (s *Sidecar) load() core.Load {
	return core.Load{
		Pool:          s.opts.Pool,
		Domain:        s.opts.Domain,
		Waiting:       uint32(len(s.queue.waiting)),
		Running:       uint32(len(s.queue.running)),
		Limit:         s.settings.limit.Limit(),
		WaitingTokens: s.waitingTokens(),
		CacheTokens:   s.cacheTokens(),
		CacheUsed:     s.target.CacheUsed,
		CachePinned:   s.cache.pinned,
		PrefillRate:   s.prefillRate(),
		StepTime:      s.stepTime(),
		Draining:      s.drain.refusing(),
	}
}

// waitingTokens returns the work that waits in tokens of prefill: the prompt
// parts to compute, and the time of the answers' decode steps at the rate of
// prefill, shared by the batch.
func (s *Sidecar) waitingTokens() uint64 {
	decode := float64(len(s.queue.waiting)) * s.rate.output * float64(s.stepTime()) / float64(s.settings.limit.Limit())
	return s.queue.uncached + uint64(decode*float64(s.prefillRate())/float64(core.Second))
}

func (s *Sidecar) cacheTokens() uint64 {
	return cmp.Or(s.target.CacheTokens, s.settings.pool.Engine.CacheTokens)
}

func (s *Sidecar) prefillRate() uint64 {
	return cmp.Or(s.target.PrefillRate, s.settings.pool.Engine.PrefillRate)
}

func (s *Sidecar) stepTime() core.Duration {
	return cmp.Or(s.target.StepTime, s.settings.pool.Engine.StepTime.Nanos())
}
