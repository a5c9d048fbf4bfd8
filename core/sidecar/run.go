package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// onStarted notes that the target has begun; the state was running already,
// because the attempt counts as sent from the moment it was handed over.
func (s *Sidecar) onStarted(ev core.TargetStarted) {
	if a := s.runningAttempt(ev.Attempt); a != nil {
		s.check(invariant.NotRun, a.sent, "attempt %s runs without having been sent", a.id)
	}
}

// onProgress counts the tokens generated so far.
func (s *Sidecar) onProgress(ev core.TargetProgress) {
	a := s.runningAttempt(ev.Attempt)
	if a == nil {
		return
	}
	if a.output == 0 && ev.Tokens > 0 {
		s.emit(core.Decision{
			Step: "first_token", Program: a.call.Program, Seq: a.call.Seq, Attempt: a.id,
			Target: s.opts.Self, Slot: a.slot, Wait: s.now.Sub(a.startedAt),
		})
	}
	a.output += ev.Tokens
}

// onFinished records the answer of an attempt.
func (s *Sidecar) onFinished(ev core.TargetFinished) {
	a := s.runningAttempt(ev.Attempt)
	if a == nil {
		return
	}
	whole := ev.Answer == nil || uint64(len(ev.Answer)) == ev.Length
	s.check(invariant.WholeAnswer, whole, "attempt %s: %d of %d bytes", a.id, len(ev.Answer), ev.Length)
	a.usage = ev.Usage
	a.digest = ev.Digest
	a.blocks = ev.Blocks
	a.length = ev.Length
	if a.call.NonIdempotent && len(ev.Answer) <= maxInlineAnswer {
		a.answer = ev.Answer
	}
	s.leaveTarget(a)
	s.cache.finish(s, a)
	s.rate.served(s.now, ev.Usage)
	s.emit(core.Decision{
		Step: "run", Program: a.call.Program, Seq: a.call.Seq, Attempt: a.id,
		Target: s.opts.Self, Slot: a.slot, Wait: s.now.Sub(a.startedAt), Usage: a.usage,
	})
	s.finish(a, core.AttemptDone, "")
}

// onFailed records that an attempt ended without an answer. One that the
// target never saw did not run; any other may have run.
func (s *Sidecar) onFailed(ev core.TargetFailed) {
	a := s.runningAttempt(ev.Attempt)
	if a == nil {
		return
	}
	s.leaveTarget(a)
	s.cache.fail(s, a)
	reason := ev.Reason
	if a.aborted {
		reason = a.abortBy
	}
	if !ev.Sent {
		a.sent = false
		s.refuse(a, reason, 0)
		return
	}
	a.usage = core.Usage{PromptTokens: a.call.PromptTokens(), OutputTokens: a.output}
	s.finish(a, core.AttemptLost, reason)
}

// runningAttempt returns the attempt if it is at the target, else nil.
func (s *Sidecar) runningAttempt(id core.AttemptID) *attempt {
	a := s.table.attempts[id]
	if a == nil || a.state != core.AttemptRunning {
		return nil
	}
	return a
}

func (s *Sidecar) leaveTarget(a *attempt) {
	s.queue.running = remove(s.queue.running, a)
	s.queue.demand -= a.demand
}

// abort tells the target to cancel an attempt; its end is reported as failed.
func (s *Sidecar) abort(a *attempt, reason core.Reason) {
	if a.aborted {
		return
	}
	a.aborted = true
	a.abortBy = reason
	s.emit(core.AbortTarget{Attempt: a.id})
}

// abortOverdue cancels the running attempts whose time is over.
func (s *Sidecar) abortOverdue() {
	for _, a := range s.queue.running {
		if s.overdue(a) {
			s.abort(a, core.ReasonTimeout)
		}
	}
}

// rate observes how fast the target serves.
type rate struct {
	// interval is the smoothed time between two finished attempts.
	interval core.Duration
	// output is the smoothed length of an answer in tokens.
	output float64
	last   core.Instant
	any    bool
}

const (
	// rateSmoothing is the weight of the newest observation.
	rateSmoothing = 0.1
	// maxInterval bounds one observation, so that an idle hour does not count as
	// slow service.
	maxInterval = 10 * core.Second
)

func (r *rate) served(now core.Instant, usage core.Usage) {
	r.output += rateSmoothing * (float64(usage.OutputTokens) - r.output)
	gap := min(now.Sub(r.last), maxInterval)
	r.last = now
	if !r.any {
		r.any = true
		return
	}
	if r.interval == 0 {
		r.interval = gap
		return
	}
	r.interval += core.Duration(rateSmoothing * float64(gap-r.interval))
}
