package soak

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
)

// tagPrefix begins the content type that carries the number of a request
// through the reducers to the target.
const tagPrefix = "application/json; request="

func tag(n uint64) string { return tagPrefix + strconv.FormatUint(n, 10) }

func tagOf(c *core.Call) uint64 {
	n, _ := strconv.ParseUint(strings.TrimPrefix(c.ContentType, tagPrefix), 10, 64)
	return n
}

// sent notes that a caller sends a request.
func (o *observer) sent(c *core.Call) { o.call(c).open++ }

// response checks what a caller is given.
func (o *observer) response(r *sim.Response) {
	o.responses++
	o.count(r)
	if o.h.opts.Response != nil {
		o.h.opts.Response(r)
	}
	o.h.sim.AddToDigest(uint64(r.Finish.Outcome), xxhash.Sum64String(string(r.Finish.Reason)), r.Finish.Length)
	cut := r.ConnectionLost && o.stoppedSince(r.Req.Ingress, r.SentAt) || r.AnswerLost && o.stoppedSince(r.Finish.Sidecar, r.SentAt)
	o.rec.Check(invariant.Drain, !cut, "%s: request of %s cut off by a graceful shutdown", r.Req, r.Call.Program)
	if r.End {
		return
	}
	st := o.call(&r.Call)
	st.open--
	if r.ConnectionLost {
		st.broken = true
		return
	}
	switch r.Finish.Outcome {
	case core.OutcomeNotRun:
		o.checkNotRun(r, st)
	case core.OutcomeRan:
		o.checkAnswer(r, st)
	}
}

// stoppedSince reports whether a life has stopped gracefully after an instant.
func (o *observer) stoppedSince(n core.Node, t core.Instant) bool {
	at, ok := o.drained[n]
	return ok && at >= t
}

func (o *observer) count(r *sim.Response) {
	switch {
	case r.ConnectionLost:
		o.outcomes.ConnectionLost++
		return
	case r.AnswerLost:
		o.outcomes.AnswerLost++
		return
	case r.Finish.Outcome == core.OutcomeRan:
		o.outcomes.Ran++
		return
	case r.Finish.Outcome == core.OutcomeNotRun:
		o.outcomes.NotRun++
	default:
		o.outcomes.Unknown++
	}
	o.reasons[ReasonCount{Outcome: r.Finish.Outcome.String(), Reason: r.Finish.Reason}]++
}

// checkNotRun checks a refusal against the executions so far. Where every
// request of the call got its final word and this was the last one, no
// execution of the call by another request can explain one of this.
func (o *observer) checkNotRun(r *sim.Response, st *callState) {
	tag := tagOf(&r.Call)
	o.refused[tag] = true
	if o.expected[tag] && !o.hasForgotten(r.Call.Program) {
		o.rec.Check(invariant.History, !losesHistory(r.Finish.Reason), "%s: %s/%d refused as %s after the answer to the call before",
			r.Req, r.Call.Program, r.Call.Seq, r.Finish.Reason)
	}
	o.rec.Check(invariant.NotExecuted, !o.executed[tag], "%s: request %d of %s/%d refused as not run (%s) and has run",
		r.Req, tag, r.Call.Program, r.Call.Seq, r.Finish.Reason)
}

// losesHistory reports whether a refusal says that the program's record does
// not fit what its caller was given.
func losesHistory(r core.Reason) bool {
	return r == core.ReasonHistoryMismatch || r == core.ReasonOutOfSequence || r == core.ReasonMemoryLost
}

// checkAnswer checks that an answer is whole and belongs to the request.
func (o *observer) checkAnswer(r *sim.Response, st *callState) {
	if r.AnswerLost {
		return
	}
	c := &r.Call
	if r.Finish.Answer != nil {
		o.checkBody(r, st, string(r.Finish.Answer))
		return
	}
	a := r.Answer
	own := a != nil && a.Call.Program == c.Program && a.Call.Seq == c.Seq && a.Finish.Attempt == r.Finish.Attempt
	o.rec.Check(invariant.CompleteAnswer, own, "%s: %s/%d was given the answer of another call", r.Req, c.Program, c.Seq)
	if !own {
		return
	}
	o.rec.Check(invariant.CompleteAnswer, a.Finish.Length == r.Finish.Length, "%s: %s/%d was given %d of %d bytes",
		r.Req, c.Program, c.Seq, r.Finish.Length, a.Finish.Length)
	if c.Kind != core.CallModel {
		o.checkBody(r, st, string(a.Finish.Answer))
		return
	}
	o.checkContinues(r, a)
}

// checkBody checks the answer of a tool, and that a repeated call is given the
// same answer.
func (o *observer) checkBody(r *sim.Response, st *callState, body string) {
	c := &r.Call
	prefix := fmt.Sprintf("%s %d %s ", c.Program, c.Seq, c.Key)
	o.rec.Check(invariant.CompleteAnswer, strings.HasPrefix(body, prefix), "%s: %s/%d key %q was given %q",
		r.Req, c.Program, c.Seq, c.Key, body)
	if c.NonIdempotent && st.answer != "" {
		o.rec.Check(invariant.AtMostOnce, st.answer == body, "%s: %s/%d was given %q and then %q",
			r.Req, c.Program, c.Seq, st.answer, body)
	}
	st.answer = body
}

// checkContinues checks that a model's answer continues the conversation that
// this request has sent.
func (o *observer) checkContinues(r *sim.Response, a *sim.Answer) {
	c := &r.Call
	same := len(a.Call.Blocks) == len(c.Blocks)
	for i := 0; same && i < len(c.Blocks); i++ {
		same = a.Call.Blocks[i].Digest == c.Blocks[i].Digest
	}
	o.rec.Check(invariant.History, same, "%s: the answer of %s/%d continues another conversation", r.Req, c.Program, c.Seq)
}

// acknowledge notes the conversation that a program now builds on.
func (o *observer) acknowledge(id core.ProgramID, blocks []core.Block) {
	p := o.program(id)
	root := o.program(id.Root())
	p.acked = blocks[len(blocks)-1].Digest
	for _, b := range blocks {
		o.owner[b.Digest] = id
		root.digests[b.Digest] = true
	}
}
