package search

import (
	"fmt"
	"strings"
)

// StuckError says that no successor matches the next line of a script.
type StuckError struct {
	// Step is the index of the line.
	Step int
	Line string
}

// Error names the line.
func (e *StuckError) Error() string {
	return fmt.Sprintf("step %d: no action begins with %q", e.Step, e.Line)
}

// Follow takes one step a line of a script: the first successor whose action
// begins with the line. It returns the state reached.
func Follow[S comparable](sys System[S], script []string) (S, error) {
	s := sys.Init()
	for i, line := range script {
		next, ok := follow(sys, s, line)
		if !ok {
			return s, &StuckError{Step: i, Line: line}
		}
		s = next
	}
	return s, nil
}

func follow[S comparable](sys System[S], s S, line string) (found S, ok bool) {
	sys.Next(s, func(action string, next S) {
		if !ok && strings.HasPrefix(action, line) {
			found, ok = next, true
		}
	})
	return found, ok
}

// From returns a system that begins in another state.
func From[S comparable](sys System[S], start S) System[S] {
	return started[S]{System: sys, start: start}
}

type started[S comparable] struct {
	System[S]
	start S
}

// Init implements System.
func (s started[S]) Init() S { return s.start }
