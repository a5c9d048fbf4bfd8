package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// initialResendDelay is the delay before an unacknowledged result is
	// sent again; it doubles with each resend.
	initialResendDelay = 2 * core.Second
	// maxResends bounds the resends of one result.
	maxResends = 5
	// unackedRetention is how long a result is stored without an acknowledgement.
	unackedRetention = core.Hour
	// maxInlineAnswer is the longest answer that a result carries, in bytes.
	maxInlineAnswer = 1024
)

// attempt is one row of the call table.
type attempt struct {
	id    core.AttemptID
	slot  core.SlotID
	fence core.Epoch
	call  core.Call
	state core.AttemptState
	// owner is the entry that dispatched the attempt or that queried it last with a
	// current epoch.
	owner core.Node

	// rank and queueSeq order the attempt in the queue; queueSeq is unique and
	// increases with arrival.
	arrived      core.Instant
	rank         core.Instant
	queueSeq     uint64
	programTurns uint32
	age          core.Duration
	attained     uint64
	// uncached is the number of prompt tokens that the target must compute. demand
	// is the cache memory, in tokens, that the attempt needs at the target.
	uncached uint64
	demand   uint64

	startedAt core.Instant
	// sent means that the target may have received the attempt. It is reset only
	// when the target's failure report says that the attempt was never sent.
	sent bool
	// aborted means that a cancel was sent to the target, for abortReason.
	aborted      bool
	abortReason  core.Reason
	outputTokens uint32

	reason     core.Reason
	retryAfter core.Duration
	usage      core.Usage
	digest     uint64
	blocks     uint32
	answer     []byte
	length     uint64

	doneAt       core.Instant
	resultSentAt core.Instant
	resends      int
	acked        bool
}

// isFinal reports whether the attempt's state can no longer change.
func (a *attempt) isFinal() bool {
	switch a.state {
	case core.AttemptDone, core.AttemptRefused, core.AttemptLost:
		return true
	}
	return false
}

// watermark is a position in a slot's sequence of attempts. It covers every attempt
// at or below it.
type watermark struct {
	epoch core.Epoch
	n     uint64
}

func (m watermark) covers(id core.AttemptID) bool {
	if id.Epoch != m.epoch {
		return id.Epoch.Less(m.epoch)
	}
	return id.N <= m.n
}

// retained is a final attempt with the instant from which on it may be evicted.
type retained struct {
	attempt   *attempt
	expiresAt core.Instant
}

// table is the call table: the attempts that this sidecar has a record of.
type table struct {
	attempts map[core.AttemptID]*attempt
	// evicted maps each slot to the highest attempt that was evicted. If an attempt at
	// or below it is not in the table, it may have been executed and must never be
	// started again.
	evicted map[core.SlotID]watermark
	// unacked holds final attempts whose owner has not acknowledged the result,
	// oldest first.
	unacked []*attempt
	// retained holds acknowledged attempts and tombstones until they expire, oldest
	// first.
	retained     []retained
	lastQueueSeq uint64
	// lastAnswerActivity is when an answer that ingress entries read from this sidecar was
	// last finished or acknowledged; meaningful if hasAnswers is set.
	lastAnswerActivity core.Instant
	hasAnswers         bool
}

func newTable() table {
	return table{
		attempts: map[core.AttemptID]*attempt{},
		evicted:  map[core.SlotID]watermark{},
	}
}

// wasEvicted reports whether an attempt that is not in the table may have been in
// it before.
func (t *table) wasEvicted(id core.AttemptID) bool {
	m, ok := t.evicted[id.Slot]
	return ok && m.covers(id)
}

// finalize makes an attempt final, frees the parts of the call that only its execution
// needs, and sends the result to the owner.
func (s *Sidecar) finalize(a *attempt, state core.AttemptState, reason core.Reason) {
	a.state = state
	a.reason = reason
	a.doneAt = s.now
	a.call.Body = nil
	a.call.Blocks = nil
	s.table.unacked = append(s.table.unacked, a)
	s.recordAnswerActivity(a)
	s.sendResult(a.owner, a)
}

// sendResult sends the state of an attempt to an entry.
func (s *Sidecar) sendResult(to core.Node, a *attempt) {
	a.resultSentAt = s.now
	s.send(to, s.result(a))
}

func (s *Sidecar) result(a *attempt) core.Result {
	return core.Result{
		Attempt:    a.id,
		Program:    a.call.Program,
		State:      a.state,
		Reason:     a.reason,
		RetryAfter: a.retryAfter,
		Usage:      a.usage,
		Digest:     a.digest,
		Blocks:     a.blocks,
		Answer:     a.answer,
		Length:     a.length,
		Epoch:      s.fences.highest[a.slot],
		Load:       s.load(),
	}
}

// onAckResult starts the retention time of a final attempt. Further acknowledgements
// of the same attempt are ignored.
func (s *Sidecar) onAckResult(msg core.AckResult) {
	a := s.table.attempts[msg.Attempt]
	if a == nil || !a.isFinal() || a.acked {
		return
	}
	s.startRetention(a)
	s.table.unacked = remove(s.table.unacked, a)
	s.recordAnswerActivity(a)
}

// recordAnswerActivity records that an ingress entry may be about to read an answer
// from this sidecar. An answer that the result contains needs no read.
func (s *Sidecar) recordAnswerActivity(a *attempt) {
	if a.state == core.AttemptDone && a.answer == nil {
		s.table.hasAnswers = true
		s.table.lastAnswerActivity = s.now
	}
}

func (s *Sidecar) startRetention(a *attempt) {
	a.acked = true
	until := s.now.Add(s.settings.retention)
	s.table.retained = append(s.table.retained, retained{a, until})
}

// resendResults sends unacknowledged results again with exponential backoff. After
// unackedRetention a result counts as acknowledged, which starts its retention time.
func (s *Sidecar) resendResults() {
	unacked := s.table.unacked[:0]
	for _, a := range s.table.unacked {
		if s.now.Sub(a.doneAt) > unackedRetention {
			s.startRetention(a)
			continue
		}
		unacked = append(unacked, a)
		if a.resends < maxResends && s.now.Sub(a.resultSentAt) >= initialResendDelay<<a.resends {
			a.resends++
			s.sendResult(a.owner, a)
		}
	}
	clear(s.table.unacked[len(unacked):])
	s.table.unacked = unacked
}

// evictAttempts evicts attempts whose retention time has passed.
func (s *Sidecar) evictAttempts() {
	n := 0
	for n < len(s.table.retained) && s.table.retained[n].expiresAt <= s.now {
		s.evict(s.table.retained[n].attempt)
		n++
	}
	s.table.retained = s.table.retained[n:]
}

func (s *Sidecar) evict(a *attempt) {
	delete(s.table.attempts, a.id)
	if !s.table.wasEvicted(a.id) {
		s.table.evicted[a.id.Slot] = watermark{a.id.Epoch, a.id.N}
	}
	if a.state == core.AttemptDone {
		s.emit(core.DropAnswer{Attempt: a.id})
	}
}

// remove deletes a from list in place and keeps the order.
func remove(list []*attempt, a *attempt) []*attempt {
	for i := range list {
		if list[i] == a {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
