// Package invariant checks the product's invariants at run time. A Recorder counts
// checks and violations, records the messages of the first violations, and panics
// on a violation if so configured.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// ID identifies an invariant.
type ID int

// The invariants.
const (
	// CallOrder: the calls of a program are served in the order in which it made them.
	CallOrder ID = iota
	// History: a program's history is never lost and never mixed with another's.
	History
	// Budget: a program never spends beyond its budget.
	Budget
	// CacheReleased: no engine memory stays allocated for programs that have ended.
	CacheReleased
	// CompleteAnswer: every caller receives the complete answer to its own request.
	CompleteAnswer
	// NotExecuted: a call refused as not run was not executed.
	NotExecuted
	// AtMostOnce: a non-idempotent call is executed at most once.
	AtMostOnce
	// LeavingTarget: a leaving target receives no new work after a few seconds.
	LeavingTarget
	// Drain: a graceful shutdown interrupts no request in flight.
	Drain
	// ConfigMonotonic: an accepted configuration is never reverted to an earlier one.
	ConfigMonotonic

	// Count is the number of invariants.
	Count
)

var names = [Count]string{
	"call_order", "history", "budget", "cache_released", "whole_answer",
	"not_run", "at_most_once", "leaving_target", "drain", "config_forward",
}

// String returns the invariant's name as used in metrics and reports.
func (p ID) String() string { return names[p] }

// maxMessages bounds the number of violations whose message is recorded.
const maxMessages = 100

// Recorder counts checks and violations. The zero value is ready for use; Check on
// a nil Recorder does nothing. It is safe for concurrent use.
type Recorder struct {
	// Panic makes Check panic on a violation, for tests.
	Panic bool

	checks     [Count]atomic.Uint64
	violations [Count]atomic.Uint64
	mu         sync.Mutex
	messages   []string
}

// Check records a check of invariant p and, if ok is false, a violation with the
// formatted message.
func (r *Recorder) Check(p ID, ok bool, format string, args ...any) {
	if r == nil {
		return
	}
	r.checks[p].Add(1)
	if ok {
		return
	}
	r.violations[p].Add(1)
	message := p.String() + ": " + fmt.Sprintf(format, args...)
	if r.Panic {
		panic("invariant violated: " + message)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.messages) < maxMessages {
		r.messages = append(r.messages, message)
	}
}

// Checks returns how often p was checked.
func (r *Recorder) Checks(p ID) uint64 { return r.checks[p].Load() }

// Violations returns how often p was violated.
func (r *Recorder) Violations(p ID) uint64 { return r.violations[p].Load() }

// Messages returns the messages of the first violations.
func (r *Recorder) Messages() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.messages...)
}
