package place

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

// Names of the placement policies in the settings.
const (
	RoundRobin       = "round_robin"
	LeastOutstanding = "least_outstanding"
	PrefixHash       = "prefix_hash"
	TwoChoices       = "two_choices"
	Cost             = "cost"
)

// Names returns the names that New accepts.
func Names() []string {
	return []string{RoundRobin, LeastOutstanding, PrefixHash, TwoChoices, Cost}
}

// UnknownError reports a placement name that no policy has.
type UnknownError struct{ Name string }

// Error returns the text of the error with the names that exist.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("placement %q is unknown; write one of %v", e.Name, Names())
}

// New returns the placement policy with a name; the empty name means Cost. A
// policy keeps state and serves one pool at one entry.
func New(name string, cfg config.Policy) (Policy, error) {
	switch name {
	case RoundRobin:
		return &roundRobin{}, nil
	case LeastOutstanding:
		return leastOutstanding{}, nil
	case PrefixHash:
		return prefixHash{}, nil
	case TwoChoices:
		return twoChoices{}, nil
	case Cost, "":
		return newCost(cfg), nil
	}
	return nil, &UnknownError{Name: name}
}
