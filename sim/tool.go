package sim

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// ToolOptions sets the behavior of a fake tool service.
type ToolOptions struct {
	Seed uint64
	// ServiceTime is the mean time of a call.
	ServiceTime core.Duration
	// Hang is the probability that a call is executed but never answered.
	Hang float64
	// Fail is the probability that a call executes and then fails.
	Fail float64
	// Refuse is the probability that a call is rejected before it executes.
	Refuse float64
}

// defaultServiceTime is the default of ToolOptions.ServiceTime.
const defaultServiceTime = 20 * core.Millisecond

// Execution is one execution of a call at a tool.
type Execution struct {
	Attempt core.AttemptID
	Call    core.Call
	At      core.Instant
}

// Tool is a fake tool service that counts its executions.
type Tool struct {
	// OnExecution is called with each execution when it begins.
	OnExecution func(Execution)
	// Hangs counts the calls that were never answered.
	Hangs      uint64
	opts       ToolOptions
	rng        *rand.Rand
	pending    []timedEvent
	executions uint64
}

// timedEvent is an event that is due at an instant.
type timedEvent struct {
	at core.Instant
	ev core.Event
}

// NewTool returns a tool service without calls.
func NewTool(opts ToolOptions) *Tool {
	if opts.ServiceTime == 0 {
		opts.ServiceTime = defaultServiceTime
	}
	return &Tool{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 0x7001))}
}

// SetHang changes the probability that a call is never answered.
func (t *Tool) SetHang(p float64) { t.opts.Hang = p }

// Start executes an attempt at once. The answer is due after the service time.
func (t *Tool) Start(now core.Instant, e core.StartTarget) {
	if t.rng.Float64() < t.opts.Refuse {
		t.addEvent(now, core.TargetFailed{Attempt: e.Attempt, Reason: core.ReasonTargetFailed})
		return
	}
	t.executions++
	if t.OnExecution != nil {
		t.OnExecution(Execution{Attempt: e.Attempt, Call: e.Call, At: now})
	}
	t.addEvent(now, core.TargetStarted{Attempt: e.Attempt})
	end := now.Add(t.opts.ServiceTime/2 + t.rng.Int64N(t.opts.ServiceTime))
	switch p := t.rng.Float64(); {
	case p < t.opts.Hang:
		t.Hangs++
	case p < t.opts.Hang+t.opts.Fail:
		t.addEvent(end, core.TargetFailed{Attempt: e.Attempt, Sent: true, Reason: core.ReasonTargetFailed})
	default:
		t.addEvent(end, t.answer(e))
	}
}

// answer returns an answer that names the call and this execution.
func (t *Tool) answer(e core.StartTarget) core.TargetFinished {
	body := ToolAnswer(&e.Call, t.executions)
	return core.TargetFinished{Attempt: e.Attempt, Answer: body, Length: uint64(len(body))}
}

// ToolAnswer returns the answer to a call at a tool's nth execution.
func ToolAnswer(c *core.Call, n uint64) []byte {
	return fmt.Appendf(nil, "%s %d %s %d", c.Program, c.Seq, c.Key, n)
}

func (t *Tool) addEvent(at core.Instant, ev core.Event) {
	t.pending = append(t.pending, timedEvent{at: at, ev: ev})
}

// Abort drops the answer to an attempt; the execution isn't undone.
func (t *Tool) Abort(now core.Instant, a core.AttemptID) {
	t.pending = slices.DeleteFunc(t.pending, func(p timedEvent) bool {
		f, ok := p.ev.(core.TargetFinished)
		return ok && f.Attempt == a
	})
	t.addEvent(now, core.TargetFailed{Attempt: a, Sent: true, Reason: core.ReasonCanceled})
}

// ReleaseCache does nothing: a tool has no prefix cache.
func (t *Tool) ReleaseCache(core.Instant, core.ReleaseCache) {}

// ListCache returns nothing: a tool has no prefix cache.
func (t *Tool) ListCache(core.Instant) []uint64 { return nil }

// Next returns the instant of the earliest event.
func (t *Tool) Next() (core.Instant, bool) {
	if len(t.pending) == 0 {
		return 0, false
	}
	first := t.pending[0].at
	for _, p := range t.pending[1:] {
		first = min(first, p.at)
	}
	return first, true
}

// Advance returns the events due up to now, ordered by time.
func (t *Tool) Advance(now core.Instant) []core.Event {
	slices.SortStableFunc(t.pending, func(a, b timedEvent) int { return int(a.at - b.at) })
	var due []core.Event
	for len(t.pending) > 0 && t.pending[0].at <= now {
		due = append(due, t.pending[0].ev)
		t.pending = t.pending[1:]
	}
	return due
}
