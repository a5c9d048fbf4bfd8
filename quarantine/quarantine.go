// Package quarantine finds the requests that crash the targets that execute them. A crash ends
// all that its target executes, so one crash shows little about one request: what several
// crashes have in common is to blame, a request or all those for a resource. The package uses no
// clock and no network.
package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

const (
	// maxIncidents is the number of incidents after which a request reaches no further target.
	maxIncidents = 3
	// minUnexplained is how many of these no other subject may explain.
	minUnexplained = 2
	// incidentTime is the time within which processes notice crashes at one moment.
	incidentTime = 50 * time.Millisecond
	// minTogether is the number of targets that have to end at one moment to be one incident.
	minTogether = 3
	// trialDelay is the least time after the last crash or trial after which a condemned request
	// may reach a target again, to see whether it still crashes it. It doubles with each further
	// incident, up to crashTTL. Up to as much again is added at random for each process.
	trialDelay = 30 * time.Second
	// maxTrialDoublings is enough for trialDelay to reach crashTTL.
	maxTrialDoublings = 5
	// maxKeptCrashes bounds the crashes that are remembered of one subject.
	maxKeptCrashes = 32
	// crashTTL is how long crashes are remembered after the last one.
	crashTTL = 10 * time.Minute
	// unconfirmedTTL is how long a request is condemned after its last crash if its service
	// has executed nothing else meanwhile. Its targets may crash by themselves.
	unconfirmedTTL = 30 * time.Second
	// minCompletions is how many other requests a service must have executed since the first
	// crash to show that its targets do not crash by themselves.
	minCompletions = 5
	// maxSubjects bounds the subjects that are remembered. Beyond it, those with the fewest
	// crashes are forgotten.
	maxSubjects = 4096
)

// UnknownCompletions stands for a number of completions that is not known. Crashes with it are
// confirmed by other processes only.
const UnknownCompletions uint64 = math.MaxUint64 / 2

// The risk that a request crashes its target, by the number of crashes and by whether they
// came before the request had an answer. Most requests that are in flight at a crash have had
// events before and are not its cause.
const (
	riskAfterEarlyCrash   = 0.5
	riskAfterLateCrash    = 0.02
	riskAfterEarlyCrashes = 0.9
	riskAfterLateCrashes  = 0.1
)

// Subject is what may be common to requests that crash targets, given by a fingerprint.
type Subject struct {
	ID uint64
	// IsResource means that the subject stands for all requests of one client account for one
	// path, whatever their bodies. Without it, all of them are equal.
	IsResource bool
}

// Crash is the end of a target's process while the target had a request.
type Crash struct {
	// Target is the hash of the target's catalog.TargetKey, TargetID its id.
	Target   uint64
	TargetID string
	// BeforeFirstEvent means that the request had no answer yet.
	BeforeFirstEvent bool
	// StartedAt is when the target got the request, or zero if that is not known.
	StartedAt time.Time
	At        time.Time
}

// record is what is known of one subject. Invariant: the crashes are at different targets, none
// is before completedAt, and they are the latest maxKeptCrashes.
type record struct {
	crashes     []Crash
	completedAt time.Time
	// isConfirmed means that the service has executed other requests between the crashes.
	isConfirmed bool
	// completions is the number of requests that the service had executed at the first crash.
	completions uint64
	// triedAt is when a condemned request last passed as a trial.
	triedAt time.Time
}

// Tracker remembers what was in flight at crashed targets. It is not safe for concurrent use.
type Tracker struct {
	records map[uint64]*record
	// spread delays the trials of this process.
	spread float64
}

// NewTracker returns an empty tracker. Spread, from 0 to 1, differs between processes, so that
// they do not all try a request at the same time.
func NewTracker(spread float64) *Tracker {
	return &Tracker{records: make(map[uint64]*record), spread: spread}
}

// RecordCrash records that a target's process ended while it had a request. Completions is the
// number of requests that the service has executed so far. It returns false if the crash is
// known already, or if such a request has completed since.
func (t *Tracker) RecordCrash(id uint64, c Crash, completions uint64) (isNew bool) {
	r := t.records[id]
	if r == nil {
		if len(t.records) >= maxSubjects {
			t.forgetOne()
		}
		r = &record{}
		t.records[id] = r
	}
	if r.hasCrashed(c.Target) || !c.At.After(r.completedAt) {
		return false
	}
	if len(r.crashes) == 0 {
		r.completions = completions
	}
	if len(r.crashes) == maxKeptCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, c)
	return true
}

// RecordCompletion records that a target has executed such a request to its end, which clears
// the subject of all earlier crashes. It returns false if there are none.
func (t *Tracker) RecordCompletion(id uint64, at time.Time) (cleared bool) {
	r := t.records[id]
	if r == nil || !at.After(r.completedAt) {
		return false
	}
	before := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return !c.At.After(at) })
	r.completedAt, r.isConfirmed = at, false
	return len(r.crashes) < before
}

// Confirm records that the targets do not crash by themselves if the service has executed
// enough other requests since the first of maxIncidents incidents. It reports whether this is new.
func (t *Tracker) Confirm(id uint64, completions uint64) (isNew bool) {
	r := t.records[id]
	if r == nil || r.isConfirmed || incidents(r.crashes) < maxIncidents || completions < r.completions+minCompletions {
		return false
	}
	r.isConfirmed = true
	return true
}

// RecordConfirmation records that another process has confirmed the crashes of a subject at a
// time.
func (t *Tracker) RecordConfirmation(id uint64, at time.Time) {
	if r := t.records[id]; r != nil && at.After(r.completedAt) {
		r.isConfirmed = true
	}
}

// IsCondemned reports whether such requests have crashed so many targets that they must not
// reach another. A resource is condemned only if the service executes other requests, because
// many requests may have their path in common.
func (t *Tracker) IsCondemned(s Subject, now time.Time) bool {
	r := t.current(s.ID, now)
	if r == nil || incidents(r.crashes) < maxIncidents || !r.isConfirmed && (s.IsResource || now.Sub(r.lastAt()) > unconfirmedTTL) {
		return false
	}
	return incidents(t.unexplained(r)) >= minUnexplained
}

// incidents returns the number of incidents among crashes. Three or more targets that end at one
// moment, while each has such a request, end of one cause, which may be another one, such as a loss
// of power. Two may also end at one moment because of two requests, which shows as much as if they
// had not. A target that gets the request after the others have ended always shows more.
func incidents(crashes []Crash) int {
	sorted := slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.At.Compare(b.At) })
	n, together := 0, 0
	var first time.Time
	for _, c := range sorted {
		isTogether := together > 0 && c.At.Sub(first) <= incidentTime && !c.StartedAt.IsZero() && c.StartedAt.Before(first)
		if !isTogether {
			together, first = 0, c.At
		}
		together++
		switch {
		case together < minTogether:
			n++
		case together == minTogether:
			n -= minTogether - 2
		}
	}
	return n
}

// IsTrialDue reports whether such a request may reach a target although it is condemned. Nothing
// else could show that it no longer crashes targets, or that it never did.
func (t *Tracker) IsTrialDue(id uint64, now time.Time) bool {
	r := t.records[id]
	if r == nil {
		return true
	}
	doublings := min(max(0, incidents(r.crashes)-maxIncidents), maxTrialDoublings)
	delay := min(trialDelay<<doublings, crashTTL)
	last := r.lastAt()
	if r.triedAt.After(last) {
		last = r.triedAt
	}
	return now.Sub(last) >= delay+time.Duration(t.spread*float64(delay))
}

// RecordTrial records that such a request reaches a target as a trial.
func (t *Tracker) RecordTrial(id uint64, now time.Time) {
	if r := t.records[id]; r != nil {
		r.triedAt = now
	}
}

// unexplained returns the crashes of a subject at which no subject was in flight that is more
// likely to blame: a confirmed one with more crashes or, of equally many, with more before the
// first event. A bystander of several crashes is cleared once their cause is known.
func (t *Tracker) unexplained(r *record) []Crash {
	left := r.crashes
	for _, other := range t.records {
		if len(left) == 0 {
			break
		}
		if other == r || !other.isConfirmed || incidents(other.crashes) < maxIncidents || !other.outranks(r) {
			continue
		}
		left = slices.DeleteFunc(slices.Clone(left), func(c Crash) bool { return other.hasCrashed(c.Target) })
	}
	return left
}

func (r *record) outranks(other *record) bool {
	return cmp.Or(cmp.Compare(len(r.crashes), len(other.crashes)), cmp.Compare(r.earlyCrashes(), other.earlyCrashes())) > 0
}

func (r *record) earlyCrashes() int {
	n := 0
	for _, c := range r.crashes {
		if c.BeforeFirstEvent {
			n++
		}
	}
	return n
}

func (r *record) hasCrashed(target uint64) bool {
	return slices.ContainsFunc(r.crashes, func(c Crash) bool { return c.Target == target })
}

// Risk returns the estimated probability, from 0 to 1, that such a request crashes its target.
// OnlyBeforeFirstEvent is set if it no longer does once it has an answer.
func (t *Tracker) Risk(id uint64, now time.Time) (risk float64, onlyBeforeFirstEvent bool) {
	r := t.current(id, now)
	if r == nil {
		return 0, false
	}
	crashes := t.unexplained(r)
	isEarly := !slices.ContainsFunc(crashes, func(c Crash) bool { return !c.BeforeFirstEvent })
	switch {
	case len(crashes) == 0:
		return 0, false
	case isEarly && len(crashes) > 1:
		return riskAfterEarlyCrashes, true
	case isEarly:
		return riskAfterEarlyCrash, true
	case len(crashes) > 1:
		return riskAfterLateCrashes, false
	default:
		return riskAfterLateCrash, false
	}
}

// Targets returns the ids of the targets that such requests have crashed.
func (t *Tracker) Targets(id uint64) []string {
	var ids []string
	if r := t.records[id]; r != nil {
		for _, c := range r.crashes {
			ids = append(ids, c.TargetID)
		}
	}
	return ids
}

// Facts returns all that is known, for a process that knows nothing of it.
func (t *Tracker) Facts(now time.Time) []loadboard.Fact {
	var facts []loadboard.Fact
	for id, r := range t.records {
		if !r.completedAt.IsZero() {
			facts = append(facts, CompletionFact(id, now.Sub(r.completedAt)))
		}
		for _, c := range r.crashes {
			facts = append(facts, c.Fact(id, now))
		}
		if r.isConfirmed {
			facts = append(facts, ConfirmationFact(id))
		}
	}
	return facts
}

// Fact returns a crash as a fact for other processes.
func (c Crash) Fact(id uint64, now time.Time) loadboard.Fact {
	return loadboard.Fact{
		Kind: loadboard.Crash, Subject: id, Target: c.Target, TargetID: c.TargetID,
		BeforeFirstEvent: c.BeforeFirstEvent, Age: max(0, now.Sub(c.At)), Ran: c.ran(),
	}
}

// ran returns how long the target had had the request, or 0 if that is not known.
func (c Crash) ran() time.Duration {
	if c.StartedAt.IsZero() {
		return 0
	}
	return max(0, c.At.Sub(c.StartedAt))
}

// CompletionFact returns a completion as a fact for other processes.
func CompletionFact(id uint64, age time.Duration) loadboard.Fact {
	return loadboard.Fact{Kind: loadboard.Completion, Subject: id, Age: max(0, age)}
}

// ConfirmationFact returns the confirmation of a subject's crashes as a fact for other
// processes.
func ConfirmationFact(id uint64) loadboard.Fact {
	return loadboard.Fact{Kind: loadboard.Confirmation, Subject: id}
}

// CrashOf is the inverse of Crash.Fact.
func CrashOf(f loadboard.Fact, now time.Time) Crash {
	c := Crash{Target: f.Target, TargetID: f.TargetID, BeforeFirstEvent: f.BeforeFirstEvent, At: now.Add(-f.Age)}
	if f.Ran > 0 {
		c.StartedAt = c.At.Add(-f.Ran)
	}
	return c
}

// Expire forgets subjects whose last crash was long ago.
func (t *Tracker) Expire(now time.Time) {
	for id, r := range t.records {
		if now.Sub(r.lastAt()) > crashTTL {
			delete(t.records, id)
		}
	}
}

// current returns what is known of a subject, or nil if that is too old.
func (t *Tracker) current(id uint64, now time.Time) *record {
	if r := t.records[id]; r != nil && now.Sub(r.lastAt()) <= crashTTL {
		return r
	}
	return nil
}

// forgetOne forgets the subject with the fewest crashes and, among these, the oldest.
func (t *Tracker) forgetOne() {
	var least uint64
	var known *record
	for id, r := range t.records {
		if known == nil || cmp.Or(cmp.Compare(len(r.crashes), len(known.crashes)), r.lastAt().Compare(known.lastAt())) < 0 {
			least, known = id, r
		}
	}
	delete(t.records, least)
}

// lastAt returns the time of the last crash or completion.
func (r *record) lastAt() time.Time {
	last := r.completedAt
	for _, c := range r.crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}
