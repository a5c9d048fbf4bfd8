package history

import (
	"errors"
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// ErrClosed reports that the store is closed.
var ErrClosed = errors.New("history: store is closed")

// NotFoundError reports that the store has no conversation of the program, or
// only an older one.
type NotFoundError struct {
	Program core.ProgramID
	Digest  uint64
}

// Error returns the program and the requested digest.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("history: no body of %s with digest %016x", e.Program, e.Digest)
}

// FenceError reports an epoch below the highest one seen for its slot.
type FenceError struct {
	Slot core.SlotID
	Got  core.Epoch
	Seen core.Epoch
}

// Error returns the slot and both epochs.
func (e *FenceError) Error() string {
	return fmt.Sprintf("history: epoch %s of slot %d is below %s", e.Got, e.Slot, e.Seen)
}

// AccountError reports a conversation that belongs to another account.
// Reader.Messages also returns it for a conversation of another program.
type AccountError struct{ Program core.ProgramID }

// Error returns the program.
func (e *AccountError) Error() string {
	return fmt.Sprintf("history: %s belongs to another account", e.Program)
}

// StaleError reports a Put whose attempt is older than the attempt of the stored
// conversation.
type StaleError struct {
	Program core.ProgramID
	Got     core.AttemptID
	Stored  core.AttemptID
}

// Error returns the program and both attempts.
func (e *StaleError) Error() string {
	return fmt.Sprintf("history: attempt %s of %s is older than %s", e.Got, e.Program, e.Stored)
}

// CorruptError reports data that is not a stored conversation, or that does not
// match its checksum, length or digest.
type CorruptError struct {
	// Step is the check that failed.
	Step string
	Err  error
}

// Error returns the step and the cause.
func (e *CorruptError) Error() string { return fmt.Sprintf("history: %s: %v", e.Step, e.Err) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// TooLargeError reports a conversation that exceeds the store's limit.
type TooLargeError struct {
	Program core.ProgramID
	Bytes   int
}

// Error returns the program and the size.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("history: body of %s has %d bytes, more than the store holds", e.Program, e.Bytes)
}

// DiskError reports a failed operation on the disk store.
type DiskError struct {
	Step string
	Path string
	Err  error
}

// Error returns the step, the path and the cause.
func (e *DiskError) Error() string {
	return fmt.Sprintf("history: %s %s: %v", e.Step, e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Err }
