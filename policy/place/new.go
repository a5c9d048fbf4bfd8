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

// UnknownError reports an unknown name of a placement policy.
type UnknownError struct{ Name string }

// Error lists the valid names.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown placement %q; must be one of %v", e.Name, Names())
}

// New returns the placement policy with the given name; the empty name means Cost. A
// policy has state, so each pool at each entry needs its own.
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
