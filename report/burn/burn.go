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
	"math"
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

// Report is the state of all objectives.
type Report struct {
	Deployment string      `json:"deployment"`
	Period     string      `json:"period"`
	Start      time.Time   `json:"start"`
	End        time.Time   `json:"end"`
	Objectives []Objective `json:"objectives"`
}

// Objective is the state of one objective for one account, or for all.
type Objective struct {
	Kind string `json:"program_kind"`
	// Account is empty in the summary of all accounts.
	Account core.Account    `json:"account,omitempty"`
	Measure observe.Measure `json:"measure"`
	// BelowSeconds is the bound of a good event, for the measures of time.
	BelowSeconds float64 `json:"below_seconds,omitempty"`
	Share        float64 `json:"share"`
	Events       int     `json:"events"`
	// GoodShare is the share of good events, by weight.
	GoodShare float64 `json:"good_share"`
	// P95Seconds is the 95th percentile of the measures of time.
	P95Seconds float64 `json:"p95_seconds,omitempty"`
	// BudgetLeft is the part of the error budget that is left; below zero it is
	// overspent.
	BudgetLeft float64 `json:"budget_left"`
	Alerts     []Alert `json:"alerts"`
	// Targets and Domains contributed most bad events.
	Targets []Contributor `json:"targets"`
	Domains []Contributor `json:"domains"`
	Points  []Point       `json:"points"`
}

// Alert is the state of one pair of windows.
type Alert struct {
	Name          string  `json:"name"`
	LongSeconds   float64 `json:"long_window_seconds"`
	ShortSeconds  float64 `json:"short_window_seconds"`
	LongRate      float64 `json:"long_burn_rate"`
	ShortRate     float64 `json:"short_burn_rate"`
	ThresholdRate float64 `json:"threshold_burn_rate"`
	Raised        bool    `json:"raised"`
}

// Contributor is a target or a failure domain with bad events.
type Contributor struct {
	Name string `json:"name"`
	// BadShare is its part of all bad events, ErrorRate the bad part of its own.
	BadShare  float64 `json:"bad_share"`
	ErrorRate float64 `json:"error_rate"`
}

// Point is the burn rate of one part of the report's time.
type Point struct {
	Time time.Time `json:"time"`
	Rate float64   `json:"burn_rate"`
}

// Raised reports whether any alert of the objective is raised.
func (o *Objective) Raised() bool {
	return slices.ContainsFunc(o.Alerts, func(a Alert) bool { return a.Raised })
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
	if obs.Measure.Timed() && objective.Below > 0 {
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

// judge returns the state of an objective. The events are in order of time.
func judge(k key, objective config.Objective, events []event, r *Report, o Options) Objective {
	bad, all := sum(events)
	allowed := 1 - objective.Share
	out := Objective{
		Kind:         k.kind,
		Account:      k.account,
		Measure:      k.measure,
		BelowSeconds: time.Duration(objective.Below).Seconds(),
		Share:        objective.Share,
		Events:       len(events),
		GoodShare:    1 - ratio(bad, all),
		BudgetLeft:   1 - rate(events, allowed),
		Targets:      contributors(events, bad, func(e *event) string { return string(e.target) }),
		Domains:      contributors(events, bad, func(e *event) string { return string(e.domain) }),
		Points:       points(events, allowed, r.Start, r.End),
	}
	if k.measure.Timed() {
		out.P95Seconds = percentile(events, 0.95)
	}
	for _, a := range alerts {
		out.Alerts = append(out.Alerts, a.judge(events, allowed, o))
	}
	return out
}

// judge returns the state of an alert.
func (a alert) judge(events []event, allowed float64, o Options) Alert {
	long := time.Duration(float64(o.Period) * a.long)
	short := time.Duration(float64(long) * shortShare)
	out := Alert{
		Name:          a.name,
		LongSeconds:   long.Seconds(),
		ShortSeconds:  short.Seconds(),
		LongRate:      rate(after(events, o.End.Add(-long)), allowed),
		ShortRate:     rate(after(events, o.End.Add(-short)), allowed),
		ThresholdRate: a.rate,
	}
	out.Raised = out.LongRate >= a.rate && out.ShortRate >= a.rate
	return out
}

// after returns the events after an instant, of events in order of time.
func after(events []event, start time.Time) []event {
	i, _ := slices.BinarySearchFunc(events, start, func(e event, t time.Time) int {
		if e.time.After(t) {
			return 1
		}
		return -1
	})
	return events[i:]
}

// sum returns the weight of the bad events and of all.
func sum(events []event) (bad, all float64) {
	for i := range events {
		all += events[i].weight
		if events[i].bad {
			bad += events[i].weight
		}
	}
	return bad, all
}

// ratio returns a part of a whole, zero of nothing.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// rate returns the burn rate of events. An objective that allows no bad event
// burns at the rate of its bad events.
func rate(events []event, allowed float64) float64 {
	share := ratio(sum(events))
	if allowed <= 0 {
		return share * float64(len(events))
	}
	return share / allowed
}

// percentile returns the least value that a share of the events do not exceed.
func percentile(events []event, share float64) float64 {
	values := make([]float64, 0, len(events))
	for i := range events {
		values = append(values, events[i].value)
	}
	slices.Sort(values)
	place := int(math.Ceil(share*float64(len(values)))) - 1
	return values[max(place, 0)]
}

// contributors returns the names with the most bad weight.
func contributors(events []event, bad float64, name func(*event) string) []Contributor {
	type weights struct{ bad, all float64 }
	byName := make(map[string]weights)
	for i := range events {
		n := name(&events[i])
		if n == "" {
			continue
		}
		w := byName[n]
		w.all += events[i].weight
		if events[i].bad {
			w.bad += events[i].weight
		}
		byName[n] = w
	}
	out := []Contributor{}
	for _, n := range slices.Sorted(maps.Keys(byName)) {
		if w := byName[n]; w.bad > 0 {
			out = append(out, Contributor{Name: n, BadShare: ratio(w.bad, bad), ErrorRate: ratio(w.bad, w.all)})
		}
	}
	slices.SortStableFunc(out, func(a, b Contributor) int { return cmp.Compare(b.BadShare, a.BadShare) })
	return out[:min(len(out), maxContributors)]
}

// points returns the burn rates of equal parts of a time.
func points(events []event, allowed float64, start, end time.Time) []Point {
	width := end.Sub(start) / plotPoints
	if width <= 0 {
		return []Point{{Time: end, Rate: rate(events, allowed)}}
	}
	out := make([]Point, 0, plotPoints)
	for i := range plotPoints {
		until := start.Add(time.Duration(i+1) * width)
		if i == plotPoints-1 {
			until = end
		}
		n := len(events) - len(after(events, until))
		out = append(out, Point{Time: until, Rate: rate(events[:n], allowed)})
		events = events[n:]
	}
	return out
}
