// Package explain reads the decision logs of the daemons. It reports how the time of
// one program was spent, and why its calls were placed on their targets.
//
// Within a call, the clocks of different VMs are never compared: each part of a
// call's time was measured by one process.
package explain

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// Steps of the decisions that concern a call.
const (
	stepPlace      = "place"
	stepQueue      = "queue"
	stepFirstToken = "first_token"
	stepRun        = "run"
	stepRefuse     = "refuse"
	stepFinish     = "finish"
)

// Parts is a duration split into its parts, in seconds.
type Parts struct {
	// Owner is the wait at the owner before the first target was chosen.
	Owner float64 `json:"home_seconds"`
	// Queue is the wait at the sidecar of the attempt that finished the call.
	Queue float64 `json:"queue_seconds"`
	// Prefill is the time to the first token; Decode is the time from the first
	// token to the last. If the log has no first token of a model call, Decode is
	// the complete execution time.
	Prefill float64 `json:"prefill_seconds"`
	Decode  float64 `json:"decode_seconds"`
	// Tool is the execution time of calls other than model calls.
	Tool float64 `json:"tool_seconds"`
	// Retry is the time from the first choice of a target to the last one.
	Retry float64 `json:"retry_seconds"`
	// Other is the rest: replication, messages and waiting for outcomes.
	Other float64 `json:"other_seconds"`
}

// add adds the parts of q to p.
func (p *Parts) add(q Parts) {
	p.Owner += q.Owner
	p.Queue += q.Queue
	p.Prefill += q.Prefill
	p.Decode += q.Decode
	p.Tool += q.Tool
	p.Retry += q.Retry
	p.Other += q.Other
}

// sumWithoutOther returns the sum of all parts except Other.
func (p *Parts) sumWithoutOther() float64 {
	return p.Owner + p.Queue + p.Prefill + p.Decode + p.Tool + p.Retry
}

// Report explains a program and its sub-agents.
type Report struct {
	Program core.ProgramID `json:"program"`
	Start   time.Time      `json:"start"`
	// SpanSeconds is the time from the first call's arrival to the last call's end.
	SpanSeconds float64 `json:"span_seconds"`
	// OutsideSeconds is the part of the span in which no call was in progress.
	OutsideSeconds float64 `json:"outside_seconds"`
	// Parts is the sum of the parts of all calls. Calls that overlap in time are
	// counted in full.
	Parts Parts  `json:"parts"`
	Calls []Call `json:"calls"`
}

// Call explains one call.
type Call struct {
	Program      core.ProgramID `json:"program"`
	Seq          uint64         `json:"seq"`
	End          time.Time      `json:"end"`
	TotalSeconds float64        `json:"total_seconds"`
	Parts        Parts          `json:"parts"`
	// Reason is the reason for which the call failed; empty if it did not fail.
	Reason       core.Reason `json:"reason,omitempty"`
	PromptTokens uint32      `json:"prompt_tokens"`
	CachedTokens uint32      `json:"cached_tokens"`
	OutputTokens uint32      `json:"output_tokens"`
	// Choices are the targets chosen, in order.
	Choices []Choice `json:"choices"`
}

// Choice is one choice of a target and its result.
type Choice struct {
	Target      string  `json:"target"`
	CostSeconds float64 `json:"cost_seconds"`
	// Refused is the sidecar's reason for refusing the attempt; empty if the sidecar
	// accepted the attempt.
	Refused core.Reason `json:"refused,omitempty"`
}

// callKey identifies a call.
type callKey struct {
	program core.ProgramID
	seq     uint64
}

// New explains a program and its sub-agents. The decisions of all daemons may be in
// any order. Calls that have not finished are left out.
func New(program core.ProgramID, decisions []observe.Decision) *Report {
	report := &Report{Program: program}
	calls := groupByCall(program, decisions)
	for _, k := range slices.Collect(maps.Keys(calls)) {
		if call, ended := newCall(k, calls[k]); ended {
			report.Calls = append(report.Calls, call)
			report.Parts.add(call.Parts)
		}
	}
	slices.SortFunc(report.Calls, func(a, b Call) int {
		return cmp.Or(a.End.Compare(b.End), cmp.Compare(a.Program, b.Program), cmp.Compare(a.Seq, b.Seq))
	})
	report.setSpan()
	return report
}

// Resolve returns the ids of the root programs that a name may refer to. If the name
// is a program id, it returns only this id; else it returns all ids that consist of an
// account and the name.
func Resolve(name string, decisions []observe.Decision) []core.ProgramID {
	found := make(map[core.ProgramID]struct{})
	for _, d := range decisions {
		if d.Program == core.ProgramID(name) {
			return []core.ProgramID{d.Program}
		}
		if strings.HasSuffix(string(d.Program), accountSeparator+name) {
			found[d.Program] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// accountSeparator separates the account from the caller's own name in a program id.
const accountSeparator = ":"

// groupByCall returns the decisions about a program and its sub-agents, grouped by
// call. The decisions of each call are in order of time.
func groupByCall(program core.ProgramID, decisions []observe.Decision) map[callKey][]observe.Decision {
	calls := make(map[callKey][]observe.Decision)
	for _, d := range decisions {
		if d.Program != program && !strings.HasPrefix(string(d.Program), string(program)+"/") {
			continue
		}
		k := callKey{program: d.Program, seq: d.Seq}
		calls[k] = append(calls[k], d)
	}
	for _, list := range calls {
		slices.SortStableFunc(list, func(a, b observe.Decision) int { return a.Time.Compare(b.Time) })
	}
	return calls
}

// newCall explains one call. It returns false if the call has not finished.
func newCall(k callKey, decisions []observe.Decision) (Call, bool) {
	end := slices.IndexFunc(decisions, func(d observe.Decision) bool { return d.Step == stepFinish })
	if end < 0 {
		return Call{}, false
	}
	finish := decisions[end]
	call := Call{
		Program:      k.program,
		Seq:          k.seq,
		End:          finish.Time,
		TotalSeconds: finish.WaitSeconds,
		Reason:       finish.Reason,
		PromptTokens: finish.PromptTokens,
		CachedTokens: finish.CachedTokens,
		OutputTokens: finish.OutputTokens,
	}
	call.setChoices(decisions)
	call.setExecution(decisions, finish.Attempt)
	call.Parts.Other = max(call.TotalSeconds-call.Parts.sumWithoutOther(), 0)
	return call, true
}

// setChoices sets the chosen targets, the wait before the first choice, and the time
// from the first choice to the last.
func (c *Call) setChoices(decisions []observe.Decision) {
	for _, d := range decisions {
		switch d.Step {
		case stepPlace:
			if len(c.Choices) == 0 {
				c.Parts.Owner = d.WaitSeconds
			}
			c.Parts.Retry = max(d.WaitSeconds-c.Parts.Owner, 0)
			c.Choices = append(c.Choices, Choice{Target: d.Target, CostSeconds: d.CostSeconds})
		case stepRefuse:
			c.setRefused(d)
		}
	}
}

// setRefused records the refusal d in the latest choice of the target that refused.
func (c *Call) setRefused(d observe.Decision) {
	for i := range slices.Backward(c.Choices) {
		if c.Choices[i].Target == d.Target {
			c.Choices[i].Refused = d.Reason
			return
		}
	}
}

// setExecution sets the parts of the time that the call spent at its sidecar and
// target, from the decisions about the attempt that finished the call.
func (c *Call) setExecution(decisions []observe.Decision, attempt string) {
	var run, first float64
	for _, d := range decisions {
		if attempt == "" || d.Attempt != attempt {
			continue
		}
		switch d.Step {
		case stepQueue:
			c.Parts.Queue = d.WaitSeconds
		case stepFirstToken:
			first = d.WaitSeconds
		case stepRun:
			run = d.WaitSeconds
		}
	}
	if c.PromptTokens == 0 {
		c.Parts.Tool = run
		return
	}
	c.Parts.Prefill = min(first, run)
	c.Parts.Decode = run - c.Parts.Prefill
}

// setSpan sets the program's start and span, and the time outside of all calls.
func (r *Report) setSpan() {
	if len(r.Calls) == 0 {
		return
	}
	type interval struct{ start, end time.Time }
	intervals := make([]interval, 0, len(r.Calls))
	for _, c := range r.Calls {
		total := time.Duration(c.TotalSeconds * float64(time.Second))
		intervals = append(intervals, interval{c.End.Add(-total), c.End})
	}
	slices.SortFunc(intervals, func(a, b interval) int { return a.start.Compare(b.start) })
	r.Start = intervals[0].start
	end := r.Start
	for _, i := range intervals {
		if gap := i.start.Sub(end); gap > 0 {
			r.OutsideSeconds += gap.Seconds()
		}
		if i.end.After(end) {
			end = i.end
		}
	}
	r.SpanSeconds = end.Sub(r.Start).Seconds()
}
