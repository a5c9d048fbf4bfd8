package sidecar

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// resendAfter is the wait before a result without an acknowledgement is
	// sent again; it doubles each time.
	resendAfter = 2 * core.Second
	// maxResends bounds how often a result is sent again.
	maxResends = 5
	// unackedRetention is how long a result is kept that nobody acknowledges.
	unackedRetention = core.Hour
	// maxInlineAnswer is the longest answer that travels with a result, in bytes.
	maxInlineAnswer = 1024
)

// attempt is one row of the call table.
type attempt struct {
	id    core.AttemptID
	slot  core.SlotID
	fence core.Epoch
	call  core.Call
	state core.AttemptState
	// home is the entry that dispatched the attempt or asked for it last.
	home core.Node

	// arrived, rank and turn order the attempt while it waits; turn is unique.
	arrived  core.Instant
	rank     core.Instant
	turn     uint64
	turns    uint32
	age      core.Duration
	attained uint64
	// uncached is the part of the prompt that the target has to compute, and
	// demand the memory that the attempt needs there, in tokens.
	uncached uint64
	demand   uint64

	startedAt core.Instant
	// sent means that the attempt was handed to the target; it is never unset.
	sent bool
	// aborted means that the target was told to cancel the attempt.
	aborted bool
	abortBy core.Reason
	output  uint32

	reason     core.Reason
	retryAfter core.Duration
	usage      core.Usage
	digest     uint64
	blocks     uint32
	answer     []byte
	length     uint64

	doneAt  core.Instant
	sentAt  core.Instant
	resends int
	acked   bool
}

// final reports that the attempt's state will not change any more.
func (a *attempt) final() bool {
	switch a.state {
	case core.AttemptDone, core.AttemptRefused, core.AttemptLost:
		return true
	}
	return false
}

// mark is a position in a slot's sequence of attempts.
type mark struct {
	epoch core.Epoch
	n     uint64
}

func (m mark) covers(id core.AttemptID) bool {
	if id.Epoch != m.epoch {
		return id.Epoch.Less(m.epoch)
	}
	return id.N <= m.n
}

// retired is a final attempt with the instant from which it may be forgotten.
type retired struct {
	attempt *attempt
	until   core.Instant
}

// table is the call table.
type table struct {
	attempts map[core.AttemptID]*attempt
	// forgotten holds per slot the highest attempt that was dropped. One at or
	// below it that is not in the table may have run, and never runs again.
	forgotten map[core.SlotID]mark
	// unacked holds final attempts whose home has not answered, oldest first.
	unacked []*attempt
	// retiring holds acknowledged attempts and tombstones, oldest first.
	retiring []retired
	turns    uint64
	// answeredAt is when the last answer that edges read from here was finished
	// or acknowledged.
	answeredAt core.Instant
	answered   bool
}

func newTable() table {
	return table{
		attempts:  map[core.AttemptID]*attempt{},
		forgotten: map[core.SlotID]mark{},
	}
}

// wasForgotten reports whether an attempt that is not in the table may have
// been there before.
func (t *table) wasForgotten(id core.AttemptID) bool {
	m, ok := t.forgotten[id.Slot]
	return ok && m.covers(id)
}

// finish makes an attempt final and frees the parts that only running needs.
func (s *Sidecar) finish(a *attempt, state core.AttemptState, reason core.Reason) {
	a.state = state
	a.reason = reason
	a.doneAt = s.now
	a.call.Body = nil
	a.call.Blocks = nil
	s.table.unacked = append(s.table.unacked, a)
	s.noteAnswer(a)
	s.sendResult(a.home, a)
}

// sendResult reports an attempt's state to an entry.
func (s *Sidecar) sendResult(to core.Node, a *attempt) {
	a.sentAt = s.now
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

// onAck starts the retention time of a finished attempt.
func (s *Sidecar) onAck(msg core.AckResult) {
	a := s.table.attempts[msg.Attempt]
	if a == nil || !a.final() || a.acked {
		return
	}
	s.retire(a)
	s.table.unacked = remove(s.table.unacked, a)
	s.noteAnswer(a)
}

// noteAnswer notes that edges may be about to read an answer.
func (s *Sidecar) noteAnswer(a *attempt) {
	if a.state == core.AttemptDone && a.answer == nil {
		s.table.answered = true
		s.table.answeredAt = s.now
	}
}

func (s *Sidecar) retire(a *attempt) {
	a.acked = true
	until := s.now.Add(s.settings.retention)
	s.table.retiring = append(s.table.retiring, retired{a, until})
}

// resendResults repeats results that were not acknowledged, and retires those
// that nobody has asked for in a long time.
func (s *Sidecar) resendResults() {
	kept := s.table.unacked[:0]
	for _, a := range s.table.unacked {
		if s.now.Sub(a.doneAt) > unackedRetention {
			s.retire(a)
			continue
		}
		kept = append(kept, a)
		if a.resends < maxResends && s.now.Sub(a.sentAt) >= resendAfter<<a.resends {
			a.resends++
			s.sendResult(a.home, a)
		}
	}
	clear(s.table.unacked[len(kept):])
	s.table.unacked = kept
}

// forgetAttempts drops attempts whose retention time has passed.
func (s *Sidecar) forgetAttempts() {
	n := 0
	for n < len(s.table.retiring) && s.table.retiring[n].until <= s.now {
		s.forget(s.table.retiring[n].attempt)
		n++
	}
	s.table.retiring = s.table.retiring[n:]
}

func (s *Sidecar) forget(a *attempt) {
	delete(s.table.attempts, a.id)
	if !s.table.wasForgotten(a.id) {
		s.table.forgotten[a.id.Slot] = mark{a.id.Epoch, a.id.N}
	}
	if a.state == core.AttemptDone {
		s.emit(core.DropAnswer{Attempt: a.id})
	}
}

// remove returns list without a, in the same order.
func remove(list []*attempt, a *attempt) []*attempt {
	for i := range list {
		if list[i] == a {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
