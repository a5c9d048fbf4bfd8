// Package observe defines the event log of the daemons, in JSON lines: observations
// for the service-level objectives, and the scheduling decisions that explain them.
// It also batches the writes of the processes' logs.
package observe

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Measure is the name of a measured quantity, as used in objectives.
type Measure string

// Measures of the objectives.
const (
	// ProgramLatency is the time from a program's first call to its last answer.
	ProgramLatency Measure = "program_latency"
	// FirstToken is the time from the arrival of a call to its first token.
	FirstToken Measure = "first_token"
	// BetweenTokens is the time between two tokens of an answer.
	BetweenTokens Measure = "between_tokens"
	// WastedCache measures whether cached tokens were reused. The value of an
	// observation is a number of tokens, which is also its weight.
	WastedCache Measure = "wasted_cache"
	// Refused measures whether a call was refused; the value is not used.
	Refused Measure = "refused"
)

// IsDuration reports whether values of m are times, in seconds.
func (m Measure) IsDuration() bool {
	return m == ProgramLatency || m == FirstToken || m == BetweenTokens
}

// Observation is one event that counts toward an objective.
type Observation struct {
	Time    time.Time    `json:"time"`
	Measure Measure      `json:"measure"`
	Kind    string       `json:"program_kind"`
	Account core.Account `json:"account"`
	Target  core.VM      `json:"target,omitempty"`
	Domain  core.Domain  `json:"domain,omitempty"`
	// Value is in seconds for times and in tokens for WastedCache.
	Value float64 `json:"value"`
	// Good reports whether the event is good, for objectives without a bound. For a
	// duration whose objective has a bound, the value is compared with the bound
	// instead.
	Good bool `json:"good"`
}

// Weight returns the weight of the observation when shares of good and bad events
// are computed: its tokens for WastedCache, else one.
func (o *Observation) Weight() float64 {
	if o.Measure == WastedCache {
		return o.Value
	}
	return 1
}

// Decision is the logged form of a core.Decision, with the time and the process.
type Decision struct {
	Time    time.Time      `json:"time"`
	Node    string         `json:"node"`
	Step    string         `json:"step"`
	Program core.ProgramID `json:"program,omitempty"`
	Seq     uint64         `json:"seq,omitempty"`
	Attempt string         `json:"attempt,omitempty"`
	Target  string         `json:"target,omitempty"`
	Slot    core.SlotID    `json:"slot"`
	Reason  core.Reason    `json:"reason,omitempty"`
	// CostSeconds is the estimated cost of the chosen target. WaitSeconds is the
	// duration of the step that ended.
	CostSeconds  float64 `json:"cost_seconds,omitempty"`
	WaitSeconds  float64 `json:"wait_seconds,omitempty"`
	PromptTokens uint32  `json:"prompt_tokens,omitempty"`
	CachedTokens uint32  `json:"cached_tokens,omitempty"`
	OutputTokens uint32  `json:"output_tokens,omitempty"`
}

// NewDecision returns the logged form of a decision that node has made.
func NewDecision(at time.Time, node core.Node, d core.Decision) Decision {
	out := Decision{
		Time:         at,
		Node:         node.String(),
		Step:         d.Step,
		Program:      d.Program,
		Seq:          d.Seq,
		Slot:         d.Slot,
		Reason:       d.Reason,
		CostSeconds:  float64(d.Cost) / float64(core.Second),
		WaitSeconds:  float64(d.Wait) / float64(core.Second),
		PromptTokens: d.Usage.PromptTokens,
		CachedTokens: d.Usage.CachedTokens,
		OutputTokens: d.Usage.OutputTokens,
	}
	if !d.Attempt.IsZero() {
		out.Attempt = d.Attempt.String()
	}
	if !d.Target.IsZero() {
		out.Target = d.Target.String()
	}
	return out
}

// Line is one line of the log; exactly one field is set.
type Line struct {
	Observation *Observation `json:"observation,omitempty"`
	Decision    *Decision    `json:"decision,omitempty"`
}
