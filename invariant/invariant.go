// Package invariant asserts the product's promises inside the running program.
// Every check counts; a violation is recorded with its text, and panics where
// the recorder says so.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// ID names one of the promises of the product.
type ID int

// The promises.
const (
	// CallOrder: the calls of one program are served in the order it made them.
	CallOrder ID = iota
	// History: a program's history is never lost and never mixed with another's.
	History
	// Budget: a program never spends beyond its budget.
	Budget
	// CacheReleased: no engine memory stays held for programs that have ended.
	CacheReleased
	// CompleteAnswer: every caller receives the whole answer to its own request.
	CompleteAnswer
	// NotExecuted: a call refused as not run did not run.
	NotExecuted
	// AtMostOnce: a non-idempotent call is executed at most once.
	AtMostOnce
	// LeavingTarget: a leaving target receives no new work after a few seconds.
	LeavingTarget
	// Drain: a graceful shutdown cuts off no request in flight.
	Drain
	// ConfigMonotonic: an accepted configuration never reverts.
	ConfigMonotonic

	// Count is the number of promises.
	Count
)

var names = [Count]string{
	"call_order", "history", "budget", "cache_released", "whole_answer",
	"not_run", "at_most_once", "leaving_target", "drain", "config_forward",
}

// String returns the promise's name as it stands in metrics and reports.
func (p ID) String() string { return names[p] }

// maxTexts bounds the violations whose text is kept.
const maxTexts = 100

// Recorder counts checks and violations. The zero value is ready; a nil
// recorder checks nothing. It is safe for concurrent use.
type Recorder struct {
	// Panic makes a violation panic, for tests.
	Panic bool

	checks     [Count]atomic.Uint64
	violations [Count]atomic.Uint64
	mu         sync.Mutex
	texts      []string
}

// Check records that promise p was checked and, if ok is false, violated.
func (r *Recorder) Check(p ID, ok bool, format string, args ...any) {
	if r == nil {
		return
	}
	r.checks[p].Add(1)
	if ok {
		return
	}
	r.violations[p].Add(1)
	text := p.String() + ": " + fmt.Sprintf(format, args...)
	if r.Panic {
		panic("invariant violated: " + text)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.texts) < maxTexts {
		r.texts = append(r.texts, text)
	}
}

// Checks returns how often p was checked.
func (r *Recorder) Checks(p ID) uint64 { return r.checks[p].Load() }

// Violations returns how often p was violated.
func (r *Recorder) Violations(p ID) uint64 { return r.violations[p].Load() }

// Messages returns the texts of the first violations.
func (r *Recorder) Messages() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.texts...)
}
