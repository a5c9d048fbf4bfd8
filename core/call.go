package core

// CallKind is the kind of target that executes a call.
type CallKind uint8

// Kinds of call.
const (
	// CallModel is a turn of a program that a model engine executes.
	CallModel CallKind = iota
	// CallTool is a program's call of a tool service.
	CallTool
	// CallService is a call of a plain service, outside any conversation.
	CallService
)

// Block is one message of a conversation. Digest is the digest of the conversation
// up to and including the message; Tokens is the length of the message alone.
type Block struct {
	Digest uint64
	Tokens uint32
}

// Call is a parsed request of a caller.
type Call struct {
	// Program is the program that makes the call; never empty. A standalone service
	// call has a program ID derived from its account and idempotency key.
	Program ProgramID
	// ProgramKind names the program's limits and objectives in the configuration.
	ProgramKind string
	// Seq is the position of the call in its program, from 1. Zero assigns the next
	// position in order of arrival.
	Seq     uint64
	Account Account
	Kind    CallKind
	Pool    Pool
	// Key is the value of the caller's Idempotency-Key header, or "".
	Key           string
	NonIdempotent bool
	Stream        bool
	// MaxTokens bounds the number of tokens that the call generates.
	MaxTokens uint32
	// Budget is the token budget that the caller sets on a program's first
	// call; zero means the program kind's default.
	Budget uint64
	// Blocks is the conversation so far, oldest first; empty unless Kind is CallModel.
	Blocks []Block
	// ResetHistory allows a conversation that does not extend the recorded one.
	ResetHistory bool
	// Timeout bounds the time from arrival to the end of the answer.
	Timeout Duration
	// Method, Path, ContentType and Body are sent to the target unchanged.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Fingerprint is the digest of the body that the caller sent if Body was
	// completed from a stored conversation, else zero.
	Fingerprint uint64
}

// PromptTokens returns the length of the conversation in tokens.
func (c *Call) PromptTokens() uint32 {
	var sum uint32
	for _, b := range c.Blocks {
		sum += b.Tokens
	}
	return sum
}

// Cost returns the most tokens that the call can spend.
func (c *Call) Cost() uint64 { return uint64(c.PromptTokens()) + uint64(c.MaxTokens) }

// Usage counts the tokens that a call used.
type Usage struct {
	PromptTokens uint32
	// CachedTokens is the part of PromptTokens that the prefix cache served.
	CachedTokens uint32
	OutputTokens uint32
}

// Total returns the number of tokens charged to the budget.
func (u Usage) Total() uint64 { return uint64(u.PromptTokens) + uint64(u.OutputTokens) }

// Outcome is what is known about the execution of a call.
type Outcome uint8

// Outcomes of a call.
const (
	// OutcomeNone means that the call is still in flight.
	OutcomeNone Outcome = iota
	// OutcomeRan means that the call was executed and its answer is complete.
	OutcomeRan
	// OutcomeNotRun means that the call was not executed and never will be.
	OutcomeNotRun
	// OutcomeUnknown means that the call may have been executed; it is not sent
	// again.
	OutcomeUnknown
)

// String returns the outcome as API error responses to callers show it.
func (o Outcome) String() string {
	return [...]string{"none", "ran", "not_run", "unknown_outcome"}[o]
}

// Reason is the cause of a refused or failed call.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonBudgetExhausted Reason = "budget_exhausted"
	ReasonHistoryMismatch Reason = "history_mismatch"
	ReasonOutOfSequence   Reason = "out_of_sequence"
	// ReasonBudgetUnavailable means that the account's budget currently cannot be
	// read.
	ReasonBudgetUnavailable Reason = "budget_unavailable"
	// ReasonHistoryLost means that no usable copy of the conversation is left.
	ReasonHistoryLost     Reason = "history_lost"
	ReasonLimitExceeded   Reason = "limit_exceeded"
	ReasonOverload        Reason = "overloaded"
	ReasonNoTarget        Reason = "no_target"
	ReasonNoOwner         Reason = "no_owner"
	ReasonStaleEpoch      Reason = "stale_epoch"
	ReasonTargetRestarted Reason = "target_restarted"
	ReasonDraining        Reason = "draining"
	ReasonTimeout         Reason = "timeout"
	ReasonCanceled        Reason = "canceled"
	ReasonProgramEnded    Reason = "program_ended"
	ReasonMemoryLost      Reason = "memory_lost"
	ReasonUnauthorized    Reason = "unauthorized"
	ReasonTargetFailed    Reason = "target_failed"
	ReasonRefusedBefore   Reason = "refused_before"
	ReasonAnswerLost      Reason = "answer_lost"
	ReasonKeyReuse        Reason = "idempotency_key_reused"
)

// Finish is the final result of a request.
type Finish struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time until a retry makes sense; zero means no hint.
	RetryAfter Duration
	// Attempt is the attempt that produced the answer if Outcome is OutcomeRan.
	Attempt AttemptID
	// Sidecar stores the answer of Attempt.
	Sidecar Node
	Usage   Usage
	// Answer is the complete answer if it was recorded with the call, else nil.
	Answer []byte
	// Length is the length of the complete answer in bytes, by which the ingress
	// detects a truncated answer.
	Length uint64
}
