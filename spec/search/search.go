// Package search explores the reachable states of a small transition system
// breadth first, so that the first violation found has a shortest trace.
package search

import (
	"fmt"
	"hash/maphash"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
)

// System is a transition system with an invariant. Its methods are called from
// several goroutines.
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

// shards divides the set of visited states, to keep workers out of each
// other's way.
const shards = 64

// shard maps visited states to the states that they were first reached from.
type shard struct {
	mu      sync.Mutex
	parents map[key]key
}

// explorer holds the visited states. Only the frontier is kept whole; a trace
// is found again by replaying the fingerprints of its states.
type explorer[S comparable] struct {
	sys         System[S]
	seeds       [2]maphash.Seed
	shards      [shards]shard
	states      atomic.Int64
	transitions atomic.Int64

	mu   sync.Mutex
	bad  key
	fail error
}

// Explore examines the states level by level, until a level ends with more
// than limit states known.
func Explore[S comparable](sys System[S], limit int) Report[S] {
	e := &explorer[S]{sys: sys, seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}}
	for i := range e.shards {
		e.shards[i].parents = map[key]key{}
	}
	init := sys.Init()
	var frontier []S
	e.visit(init, key{}, &frontier)
	depth := 0
	for len(frontier) > 0 && e.fail == nil && int(e.states.Load()) <= limit {
		frontier = e.level(frontier)
		if len(frontier) > 0 {
			depth++
		}
	}
	report := Report[S]{
		States:      int(e.states.Load()),
		Transitions: int(e.transitions.Load()),
		Depth:       depth,
		Complete:    len(frontier) == 0 && e.fail == nil,
	}
	if e.fail != nil {
		report.Violation = e.trace(init)
	}
	return report
}

// level expands a frontier and returns the next one.
func (e *explorer[S]) level(frontier []S) []S {
	workers := runtime.GOMAXPROCS(0)
	parts := make([][]S, workers)
	var next atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(frontier)); i = next.Add(1) - 1 {
				e.expand(frontier[i], &parts[w])
			}
		})
	}
	wg.Wait()
	var all []S
	for _, p := range parts {
		all = append(all, p...)
	}
	return all
}

// expand visits all successors of a state.
func (e *explorer[S]) expand(s S, found *[]S) {
	from := e.key(s)
	e.sys.Next(s, func(_ string, next S) {
		e.transitions.Add(1)
		e.visit(next, from, found)
	})
}

func (e *explorer[S]) key(s S) key {
	return key{maphash.Comparable(e.seeds[0], s), maphash.Comparable(e.seeds[1], s)}
}

// visit records a state unless it is known, and checks it.
func (e *explorer[S]) visit(s S, from key, found *[]S) {
	k := e.key(s)
	if !e.add(k, from) {
		return
	}
	e.states.Add(1)
	*found = append(*found, s)
	if err := e.sys.Check(s); err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.bad, e.fail = k, err
	}
}

// add records the parent of a state and reports whether the state is new.
func (e *explorer[S]) add(k, from key) bool {
	sh := &e.shards[k[0]%shards]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, ok := sh.parents[k]; ok {
		return false
	}
	sh.parents[k] = from
	return true
}

// trace replays the way from the initial state to the violation.
func (e *explorer[S]) trace(init S) *Violation[S] {
	var way []key
	for k := e.bad; k != e.key(init); k = e.shards[k[0]%shards].parents[k] {
		way = append(way, k)
	}
	v := &Violation[S]{Err: e.fail, States: []S{init}}
	for i := len(way) - 1; i >= 0; i-- {
		e.replay(v, way[i])
	}
	return v
}

// replay appends the step to the state with a fingerprint.
func (e *explorer[S]) replay(v *Violation[S], to key) {
	done := false
	e.sys.Next(v.States[len(v.States)-1], func(action string, next S) {
		if done || e.key(next) != to {
			return
		}
		done = true
		v.Actions = append(v.Actions, action)
		v.States = append(v.States, next)
	})
}
