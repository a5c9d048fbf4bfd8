package core

// CallKind says what kind of target executes a call.
type CallKind uint8

// Kinds of call.
const (
	// CallModel is a turn of a program at a model engine.
	CallModel CallKind = iota
	// CallTool is a call of a tool service made by a program.
	CallTool
	// CallService is a call of a plain service outside any conversation.
	CallService
)

// Block is one message of a conversation: the digest of the conversation up to
// and including it, and its own length in tokens.
type Block struct {
	Digest uint64
	Tokens uint32
}

// Call is a request of a caller after it was parsed.
type Call struct {
	// Program is the program that makes the call; never empty. A lone service
	// call has a program id made from its account and idempotency key.
	Program ProgramID
	// Kind of program in the configuration; names its limits and objectives.
	ProgramKind string
	// Seq is the position of the call in its program, from 1. Zero means the
	// next position in order of arrival.
	Seq     uint64
	Account Account
	Kind    CallKind
	Pool    Pool
	// Key is the caller's Idempotency-Key, or "".
	Key           string
	NonIdempotent bool
	Stream        bool
	// MaxTokens bounds the tokens that the call generates.
	MaxTokens uint32
	// Budget is the token budget that the caller sets on a program's first
	// call; zero means the program kind's default.
	Budget uint64
	// Blocks is the conversation so far, oldest first; empty but for CallModel.
	Blocks []Block
	// ResetHistory accepts a conversation that does not extend the recorded one.
	ResetHistory bool
	// Timeout bounds the time from arrival to the end of the answer.
	Timeout Duration
	// Method, Path, ContentType and Body are passed to the target unchanged.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Fingerprint is the digest of what the caller sent, if Body was completed
	// from a kept conversation; else zero.
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

// Usage is what a call spent.
type Usage struct {
	PromptTokens uint32
	// CachedTokens is the part of PromptTokens served from the prefix cache.
	CachedTokens uint32
	OutputTokens uint32
}

// Total returns the tokens charged to the budget.
func (u Usage) Total() uint64 { return uint64(u.PromptTokens) + uint64(u.OutputTokens) }

// Outcome says what is known about the execution of a call.
type Outcome uint8

// Outcomes of a call.
const (
	// OutcomeNone means that the call is still under way.
	OutcomeNone Outcome = iota
	// OutcomeRan means that the call was executed and its answer is complete.
	OutcomeRan
	// OutcomeNotRun means that the call was not executed and never will be.
	OutcomeNotRun
	// OutcomeUnknown means that the call may have been executed; it will not be
	// sent again.
	OutcomeUnknown
)

// String returns the outcome as it stands in the refusals that callers see.
func (o Outcome) String() string {
	return [...]string{"none", "ran", "not_run", "unknown_outcome"}[o]
}

// Reason says why a call was refused or failed.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonBudgetExhausted Reason = "budget_exhausted"
	ReasonHistoryMismatch Reason = "history_mismatch"
	ReasonOutOfSequence   Reason = "out_of_sequence"
	// ReasonBudgetUnavailable means that the account's budget cannot be read at present.
	ReasonBudgetUnavailable Reason = "budget_unavailable"
	// ReasonHistoryLost means that no usable copy of the conversation is kept.
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

// Finish is the final word on a request.
type Finish struct {
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when to try again; zero means no hint.
	RetryAfter Duration
	// Attempt holds the answer when Outcome is OutcomeRan.
	Attempt AttemptID
	// Sidecar is where the answer of Attempt is kept.
	Sidecar Node
	Usage   Usage
	// Answer is the whole answer when it was recorded with the call, else nil.
	Answer []byte
	// Length is the whole answer's length in bytes, so that an edge can tell a
	// cut answer from a whole one.
	Length uint64
}
