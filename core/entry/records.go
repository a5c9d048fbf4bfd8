package entry

import (
	"maps"
	"slices"
	"strings"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

const (
	// maxRecords bounds the finished calls kept of a program for retries, beside
	// those that must not be repeated.
	maxRecords = 4
	// expirePeriod is the period of the search for idle and old programs.
	expirePeriod = 1 * core.Second
)

// sortedPrograms returns the programs of a slot by id.
func sortedPrograms(s *slot) []*core.Program {
	ps := make([]*core.Program, 0, len(s.image.programs))
	for _, id := range slices.Sorted(maps.Keys(s.image.programs)) {
		ps = append(ps, s.image.programs[id])
	}
	return ps
}

// inTree reports whether id is top or one of its sub-agents.
func inTree(id, top core.ProgramID) bool {
	return id == top || strings.HasPrefix(string(id), string(top)+"/")
}

// tree returns the programs of the tree under top by id.
func tree(s *slot, top core.ProgramID) []core.ProgramID {
	var ids []core.ProgramID
	for _, id := range slices.Sorted(maps.Keys(s.image.programs)) {
		if inTree(id, top) {
			ids = append(ids, id)
		}
	}
	return ids
}

// trim drops the records of finished calls beyond those that a retry may ask
// for. A call that must not be repeated stays known as long as its program,
// without its answer once the retention time is over.
func (e *Entry) trim(calls []core.CallRecord) []core.CallRecord {
	plain := 0
	for i := len(calls) - 1; i >= 0; i-- {
		r := &calls[i]
		old := e.now.Sub(r.DoneAt) > e.times.retention
		switch {
		case r.Phase != core.PhaseDone:
		case r.NonIdempotent && r.Key != "":
			if old {
				r.Finish.Answer = nil
			}
		case old || plain >= maxRecords:
			calls = slices.Delete(calls, i, i+1)
		default:
			plain++
		}
	}
	return calls
}

// removeUnused forgets a program of which no call ever ran.
func (e *Entry) removeUnused(s *slot, p *core.Program) {
	unused := p.NextSeq == 1 && len(p.Calls) == 0 && p.Spent+p.Reserved == 0 && !p.Ended
	if unused && len(tree(s, p.ID)) == 1 {
		s.remove(p.ID)
	}
}

// endRequested ends a program and its sub-agents at a caller's request.
func (e *Entry) endRequested(from core.Node, m core.EndRequest) {
	s := e.slotOf(m.Program)
	if s == nil || s.home == nil {
		return
	}
	if !s.home.ready {
		s.home.keepEarly(from, m)
		return
	}
	p := s.image.programs[m.Program]
	if p != nil && p.Account != m.Account {
		e.decide(s, m.Req, refusal(core.ReasonUnauthorized, 0))
		return
	}
	e.end(s, m.Program)
	done := core.Finished{
		Req:    m.Req,
		Finish: core.Finish{Outcome: core.OutcomeRan},
		Epoch:  s.home.epoch,
	}
	e.durable(s, func() { e.send(from, done) })
}

// end marks a tree as ended, stops its calls and releases the engine memory
// that is held for it.
func (e *Entry) end(s *slot, top core.ProgramID) {
	e.noteLatency(s, top)
	if p := s.image.programs[top]; p != nil && top.Root() == top && !p.Ended && e.counts[p.Account] > 0 {
		e.counts[p.Account]--
	}
	for _, id := range tree(s, top) {
		p := s.edit(id)
		p.Ended = true
		p.LastActive = e.now
	}
	for _, id := range slices.Sorted(maps.Keys(s.home.lanes)) {
		if inTree(id, top) {
			e.endLane(s, s.home.lanes[id])
		}
	}
	e.durable(s, func() { e.sendEnd(s, top) })
}

// noteLatency reports the time from a root program's first call to its last
// answer. A program that is ended while a call is open has no last answer.
func (e *Entry) noteLatency(s *slot, top core.ProgramID) {
	p := s.image.programs[top]
	if p == nil || p.Ended || p.NextSeq == 1 || top != top.Root() {
		return
	}
	last := p.LastActive
	for _, id := range tree(s, top) {
		if s.home.lanes[id] != nil {
			return
		}
		last = max(last, s.image.programs[id].LastActive)
	}
	e.emit(core.Decision{
		Step: "end", Program: top, Slot: s.id, Wait: last.Sub(p.Started), Kind: p.Kind, Account: p.Account,
	})
}

func (e *Entry) endLane(s *slot, l *lane) {
	for _, c := range slices.Clone(l.waiting) {
		e.refuse(s, c, core.ReasonProgramEnded, 0)
	}
	if l.open != nil {
		l.open.ended = true
		e.cancel(s, l.open, core.ReasonProgramEnded)
	}
}

// sendEnd tells every sidecar that served a tree to release its memory.
func (e *Entry) sendEnd(s *slot, top core.ProgramID) {
	for _, n := range holders(s, top) {
		if !e.members.dead(n) {
			e.send(n, core.EndProgram{Slot: s.id, Epoch: s.home.epoch, Program: top})
		}
	}
}

// expire ends programs that are idle or too old and forgets ended ones.
func (e *Entry) expire(s *slot) {
	if s.expiredAt > 0 && e.now.Sub(s.expiredAt) < expirePeriod {
		return
	}
	s.expiredAt = e.now
	active := s.lastActive()
	for id := range s.home.lanes {
		delete(active, id.Root())
	}
	for _, root := range slices.Sorted(maps.Keys(active)) {
		if p := s.image.programs[root]; p != nil {
			e.expireTree(s, p, e.now.Sub(active[root]))
		}
	}
}

// lastActive returns when each tree last made progress, by root.
func (s *slot) lastActive() map[core.ProgramID]core.Instant {
	active := map[core.ProgramID]core.Instant{}
	for id, p := range s.image.programs {
		active[id.Root()] = max(active[id.Root()], p.LastActive)
	}
	return active
}

func (e *Entry) expireTree(s *slot, root *core.Program, idle core.Duration) {
	tooOld := e.now.Sub(root.Started) >= e.maxAge(root)
	switch {
	case root.Ended && idle >= e.times.retention:
		e.forgetTree(s, root.ID)
	case root.Ended && repeatsEnd(idle):
		e.sendEnd(s, root.ID)
	case !root.Ended && (tooOld || idle >= e.maxIdle(root)):
		e.end(s, root.ID)
	}
}

// repeatsEnd reports whether the end of a program is told again at this look.
// The message may be lost, and nobody acknowledges it; the waits double.
func repeatsEnd(idle core.Duration) bool {
	looks := idle / expirePeriod
	return looks > 0 && looks&(looks-1) == 0
}

// forgetTree releases the memory once more, in case the first message was lost,
// and removes the records.
func (e *Entry) forgetTree(s *slot, top core.ProgramID) {
	e.sendEnd(s, top)
	for _, id := range tree(s, top) {
		s.remove(id)
	}
	e.mark(s)
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
