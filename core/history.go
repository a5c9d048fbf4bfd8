package core

// HistoryCopy says up to where a sidecar keeps the conversation of a program.
type HistoryCopy struct {
	Node   Node
	Digest uint64
	Blocks uint32
}

// HistoryRef names the acknowledged conversation of a program and the sidecars
// that keep it.
type HistoryRef struct {
	Program ProgramID
	Account Account
	Slot    SlotID
	// Epoch is the home's; sidecars that have seen a later one refuse it.
	Epoch  Epoch
	Digest uint64
	Blocks uint32
	// Copies lists the sidecars that keep all of it, the last server first.
	Copies []Node
}

// HistoryArrived is a caller's request for the conversation of a program, or for
// completing a call that brings only the new messages.
type HistoryArrived struct {
	Req     RequestID
	Program ProgramID
	Account Account
}

// HistoryLocated tells the edge's shell where a conversation is kept.
type HistoryLocated struct {
	Req RequestID
	Ref HistoryRef
}

// ReleaseHistory drops the kept conversations of a program tree or, with a
// digest, the one conversation that it names.
type ReleaseHistory struct {
	Slot    SlotID
	Epoch   Epoch
	Program ProgramID
	Digest  uint64
}

func (HistoryArrived) event()  {}
func (HistoryLocated) effect() {}
func (ReleaseHistory) effect() {}
