package entry

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// callState is what an open call waits for.
type callState uint8

const (
	// stateQueued: for the calls before it.
	stateQueued callState = iota
	// stateReady: for a target, a retry time or an escrow grant. Nothing was
	// sent.
	stateReady
	// stateTicket: for the mirrors' acknowledgement of its ticket.
	stateTicket
	// stateSent: for its result. The target may run it.
	stateSent
	// stateClosing: for the mirrors' acknowledgement of its outcome.
	stateClosing
)

// openCall is a call whose outcome is not yet known.
type openCall struct {
	program core.ProgramID
	// body is nil after a takeover until an edge forwards the call again.
	body    *core.Call
	seq     uint64
	key     string
	print   uint64
	waiters []core.RequestID
	state   callState
	// arrived and deadline are times of this home.
	arrived  core.Instant
	deadline core.Instant
	// readyAt is when the call first could have been placed.
	readyAt  core.Instant
	retryAt  core.Instant
	attempts int
	attempt  core.AttemptID
	target   core.Node
	// reported is the number of load reports of the target at the dispatch.
	reported uint64
	tokens   uint64
	// history is the part of the prompt computed by earlier calls, in tokens.
	history uint32
	// early holds copies of the conversation with this call's answer of which word
	// came before the answer.
	early    []core.HistoryCopy
	askedAt  core.Instant
	seen     bool
	canceled bool
	ended    bool
}

// lane holds the open calls of one program: at most one that was begun, and
// those that wait for their turn in order of arrival.
type lane struct {
	open    *openCall
	waiting []*openCall
}

func (l *lane) empty() bool { return l.open == nil && len(l.waiting) == 0 }

// all returns the open calls, the begun one first.
func (l *lane) all() []*openCall {
	if l.open == nil {
		return slices.Clone(l.waiting)
	}
	return append([]*openCall{l.open}, l.waiting...)
}

// next takes the call whose turn it is: the one with the next sequence number,
// or else the first that has none.
func (l *lane) next(seq uint64) *openCall {
	i := slices.IndexFunc(l.waiting, func(c *openCall) bool { return c.seq == seq })
	if i < 0 {
		i = slices.IndexFunc(l.waiting, func(c *openCall) bool { return c.seq == 0 })
	}
	if i < 0 {
		return nil
	}
	c := l.waiting[i]
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return c
}

// drop removes a waiting call.
func (l *lane) drop(c *openCall) {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *openCall) bool { return o == c })
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

// matches reports whether a forwarded call is this call.
func (c *openCall) matches(req core.RequestID, call *core.Call) bool {
	return slices.Contains(c.waiters, req) ||
		call.Key != "" && call.Key == c.key ||
		call.Seq > 0 && call.Seq == c.seq
}
