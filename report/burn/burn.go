// Package burn reports how fast a deployment spends the error budgets of its
// service-level objectives: the shares of bad events that the objectives allow.
//
// The burn rate of a window is the share of bad events in it, divided by the
// share that the objective allows: at a rate of one the error budget lasts
// exactly for the period. Each alert needs a high burn rate in a long and in a short
// window. The long window prevents alerts for short bursts. The short window ends the
// alert soon after its cause has ended.
package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
)

// DefaultPeriod is the default period of the error budgets.
const DefaultPeriod = 30 * 24 * time.Hour

const (
	// shortShare is the length of the short window as a share of the long one.
	shortShare = 1.0 / 12
	// plotPointCount is the number of points of a plot.
	plotPointCount = 60
	// maxContributors bounds the contributors in a report.
	maxContributors = 5
)

// alertRule is a pair of windows, whose lengths are shares of the period, and their
// threshold.
type alertRule struct {
	name string
	// longShare is the length of the long window as a share of the period.
	longShare float64
	// threshold is the least burn rate at which the alert is raised.
	threshold float64
}

// alertRules hold a rule for fast burn, which spends 2% of the budget in one long
// window, and one for slow burn, which spends 5%.
var alertRules = []alertRule{
	{name: "fast", longShare: 1.0 / 720, threshold: 14.4},
	{name: "slow", longShare: 1.0 / 120, threshold: 6},
}

// Options configures a report.
type Options struct {
	// Period is the period of the error budgets; zero means DefaultPeriod.
	Period time.Duration
	// End is the end of the report; zero means the time of the last observation.
	End time.Time
}

// objectiveKey identifies an objective: of one account, or of all if account is empty.
type objectiveKey struct {
	kind    string
	account core.Account
	measure observe.Measure
}

// event is an observation and whether it is bad for one objective.
type event struct {
	time   time.Time
	bad    bool
	weight float64
	value  float64
	target core.VM
	domain core.Domain
}

// New evaluates the objectives of a set. The observations may be in any order; those
// outside the period before the report's end are ignored.
func New(set *config.Set, observations []observe.Observation, o Options) *Report {
	if o.Period <= 0 {
		o.Period = DefaultPeriod
	}
	if o.End.IsZero() {
		o.End = latestTime(observations)
	}
	objectives := objectivesByKey(set)
	groups := groupEvents(objectives, observations, o)
	report := &Report{Deployment: set.Deployment, Period: o.Period.String(), Start: o.End, End: o.End}
	for _, k := range slices.SortedFunc(maps.Keys(groups), compareKeys) {
		events := groups[k]
		slices.SortStableFunc(events, func(a, b event) int { return a.time.Compare(b.time) })
		if first := events[0].time; first.Before(report.Start) {
			report.Start = first
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(groups), compareKeys) {
		objective := objectives[objectiveKey{kind: k.kind, measure: k.measure}]
		report.Objectives = append(report.Objectives, evaluate(k, objective, groups[k], report, o))
	}
	return report
}

// latestTime returns the time of the latest observation, or the zero time.
func latestTime(observations []observe.Observation) time.Time {
	var end time.Time
	for i := range observations {
		if observations[i].Time.After(end) {
			end = observations[i].Time
		}
	}
	return end
}

// objectivesByKey returns the objectives of a set, keyed by program kind and measure.
func objectivesByKey(set *config.Set) map[objectiveKey]config.Objective {
	out := make(map[objectiveKey]config.Objective)
	for _, p := range set.Programs {
		for _, objective := range p.Objectives {
			out[objectiveKey{kind: p.Name, measure: observe.Measure(objective.Measure)}] = objective
		}
	}
	return out
}

// groupEvents converts observations to events and groups them by objective. Each event
// is in the group of all accounts and, if it has an account, in the group of that
// account.
func groupEvents(objectives map[objectiveKey]config.Objective, observations []observe.Observation, o Options) map[objectiveKey][]event {
	groups := make(map[objectiveKey][]event)
	start := o.End.Add(-o.Period)
	for i := range observations {
		obs := &observations[i]
		objective, known := objectives[objectiveKey{kind: obs.Kind, measure: obs.Measure}]
		if !known || !obs.Time.After(start) || obs.Time.After(o.End) {
			continue
		}
		e := newEvent(obs, objective)
		all := objectiveKey{kind: obs.Kind, measure: obs.Measure}
		groups[all] = append(groups[all], e)
		if obs.Account != "" {
			one := objectiveKey{kind: obs.Kind, measure: obs.Measure, account: obs.Account}
			groups[one] = append(groups[one], e)
		}
	}
	return groups
}

// newEvent converts an observation to an event of an objective.
func newEvent(obs *observe.Observation, objective config.Objective) event {
	good := obs.Good
	if obs.Measure.IsDuration() && objective.Below > 0 {
		good = obs.Value <= time.Duration(objective.Below).Seconds()
	}
	return event{
		time:   obs.Time,
		bad:    !good,
		weight: obs.Weight(),
		value:  obs.Value,
		target: obs.Target,
		domain: obs.Domain,
	}
}

// compareKeys orders keys by kind, measure and account. The key for all accounts comes
// before those of single accounts.
func compareKeys(a, b objectiveKey) int {
	return cmp.Or(
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(a.measure, b.measure),
		cmp.Compare(a.account, b.account),
	)
}
