package sim

import "github.com/rhubarbsaddle/rhubarbsaddle/core"

// item is one scheduled step: either an event for an incarnation of a node or a
// function.
type item struct {
	at          core.Instant
	seq         uint64
	node        *Node
	incarnation core.Incarnation
	ev          core.Event
	fn          func()
}

// queue is a binary heap of items ordered by time, then by order of insertion.
type queue struct{ items []item }

func (q *queue) before(i, j int) bool {
	a, b := &q.items[i], &q.items[j]
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

func (q *queue) push(it item) {
	q.items = append(q.items, it)
	i := len(q.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.before(i, parent) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

func (q *queue) pop() item {
	top := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = item{}
	q.items = q.items[:last]
	q.siftDown()
	return top
}

func (q *queue) siftDown() {
	i, n := 0, len(q.items)
	for {
		child := 2*i + 1
		if child >= n {
			return
		}
		if child+1 < n && q.before(child+1, child) {
			child++
		}
		if !q.before(child, i) {
			return
		}
		q.items[i], q.items[child] = q.items[child], q.items[i]
		i = child
	}
}
