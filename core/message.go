package core

// Message is sent from one process to another. Messages may be lost, delayed,
// duplicated and reordered.
type Message interface{ message() }

// Forward asks the home of a program to run a call for an edge.
type Forward struct {
	Req  RequestID
	Call Call
	// Epoch is the owner's as the edge knows it. A home takes no forward of an
	// epoch before its own time: a late copy must not run a call that another
	// home has refused.
	Epoch Epoch
	// Reforwarded says that the request was forwarded in another epoch before, so that
	// an earlier home may have run the call.
	Reforwarded bool
}

// Placed tells the edge where the answer of a request will appear, so that it
// can attach to the stream.
type Placed struct {
	Req     RequestID
	Attempt AttemptID
	Sidecar Node
}

// Finished tells the edge the final word on a request.
type Finished struct {
	Req    RequestID
	Finish Finish
	// Epoch is the answering home's. An edge that has forwarded the request
	// again in a later epoch ignores an older refusal.
	Epoch Epoch
}

// Withdraw tells the home that the caller of a request has gone.
type Withdraw struct{ Req RequestID }

// EndRequest asks the home to end a program and its sub-agents.
type EndRequest struct {
	Req     RequestID
	Program ProgramID
	Account Account
}

// ReplicaWrite replicates changes of a slot to a mirror. Image is set on the
// first write of an epoch and whenever the mirror asks for it; otherwise the
// write contains the programs and escrows changed since Index-1.
type ReplicaWrite struct {
	Slot     SlotID
	Epoch    Epoch
	Index    uint64
	Snapshot *SlotSnapshot
	Programs []*Program
	Removed  []ProgramID
	Escrows  []Escrow
	// NextAttempt is the owner's next attempt number.
	NextAttempt uint64
	// At is the home's time of the write. A mirror that becomes home shifts the
	// instants of the records by the difference to its own time.
	At Instant
}

// ReplicaAck answers a MirrorWrite.
type ReplicaAck struct {
	Slot  SlotID
	Epoch Epoch
	Index uint64
	// OK means that the write and all before it are kept.
	OK bool
	// Promised is the highest epoch that the mirror has seen; a write of a lower
	// one is refused.
	Promised Epoch
	// NeedsSnapshot asks for a write with Image.
	NeedsSnapshot bool
}

// Heartbeat is sent by every entry to its peers.
type Heartbeat struct {
	Domain Domain
	// Generation is the configuration in force at the sender.
	Generation uint64
	// MapSum is the sum of all slot versions and ranks known to the sender.
	MapSum   uint64
	Draining bool
	// Period is the time within which the sender owes the next heartbeat; zero
	// means the period of the configuration.
	Period Duration
}

// SlotUpdate passes slot owners on to peers.
type SlotUpdate struct{ Assignments []SlotAssignment }

// SlotQuery asks a peer for its whole slot map.
type SlotQuery struct{}

// PromiseRequest asks a member of a slot to refuse all writes below an epoch.
// A member that wants to change the slot's owner collects promises before it
// swaps the entry.
type PromiseRequest struct {
	Slot  SlotID
	Epoch Epoch
}

// PromiseReply answers a PromiseRequest.
type PromiseReply struct {
	Slot SlotID
	// Epoch is the one that was asked for.
	Epoch Epoch
	OK    bool
	// Promised is the highest epoch that the member has promised.
	Promised Epoch
	// Eligible says that the member has an image with all acknowledged writes.
	Eligible bool
}

// Handover offers a slot to a mirror in a planned change of owner.
type Handover struct {
	Slot  SlotID
	Epoch Epoch
}

// Dispatch sends an attempt to the sidecar of its target.
type Dispatch struct {
	Slot    SlotID
	Epoch   Epoch
	Attempt AttemptID
	// Target must be the receiver's own life; another life refuses.
	Target Node
	Call   Call
	// Attained, Turns and Started order the call among those that wait.
	Attained uint64
	Turns    uint32
	Started  Instant
	// Age is the time since the program's first call.
	Age Duration
}

// QueryAttempt asks a sidecar for the outcome of an attempt. A sidecar that
// does not know the attempt refuses it for ever.
type QueryAttempt struct {
	Slot    SlotID
	Epoch   Epoch
	Attempt AttemptID
	Target  Node
}

// CancelAttempt asks a sidecar to stop an attempt.
type CancelAttempt struct {
	Slot    SlotID
	Epoch   Epoch
	Attempt AttemptID
}

// AckResult lets a sidecar forget a finished attempt after its retention time.
type AckResult struct{ Attempt AttemptID }

// EndProgram releases the engine memory held for a program tree.
type EndProgram struct {
	Slot    SlotID
	Epoch   Epoch
	Program ProgramID
}

// HistoryRequest asks the home of a program where its conversation is kept.
type HistoryRequest struct {
	Req     RequestID
	Program ProgramID
	Account Account
	Epoch   Epoch
}

// HistoryFound answers a HistoryRequest; a refusal comes as Finished.
type HistoryFound struct {
	Req RequestID
	Ref HistoryRef
}

// HistoryStored tells the home that a sidecar keeps a conversation.
type HistoryStored struct {
	Node Node
	// Forwarded says that an entry which is no longer the home has passed the message
	// on; it is passed on once.
	Forwarded bool
	Slot      SlotID
	Epoch     Epoch
	Program   ProgramID
	Digest    uint64
	Blocks    uint32
}

// HistoryDrop lets a sidecar forget a conversation that newer copies replace.
type HistoryDrop struct {
	Slot    SlotID
	Epoch   Epoch
	Program ProgramID
	Digest  uint64
}

// Hello asks a sidecar for load reports.
type Hello struct{}

// AttemptState is the state of an attempt in a sidecar's call table.
type AttemptState uint8

// States of an attempt.
const (
	AttemptUnknown AttemptState = iota
	AttemptWaiting
	AttemptRunning
	AttemptDone
	// AttemptRefused is final: the attempt did not run and never will.
	AttemptRefused
	// AttemptLost is final: the attempt was sent to the target and its outcome
	// cannot be known.
	AttemptLost
)

// Result reports the state of an attempt to the home.
type Result struct {
	Attempt AttemptID
	// Program is the program of the attempt, when known.
	Program ProgramID
	State   AttemptState
	Reason  Reason
	// RetryAfter is set with AttemptRefused when the target knows one.
	RetryAfter Duration
	Usage      Usage
	// Digest is the conversation's digest with the answer, and Blocks its length.
	Digest uint64
	Blocks uint32
	// Answer is a short answer of a non-idempotent call, kept with the record.
	Answer []byte
	Length uint64
	// Epoch is the highest epoch the sidecar has seen for the slot.
	Epoch Epoch
	Load  Load
}

// Load is a target's load as its sidecar sees it.
type Load struct {
	Pool    Pool
	Domain  Domain
	Waiting uint32
	Running uint32
	// Limit is the number of attempts the sidecar lets run at once.
	Limit uint32
	// WaitingTokens is the prompt and output work that waits, in tokens.
	WaitingTokens uint64
	// CacheTokens and CacheUsed size the prefix cache; CachePinned is held for
	// programs in progress.
	CacheTokens uint64
	CacheUsed   uint64
	CachePinned uint64
	// PrefillRate is in tokens a second; StepTime is the time of a decode step.
	PrefillRate uint64
	StepTime    Duration
	Draining    bool
}

// LoadReport is sent by a sidecar to the entries that said Hello.
type LoadReport struct{ Load Load }

func (Forward) message()        {}
func (Placed) message()         {}
func (Finished) message()       {}
func (Withdraw) message()       {}
func (EndRequest) message()     {}
func (ReplicaWrite) message()   {}
func (ReplicaAck) message()     {}
func (Heartbeat) message()      {}
func (SlotUpdate) message()     {}
func (SlotQuery) message()      {}
func (PromiseRequest) message() {}
func (PromiseReply) message()   {}
func (Handover) message()       {}
func (Dispatch) message()       {}
func (QueryAttempt) message()   {}
func (CancelAttempt) message()  {}
func (AckResult) message()      {}
func (EndProgram) message()     {}
func (Hello) message()          {}
func (Result) message()         {}
func (LoadReport) message()     {}
func (HistoryRequest) message() {}
func (HistoryFound) message()   {}
func (HistoryStored) message()  {}
func (HistoryDrop) message()    {}
