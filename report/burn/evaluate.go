package burn

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

// evaluate returns the state of an objective. The events must be in order of time.
func evaluate(k objectiveKey, objective config.Objective, events []event, r *Report, o Options) Objective {
	bad, all := sumWeights(events)
	allowed := 1 - objective.Share
	out := Objective{
		Kind:         k.kind,
		Account:      k.account,
		Measure:      k.measure,
		BelowSeconds: time.Duration(objective.Below).Seconds(),
		Share:        objective.Share,
		Events:       len(events),
		GoodShare:    1 - ratio(bad, all),
		BudgetLeft:   1 - burnRate(events, allowed),
		Targets:      contributors(events, bad, func(e *event) string { return string(e.target) }),
		Domains:      contributors(events, bad, func(e *event) string { return string(e.domain) }),
		Points:       burnRatePoints(events, allowed, r.Start, r.End),
	}
	if k.measure.IsDuration() {
		out.P95Seconds = percentile(events, 0.95)
	}
	for _, a := range alertRules {
		out.Alerts = append(out.Alerts, a.evaluate(events, allowed, o))
	}
	return out
}

// evaluate returns the state of the alert.
func (a alertRule) evaluate(events []event, allowed float64, o Options) Alert {
	long := time.Duration(float64(o.Period) * a.longShare)
	short := time.Duration(float64(long) * shortShare)
	out := Alert{
		Name:          a.name,
		LongSeconds:   long.Seconds(),
		ShortSeconds:  short.Seconds(),
		LongRate:      burnRate(eventsAfter(events, o.End.Add(-long)), allowed),
		ShortRate:     burnRate(eventsAfter(events, o.End.Add(-short)), allowed),
		ThresholdRate: a.threshold,
	}
	out.Raised = out.LongRate >= a.threshold && out.ShortRate >= a.threshold
	return out
}

// eventsAfter returns the events after start. The events must be in order of time.
func eventsAfter(events []event, start time.Time) []event {
	i, _ := slices.BinarySearchFunc(events, start, func(e event, t time.Time) int {
		if e.time.After(t) {
			return 1
		}
		return -1
	})
	return events[i:]
}

// sumWeights returns the weights of the bad events and of all events.
func sumWeights(events []event) (bad, all float64) {
	for i := range events {
		all += events[i].weight
		if events[i].bad {
			bad += events[i].weight
		}
	}
	return bad, all
}

// ratio returns part divided by whole, or zero if whole is zero.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// burnRate returns the burn rate of events. If the objective allows no bad events,
// the burn rate would be infinite; burnRate then returns the share of bad events times
// the number of events.
func burnRate(events []event, allowed float64) float64 {
	share := ratio(sumWeights(events))
	if allowed <= 0 {
		return share * float64(len(events))
	}
	return share / allowed
}

// percentile returns the least value v such that at least the given share of the
// events have values up to v.
func percentile(events []event, share float64) float64 {
	values := make([]float64, 0, len(events))
	for i := range events {
		values = append(values, events[i].value)
	}
	slices.Sort(values)
	index := int(math.Ceil(share*float64(len(values)))) - 1
	return values[max(index, 0)]
}

// contributors returns the names whose bad events have the largest total weights, in
// descending order.
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

// burnRatePoints divides the time from start to end into equal parts and returns the
// burn rate of each.
func burnRatePoints(events []event, allowed float64, start, end time.Time) []Point {
	width := end.Sub(start) / plotPointCount
	if width <= 0 {
		return []Point{{Time: end, Rate: burnRate(events, allowed)}}
	}
	out := make([]Point, 0, plotPointCount)
	for i := range plotPointCount {
		until := start.Add(time.Duration(i+1) * width)
		if i == plotPointCount-1 {
			until = end
		}
		n := len(events) - len(eventsAfter(events, until))
		out = append(out, Point{Time: until, Rate: burnRate(events[:n], allowed)})
		events = events[n:]
	}
	return out
}
