package observe

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Values of Decision.Step from which observations are derived.
const (
	stepFinish = "finish"
	stepEnd    = "end"
)

// FromDecision returns the observations derived from a decision of an owner. If a
// program has ended, it is the program's latency. If a call has finished, they are
// the tokens of its history that the target still had in its prefix cache, and those
// that the target had to recompute.
func FromDecision(at time.Time, d core.Decision, domain core.Domain) []Observation {
	base := Observation{
		Time:    at,
		Kind:    d.Kind,
		Account: d.Account,
		Target:  d.Target.VM,
		Domain:  domain,
	}
	switch {
	case d.Step == stepEnd:
		base.Measure = ProgramLatency
		base.Value = seconds(d.Wait)
		base.Good = true
		return []Observation{base}
	case d.Step == stepFinish && d.History > 0:
		return cacheObservations(base, d)
	}
	return nil
}

// cacheObservations returns observations of the reused and of the recomputed tokens
// of a call's history.
func cacheObservations(base Observation, d core.Decision) []Observation {
	base.Measure = WastedCache
	reused := min(d.Usage.CachedTokens, d.History)
	var out []Observation
	if reused > 0 {
		base.Value = float64(reused)
		base.Good = true
		out = append(out, base)
	}
	if recomputed := d.History - reused; recomputed > 0 {
		base.Value = float64(recomputed)
		base.Good = false
		out = append(out, base)
	}
	return out
}

// Request is a finished request of a caller, as seen by its ingress entry.
type Request struct {
	Call   core.Call
	Finish core.Finish
	// FirstToken and LastToken are the times from the request's arrival to the first
	// and the last text of a streamed answer, zero if there was none.
	FirstToken time.Duration
	LastToken  time.Duration
}

// callerCausedReasons are the reasons of failures that the caller caused. Such a
// failure does not count against the service.
var callerCausedReasons = map[core.Reason]bool{
	core.ReasonBudgetExhausted: true,
	core.ReasonHistoryMismatch: true,
	core.ReasonOutOfSequence:   true,
	core.ReasonLimitExceeded:   true,
	core.ReasonCanceled:        true,
	core.ReasonProgramEnded:    true,
	core.ReasonUnauthorized:    true,
	core.ReasonKeyReuse:        true,
}

// FromRequest returns the observations derived from a finished request.
func FromRequest(at time.Time, r Request, domain core.Domain) []Observation {
	if r.Call.ProgramKind == "" || callerCausedReasons[r.Finish.Reason] {
		return nil
	}
	base := Observation{
		Time:    at,
		Kind:    r.Call.ProgramKind,
		Account: r.Call.Account,
		Target:  r.Finish.Sidecar.VM,
		Domain:  domain,
		Good:    true,
	}
	refused := base
	refused.Measure = Refused
	refused.Good = r.Finish.Outcome == core.OutcomeRan && r.Finish.Reason == ""
	out := []Observation{refused}
	if r.FirstToken <= 0 {
		return out
	}
	first := base
	first.Measure = FirstToken
	first.Value = r.FirstToken.Seconds()
	out = append(out, first)
	if steps := int64(r.Finish.Usage.OutputTokens) - 1; steps > 0 && r.LastToken > r.FirstToken {
		between := base
		between.Measure = BetweenTokens
		between.Value = (r.LastToken - r.FirstToken).Seconds() / float64(steps)
		out = append(out, between)
	}
	return out
}

// seconds returns a duration in seconds.
func seconds(d core.Duration) float64 { return float64(d) / float64(core.Second) }
