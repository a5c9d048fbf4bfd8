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

// tagPrefix is the start of the content type that carries the number of a
// request through the reducers to the target.
const tagPrefix = "application/json; request="

func requestTag(n uint64) string { return tagPrefix + strconv.FormatUint(n, 10) }

func requestNumber(c *core.Call) uint64 {
	n, _ := strconv.ParseUint(strings.TrimPrefix(c.ContentType, tagPrefix), 10, 64)
	return n
}

// recordRequest records that a caller sends a request.
func (o *observer) recordRequest(c *core.Call) { o.call(c).openRequests++ }

// checkResponse checks the response that a caller receives.
func (o *observer) checkResponse(r *sim.Response) {
	o.responses++
	o.countOutcome(r)
	if o.cluster.opts.Response != nil {
		o.cluster.opts.Response(r)
	}
	o.cluster.sim.AddToDigest(uint64(r.Finish.Outcome), xxhash.Sum64String(string(r.Finish.Reason)), r.Finish.Length)
	interrupted := r.ConnectionLost && o.stoppedSince(r.Req.Ingress, r.SentAt) || r.AnswerLost && o.stoppedSince(r.Finish.Sidecar, r.SentAt)
	o.rec.Check(invariant.Drain, !interrupted, "%s: a graceful shutdown interrupted a request of %s", r.Req, r.Call.Program)
	if r.IsEnd {
		return
	}
	st := o.call(&r.Call)
	st.openRequests--
	if r.ConnectionLost {
		st.connectionLost = true
		return
	}
	switch r.Finish.Outcome {
	case core.OutcomeNotRun:
		o.checkNotRun(r, st)
	case core.OutcomeRan:
		o.checkAnswer(r, st)
	}
}

// stoppedSince reports whether an incarnation has stopped gracefully at or after
// an instant.
func (o *observer) stoppedSince(n core.Node, t core.Instant) bool {
	at, ok := o.stoppedAt[n]
	return ok && at >= t
}

func (o *observer) countOutcome(r *sim.Response) {
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

// checkNotRun checks a request that was refused as not run. It must not have
// been executed, and the refusal must not contradict the answer that the caller
// received to the previous call. Each request has its own number, so an
// execution of the same call by another request does not count.
func (o *observer) checkNotRun(r *sim.Response, st *callState) {
	tag := requestNumber(&r.Call)
	o.refused[tag] = true
	if o.mustContinue[tag] && !o.lostState(r.Call.Program) {
		o.rec.Check(invariant.History, !contradictsAnswer(r.Finish.Reason), "%s: %s/%d refused as %s although its caller had the answer to the previous call",
			r.Req, r.Call.Program, r.Call.Seq, r.Finish.Reason)
	}
	o.rec.Check(invariant.NotExecuted, !o.executed[tag], "%s: request %d of %s/%d refused as not run (%s) after its execution",
		r.Req, tag, r.Call.Program, r.Call.Seq, r.Finish.Reason)
}

// contradictsAnswer reports whether a refusal with this reason means that the
// program's record lacks an answer that the caller has received.
func contradictsAnswer(r core.Reason) bool {
	return r == core.ReasonHistoryMismatch || r == core.ReasonOutOfSequence || r == core.ReasonMemoryLost
}

// checkAnswer checks that an answer is complete and belongs to the request.
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
	o.rec.Check(invariant.CompleteAnswer, own, "%s: %s/%d received the answer of another call", r.Req, c.Program, c.Seq)
	if !own {
		return
	}
	o.rec.Check(invariant.CompleteAnswer, a.Finish.Length == r.Finish.Length, "%s: %s/%d received %d of %d bytes",
		r.Req, c.Program, c.Seq, r.Finish.Length, a.Finish.Length)
	if c.Kind != core.CallModel {
		o.checkBody(r, st, string(a.Finish.Answer))
		return
	}
	o.checkContinues(r, a)
}

// checkBody checks that a tool's answer belongs to the request, and that a
// repeated non-idempotent call receives the same answer.
func (o *observer) checkBody(r *sim.Response, st *callState, body string) {
	c := &r.Call
	prefix := fmt.Sprintf("%s %d %s ", c.Program, c.Seq, c.Key)
	o.rec.Check(invariant.CompleteAnswer, strings.HasPrefix(body, prefix), "%s: %s/%d key %q received %q",
		r.Req, c.Program, c.Seq, c.Key, body)
	if c.NonIdempotent && st.answer != "" {
		o.rec.Check(invariant.AtMostOnce, st.answer == body, "%s: %s/%d received %q and then %q",
			r.Req, c.Program, c.Seq, st.answer, body)
	}
	st.answer = body
}

// checkContinues checks that the engine answered the conversation that this
// request has sent.
func (o *observer) checkContinues(r *sim.Response, a *sim.Answer) {
	c := &r.Call
	same := len(a.Call.Blocks) == len(c.Blocks)
	for i := 0; same && i < len(c.Blocks); i++ {
		same = a.Call.Blocks[i].Digest == c.Blocks[i].Digest
	}
	o.rec.Check(invariant.History, same, "%s: the answer to %s/%d continues another conversation", r.Req, c.Program, c.Seq)
}

// recordAcknowledged records a program's conversation up to and including an
// answer that its caller has received.
func (o *observer) recordAcknowledged(id core.ProgramID, blocks []core.Block) {
	p := o.program(id)
	root := o.program(id.Root())
	p.acknowledged = blocks[len(blocks)-1].Digest
	for _, b := range blocks {
		o.programByDigest[b.Digest] = id
		root.digests[b.Digest] = true
	}
}
