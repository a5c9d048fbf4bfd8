package core

// Message is sent from one process to another. Messages may be lost, delayed,
// duplicated and reordered.
type Message interface{ message() }

// Forward requests that the owner of a program runs a call for the ingress.
type Forward struct {
	Req  RequestID
	Call Call
	// Epoch is the owner's epoch in the slot map of the ingress. An owner rejects forwards
	// of earlier epochs than its own: a late copy must not start a call that another
	// owner has refused.
	Epoch Epoch
	// Reforwarded means that the request was forwarded before in another epoch, so
	// that an earlier owner may have executed the call.
	Reforwarded bool
}

// Placed notifies the ingress which sidecar will produce the answer of a request, so
// that it can attach to the stream.
type Placed struct {
	Req     RequestID
	Attempt AttemptID
	Sidecar Node
}

// Finished reports the final result of a request to its ingress.
type Finished struct {
	Req    RequestID
	Finish Finish
	// Epoch is the epoch of the owner that sends the result. An ingress that has
	// forwarded the request again in a later epoch ignores a rejection from an
	// earlier epoch.
	Epoch Epoch
}

// Withdraw notifies the owner that the caller of a request has disconnected.
type Withdraw struct{ Req RequestID }

// EndRequest requests that the owner ends a program and its sub-agents.
type EndRequest struct {
	Req     RequestID
	Program ProgramID
	Account Account
}

// ReplicaWrite replicates changes of a slot to a replica. Snapshot is set on the first
// write of an epoch and whenever the replica requests it. Otherwise the write contains
// the programs and escrows that changed since the write with Index-1.
type ReplicaWrite struct {
	Slot     SlotID
	Epoch    Epoch
	Index    uint64
	Snapshot *SlotSnapshot
	Programs []*Program
	Removed  []ProgramID
	Escrows  []Escrow
	// NextAttempt is the number of the owner's next attempt.
	NextAttempt uint64
	// At is the time of the write on the owner's clock. A replica that becomes the
	// owner shifts the instants in the records by the difference to its own clock.
	At Instant
}

// ReplicaAck is the response to a ReplicaWrite.
type ReplicaAck struct {
	Slot  SlotID
	Epoch Epoch
	Index uint64
	// OK means that the write and all writes before it are stored.
	OK bool
	// Promised is the highest epoch that the replica has seen. It rejects writes of
	// lower epochs.
	Promised Epoch
	// NeedsSnapshot requests a write with Snapshot.
	NeedsSnapshot bool
}

// Heartbeat is sent by every entry to its peers.
type Heartbeat struct {
	Domain Domain
	// Generation is the generation of the sender's active configuration.
	Generation uint64
	// MapSum is the sum, over all slots, of a term formed from the slot's version
	// and rank in the sender's slot map. Different sums mean that the slot maps
	// differ.
	MapSum   uint64
	Draining bool
	// Period is the time within which the sender will send the next heartbeat; zero
	// means the configured period.
	Period Duration
}

// SlotUpdate distributes slot assignments to peers.
type SlotUpdate struct{ Assignments []SlotAssignment }

// SlotQuery requests the complete slot map of a peer.
type SlotQuery struct{}

// PromiseRequest requests that a member of a slot promises, in the sense of Paxos, to
// reject all writes below an epoch. A member that wants to change the slot's owner
// collects promises before the compare-and-swap of the slot assignment.
type PromiseRequest struct {
	Slot  SlotID
	Epoch Epoch
}

// PromiseReply is the response to a PromiseRequest.
type PromiseReply struct {
	Slot SlotID
	// Epoch is the epoch of the PromiseRequest.
	Epoch Epoch
	OK    bool
	// Promised is the highest epoch that the member has promised.
	Promised Epoch
	// Eligible means that the member's snapshot contains all acknowledged writes.
	Eligible bool
}

// Handover offers a slot to a replica in a planned change of owner.
type Handover struct {
	Slot  SlotID
	Epoch Epoch
}

// Dispatch sends an attempt to the sidecar of its target.
type Dispatch struct {
	Slot    SlotID
	Epoch   Epoch
	Attempt AttemptID
	// Target must be the receiver's own incarnation, else the receiver does not run the
	// attempt.
	Target Node
	Call   Call
	// Attained is used to order the call in the queue. Turns shows whether the
	// program is in progress. Started is the time of the program's first call; no
	// sidecar reads it.
	Attained uint64
	Turns    uint32
	Started  Instant
	// Age is the time since the program's first call. It is used to order the
	// call in the queue, too.
	Age Duration
}

// QueryAttempt queries a sidecar for the state of an attempt. A sidecar without a record
// of the attempt refuses it permanently.
type QueryAttempt struct {
	Slot    SlotID
	Epoch   Epoch
	Attempt AttemptID
	Target  Node
}

// CancelAttempt requests that a sidecar cancels an attempt.
type CancelAttempt struct {
	Slot    SlotID
	Epoch   Epoch
	Attempt AttemptID
}

// AckResult acknowledges the Result of a final attempt. The sidecar drops the attempt
// after its retention time.
type AckResult struct{ Attempt AttemptID }

// EndProgram ends a program tree at a sidecar and releases the engine memory held for
// it.
type EndProgram struct {
	Slot    SlotID
	Epoch   Epoch
	Program ProgramID
}

// HistoryRequest queries the owner of a program for the location of its conversation.
type HistoryRequest struct {
	Req     RequestID
	Program ProgramID
	Account Account
	Epoch   Epoch
}

// HistoryFound is the response to a HistoryRequest. An owner that rejects the
// request sends Finished instead.
type HistoryFound struct {
	Req RequestID
	Ref HistoryRef
}

// HistoryStored notifies the owner that a sidecar has stored a conversation.
type HistoryStored struct {
	Node Node
	// Forwarded means that a former owner has forwarded the message to the current one.
	// A message is forwarded at most once.
	Forwarded bool
	Slot      SlotID
	Epoch     Epoch
	Program   ProgramID
	Digest    uint64
	Blocks    uint32
}

// HistoryDrop allows a sidecar to delete a stored conversation, because newer
// copies exist.
type HistoryDrop struct {
	Slot    SlotID
	Epoch   Epoch
	Program ProgramID
	Digest  uint64
}

// Hello subscribes the sender to a sidecar's load reports for a limited time.
type Hello struct{}

// AttemptState is the state of an attempt in a sidecar's call table.
type AttemptState uint8

// States of an attempt.
const (
	AttemptUnknown AttemptState = iota
	AttemptWaiting
	AttemptRunning
	AttemptDone
	// AttemptRefused is final: the attempt was not executed and never will be.
	AttemptRefused
	// AttemptLost is final: the attempt may have been sent to the target and its
	// outcome cannot be known.
	AttemptLost
)

// Result reports the state of an attempt to the owner.
type Result struct {
	Attempt AttemptID
	// Program is the program of the attempt, or "" if it is unknown.
	Program ProgramID
	State   AttemptState
	Reason  Reason
	// RetryAfter is the retry hint if the state is AttemptRefused; zero means
	// none.
	RetryAfter Duration
	Usage      Usage
	// Digest and Blocks are the digest and the number of blocks of the conversation
	// including the answer.
	Digest uint64
	Blocks uint32
	// Answer is a short answer of a non-idempotent call, which the owner stores with
	// the call's record.
	Answer []byte
	Length uint64
	// Epoch is the highest epoch that the sidecar has seen for the slot.
	Epoch Epoch
	Load  Load
}

// Load is the load of a target as measured by its sidecar.
type Load struct {
	Pool    Pool
	Domain  Domain
	Waiting uint32
	Running uint32
	// Limit is the number of attempts that the sidecar runs concurrently.
	Limit uint32
	// WaitingTokens is the queued prefill and decode work, in tokens of prefill.
	WaitingTokens uint64
	// CacheTokens is the size of the prefix cache, CacheUsed the part in use and
	// CachePinned the part pinned for programs in progress, all in tokens.
	CacheTokens uint64
	CacheUsed   uint64
	CachePinned uint64
	// PrefillRate is in tokens per second; StepTime is the duration of a decode step.
	PrefillRate uint64
	StepTime    Duration
	Draining    bool
}

// LoadReport is sent by a sidecar to the entries that have subscribed with Hello.
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
