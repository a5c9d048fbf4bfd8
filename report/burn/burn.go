// Package burn reports how fast a deployment uses up the error budgets of its
// service-level objectives.
//
// The burn rate of a window is the share of bad events in it, divided by the
// share that the objective allows: at a rate of one the error budget lasts
// exactly for the period. Each alert looks at a long and at a short window. The
// long one keeps a short burst from raising it, the short one ends it soon after
// the cause is gone.
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

// DefaultPeriod is the period that an error budget is meant for.
const DefaultPeriod = 30 * 24 * time.Hour

const (
	// shortShare is the short window as a share of the long one.
	shortShare = 1.0 / 12
	// plotPoints is the number of points of a plot.
	plotPoints = 60
	// maxContributors bounds the contributors in a report.
	maxContributors = 5
)

// alert is a pair of windows, sized against the period.
type alert struct {
	name string
	// long is the long window as a share of the period.
	long float64
	// rate is the burn rate above which the alert is raised.
	rate float64
}

// alerts are the fast burn, which uses up 2% of the budget in one long window,
// and the slow burn, which uses up 5%.
var alerts = []alert{
	{name: "fast", long: 1.0 / 720, rate: 14.4},
	{name: "slow", long: 1.0 / 120, rate: 6},
}

// Options sets up a report.
type Options struct {
	// Period is the period of the error budgets; zero means DefaultPeriod.
	Period time.Duration
	// End is the end of the report; zero means the time of the last observation.
	End time.Time
}

// key names the events of one objective.
type key struct {
	kind    string
	account core.Account
	measure observe.Measure
}

// event is an observation as one objective judges it.
type event struct {
	time   time.Time
	bad    bool
	weight float64
	value  float64
	target core.VM
	domain core.Domain
}

// New judges observations by the objectives of a set. It takes them in any
// order and leaves out those outside the period that ends the report.
func New(set *config.Set, observations []observe.Observation, o Options) *Report {
	if o.Period <= 0 {
		o.Period = DefaultPeriod
	}
	if o.End.IsZero() {
		o.End = last(observations)
	}
	objectives := index(set)
	groups := group(objectives, observations, o)
	report := &Report{Deployment: set.Deployment, Period: o.Period.String(), Start: o.End, End: o.End}
	for _, k := range slices.SortedFunc(maps.Keys(groups), compareKeys) {
		events := groups[k]
		slices.SortStableFunc(events, func(a, b event) int { return a.time.Compare(b.time) })
		if first := events[0].time; first.Before(report.Start) {
			report.Start = first
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(groups), compareKeys) {
		objective := objectives[key{kind: k.kind, measure: k.measure}]
		report.Objectives = append(report.Objectives, judge(k, objective, groups[k], report, o))
	}
	return report
}

// last returns the time of the latest observation.
func last(observations []observe.Observation) time.Time {
	var end time.Time
	for i := range observations {
		if observations[i].Time.After(end) {
			end = observations[i].Time
		}
	}
	return end
}

// index returns the objectives of a set by kind and measure.
func index(set *config.Set) map[key]config.Objective {
	out := make(map[key]config.Objective)
	for _, p := range set.Programs {
		for _, objective := range p.Objectives {
			out[key{kind: p.Name, measure: observe.Measure(objective.Measure)}] = objective
		}
	}
	return out
}

// group judges the observations and gathers them by account, and once more for
// all accounts.
func group(objectives map[key]config.Objective, observations []observe.Observation, o Options) map[key][]event {
	groups := make(map[key][]event)
	start := o.End.Add(-o.Period)
	for i := range observations {
		obs := &observations[i]
		objective, known := objectives[key{kind: obs.Kind, measure: obs.Measure}]
		if !known || !obs.Time.After(start) || obs.Time.After(o.End) {
			continue
		}
		e := newEvent(obs, objective)
		all := key{kind: obs.Kind, measure: obs.Measure}
		groups[all] = append(groups[all], e)
		if obs.Account != "" {
			one := key{kind: obs.Kind, measure: obs.Measure, account: obs.Account}
			groups[one] = append(groups[one], e)
		}
	}
	return groups
}

// newEvent judges an observation by an objective.
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

// compareKeys orders by kind, measure and account, all accounts first.
func compareKeys(a, b key) int {
	return cmp.Or(
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(a.measure, b.measure),
		cmp.Compare(a.account, b.account),
	)
}
