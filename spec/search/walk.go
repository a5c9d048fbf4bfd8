package search

import "math/rand/v2"

// RandomWalk follows random paths from the initial state, each of up to depth
// steps, and returns the first violation and the number of paths started. It
// reaches depths that Explore cannot, but finding nothing proves nothing.
func RandomWalk[S comparable](sys System[S], seed uint64, paths, depth int) (*Violation[S], int) {
	w := &walker[S]{sys: sys, rng: rand.New(rand.NewPCG(seed, 0))}
	for p := range paths {
		if v := w.path(depth); v != nil {
			return v, p + 1
		}
	}
	return nil, paths
}

// walker holds the successors of one state, reused from step to step.
type walker[S comparable] struct {
	sys     System[S]
	rng     *rand.Rand
	actions []string
	nexts   []S
}

// path follows one random path and returns its violation, if any.
func (w *walker[S]) path(depth int) *Violation[S] {
	s := w.sys.Init()
	trace := &Violation[S]{States: []S{s}}
	for range depth {
		w.actions, w.nexts = w.actions[:0], w.nexts[:0]
		w.sys.Next(s, func(action string, next S) {
			w.actions = append(w.actions, action)
			w.nexts = append(w.nexts, next)
		})
		if len(w.nexts) == 0 {
			return nil
		}
		i := w.rng.IntN(len(w.nexts))
		s = w.nexts[i]
		trace.Actions = append(trace.Actions, w.actions[i])
		trace.States = append(trace.States, s)
		if err := w.sys.Check(s); err != nil {
			trace.Err = err
			return trace
		}
	}
	return nil
}
