package search

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// counter is a system that adds one or two in each step, up to a bound.
type counter struct{ bound, bad int }

func (c counter) Init() int { return 0 }

func (c counter) Next(s int, emit func(string, int)) {
	if s+1 <= c.bound {
		emit("one", s+1)
	}
	if s+2 <= c.bound {
		emit("two", s+2)
	}
}

func (c counter) Check(s int) error {
	if s == c.bad {
		return errors.New("bad")
	}
	return nil
}

func TestExploreVisitsEveryStateOnce(t *testing.T) {
	report := Explore(counter{bound: 10, bad: -1}, 100)
	require.True(t, report.Complete)
	require.Nil(t, report.Violation)
	require.Equal(t, 11, report.States)
	require.Equal(t, 19, report.Transitions)
	require.Equal(t, 5, report.Depth)
}

func TestExploreFindsShortestTrace(t *testing.T) {
	report := Explore(counter{bound: 10, bad: 6}, 100)
	require.NotNil(t, report.Violation)
	require.Equal(t, []string{"two", "two", "two"}, report.Violation.Actions)
	require.Equal(t, []int{0, 2, 4, 6}, report.Violation.States)
}

func TestExploreStopsAtLimit(t *testing.T) {
	report := Explore(counter{bound: 1000, bad: -1}, 10)
	require.False(t, report.Complete)
}

func TestRandomWalkFindsDeepViolation(t *testing.T) {
	v, paths := RandomWalk(counter{bound: 1000, bad: 500}, 1, 100, 1000)
	require.NotNil(t, v)
	require.LessOrEqual(t, paths, 100)
	require.Equal(t, 500, v.States[len(v.States)-1])
	repeated, _ := RandomWalk(counter{bound: 1000, bad: 500}, 1, 100, 1000)
	require.Equal(t, v, repeated)
}

func TestExploreContinuesFromFollowedState(t *testing.T) {
	sys := counter{bound: 10, bad: 9}
	s, err := Follow[int](sys, []string{"two", "one", "two"})
	require.NoError(t, err)
	require.Equal(t, 5, s)
	report := Explore(From[int](sys, s), 100)
	require.Equal(t, []string{"two", "two"}, report.Violation.Actions)
	_, err = Follow[int](sys, []string{"two", "three"})
	var stuck *StuckError
	require.ErrorAs(t, err, &stuck)
	require.Equal(t, 1, stuck.Step)
}
