package entry

import (
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// maxFinishedRecords bounds the records of a program's finished calls that are
	// stored for retries, not counting at-most-once calls with a key.
	maxFinishedRecords = 4
	// expireInterval is the interval between searches for idle and old programs.
	expireInterval = 1 * core.Second
)

// sortedPrograms returns the programs of a slot by id.
func sortedPrograms(s *slot) []*core.Program {
	ps := make([]*core.Program, 0, len(s.snapshot.programs))
	for _, id := range slices.Sorted(maps.Keys(s.snapshot.programs)) {
		ps = append(ps, s.snapshot.programs[id])
	}
	return ps
}

// inTree reports whether id is top or one of its sub-agents.
func inTree(id, top core.ProgramID) bool {
	return id == top || strings.HasPrefix(string(id), string(top)+"/")
}

// tree returns the ids of the programs in the tree under top, sorted.
func tree(s *slot, top core.ProgramID) []core.ProgramID {
	var ids []core.ProgramID
	for _, id := range slices.Sorted(maps.Keys(s.snapshot.programs)) {
		if inTree(id, top) {
			ids = append(ids, id)
		}
	}
	return ids
}

// trimRecords removes the records of finished calls that a retry is not expected
// to need. If a call has a key and must not be repeated, its record is kept as
// long as the program, but its answer is removed after the retention time.
func (e *Entry) trimRecords(calls []core.CallRecord) []core.CallRecord {
	retained := 0
	for i := len(calls) - 1; i >= 0; i-- {
		r := &calls[i]
		old := e.now.Sub(r.DoneAt) > e.times.retention
		switch {
		case r.Phase != core.PhaseDone:
		case r.NonIdempotent && r.Key != "":
			if old {
				r.Finish.Answer = nil
			}
		case old || retained >= maxFinishedRecords:
			calls = slices.Delete(calls, i, i+1)
		default:
			retained++
		}
	}
	return calls
}

// removeUnused removes a program of which no call was ever executed.
func (e *Entry) removeUnused(s *slot, p *core.Program) {
	unused := p.NextSeq == 1 && len(p.Calls) == 0 && p.Spent+p.Reserved == 0 && !p.Ended
	if unused && len(tree(s, p.ID)) == 1 {
		s.removeProgram(p.ID)
	}
}

// handleEndRequest ends a program and its sub-agents at a caller's request.
func (e *Entry) handleEndRequest(from core.Node, m core.EndRequest) {
	s := e.slotOf(m.Program)
	if s == nil || s.ownerState == nil {
		return
	}
	if !s.ownerState.ready {
		s.ownerState.addPending(from, m)
		return
	}
	p := s.snapshot.programs[m.Program]
	if p != nil && p.Account != m.Account {
		e.sendResultAfterReplication(s, m.Req, refusal(core.ReasonUnauthorized, 0))
		return
	}
	e.endProgram(s, m.Program)
	done := core.Finished{
		Req:    m.Req,
		Finish: core.Finish{Outcome: core.OutcomeRan},
		Epoch:  s.ownerState.epoch,
	}
	e.afterReplication(s, func() { e.send(from, done) })
}

// endProgram marks a program tree as ended, cancels its calls and releases the
// engine memory that is held for it.
func (e *Entry) endProgram(s *slot, top core.ProgramID) {
	e.reportLatency(s, top)
	if p := s.snapshot.programs[top]; p != nil && top.Root() == top && !p.Ended && e.accountPrograms[p.Account] > 0 {
		e.accountPrograms[p.Account]--
	}
	for _, id := range tree(s, top) {
		p := s.editProgram(id)
		p.Ended = true
		p.LastActive = e.now
	}
	for _, id := range slices.Sorted(maps.Keys(s.ownerState.queues)) {
		if inTree(id, top) {
			e.endQueue(s, s.ownerState.queues[id])
		}
	}
	e.afterReplication(s, func() { e.sendEndProgram(s, top) })
}

// reportLatency emits the time from a root program's first call to its last
// answer. A program that is ended while a call is open has no last answer.
func (e *Entry) reportLatency(s *slot, top core.ProgramID) {
	p := s.snapshot.programs[top]
	if p == nil || p.Ended || p.NextSeq == 1 || top != top.Root() {
		return
	}
	last := p.LastActive
	for _, id := range tree(s, top) {
		if s.ownerState.queues[id] != nil {
			return
		}
		last = max(last, s.snapshot.programs[id].LastActive)
	}
	e.emit(core.Decision{
		Step: "end", Program: top, Slot: s.id, Wait: last.Sub(p.Started), Kind: p.Kind, Account: p.Account,
	})
}

func (e *Entry) endQueue(s *slot, q *programQueue) {
	for _, c := range slices.Clone(q.waiting) {
		e.refuseCall(s, c, core.ReasonProgramEnded, 0)
	}
	if q.started != nil {
		q.started.programEnded = true
		e.cancelCall(s, q.started, core.ReasonProgramEnded)
	}
}

// sendEndProgram instructs every sidecar that has served a program tree to
// release its memory.
func (e *Entry) sendEndProgram(s *slot, top core.ProgramID) {
	for _, n := range stateHolders(s, top) {
		if !e.members.confirmedDead(n) {
			e.send(n, core.EndProgram{Slot: s.id, Epoch: s.ownerState.epoch, Program: top})
		}
	}
}

// expirePrograms ends programs that have been idle for too long or are too old,
// and removes ended ones after the retention time.
func (e *Entry) expirePrograms(s *slot) {
	if s.lastExpiryAt > 0 && e.now.Sub(s.lastExpiryAt) < expireInterval {
		return
	}
	s.lastExpiryAt = e.now
	active := s.lastActive()
	for id := range s.ownerState.queues {
		delete(active, id.Root())
	}
	for _, root := range slices.Sorted(maps.Keys(active)) {
		if p := s.snapshot.programs[root]; p != nil {
			e.expireTree(s, p, e.now.Sub(active[root]))
		}
	}
}

// lastActive returns when each program tree last made progress, by root.
func (s *slot) lastActive() map[core.ProgramID]core.Instant {
	active := map[core.ProgramID]core.Instant{}
	for id, p := range s.snapshot.programs {
		active[id.Root()] = max(active[id.Root()], p.LastActive)
	}
	return active
}

func (e *Entry) expireTree(s *slot, root *core.Program, idle core.Duration) {
	tooOld := e.now.Sub(root.Started) >= e.maxAge(root)
	switch {
	case root.Ended && idle >= e.times.retention:
		e.removeTree(s, root.ID)
	case root.Ended && isEndResendDue(idle):
		e.sendEndProgram(s, root.ID)
	case !root.Ended && (tooOld || idle >= e.maxIdle(root)):
		e.endProgram(s, root.ID)
	}
}

// isEndResendDue reports whether EndProgram must be sent again for a program
// that has been idle for the given time. The message may be lost and is not
// acknowledged. The interval doubles with each resend.
func isEndResendDue(idle core.Duration) bool {
	intervals := idle / expireInterval
	return intervals > 0 && intervals&(intervals-1) == 0
}

// removeTree sends the end of a program tree once more, in case the earlier
// messages were lost, and removes its records.
func (e *Entry) removeTree(s *slot, top core.ProgramID) {
	e.sendEndProgram(s, top)
	for _, id := range tree(s, top) {
		s.removeProgram(id)
	}
	e.markDirty(s)
}

func (e *Entry) maxIdle(p *core.Program) core.Duration {
	if kind := e.set.ProgramKind(p.Kind); kind != nil {
		return orDefault(kind.MaxIdle.Nanos(), defaultIdle)
	}
	return defaultIdle
}

func (e *Entry) maxAge(p *core.Program) core.Duration {
	if kind := e.set.ProgramKind(p.Kind); kind != nil {
		return orDefault(kind.MaxAge.Nanos(), defaultAge)
	}
	return defaultAge
}
