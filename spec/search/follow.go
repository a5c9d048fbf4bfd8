package search

import (
	"fmt"
	"strings"
)

// StuckError reports that no action matches the next line of a script.
type StuckError struct {
	// Step is the line's index in the script.
	Step int
	Line string
}

// Error describes the line that no action matches.
func (e *StuckError) Error() string {
	return fmt.Sprintf("step %d: no action begins with %q", e.Step, e.Line)
}

// Follow takes one step for each line of a script. The step leads to the first
// successor whose action begins with the line. It returns the state reached.
func Follow[S comparable](sys System[S], script []string) (S, error) {
	s := sys.Init()
	for i, line := range script {
		next, ok := followLine(sys, s, line)
		if !ok {
			return s, &StuckError{Step: i, Line: line}
		}
		s = next
	}
	return s, nil
}

func followLine[S comparable](sys System[S], s S, line string) (found S, ok bool) {
	sys.Next(s, func(action string, next S) {
		if !ok && strings.HasPrefix(action, line) {
			found, ok = next, true
		}
	})
	return found, ok
}

// From returns a system with another initial state.
func From[S comparable](sys System[S], start S) System[S] {
	return startedAt[S]{System: sys, start: start}
}

type startedAt[S comparable] struct {
	System[S]
	start S
}

// Init implements System.
func (s startedAt[S]) Init() S { return s.start }
