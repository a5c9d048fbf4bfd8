package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/quarantine"
)

// maxCrashFactAge is the age up to which a crash at another process shows that the target is
// still down. Later, its registration is gone or it can be tried again.
const maxCrashFactAge = time.Second

// maxUnsentFacts bounds the facts that wait for a board. Beyond it, the oldest are dropped; a
// new board is told all that is remembered in any case.
const maxUnsentFacts = 4096

const (
	// startTime is the time after the start of the process in which requests wait for what
	// other processes know of requests that crash targets.
	startTime = 2 * time.Second
	// maxFactsWait bounds that wait of one request.
	maxFactsWait = 150 * time.Millisecond
)

// suspects is what the relay knows of the requests that crash targets, and what of that the
// other processes have not been told yet.
type suspects struct {
	tracker *quarantine.Tracker
	// completions counts the requests that this process knows to have been executed, by
	// service.
	completions map[string]uint64
	// unsent are the facts that no board has confirmed. The first reported of them are in the
	// latest report.
	unsent   []unsentFact
	reported int
	// position is how far this process has read the board's facts.
	position loadboard.FactPosition
}

type unsentFact struct {
	loadboard.Fact
	// at is the time at which the fact had its Age.
	at time.Time
}

func newSuspects() suspects {
	return suspects{tracker: quarantine.NewTracker(rand.Float64()), completions: make(map[string]uint64)}
}

func (s *suspects) add(now time.Time, facts ...loadboard.Fact) {
	for _, f := range facts {
		s.unsent = append(s.unsent, unsentFact{Fact: f, at: now})
	}
	if excess := len(s.unsent) - maxUnsentFacts; excess > 0 {
		s.unsent = append([]unsentFact(nil), s.unsent[excess:]...)
		s.reported = max(0, s.reported-excess)
	}
}

// report returns the facts for the next exchange and the position in the board's facts.
func (s *suspects) report(now time.Time) ([]loadboard.Fact, loadboard.FactPosition) {
	s.reported = min(len(s.unsent), loadboard.MaxFactsPerExchange)
	var facts []loadboard.Fact
	for _, f := range s.unsent[:s.reported] {
		f.Age += now.Sub(f.at)
		facts = append(facts, f.Fact)
	}
	return facts, s.position
}

// acknowledge records that a board has received the facts of the last report. Another board than
// the one before is told everything, since that one may have ended.
func (s *suspects) acknowledge(position loadboard.FactPosition, now time.Time) {
	isNew := position.Board != s.position.Board
	s.unsent = append([]unsentFact(nil), s.unsent[s.reported:]...)
	s.reported, s.position = 0, position
	if isNew {
		s.add(now, s.tracker.Facts(now)...)
	}
}

// waitForFacts waits until the other processes have told this one what they know, if it has
// just started. Callers come back to an entry as soon as it listens.
func (r *Relay) waitForFacts(ctx context.Context) {
	if !r.awaitFacts || time.Since(r.startedAt) > startTime {
		return
	}
	timer := time.NewTimer(maxFactsWait)
	defer timer.Stop()
	select {
	case <-r.informed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// recordFacts records what a board knows. The caller holds r.mu.
func (r *Relay) recordFacts(others loadboard.Summary, now time.Time) {
	r.suspects.acknowledge(others.Position, now)
	for _, f := range others.Facts {
		at := now.Add(-f.Age)
		switch f.Kind {
		case loadboard.Crash:
			completions := quarantine.UnknownCompletions
			if service, ok := r.fleet.ServiceOf(f.Target); ok {
				completions = r.suspects.completions[service]
			}
			r.suspects.tracker.RecordCrash(f.Subject, quarantine.CrashOf(f, now), completions)
			if f.Age <= maxCrashFactAge {
				r.fleet.RecordOthersCrash(f.Target, now)
			}
		case loadboard.Completion:
			r.suspects.tracker.RecordCompletion(f.Subject, at)
		case loadboard.Confirmation:
			r.suspects.tracker.RecordConfirmation(f.Subject, at)
		}
	}
}

// crashRisk returns the estimated probability that a request crashes its target, and whether
// it only may before it has an answer.
func (r *Relay) crashRisk(f fingerprints) (risk float64, onlyBeforeFirstEvent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashRiskLocked(f)
}

func (r *Relay) crashRiskLocked(f fingerprints) (risk float64, onlyBeforeFirstEvent bool) {
	now := time.Now()
	for _, s := range f.subjects() {
		if of, early := r.suspects.tracker.Risk(s.ID, now); of > risk {
			risk, onlyBeforeFirstEvent = of, early
		}
	}
	return risk, onlyBeforeFirstEvent
}

// isCondemned reports whether the request, or requests for its resource, have crashed so many
// targets that it must not reach another, not even as a trial.
func (e *exchange) isCondemned() bool {
	e.relay.mu.Lock()
	defer e.relay.mu.Unlock()
	return e.isCondemnedLocked() && !e.isTrial && !e.relay.suspects.isTrialDue(e.fingerprints, time.Now())
}

// maySend reports whether the request may be sent to a target now. If it is condemned and a trial
// is due, this one is the trial.
func (e *exchange) maySend() bool {
	r, now := e.relay, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !e.isCondemnedLocked() || e.isTrial {
		return true
	}
	if !r.suspects.isTrialDue(e.fingerprints, now) {
		return false
	}
	e.isTrial = true
	for _, s := range e.fingerprints.subjects() {
		r.suspects.tracker.RecordTrial(s.ID, now)
	}
	e.logTrial()
	return true
}

// isCondemnedLocked is isCondemned without regard to trials. The caller holds r.mu.
func (e *exchange) isCondemnedLocked() bool {
	r, now := e.relay, time.Now()
	condemned := false
	for _, s := range e.fingerprints.subjects() {
		before := r.suspects.tracker.IsCondemned(s, now)
		if r.suspects.tracker.Confirm(s.ID, r.suspects.completions[e.service]) {
			r.suspects.add(now, quarantine.ConfirmationFact(s.ID))
			r.signalLoadChange()
		}
		isCondemned := r.suspects.tracker.IsCondemned(s, now)
		if isCondemned && !before {
			e.logCondemned(s)
		}
		condemned = condemned || isCondemned
	}
	return condemned
}

// isTrialDue reports whether a condemned request may be sent as a trial: if that is so for each
// condemned subject. The caller holds the relay's lock.
func (s *suspects) isTrialDue(f fingerprints, now time.Time) bool {
	for _, subject := range f.subjects() {
		if s.tracker.IsCondemned(subject, now) && !s.tracker.IsTrialDue(subject.ID, now) {
			return false
		}
	}
	return true
}

// logTrial logs that a condemned request passes as a trial. The caller holds r.mu.
func (e *exchange) logTrial() {
	e.relay.log.Info().Str("event", "request_tried").Str("request", e.call.ID).Str("account", e.accountName()).Str("program", e.call.Program).Str("route", e.route.Name).
		Stringer("fingerprint", e.fingerprints.request).Msg("the request, or its resource, has crashed targets; it is served once more, to see whether it still does")
}

// logCondemned logs that requests will be refused from now on. The caller holds r.mu.
func (e *exchange) logCondemned(s quarantine.Subject) {
	e.relay.metrics.condemned.Inc()
	e.relay.log.Warn().Str("event", "request_condemned").Str("request", e.call.ID).Str("account", e.accountName()).Str("program", e.call.Program).Str("route", e.route.Name).
		Stringer("fingerprint", fingerprint(s.ID)).Bool("resource", s.IsResource).Strs("targets", e.relay.suspects.tracker.Targets(s.ID)).
		Msg("the request crashes targets; it and its repeats are refused")
}

// respondCondemned refuses a request that crashes targets, without a Retry-After. The status
// says nothing of whether the request was executed.
func (e *exchange) respondCondemned() {
	e.respond(http.StatusBadGateway, reasonCrashesTargets)
}

// recordCrash records that the target's process has ended while it had the request.
func (e *exchange) recordCrash(fail *failure) {
	r, now := e.relay, time.Now()
	r.metrics.lostByCrash.Inc()
	r.mu.Lock()
	e.isTrial = false
	key := fail.target.TargetKey
	r.fleet.RecordEnded(key, now)
	crash := quarantine.Crash{Target: key.Hash(), TargetID: key.ID, BeforeFirstEvent: !fail.afterFirstEvent, StartedAt: fail.startedAt, At: fail.noticedAt}
	for _, s := range e.fingerprints.subjects() {
		before := r.suspects.tracker.IsCondemned(s, now)
		if r.suspects.tracker.RecordCrash(s.ID, crash, r.suspects.completions[e.service]) {
			r.suspects.add(now, crash.Fact(s.ID, now))
		}
		if !before && r.suspects.tracker.IsCondemned(s, now) {
			e.logCondemned(s)
		}
	}
	r.mu.Unlock()
	r.signalLoadChange()
}

// recordCompletion records that a target has executed a request to its end.
func (r *Relay) recordCompletion(f fingerprints, service string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects.completions[service]++
	for _, s := range f.subjects() {
		if r.suspects.tracker.RecordCompletion(s.ID, now) {
			r.suspects.add(now, quarantine.CompletionFact(s.ID, 0))
			r.signalLoadChange()
		}
	}
}

// suspicion is the mark of an attempt at its target that it may crash the target.
type suspicion struct {
	isActive bool
	// onlyBeforeFirstEvent means that the mark ends with the first event.
	onlyBeforeFirstEvent bool
}

// startSuspicion marks an attempt that may crash its target.
func (r *Relay) startSuspicion(key catalog.TargetKey, f fingerprints) suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	risk, onlyBeforeFirstEvent := r.crashRiskLocked(f)
	if risk == 0 {
		return suspicion{}
	}
	r.fleet.RecordSuspectStart(key)
	r.signalLoadChange()
	return suspicion{isActive: true, onlyBeforeFirstEvent: onlyBeforeFirstEvent}
}

// endSuspicion removes the mark.
func (a *attempt) endSuspicion() {
	if !a.suspicion.isActive {
		return
	}
	a.suspicion.isActive = false
	a.relay.mu.Lock()
	defer a.relay.mu.Unlock()
	a.relay.fleet.RecordSuspectEnd(a.target.TargetKey)
	a.relay.signalLoadChange()
}
