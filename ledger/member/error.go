package member

import (
	"errors"
	"fmt"
)

// errFrameRange means that the records of an index frame do not fill its range.
var errFrameRange = errors.New("the records of the index frame do not fill its range")

// Error is a failed operation of a member.
type Error struct {
	// Step is listen, start, accept, read, write, copy, expire, collect, hand over, join or
	// retire.
	Step string
	// Peer is the address, member, file or store key concerned.
	Peer string
	Err  error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string { return fmt.Sprintf("ledger member %s %s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
