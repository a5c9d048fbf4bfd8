package core

// CallPhase is the progress of a call in its owner's record.
type CallPhase uint8

// Phases of a recorded call.
const (
	// PhaseReserved means that budget is reserved and no attempt was sent.
	PhaseReserved CallPhase = iota
	// PhaseDispatched means that the dispatch record is replicated, so that the
	// attempt may have been sent.
	PhaseDispatched
	// PhaseDone means that the outcome is final.
	PhaseDone
)

// CallRecord is the owner's replicated record of one call of a program.
type CallRecord struct {
	Seq uint64
	// Req is the request that started the call. It identifies the call when the
	// ingress forwards the request again to another owner.
	Req           RequestID
	Key           string
	Kind          CallKind
	Pool          Pool
	NonIdempotent bool
	Phase         CallPhase
	// Fingerprint is the digest of the body that the caller sent, to detect an
	// idempotency key that is reused for a different request.
	Fingerprint uint64
	Attempt     AttemptID
	// MayHaveRun means that an earlier attempt was lost and may have been executed.
	MayHaveRun bool
	// Target is the incarnation of the sidecar that the dispatch record is bound to.
	Target Node
	// Reserved is the part of the budget that is reserved for the call, in tokens.
	Reserved uint64
	Finish   Finish
	DoneAt   Instant
}

// Program is the owner's replicated record of a program. It contains no conversation
// text.
type Program struct {
	ID      ProgramID
	Kind    string
	Account Account
	// NextSeq is the lowest sequence number that no call has used.
	NextSeq uint64
	// Budget, Reserved and Spent are in tokens and meaningful only for a root.
	Budget   uint64
	Reserved uint64
	Spent    uint64
	// HistoryDigest and HistoryBlocks identify the acknowledged conversation.
	HistoryDigest uint64
	HistoryBlocks uint32
	// HistoryCopies lists the sidecars that store the conversation. Sidecars with an
	// older state of it stay listed until a second sidecar has stored the current
	// state.
	HistoryCopies []HistoryCopy
	// Attained is the service received so far, in computed tokens.
	Attained uint64
	Turns    uint32
	// LastTarget is the target that served the last model call.
	LastTarget Node
	// ServedBy lists the incarnations of the sidecars that have served the tree; set
	// only for a root. Their engines may cache its conversations until the program ends.
	ServedBy   []Node
	Started    Instant
	LastActive Instant
	Ended      bool
	// Calls lists the open call and the most recently finished ones, by Seq.
	Calls []CallRecord
}

// Clone returns a deep copy of p.
func (p *Program) Clone() *Program {
	q := *p
	q.Calls = append([]CallRecord(nil), p.Calls...)
	q.ServedBy = append([]Node(nil), p.ServedBy...)
	q.HistoryCopies = append([]HistoryCopy(nil), p.HistoryCopies...)
	return &q
}

// Escrow is the part of an account's budget that was granted to a slot in advance, so
// that the slot can spend it without coordination.
type Escrow struct {
	Account Account
	// Granted and Used are in tokens; Used never exceeds Granted.
	Granted uint64
	Used    uint64
}

// SlotSnapshot is the complete replicated state of a slot.
type SlotSnapshot struct {
	Slot SlotID
	// Epoch and Index identify the last write that the snapshot contains.
	Epoch Epoch
	Index uint64
	// CompleteSince is the slot map version since which the snapshot has lost no
	// writes. Programs from before that version may be missing.
	CompleteSince uint64
	Programs      []*Program
	Escrows       []Escrow
	// NextAttempt is the next attempt number within Epoch.
	NextAttempt uint64
}

// Member is a node with a copy of a slot: its owner or a replica.
type Member struct {
	Node   Node
	Domain Domain
	// Since is the slot map version from which the node has been a member without
	// interruption. A copy synchronized before Since may lack acknowledged writes.
	Since uint64
}

// SlotAssignment is the owner and the replicas of one slot. The key-value service stores
// it as JSON under SlotKey.
type SlotAssignment struct {
	Slot  SlotID
	Epoch Epoch
	// Proposal is unique to the writer's attempt. Reading it back shows whether a
	// compare-and-swap with a lost response took effect.
	Proposal string
	Owner    Member `json:"Home"`
	// Replicas are in order of succession. All must acknowledge a write.
	Replicas []Member `json:"Mirrors"`
	// CompleteSince is the slot map version since which the slot's state has lost
	// no writes.
	CompleteSince uint64 `json:"Remembers"`
	// Revision is the key's revision in the key-value service. It is not part
	// of the stored record.
	Revision int64 `json:"-"`
}
