package metrics

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// other stands for values that have no name here, so that labels stay bounded.
const other = "other"

// none stands for the absence of a reason.
const none = "none"

// steps are the steps of decisions.
var steps = []string{"place", "queue", "first_token", "run", "finish", "refuse", "takeover", "end", other}

// reasons are the reasons of refusals and failures.
var reasons = []string{
	none,
	string(core.ReasonBudgetExhausted), string(core.ReasonBudgetUnavailable), string(core.ReasonHistoryMismatch), string(core.ReasonOutOfSequence),
	string(core.ReasonLimitExceeded), string(core.ReasonOverload), string(core.ReasonNoTarget),
	string(core.ReasonNoOwner), string(core.ReasonStaleEpoch), string(core.ReasonTargetRestarted),
	string(core.ReasonDraining), string(core.ReasonTimeout), string(core.ReasonCanceled),
	string(core.ReasonProgramEnded), string(core.ReasonMemoryLost), string(core.ReasonUnauthorized),
	string(core.ReasonTargetFailed), string(core.ReasonRefusedBefore), string(core.ReasonAnswerLost),
	string(core.ReasonKeyReuse), string(core.ReasonHistoryLost),
	// Reasons of requests that were not passed on, of package front.
	"invalid_request", "request_too_large", "not_found", "no_configuration", "forbidden",
	other,
}

// measures are the measures of observations.
var measures = []string{
	string(observe.ProgramLatency), string(observe.FirstToken), string(observe.BetweenTokens),
	string(observe.WastedCache), string(observe.Refused), other,
}

// outcomes are the outcomes of calls.
var outcomes = []string{
	core.OutcomeNone.String(), core.OutcomeRan.String(),
	core.OutcomeNotRun.String(), core.OutcomeUnknown.String(),
}

// calls are the operations of the key-value service.
var calls = []string{"get", "range", "swap", "watch", "lease", other}

// routes are the routes of callers' requests.
var routes = []string{"chat", "models", "service", "end", "history", other}

// bounded returns value if it is among the known ones.
func bounded(value string, known []string) string {
	if slices.Contains(known, value) {
		return value
	}
	return other
}

// reasonLabel returns the label of a reason.
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

// labelValues returns the values of all labels.
func labelValues() []labelSet {
	var promises []string
	for p := range invariant.Count {
		promises = append(promises, p.String())
	}
	return []labelSet{
		{"call", calls},
		{"kind", []string{"prompt", "cached", "output"}},
		{"measure", measures},
		{"message", messageNames()},
		{"operation", []string{"start", "abort", "release_cache", "list_cache"}},
		{"outcome", outcomes},
		{"part", []string{"size", "used", "pinned"}},
		{"promise", promises},
		{"reason", reasons},
		{"result", []string{"ok", "error"}},
		{"route", routes},
		{"step", steps},
		{"verdict", []string{"good", "bad"}},
	}
}
