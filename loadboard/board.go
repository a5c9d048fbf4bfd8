// Package loadboard sums the calls that processes have in flight at targets. Each process
// reports its own calls and gets those of all others, so that what it knows of a target's
// load does not depend on how often it calls that target itself.
package loadboard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportTTL is how long a process's report counts. Processes with calls in flight
	// report several times within that time; the calls of one that has ended end too.
	reportTTL = time.Second
	// expirePeriod is the time between two checks for expired reports.
	expirePeriod = 100 * time.Millisecond
	// MaxTargets bounds the targets in one response. Beyond it, the most loaded ones are
	// listed.
	MaxTargets = 512
)

// Calls is the number of calls in flight at a target. Target is its catalog.TargetKey's
// hash.
type Calls struct {
	Target uint64
	Count  uint32
}

// report is what one process has reported last.
type report struct {
	calls []Calls
	at    time.Time
}

// Board holds the latest report of each process. Invariant: totals is the sum of all
// reports. It uses no clock and is not safe for concurrent use.
type Board struct {
	reports    map[string]report
	totals     map[uint64]uint32
	nextExpiry time.Time
}

// New returns an empty board.
func New() *Board {
	return &Board{reports: make(map[string]report), totals: make(map[uint64]uint32)}
}

// Exchange replaces a process's report and returns the calls of all others by target, at
// most MaxTargets, and the number of processes with a report.
func (b *Board) Exchange(process string, calls []Calls, now time.Time) (others []Calls, processes int) {
	b.expire(now)
	b.remove(process)
	others = make([]Calls, 0, len(b.totals))
	for target, count := range b.totals {
		others = append(others, Calls{Target: target, Count: count})
	}
	b.reports[process] = report{calls: calls, at: now}
	for _, c := range calls {
		if c.Count > 0 {
			b.totals[c.Target] += c.Count
		}
	}
	return mostLoaded(others), len(b.reports)
}

// mostLoaded returns the MaxTargets targets with the most calls.
func mostLoaded(calls []Calls) []Calls {
	if len(calls) <= MaxTargets {
		return calls
	}
	slices.SortFunc(calls, func(a, b Calls) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Target, b.Target))
	})
	return calls[:MaxTargets]
}

func (b *Board) expire(now time.Time) {
	if now.Before(b.nextExpiry) {
		return
	}
	b.nextExpiry = now.Add(expirePeriod)
	for process, r := range b.reports {
		if now.Sub(r.at) > reportTTL {
			b.remove(process)
		}
	}
}

func (b *Board) remove(process string) {
	for _, c := range b.reports[process].calls {
		if left := b.totals[c.Target] - c.Count; left > 0 {
			b.totals[c.Target] = left
		} else {
			delete(b.totals, c.Target)
		}
	}
	delete(b.reports, process)
}
