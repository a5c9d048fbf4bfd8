package engine

import (
	"fmt"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Step names the operation at a target in which an error arose.
type Step string

// Steps of the operations at a target.
const (
	StepRun       Step = "run"
	StepResume    Step = "resume"
	StepCancel    Step = "cancel"
	StepLoad      Step = "load"
	StepEvents    Step = "cache_events"
	StepListCache Step = "listing"
	StepRelease   Step = "release"
	StepExport    Step = "export"
	StepImport    Step = "import"
	StepCommand   Step = "order"
)

// Error is a failure of an operation at a target.
type Error struct {
	Step Step
	// Peer is the target's address.
	Peer string
	// Sent is true if the target may have executed the operation.
	Sent   bool
	Reason core.Reason
	// Status is the HTTP status of the target's error response, or zero.
	Status int
	Err    error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("%s at target %s: status %d: %v", e.Step, e.Peer, e.Status, e.Err)
	}
	return fmt.Sprintf("%s at target %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
