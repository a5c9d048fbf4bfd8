package sim

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Target is a fake model engine or tool service in virtual time, to which a
// sidecar sends attempts.
type Target interface {
	// Start starts executing an attempt.
	Start(now core.Instant, e core.StartTarget)
	// Abort cancels an attempt.
	Abort(now core.Instant, a core.AttemptID)
	// ReleaseCache drops blocks from the prefix cache.
	ReleaseCache(now core.Instant, e core.ReleaseCache)
	// ListCache returns the content of the prefix cache.
	ListCache(now core.Instant) []uint64
	// Advance returns the events due up to now, in order.
	Advance(now core.Instant) []core.Event
	// Next returns the instant of the next event, if any is due.
	Next() (core.Instant, bool)
}

// Answer is a target's answer to an attempt, as its sidecar stores it.
type Answer struct {
	// Call is the call that the target executed.
	Call   core.Call
	Finish core.TargetFinished
}

// targetHost connects a target to the incarnations of its sidecar.
type targetHost struct {
	node   *Node
	target Target
	wakeAt core.Instant
	// calls are the attempts that the current incarnation has started.
	calls   map[core.AttemptID]core.Call
	answers map[core.AttemptID]*Answer
	dropped map[core.AttemptID]bool
	waiters map[core.AttemptID][]*request
}

func (t *targetHost) reset() {
	t.calls = map[core.AttemptID]core.Call{}
	t.answers = map[core.AttemptID]*Answer{}
	t.dropped = map[core.AttemptID]bool{}
	t.waiters = map[core.AttemptID][]*request{}
}

// discard drops the state of an ended incarnation. checkSidecar detects this
// for the requests that wait for an answer.
func (t *targetHost) discard() {
	t.reset()
}

// runEffect executes an effect that concerns the target.
func (t *targetHost) runEffect(e core.Effect) {
	now := t.node.sim.now
	switch e := e.(type) {
	case core.StartTarget:
		t.calls[e.Attempt] = e.Call
		t.target.Start(now, e)
	case core.AbortTarget:
		t.target.Abort(now, e.Attempt)
	case core.ReleaseCache:
		t.target.ReleaseCache(now, e)
	case core.ListCache:
		t.node.schedule(core.CacheListing{Digests: t.target.ListCache(now)})
	case core.DropAnswer:
		delete(t.answers, e.Attempt)
		delete(t.calls, e.Attempt)
		t.dropped[e.Attempt] = true
	}
	t.scheduleNext()
}

// scheduleNext schedules the target's next event unless an earlier one is
// scheduled already.
func (t *targetHost) scheduleNext() {
	next, ok := t.target.Next()
	if !ok {
		return
	}
	s := t.node.sim
	next = max(next, s.now)
	if t.wakeAt > s.now && t.wakeAt <= next {
		return
	}
	t.wakeAt = next
	s.At(next, t.advance)
}

func (t *targetHost) advance() {
	s := t.node.sim
	if t.wakeAt == s.now {
		t.wakeAt = 0
	}
	for _, ev := range t.target.Advance(s.now) {
		t.deliver(ev)
	}
	t.scheduleNext()
}

// deliver passes an event to the sidecar if its current incarnation started the
// attempt.
func (t *targetHost) deliver(ev core.Event) {
	if t.node.removed || !t.node.running {
		return
	}
	switch ev := ev.(type) {
	case core.TargetFinished:
		call, ok := t.calls[ev.Attempt]
		if !ok {
			return
		}
		t.storeAnswer(ev, call)
	case core.TargetStarted:
		if _, ok := t.calls[ev.Attempt]; !ok {
			return
		}
	case core.TargetProgress:
		if _, ok := t.calls[ev.Attempt]; !ok {
			return
		}
	case core.TargetFailed:
		if _, ok := t.calls[ev.Attempt]; !ok {
			return
		}
	}
	t.node.schedule(ev)
}

// storeAnswer stores an answer and notifies the requests that wait for it.
func (t *targetHost) storeAnswer(ev core.TargetFinished, call core.Call) {
	answer := &Answer{Call: call, Finish: ev}
	t.answers[ev.Attempt] = answer
	for _, r := range t.waiters[ev.Attempt] {
		r.requestAnswer()
	}
	delete(t.waiters, ev.Attempt)
}
