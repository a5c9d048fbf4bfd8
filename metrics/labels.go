package metrics

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// other is the label value for every value that is not listed in this file. It keeps
// the number of label values bounded.
const other = "other"

// none is the value of the reason label if there is no reason.
const none = "none"

// steps are the label values for steps of decisions.
var steps = []string{"place", "queue", "first_token", "run", "finish", "refuse", "takeover", "end", other}

// reasons are the label values for reasons of refusals and failures.
var reasons = []string{
	none,
	string(core.ReasonBudgetExhausted), string(core.ReasonBudgetUnavailable), string(core.ReasonHistoryMismatch), string(core.ReasonOutOfSequence),
	string(core.ReasonLimitExceeded), string(core.ReasonOverload), string(core.ReasonNoTarget),
	string(core.ReasonNoOwner), string(core.ReasonStaleEpoch), string(core.ReasonTargetRestarted),
	string(core.ReasonDraining), string(core.ReasonTimeout), string(core.ReasonCanceled),
	string(core.ReasonProgramEnded), string(core.ReasonMemoryLost), string(core.ReasonUnauthorized),
	string(core.ReasonTargetFailed), string(core.ReasonRefusedBefore), string(core.ReasonAnswerLost),
	string(core.ReasonKeyReuse), string(core.ReasonHistoryLost),
	// Reasons of package front, for requests that it has rejected itself.
	"invalid_request", "request_too_large", "not_found", "no_configuration", "forbidden",
	other,
}

// measures are the label values for measures of observations.
var measures = []string{
	string(observe.ProgramLatency), string(observe.FirstToken), string(observe.BetweenTokens),
	string(observe.WastedCache), string(observe.Refused), other,
}

// outcomes are the label values for outcomes of calls.
var outcomes = []string{
	core.OutcomeNone.String(), core.OutcomeRan.String(),
	core.OutcomeNotRun.String(), core.OutcomeUnknown.String(),
}

// storeCalls are the label values for operations of the key-value service.
var storeCalls = []string{"get", "range", "swap", "watch", "lease", other}

// routes are the label values for routes of callers' requests.
var routes = []string{"chat", "models", "service", "end", "history", other}

// bounded returns value if known contains it, else other.
func bounded(value string, known []string) string {
	if slices.Contains(known, value) {
		return value
	}
	return other
}

// reasonLabel returns the label value for a reason.
func reasonLabel(r core.Reason) string {
	if r == "" {
		return none
	}
	return bounded(string(r), reasons)
}

// labelSet is a label and its values.
type labelSet struct {
	name   string
	values []string
}

// labelValues returns all labels with their values.
func labelValues() []labelSet {
	var invariants []string
	for p := range invariant.Count {
		invariants = append(invariants, p.String())
	}
	return []labelSet{
		{"call", storeCalls},
		{"kind", []string{"prompt", "cached", "output"}},
		{"measure", measures},
		{"message", messageNames()},
		{"operation", []string{"start", "abort", "release_cache", "list_cache"}},
		{"outcome", outcomes},
		{"part", []string{"size", "used", "pinned"}},
		{"promise", invariants},
		{"reason", reasons},
		{"result", []string{"ok", "error"}},
		{"route", routes},
		{"step", steps},
		{"verdict", []string{"good", "bad"}},
	}
}
