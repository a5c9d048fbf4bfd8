package core

// Effect is an output of a reducer, run by its shell.
type Effect interface{ effect() }

// Send passes a message to another process. A shell that cannot deliver it to
// that life drops it. Incarnation zero addresses whichever life the VM runs.
type Send struct {
	To  Node
	Msg Message
}

// Reply gives a request its final word. With OutcomeRan the shell completes the
// answer from Finish.Answer or from the stream of Finish.Attempt.
type Reply struct {
	Req    RequestID
	Finish Finish
}

// AttachStream tells the edge's shell to read the answer of an attempt from
// its sidecar. The shell holds the end of the answer back until Reply.
type AttachStream struct {
	Req     RequestID
	Attempt AttemptID
	Sidecar Node
}

// StoreGet reads one key; answered by StoreResult.
type StoreGet struct {
	Op  uint64
	Key string
}

// StoreRange reads all keys with a prefix; answered by StoreResult.
type StoreRange struct {
	Op     uint64
	Prefix string
}

// StoreCompareAndSwap writes a key if its revision is still Revision (zero: absent);
// answered by StoreResult, whose Entries hold the key with its new revision
// when the swap succeeded.
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
	// Fence is passed on to targets that check fencing numbers.
	Fence Epoch
	// Owner is the entry that sent the attempt.
	Owner Node
}

// AbortTarget cancels an attempt at the target.
type AbortTarget struct{ Attempt AttemptID }

// DropAnswer releases the kept answer of an attempt.
type DropAnswer struct{ Attempt AttemptID }

// ReleaseCache asks the target to drop the blocks of an ended or expired
// program from its prefix cache.
type ReleaseCache struct {
	Program ProgramID
	Digests []uint64
}

// ListCache asks the target for a CacheListing after a gap in its events.
type ListCache struct{}

// Stopped reports that a graceful shutdown is complete.
type Stopped struct{}

// Decision records a choice for the decision log and the metrics.
type Decision struct {
	// Step names the choice, such as "place", "queue", "refuse" or "takeover".
	Step    string
	Program ProgramID
	Seq     uint64
	Attempt AttemptID
	Target  Node
	Slot    SlotID
	Reason  Reason
	// Cost is the estimate that won, in nanoseconds.
	Cost Duration
	// Wait is the time spent in the step that ended, in nanoseconds.
	Wait  Duration
	Usage Usage
	// Kind and Account are those of the program, with "finish" and "end".
	Kind    string
	Account Account
	// History is the part of the prompt, in tokens, that the program's earlier
	// calls have computed before; with "finish".
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

// Reducer is the pure transition function of one role.
type Reducer interface {
	// Step applies one event at an instant and returns the effects in order.
	// Instants never go back.
	Step(ev Event, now Instant) []Effect
}
