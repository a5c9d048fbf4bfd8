package core

// HistoryCopy is a sidecar's copy of a program's conversation. Digest and Blocks
// identify the state of the conversation that is stored.
type HistoryCopy struct {
	Node   Node
	Digest uint64
	Blocks uint32
}

// HistoryRef identifies the acknowledged conversation of a program and the sidecars
// that store it.
type HistoryRef struct {
	Program ProgramID
	Account Account
	Slot    SlotID
	// Epoch is the owner's epoch. A sidecar that has seen a later epoch rejects the
	// request.
	Epoch  Epoch
	Digest uint64
	Blocks uint32
	// Copies lists the sidecars that store the complete conversation, beginning with
	// the one that served the last call.
	Copies []Node
}

// HistoryArrived requests the conversation of a program, for a caller that reads it
// or to complete a call that contains only the new messages.
type HistoryArrived struct {
	Req     RequestID
	Program ProgramID
	Account Account
}

// HistoryLocated reports to the ingress where a conversation is stored.
type HistoryLocated struct {
	Req RequestID
	Ref HistoryRef
}

// ReleaseHistory drops the stored conversations of a program tree or, if Digest is
// not zero, only the conversation with that digest.
type ReleaseHistory struct {
	Slot    SlotID
	Epoch   Epoch
	Program ProgramID
	Digest  uint64
}

func (HistoryArrived) event()  {}
func (HistoryLocated) effect() {}
func (ReleaseHistory) effect() {}
