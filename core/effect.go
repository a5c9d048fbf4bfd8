package core

// Effect is an output of a reducer. The daemon's runtime runs it.
type Effect interface{ effect() }

// Send sends a message to another process. The runtime drops a message that it
// cannot deliver to that incarnation. Incarnation zero addresses whichever
// incarnation the VM runs.
type Send struct {
	To  Node
	Msg Message
}

// Reply reports the final result of a request at its ingress. With OutcomeRan the
// runtime completes the answer from Finish.Answer or from the stream of
// Finish.Attempt.
type Reply struct {
	Req    RequestID
	Finish Finish
}

// AttachStream starts reading the answer of an attempt from its sidecar. The
// ingress passes the answer on to the caller, but completes it only after the
// Reply effect.
type AttachStream struct {
	Req     RequestID
	Attempt AttemptID
	Sidecar Node
}

// StoreGet reads one key. StoreResult returns the response.
type StoreGet struct {
	Op  uint64
	Key string
}

// StoreRange reads all keys with a prefix. StoreResult returns the response.
type StoreRange struct {
	Op     uint64
	Prefix string
}

// StoreCompareAndSwap writes a key if its revision is still Revision (zero means
// that the key is absent). StoreResult returns the response; if the write succeeded,
// its Records contain the key with the new revision.
type StoreCompareAndSwap struct {
	Op       uint64
	Key      string
	Revision int64
	Value    []byte
}

// StartTarget sends an attempt to the target.
type StartTarget struct {
	Attempt AttemptID
	Call    Call
	// Fence is the fencing token for targets that check one.
	Fence Epoch
	// Owner is the entry that dispatched the attempt.
	Owner Node
}

// AbortTarget cancels an attempt at the target. TargetFailed or TargetFinished
// still reports its end.
type AbortTarget struct{ Attempt AttemptID }

// DropAnswer deletes the stored answer of an attempt.
type DropAnswer struct{ Attempt AttemptID }

// ReleaseCache requests that the target drops blocks from its prefix cache. Program
// is the ended or expired program that used them, or "" if it is unknown.
type ReleaseCache struct {
	Program ProgramID
	Digests []uint64
}

// ListCache requests a CacheListing from the target, after a gap in its events and
// for periodic audits.
type ListCache struct{}

// Stopped reports that a graceful shutdown is complete.
type Stopped struct{}

// Decision reports a step in the handling of a call or slot to the decision log and
// the metrics.
type Decision struct {
	// Step names what was decided, such as "place", "queue", "refuse" or "takeover".
	Step    string
	Program ProgramID
	Seq     uint64
	Attempt AttemptID
	Target  Node
	Slot    SlotID
	Reason  Reason
	// Cost is the estimated cost of the chosen target, in nanoseconds.
	Cost Duration
	// Wait is the duration of the step that ended, in nanoseconds.
	Wait  Duration
	Usage Usage
	// Kind and Account are the program's kind and account. They are set in the
	// steps "finish" and "end".
	Kind    string
	Account Account
	// History is the length in tokens of the part of the prompt that earlier calls
	// of the program have computed; set in step "finish".
	History uint32
}

func (Send) effect()                {}
func (Reply) effect()               {}
func (AttachStream) effect()        {}
func (StoreGet) effect()            {}
func (StoreRange) effect()          {}
func (StoreCompareAndSwap) effect() {}
func (StartTarget) effect()         {}
func (AbortTarget) effect()         {}
func (DropAnswer) effect()          {}
func (ReleaseCache) effect()        {}
func (ListCache) effect()           {}
func (Stopped) effect()             {}
func (Decision) effect()            {}

// Reducer is the deterministic state machine of one role.
type Reducer interface {
	// Step applies one event at an instant and returns the effects in order.
	// Instants must not decrease.
	Step(ev Event, now Instant) []Effect
}
