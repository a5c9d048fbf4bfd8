package member

import "fmt"

// Error is a failure of a member.
type Error struct {
	// Step is listen, accept, copy or join.
	Step string
	// Peer is the address or member it concerns.
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ledger member %s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
