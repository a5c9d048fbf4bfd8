// Package search explores the reachable states of a small transition system in
// breadth-first order, so that the first violation found has a shortest trace.
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
	// Depth is the largest distance, in steps, of a state from the initial one.
	Depth int
	// Complete means that every reachable state was examined.
	Complete bool
	// Violation is nil if no state violates the invariant.
	Violation *Violation[S]
}

// Violation is a state that violates the invariant and a path to it; the path is
// a shortest one if Explore found it.
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

// key is a 128-bit fingerprint of a state. Two different states are confused only
// if their fingerprints collide.
type key [2]uint64

// shardCount is the number of shards of the set of visited states; sharding
// reduces lock contention between workers.
const shardCount = 64

// shard maps visited states to the states from which they were first reached.
type shard struct {
	mu      sync.Mutex
	parents map[key]key
}

// explorer holds the fingerprints of the visited states and the states of the
// frontier. It reconstructs a trace by replaying the fingerprints of its states.
type explorer[S comparable] struct {
	sys         System[S]
	seeds       [2]maphash.Seed
	shards      [shardCount]shard
	states      atomic.Int64
	transitions atomic.Int64

	mu        sync.Mutex
	violating key
	checkErr  error
}

// Explore examines the states level by level, until all are visited, a level
// contains a violation, or a level ends with more than limit states visited.
func Explore[S comparable](sys System[S], limit int) Report[S] {
	e := &explorer[S]{sys: sys, seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}}
	for i := range e.shards {
		e.shards[i].parents = map[key]key{}
	}
	init := sys.Init()
	var frontier []S
	e.visit(init, key{}, &frontier)
	depth := 0
	for len(frontier) > 0 && e.checkErr == nil && int(e.states.Load()) <= limit {
		frontier = e.level(frontier)
		if len(frontier) > 0 {
			depth++
		}
	}
	report := Report[S]{
		States:      int(e.states.Load()),
		Transitions: int(e.transitions.Load()),
		Depth:       depth,
		Complete:    len(frontier) == 0 && e.checkErr == nil,
	}
	if e.checkErr != nil {
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

// visit records and checks a state that was not visited before.
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
		e.violating, e.checkErr = k, err
	}
}

// add records the parent of a state and reports whether the state is new.
func (e *explorer[S]) add(k, from key) bool {
	sh := &e.shards[k[0]%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, ok := sh.parents[k]; ok {
		return false
	}
	sh.parents[k] = from
	return true
}

// trace replays the path from the initial state to the violation.
func (e *explorer[S]) trace(init S) *Violation[S] {
	var path []key
	for k := e.violating; k != e.key(init); k = e.shards[k[0]%shardCount].parents[k] {
		path = append(path, k)
	}
	v := &Violation[S]{Err: e.checkErr, States: []S{init}}
	for i := len(path) - 1; i >= 0; i-- {
		e.replay(v, path[i])
	}
	return v
}

// replay appends to v the step that leads to the state with the fingerprint to.
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
