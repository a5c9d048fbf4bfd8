package burn

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
)

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
	if k.measure.IsDuration() {
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
