// Package search explores the reachable states of a small transition system
// breadth first, so that the first violation found has a shortest trace.
package search

import (
	"fmt"
	"hash/maphash"
	"strings"
)

// System is a transition system with an invariant.
type System[S comparable] interface {
	// Init returns the initial state.
	Init() S
	// Next calls emit for every successor of s with the name of the action.
	Next(s S, emit func(action string, next S))
	// Check returns an error if s violates the invariant.
	Check(s S) error
}

// Report is the result of an exploration.
type Report[S comparable] struct {
	// States and Transitions count distinct states and examined transitions.
	States      int
	Transitions int
	// Depth is the length of the longest shortest path from the initial state.
	Depth int
	// Complete says that every reachable state was examined.
	Complete bool
	// Violation is nil if no state violates the invariant.
	Violation *Violation[S]
}

// Violation is a state that breaks the invariant and a shortest way to it.
type Violation[S comparable] struct {
	Err error
	// Actions lead from the initial state to the violation; States[0] is the
	// initial state and States[i] follows Actions[i-1].
	Actions []string
	States  []S
}

// String returns the error and the numbered actions.
func (v *Violation[S]) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v\n", v.Err)
	for i, a := range v.Actions {
		fmt.Fprintf(&b, "%3d. %s\n", i+1, a)
	}
	return b.String()
}

// key is a fingerprint of a state. Two states that are taken for one would need
// equal 128-bit fingerprints.
type key [2]uint64

// node is a state of the exploration with the way it was reached.
type node[S comparable] struct {
	state  S
	parent int32
	depth  int32
	action string
}

// explorer holds the visited states and the queue, which is the tail of nodes.
type explorer[S comparable] struct {
	sys    System[S]
	seeds  [2]maphash.Seed
	seen   map[key]struct{}
	nodes  []node[S]
	report Report[S]
}

// Explore examines up to limit states.
func Explore[S comparable](sys System[S], limit int) Report[S] {
	e := &explorer[S]{
		sys:   sys,
		seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()},
		seen:  map[key]struct{}{},
	}
	e.visit(sys.Init(), -1, "init")
	for i := 0; i < len(e.nodes) && e.report.Violation == nil; i++ {
		if len(e.nodes) > limit {
			return e.finish(false)
		}
		e.expand(i)
	}
	return e.finish(e.report.Violation == nil)
}

func (e *explorer[S]) finish(complete bool) Report[S] {
	e.report.States = len(e.nodes)
	e.report.Complete = complete
	return e.report
}

// expand visits all successors of the state at index i.
func (e *explorer[S]) expand(i int) {
	e.sys.Next(e.nodes[i].state, func(action string, next S) {
		e.report.Transitions++
		if e.report.Violation == nil {
			e.visit(next, int32(i), action)
		}
	})
}

// visit records a state unless it is known, and checks it.
func (e *explorer[S]) visit(s S, parent int32, action string) {
	k := key{maphash.Comparable(e.seeds[0], s), maphash.Comparable(e.seeds[1], s)}
	if _, ok := e.seen[k]; ok {
		return
	}
	e.seen[k] = struct{}{}
	n := node[S]{state: s, parent: parent, action: action}
	if parent >= 0 {
		n.depth = e.nodes[parent].depth + 1
	}
	e.report.Depth = max(e.report.Depth, int(n.depth))
	e.nodes = append(e.nodes, n)
	if err := e.sys.Check(s); err != nil {
		e.report.Violation = e.trace(len(e.nodes)-1, err)
	}
}

// trace follows the parents of the state at index i back to the initial state.
func (e *explorer[S]) trace(i int, err error) *Violation[S] {
	v := &Violation[S]{Err: err}
	depth := int(e.nodes[i].depth)
	v.Actions = make([]string, depth)
	v.States = make([]S, depth+1)
	for at := i; at >= 0; at = int(e.nodes[at].parent) {
		d := int(e.nodes[at].depth)
		v.States[d] = e.nodes[at].state
		if d > 0 {
			v.Actions[d-1] = e.nodes[at].action
		}
	}
	return v
}
