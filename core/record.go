package core

// CallPhase is the progress of a call in its home record.
type CallPhase uint8

// Phases of a recorded call.
const (
	// PhaseReserved means that budget is reserved and nothing was sent.
	PhaseReserved CallPhase = iota
	// PhaseDispatched means that the attempt may have been sent.
	PhaseDispatched
	// PhaseDone means that the outcome is final.
	PhaseDone
)

// CallRecord is what the home of a program remembers of one of its calls.
type CallRecord struct {
	Seq uint64
	// Req is the request that began the call; an edge that forwards it again
	// to another home is recognized by it.
	Req           RequestID
	Key           string
	Kind          CallKind
	Pool          Pool
	NonIdempotent bool
	Phase         CallPhase
	// Fingerprint is the digest of what the caller sent, to find a key that is
	// used again for another request.
	Fingerprint uint64
	Attempt     AttemptID
	// MayHaveRun says that an earlier attempt was lost and may have run.
	MayHaveRun bool
	// Target is the sidecar life that the ticket is bound to.
	Target Node
	// Reserved is the part of the budget held for the call, in tokens.
	Reserved uint64
	Finish   Finish
	DoneAt   Instant
}

// Program is the home record of a program. It holds no conversation text.
type Program struct {
	ID      ProgramID
	Kind    string
	Account Account
	// NextSeq is the lowest sequence number that was not begun.
	NextSeq uint64
	// Budget, Reserved and Spent are in tokens and meaningful on a root only.
	Budget   uint64
	Reserved uint64
	Spent    uint64
	// HistoryDigest and HistoryBlocks name the acknowledged conversation.
	HistoryDigest uint64
	HistoryBlocks uint32
	// HistoryCopies lists the sidecars that keep the conversation, and those that
	// keep an older state until the newer one has a copy.
	HistoryCopies []HistoryCopy
	// Attained is the service received so far, in tokens computed.
	Attained uint64
	Turns    uint32
	// LastTarget is the target that served the last model call.
	LastTarget Node
	// ServedBy lists the lives of the sidecars that served the tree; on a root
	// only. They hold engine memory until the program ends.
	ServedBy   []Node
	Started    Instant
	LastActive Instant
	Ended      bool
	// Calls holds the open call and the most recent finished ones, by Seq.
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

// Escrow is the part of an account's budget that a slot may spend on its own.
type Escrow struct {
	Account Account
	// Granted and Used are in tokens; Used never exceeds Granted.
	Granted uint64
	Used    uint64
}

// SlotSnapshot is the whole state of a slot as its mirrors keep it.
type SlotSnapshot struct {
	Slot SlotID
	// Epoch and Index name the last write that the image contains.
	Epoch Epoch
	Index uint64
	// CompleteSince is the oldest version since which the image has forgotten
	// nothing; programs may be older than that.
	CompleteSince uint64
	Programs      []*Program
	Escrows       []Escrow
	// NextAttempt is the next attempt number within Epoch.
	NextAttempt uint64
}

// Member is a node that keeps a copy of a slot.
type Member struct {
	Node   Node
	Domain Domain
	// Since is the map version from which the node has been a member without a
	// break. A copy synchronized before Since may lack acknowledged writes.
	Since uint64
}

// SlotAssignment is the entry of the slot map for one slot, as the key-value service
// holds it under SlotKey.
type SlotAssignment struct {
	Slot  SlotID
	Epoch Epoch
	// Proposal is unique to the writer's attempt; reading it back tells whether
	// a swap with a lost answer took effect.
	Proposal string
	Owner    Member `json:"Home"`
	// Replicas are in order of succession. Every one must acknowledge a write.
	Replicas []Member `json:"Mirrors"`
	// CompleteSince is the oldest version since which the owner has forgotten
	// nothing.
	CompleteSince uint64 `json:"Remembers"`
	// Revision is the key-value service's revision of the entry; not stored.
	Revision int64 `json:"-"`
}
