package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// onTargetStarted handles the start of execution at the target. The state does not
// change: an attempt counts as running from the moment at which it was passed to
// the target.
func (s *Sidecar) onTargetStarted(ev core.TargetStarted) {
	if a := s.runningAttempt(ev.Attempt); a != nil {
		s.check(invariant.NotExecuted, a.sent, "attempt %s runs without having been sent", a.id)
	}
}

// onTargetProgress counts the generated tokens and records the time to the first one.
func (s *Sidecar) onTargetProgress(ev core.TargetProgress) {
	a := s.runningAttempt(ev.Attempt)
	if a == nil {
		return
	}
	if a.outputTokens == 0 && ev.Tokens > 0 {
		s.emit(core.Decision{
			Step: "first_token", Program: a.call.Program, Seq: a.call.Seq, Attempt: a.id,
			Target: s.opts.Self, Slot: a.slot, Wait: s.now.Sub(a.startedAt),
		})
	}
	a.outputTokens += ev.Tokens
}

// onTargetFinished records the answer of an attempt and reports the result.
func (s *Sidecar) onTargetFinished(ev core.TargetFinished) {
	a := s.runningAttempt(ev.Attempt)
	if a == nil {
		return
	}
	isComplete := ev.Answer == nil || uint64(len(ev.Answer)) == ev.Length
	s.check(invariant.CompleteAnswer, isComplete, "attempt %s: %d of %d bytes", a.id, len(ev.Answer), ev.Length)
	a.usage = ev.Usage
	a.digest = ev.Digest
	a.blocks = ev.Blocks
	a.length = ev.Length
	if a.call.NonIdempotent && len(ev.Answer) <= maxInlineAnswer {
		a.answer = ev.Answer
	}
	s.removeRunning(a)
	s.cache.endWithAnswer(s, a)
	s.rate.observe(s.now, ev.Usage)
	s.emit(core.Decision{
		Step: "run", Program: a.call.Program, Seq: a.call.Seq, Attempt: a.id,
		Target: s.opts.Self, Slot: a.slot, Wait: s.now.Sub(a.startedAt), Usage: a.usage,
	})
	s.finalize(a, core.AttemptDone, "")
}

// onTargetFailed handles the end of an attempt without an answer. An attempt that was
// never sent was not executed, so it is refused. Any other may have been executed, so it
// is lost.
func (s *Sidecar) onTargetFailed(ev core.TargetFailed) {
	a := s.runningAttempt(ev.Attempt)
	if a == nil {
		return
	}
	s.removeRunning(a)
	s.cache.endWithoutAnswer(s, a)
	reason := ev.Reason
	if a.aborted {
		reason = a.abortReason
	}
	if !ev.Sent {
		a.sent = false
		s.refuse(a, reason, 0)
		return
	}
	a.usage = core.Usage{PromptTokens: a.call.PromptTokens(), OutputTokens: a.outputTokens}
	s.finalize(a, core.AttemptLost, reason)
}

// runningAttempt returns the attempt if it is running at the target, else nil.
func (s *Sidecar) runningAttempt(id core.AttemptID) *attempt {
	a := s.table.attempts[id]
	if a == nil || a.state != core.AttemptRunning {
		return nil
	}
	return a
}

func (s *Sidecar) removeRunning(a *attempt) {
	s.queue.running = remove(s.queue.running, a)
	s.queue.demand -= a.demand
}

// abort cancels an attempt at the target. The attempt ends when the target reports its
// failure.
func (s *Sidecar) abort(a *attempt, reason core.Reason) {
	if a.aborted {
		return
	}
	a.aborted = true
	a.abortReason = reason
	s.emit(core.AbortTarget{Attempt: a.id})
}

// abortOverdue cancels the running attempts whose time limit has passed.
func (s *Sidecar) abortOverdue() {
	for _, a := range s.queue.running {
		if s.isOverdue(a) {
			s.abort(a, core.ReasonTimeout)
		}
	}
}

// serviceRate tracks how fast the target finishes attempts.
type serviceRate struct {
	// interval is the smoothed time between finished attempts.
	interval core.Duration
	// answerTokens is the smoothed length of an answer, in tokens.
	answerTokens   float64
	lastFinishedAt core.Instant
	hasServed      bool
}

const (
	// rateSmoothing is the weight of the newest observation in the moving averages.
	rateSmoothing = 0.1
	// maxInterval bounds one observation, so that a period without calls does not
	// count as slow service.
	maxInterval = 10 * core.Second
)

func (r *serviceRate) observe(now core.Instant, usage core.Usage) {
	r.answerTokens += rateSmoothing * (float64(usage.OutputTokens) - r.answerTokens)
	interval := min(now.Sub(r.lastFinishedAt), maxInterval)
	r.lastFinishedAt = now
	if !r.hasServed {
		r.hasServed = true
		return
	}
	if r.interval == 0 {
		r.interval = interval
		return
	}
	r.interval += core.Duration(rateSmoothing * float64(interval-r.interval))
}
