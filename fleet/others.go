package fleet

import (
	"math"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

// periodWeight is the weight of the latest exchange in the average time between two.
const periodWeight = 0.1

// maxExchangeGap is the longest time between two exchanges that counts in the average;
// entries without calls do not exchange.
const maxExchangeGap = 500 * time.Millisecond

// maxReportedWorkMS bounds the work that is reported for one target.
const maxReportedWorkMS = 1e8

// exchangeAge tracks how old the exchanged load is.
type exchangeAge struct {
	at time.Time
	// period is the moving average of the time between two exchanges. Other processes are
	// assumed to exchange as often.
	period time.Duration
}

// LoadReport returns what other processes should know of this one: its calls in flight, the
// targets that failed recently, the limits of targets, and the work of client accounts.
func (f *Fleet) LoadReport(now time.Time) loadboard.Report {
	var own loadboard.Report
	for hash, t := range f.byHash {
		if t.inFlight > 0 {
			own.Calls = append(own.Calls, loadboard.Count{Target: hash, Count: uint32(t.inFlight), WorkMS: t.ownWorkMS(now)})
		}
		if t.health.failsAt(now) {
			own.Failing = append(own.Failing, hash)
		}
		if t.suspects.own > 0 {
			own.Suspects = append(own.Suspects, hash)
		}
	}
	own.Limits = f.limitReport(now)
	own.Accounts, own.HasAccounts = f.accountReport(now)
	return own
}

// ownWorkMS returns the work that is left of this process's calls at the target, in
// milliseconds; 0 if it was not predicted.
func (t *target) ownWorkMS(now time.Time) uint32 {
	if len(t.calls) == 0 {
		return 0
	}
	return uint32(min(max(1, t.ownWorkLeftMS(now)), maxReportedWorkMS))
}

// RecordOthers records the load of all other processes. Targets that are not listed have no
// calls and do not fail.
func (f *Fleet) RecordOthers(others loadboard.Summary, now time.Time) {
	f.recordOthersLimits(others.Limits, now)
	if f.disabled.Disables(mechanism.OthersLoad) {
		return
	}
	f.exchange.record(now)
	for _, t := range f.targets {
		t.othersInFlight, t.othersWorkMS, t.othersAt = 0, 0, now
		t.health.othersFailing = 0
		t.suspects.others = 0
	}
	for _, s := range f.services {
		s.othersInFlight = 0
	}
	for _, c := range others.Calls {
		if t := f.byHash[c.Target]; t != nil {
			t.othersInFlight = float64(c.Count)
			t.othersWorkMS = float64(c.WorkMS) / float64(max(1, c.Count))
			t.callsSeen++
			f.services[t.Service].othersInFlight += float64(c.Count)
		}
	}
	f.recordOthersAccounts(others, now)
	f.recordOthersFailing(others.Failing, now)
	for _, c := range others.Suspects {
		if t := f.byHash[c.Target]; t != nil {
			t.suspects.others, t.suspects.othersAt = int(c.Count), now
		}
	}
}

// recordOthersFailing records the targets that fail at other processes. If more than
// maxEjectedShare of a service's targets do, the cause is probably elsewhere.
func (f *Fleet) recordOthersFailing(failing []loadboard.Count, now time.Time) {
	byService := make(map[string]int)
	for _, c := range failing {
		if t := f.byHash[c.Target]; t != nil && c.Count >= minFailingReports {
			byService[t.Service]++
		}
	}
	for _, c := range failing {
		t := f.byHash[c.Target]
		if t == nil || float64(byService[t.Service]) > maxEjectedShare*float64(len(f.services[t.Service].targets)) {
			continue
		}
		t.health.othersFailing, t.health.othersFailingAt = int(c.Count), now
	}
}

func (e *exchangeAge) record(now time.Time) {
	if !e.at.IsZero() {
		gap := min(now.Sub(e.at), maxExchangeGap)
		e.period += time.Duration(periodWeight * float64(gap-e.period))
	}
	e.at = now
}

// staleness returns the average age of the exchanged load: the time since the exchange, and
// half a period for the reports of the others.
func (e *exchangeAge) staleness(now time.Time) time.Duration { return now.Sub(e.at) + e.period/2 }

// candidate is a target that may be chosen, with its known load.
type candidate struct {
	target *target
	load   float64
	// workMS is the work left of the calls there, in milliseconds.
	workMS float64
	// fill is the load or, for plain targets if choices follow the predicted work, the number
	// of average calls with as much work. Engines share their time among all calls.
	fill float64
}

func (p *placement) newCandidate(t *target, load float64) candidate {
	if !p.usesWork {
		return candidate{target: t, load: load, fill: load}
	}
	c := candidate{target: t, load: load, workMS: p.workLeftMS(t, load), fill: load}
	if !p.service.isEngine {
		c.fill = c.workMS / max(p.meanWorkMS, minPlainMS)
	}
	return c
}

// filled returns the candidate with the unseen calls that fill it up to a level.
func (p *placement) filled(c candidate, level float64) candidate {
	if unseen := level - c.fill; unseen > 0 {
		c.load += unseen
		c.workMS += unseen * p.meanWorkMS
		c.fill = level
	}
	return c
}

// unseenCalls estimates how many calls others have sent since the exchanged load was
// reported. By Little's law they start as many calls in a call's average duration as they
// have in flight.
func (f *Fleet) unseenCalls(s *service, now time.Time) float64 {
	if f.exchange.at.IsZero() {
		return 0
	}
	staleness := float64(f.exchange.staleness(now)) / float64(time.Millisecond)
	return s.othersInFlight * min(1, staleness/s.durationMS)
}

// fillUnseen estimates where the unseen calls of others went, if each of them went to the
// candidate that is filled least: it returns the level up to which they fill the candidates. If
// all entries chose that candidate by the same old numbers, they would choose the same one. So
// it also draws one of the candidates, with a probability proportional to the calls that it
// receives; -1 if there are none.
func (f *Fleet) fillUnseen(s *service, now time.Time) (level float64, drawn int) {
	unseen := f.unseenCalls(s, now)
	if f.usesWork() && len(s.targets) > maxCandidates {
		// Not all targets are compared; the others get their share of those calls.
		unseen *= min(1, float64(len(f.candidates))/float64(len(s.targets)))
	}
	if unseen <= 0 || len(f.candidates) == 0 {
		return 0, -1
	}
	level = fillLevel(f.candidates, unseen)
	point := f.random.Float64() * unseen
	for i, c := range f.candidates {
		if point -= max(0, level-c.fill); point < 0 {
			return level, i
		}
	}
	return level, -1
}

// fillLevel returns the level to which the candidates below it rise when a number of calls is
// spread over them. It begins with the level of all candidates and leaves out those above it,
// which lowers the level, until there are none.
func fillLevel(candidates []candidate, calls float64) float64 {
	level := math.Inf(1)
	for below := len(candidates) + 1; ; {
		sum, n := calls, 0
		for _, c := range candidates {
			if c.fill < level {
				sum += c.fill
				n++
			}
		}
		// Rounding may bring a candidate back.
		if n >= below || n == 0 {
			return level
		}
		level, below = sum/float64(n), n
	}
}
