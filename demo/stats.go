package demo

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// maxFailureTexts limits the failed programs whose error text is stored.
const maxFailureTexts = 20

// stats collects the results that the callers of a deployment got. It is safe
// for concurrent use.
type stats struct {
	retries          atomic.Int64
	wrongToolAnswers atomic.Int64
	ended            atomic.Int64

	mu              sync.Mutex
	latencies       []time.Duration
	completeAnswers int
	wrongAnswers    int
	withinBudget    int
	overBudget      int
	exhausted       int
	tools           []toolCall
	violations      []string
	observations    []observe.Observation
}

// recordFinished records the latency of a finished program.
func (s *stats) recordFinished(latency time.Duration, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencies = append(s.latencies, latency)
	s.observations = append(s.observations, observe.Observation{
		Time:    time.Now(),
		Measure: observe.ProgramLatency,
		Kind:    kind,
		Value:   latency.Seconds(),
		Good:    true,
	})
}

// recordAnswer records whether an answer was complete and belonged to its
// request.
func (s *stats) recordAnswer(isCorrect bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isCorrect {
		s.completeAnswers++
	} else {
		s.wrongAnswers++
	}
}

// recordBudget records the tokens that a program spent and whether it got the
// error budget_exhausted.
func (s *stats) recordBudget(id string, budget, spent uint64, exhausted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if exhausted {
		s.exhausted++
	}
	if budget > 0 && spent > budget {
		s.overBudget++
		s.violations = append(s.violations, fmt.Sprintf("%s spent %d of %d tokens", id, spent, budget))
		return
	}
	s.withinBudget++
}

// recordToolCall records a tool call and its outcome.
func (s *stats) recordToolCall(call toolCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tools = append(s.tools, call)
}

// recordFailure records a program that did not finish.
func (s *stats) recordFailure(id string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) < maxFailureTexts {
		s.violations = append(s.violations, fmt.Sprintf("%s did not finish: %v", id, err))
	}
}

// percentile returns a quantile of sorted latencies. The argument share is
// between 0 and 1.
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
