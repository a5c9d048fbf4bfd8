package sim

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Target is a fake back end in virtual time.
type Target interface {
	// Start begins to execute an attempt.
	Start(now core.Instant, e core.StartTarget)
	// Abort cancels an attempt.
	Abort(now core.Instant, a core.AttemptID)
	// Release drops blocks from the prefix cache.
	Release(now core.Instant, e core.ReleaseCache)
	// List returns the content of the prefix cache.
	List(now core.Instant) []uint64
	// Advance returns the events due up to now, in order.
	Advance(now core.Instant) []core.Event
	// Next returns the instant of the next event, if any is due.
	Next() (core.Instant, bool)
}

// Answer is what a target has answered to an attempt, kept by its sidecar.
type Answer struct {
	// Call is what the target was given.
	Call   core.Call
	Finish core.TargetFinished
}

// targetRun ties a target to the lives of its sidecar.
type targetRun struct {
	node   *Node
	target Target
	wake   core.Instant
	// calls are the attempts that the present life has started.
	calls   map[core.AttemptID]core.Call
	answers map[core.AttemptID]*Answer
	dropped map[core.AttemptID]bool
	waiters map[core.AttemptID][]*request
}

func (t *targetRun) newLife() {
	t.calls = map[core.AttemptID]core.Call{}
	t.answers = map[core.AttemptID]*Answer{}
	t.dropped = map[core.AttemptID]bool{}
	t.waiters = map[core.AttemptID][]*request{}
}

// endLife tells the edges that read answers here that their streams broke.
func (t *targetRun) endLife() {
	t.newLife()
}

// run executes an effect that concerns the target.
func (t *targetRun) run(e core.Effect) {
	now := t.node.sim.now
	switch e := e.(type) {
	case core.StartTarget:
		t.calls[e.Attempt] = e.Call
		t.target.Start(now, e)
	case core.AbortTarget:
		t.target.Abort(now, e.Attempt)
	case core.ReleaseCache:
		t.target.Release(now, e)
	case core.ListCache:
		t.node.event(core.CacheListing{Digests: t.target.List(now)})
	case core.DropAnswer:
		delete(t.answers, e.Attempt)
		delete(t.calls, e.Attempt)
		t.dropped[e.Attempt] = true
	}
	t.plan()
}

// plan schedules the target's next event unless an earlier wake stands.
func (t *targetRun) plan() {
	next, ok := t.target.Next()
	if !ok {
		return
	}
	s := t.node.sim
	next = max(next, s.now)
	if t.wake > s.now && t.wake <= next {
		return
	}
	t.wake = next
	s.At(next, t.advance)
}

func (t *targetRun) advance() {
	s := t.node.sim
	if t.wake == s.now {
		t.wake = 0
	}
	for _, ev := range t.target.Advance(s.now) {
		t.deliver(ev)
	}
	t.plan()
}

// deliver passes an event on to the life that started its attempt.
func (t *targetRun) deliver(ev core.Event) {
	if t.node.gone || !t.node.up {
		return
	}
	switch ev := ev.(type) {
	case core.TargetFinished:
		call, ok := t.calls[ev.Attempt]
		if !ok {
			return
		}
		t.finish(ev, call)
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
	t.node.event(ev)
}

// finish keeps an answer and sends it to the edges that wait for it.
func (t *targetRun) finish(ev core.TargetFinished, call core.Call) {
	answer := &Answer{Call: call, Finish: ev}
	t.answers[ev.Attempt] = answer
	for _, r := range t.waiters[ev.Attempt] {
		r.pull()
	}
	delete(t.waiters, ev.Attempt)
}
