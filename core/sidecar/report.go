package sidecar

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/policy/limit"
)

const (
	// helloTTL is how long a subscription to load reports lasts after the last
	// core.Hello.
	helloTTL = 10 * core.Second
	// changedLoadPeriod and steadyLoadPeriod are the minimum times between two load
	// reports if the load has changed, and if it has not.
	changedLoadPeriod = 100 * core.Millisecond
	steadyLoadPeriod  = core.Second
)

// lastReport is the last load report that was sent, and when.
type lastReport struct {
	sentAt core.Instant
	load   core.Load
	isSent bool
}

// onHello subscribes an entry to load reports. A new subscriber receives one at once.
func (s *Sidecar) onHello(from core.Node) {
	_, known := s.listeners[from]
	s.listeners[from] = s.now
	if !known {
		s.send(from, core.LoadReport{Load: s.load()})
	}
}

// onTargetLoad stores the load that the target reported and adjusts the concurrency
// limit.
func (s *Sidecar) onTargetLoad(ev core.TargetLoad) {
	s.targetLoad = ev
	s.settings.limit.Observe(limit.Observation{
		StepTime:      ev.StepTime,
		Running:       uint32(len(s.queue.running)),
		Waiting:       uint32(len(s.queue.waiting)),
		CacheTokens:   ev.CacheTokens,
		RunningTokens: s.queue.demand,
	})
}

// reportLoad sends the load to the listeners if a report is due.
func (s *Sidecar) reportLoad() {
	load := s.load()
	age := s.now.Sub(s.lastReport.sentAt)
	due := !s.lastReport.isSent || age >= steadyLoadPeriod || age >= changedLoadPeriod && load != s.lastReport.load
	if due {
		s.sendReports(load)
	}
}

func (s *Sidecar) sendReports(load core.Load) {
	s.lastReport = lastReport{sentAt: s.now, load: load, isSent: true}
	for _, n := range slices.SortedFunc(maps.Keys(s.listeners), compareNodes) {
		if s.now.Sub(s.listeners[n]) > helloTTL {
			delete(s.listeners, n)
			continue
		}
		s.send(n, core.LoadReport{Load: load})
	}
}

func compareNodes(a, b core.Node) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Inc, b.Inc))
}

// load returns the load that is reported to entries.
func (s *Sidecar) load() core.Load {
	return core.Load{
		Pool:          s.opts.Pool,
		Domain:        s.opts.Domain,
		Waiting:       uint32(len(s.queue.waiting)),
		Running:       uint32(len(s.queue.running)),
		Limit:         s.settings.limit.Limit(),
		WaitingTokens: s.waitingTokens(),
		CacheTokens:   s.cacheTokens(),
		CacheUsed:     s.targetLoad.CacheUsed,
		CachePinned:   s.cache.pinnedTokens,
		PrefillRate:   s.prefillRate(),
		StepTime:      s.stepTime(),
		Draining:      s.drain.refusesNewWork(),
	}
}

// waitingTokens returns the queued work in tokens of prefill. It is the sum of the
// uncached parts of the prompts and the decode time of the expected answers,
// converted at the prefill rate. The attempts of a batch decode in parallel, so
// their decode time is divided by the concurrency limit.
func (s *Sidecar) waitingTokens() uint64 {
	decode := float64(len(s.queue.waiting)) * s.rate.answerTokens * float64(s.stepTime()) / float64(s.settings.limit.Limit())
	return s.queue.uncached + uint64(decode*float64(s.prefillRate())/float64(core.Second))
}

func (s *Sidecar) cacheTokens() uint64 {
	return cmp.Or(s.targetLoad.CacheTokens, s.settings.pool.Engine.CacheTokens)
}

func (s *Sidecar) prefillRate() uint64 {
	return cmp.Or(s.targetLoad.PrefillRate, s.settings.pool.Engine.PrefillRate)
}

func (s *Sidecar) stepTime() core.Duration {
	return cmp.Or(s.targetLoad.StepTime, s.settings.pool.Engine.StepTime.Nanos())
}
