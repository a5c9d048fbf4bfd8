package demo

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// maxFaults bounds the failures whose text is kept.
const maxFaults = 20

// stats gathers what the callers of a deployment saw. It is safe for concurrent
// use.
type stats struct {
	retries atomic.Int64
	foreign atomic.Int64
	ended   atomic.Int64

	mu        sync.Mutex
	latencies []time.Duration
	whole     int
	cut       int
	kept      int
	exceeded  int
	exhausted int
	tools     []toolCall
	faults    []string
	observed  []observe.Observation
}

// finished records the latency of a whole program.
func (s *stats) finished(latency time.Duration, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencies = append(s.latencies, latency)
	s.observed = append(s.observed, observe.Observation{
		Time:    time.Now(),
		Measure: observe.ProgramLatency,
		Kind:    kind,
		Value:   latency.Seconds(),
		Good:    true,
	})
}

// answered records whether an answer was whole and belonged to its request.
func (s *stats) answered(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		s.whole++
	} else {
		s.cut++
	}
}

// budget records what a program spent.
func (s *stats) budget(id string, budget, spent uint64, exhausted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if exhausted {
		s.exhausted++
	}
	if budget > 0 && spent > budget {
		s.exceeded++
		s.faults = append(s.faults, fmt.Sprintf("%s spent %d of %d tokens", id, spent, budget))
		return
	}
	s.kept++
}

// used records the fate of a tool call.
func (s *stats) used(call toolCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tools = append(s.tools, call)
}

// failed records a program that did not finish.
func (s *stats) failed(id string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults) < maxFaults {
		s.faults = append(s.faults, fmt.Sprintf("%s did not finish: %v", id, err))
	}
}

// percentile returns the share-quantile of sorted latencies.
func percentile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

func (s *stats) sorted() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(slices.Values(s.latencies))
}
