package placement

import (
	"container/heap"
	"time"
)

// eventQueue runs steps in order of time; steps of the same time in the order in which they
// were added.
type eventQueue struct {
	steps []step
	next  uint64
}

type step struct {
	at  time.Time
	seq uint64
	do  func(now time.Time)
}

func (q *eventQueue) Len() int { return len(q.steps) }

func (q *eventQueue) Less(i, j int) bool {
	if a, b := q.steps[i], q.steps[j]; !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return q.steps[i].seq < q.steps[j].seq
}

func (q *eventQueue) Swap(i, j int) { q.steps[i], q.steps[j] = q.steps[j], q.steps[i] }
func (q *eventQueue) Push(x any)    { q.steps = append(q.steps, x.(step)) }

func (q *eventQueue) Pop() any {
	last := q.steps[len(q.steps)-1]
	q.steps = q.steps[:len(q.steps)-1]
	return last
}

func (q *eventQueue) add(at time.Time, do func(now time.Time)) {
	q.next++
	heap.Push(q, step{at: at, seq: q.next, do: do})
}

// drain runs all steps, including those that steps add.
func (q *eventQueue) drain() {
	for q.Len() > 0 {
		next := heap.Pop(q).(step)
		next.do(next.at)
	}
}
