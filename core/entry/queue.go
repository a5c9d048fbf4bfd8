package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// callState is what an open call waits for.
type callState uint8

const (
	// stateQueued means that the call waits for the calls before it in its
	// program.
	stateQueued callState = iota
	// stateReady means that it waits for a target, its retry time or an escrow
	// grant. No attempt is in flight.
	stateReady
	// stateReplicating means that it waits for the replicas to acknowledge its
	// dispatch record.
	stateReplicating
	// stateDispatched means that it waits for its result. The target may execute
	// it.
	stateDispatched
	// stateFinishing means that it waits for the replicas to acknowledge its
	// outcome.
	stateFinishing
)

// openCall is a call whose outcome is not recorded and replicated yet.
type openCall struct {
	program core.ProgramID
	// call is the call as forwarded by an ingress entry; nil after a takeover
	// until one forwards it again.
	call        *core.Call
	seq         uint64
	key         string
	fingerprint uint64
	waiters     []core.RequestID
	state       callState
	// arrived and deadline are on this owner's clock.
	arrived  core.Instant
	deadline core.Instant
	// readyAt is when the call last became ready to be placed.
	readyAt core.Instant
	retryAt core.Instant
	retries int
	attempt core.AttemptID
	target  core.Node
	// reportCount is how many load reports the target had sent when the call
	// was dispatched.
	reportCount uint64
	tokens      uint64
	// historyTokens is the part of the prompt that earlier calls have computed, in
	// tokens.
	historyTokens uint32
	// pendingCopies holds copies of the conversation with this call's answer that
	// were reported before the answer.
	pendingCopies []core.HistoryCopy
	queriedAt     core.Instant
	acknowledged  bool
	canceled      bool
	programEnded  bool
}

// programQueue holds the open calls of one program: at most one that was
// started, and the waiting ones in order of arrival.
type programQueue struct {
	started *openCall
	waiting []*openCall
}

func (q *programQueue) empty() bool { return q.started == nil && len(q.waiting) == 0 }

// calls returns the open calls, the started one first.
func (q *programQueue) calls() []*openCall {
	if q.started == nil {
		return slices.Clone(q.waiting)
	}
	return append([]*openCall{q.started}, q.waiting...)
}

// takeNext removes and returns the next call to start: the one with the sequence
// number seq, else the first that has none.
func (q *programQueue) takeNext(seq uint64) *openCall {
	i := slices.IndexFunc(q.waiting, func(c *openCall) bool { return c.seq == seq })
	if i < 0 {
		i = slices.IndexFunc(q.waiting, func(c *openCall) bool { return c.seq == 0 })
	}
	if i < 0 {
		return nil
	}
	c := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return c
}

// remove removes a waiting call.
func (q *programQueue) remove(c *openCall) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *openCall) bool { return o == c })
}

// attach adds a request to those that await the call's outcome.
func (c *openCall) attach(req core.RequestID) {
	if !req.Ingress.IsZero() && !slices.Contains(c.waiters, req) {
		c.waiters = append(c.waiters, req)
	}
}

// detach removes a request and reports whether it was there.
func (c *openCall) detach(req core.RequestID) bool {
	i := slices.Index(c.waiters, req)
	if i < 0 {
		return false
	}
	c.waiters = slices.Delete(c.waiters, i, i+1)
	return true
}

// matches reports whether a forwarded call is this call: the same request, key
// or sequence number.
func (c *openCall) matches(req core.RequestID, call *core.Call) bool {
	return slices.Contains(c.waiters, req) ||
		call.Key != "" && call.Key == c.key ||
		call.Seq > 0 && call.Seq == c.seq
}
