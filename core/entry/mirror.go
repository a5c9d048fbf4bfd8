package entry

import (
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// home is the state of a slot's home beside its image. It is lost with the
// process; a new home rebuilds what it needs from the image.
type home struct {
	epoch core.Epoch
	// since is the first epoch of this home's time without a break.
	since core.Epoch
	links []*link
	// changed, removed and escrows name what the next write contains.
	changed map[core.ProgramID]bool
	removed map[core.ProgramID]bool
	escrows map[core.Account]bool
	// force asks for a write even if nothing changed.
	force bool
	// ready says that the first write of this home is complete; early holds the
	// requests that came before.
	ready bool
	early []core.Recv
	// fencing is set while the home waits for sidecars; nil otherwise.
	fencing *fencing
	// deciding holds the refusals that wait for a complete write.
	deciding []*refusedRequest
	after    []pending
	lanes    map[core.ProgramID]*lane
	// grants are the escrow grants that are asked for.
	grants map[core.Account]*grant
	// attempts finds the open call of an attempt.
	attempts map[core.AttemptID]*openCall
}

// link is the home's view of one mirror in the current epoch.
type link struct {
	member core.Member
	acked  uint64
	// imageAt is the index of the last image sent; zero for none.
	imageAt uint64
	sentAt  core.Instant
}

// pending is a step that runs once every mirror has acknowledged a write.
type pending struct {
	index uint64
	at    core.Instant
	run   func()
}

func newHome(epoch core.Epoch) *home {
	return &home{
		epoch:    epoch,
		since:    epoch,
		changed:  map[core.ProgramID]bool{},
		removed:  map[core.ProgramID]bool{},
		escrows:  map[core.Account]bool{},
		lanes:    map[core.ProgramID]*lane{},
		grants:   map[core.Account]*grant{},
		attempts: map[core.AttemptID]*openCall{},
	}
}

// durable runs a step once the changes made so far in this step are
// acknowledged by every mirror. Nothing outside depends on a change before.
func (e *Entry) durable(s *slot, run func()) {
	s.home.after = append(s.home.after, pending{s.image.index + 1, e.now, run})
	s.home.force = true
	e.mark(s)
}

// flush sends one write with all changes of the step to every mirror.
func (e *Entry) flush(s *slot) {
	h := s.home
	if h == nil || s.frozen() {
		return
	}
	if !h.force && len(h.changed)+len(h.removed)+len(h.escrows) == 0 {
		e.advance(s)
		return
	}
	s.image.index++
	w := core.ReplicaWrite{
		Slot:        s.id,
		Epoch:       h.epoch,
		Index:       s.image.index,
		Removed:     slices.Sorted(maps.Keys(h.removed)),
		NextAttempt: s.image.nextAttempt,
		At:          e.now,
	}
	for _, id := range slices.Sorted(maps.Keys(h.changed)) {
		w.Programs = append(w.Programs, s.image.programs[id])
	}
	for _, a := range slices.Sorted(maps.Keys(h.escrows)) {
		w.Escrows = append(w.Escrows, s.image.escrows[a])
	}
	h.force = false
	clear(h.changed)
	clear(h.removed)
	clear(h.escrows)
	for _, l := range h.links {
		e.sendWrite(s, l, w)
	}
	e.advance(s)
}

// frozen reports whether the home has promised a higher epoch for a change of
// owner that it proposes itself. It writes again in the new epoch.
func (s *slot) frozen() bool { return s.home.epoch.Less(s.promised) }

// sendWrite sends a write, or the whole image if the mirror has none of this
// epoch.
func (e *Entry) sendWrite(s *slot, l *link, w core.ReplicaWrite) {
	if e.members.dead(l.member.Node) {
		return
	}
	if l.imageAt == 0 {
		e.sendImage(s, l)
		return
	}
	if l.acked+1 == w.Index {
		l.sentAt = e.now
	}
	e.send(l.member.Node, w)
}

// sendImage sends the whole image to a mirror.
func (e *Entry) sendImage(s *slot, l *link) {
	l.imageAt = s.image.index
	l.sentAt = e.now
	e.send(l.member.Node, core.ReplicaWrite{
		Slot:        s.id,
		Epoch:       s.home.epoch,
		Index:       s.image.index,
		Snapshot:    s.image.snapshot(s.id),
		NextAttempt: s.image.nextAttempt,
		At:          e.now,
	})
}

// advance runs the steps whose write is complete.
func (e *Entry) advance(s *slot) {
	h := s.home
	if s.frozen() {
		return
	}
	acked := e.acknowledged(s)
	for len(h.after) > 0 && h.after[0].index <= acked {
		next := h.after[0]
		h.after = h.after[1:]
		next.run()
		if s.home != h || s.frozen() {
			return
		}
	}
}

// acknowledged returns the index of the last complete write: every mirror that
// is not dead by evidence has it, and at least one mirror if there is any. With
// the second condition no member can go on alone with an old set of members.
func (e *Entry) acknowledged(s *slot) uint64 {
	all, most := s.image.index, uint64(0)
	for _, l := range s.home.links {
		most = max(most, l.acked)
		if !e.members.dead(l.member.Node) {
			all = min(all, l.acked)
		}
	}
	if len(s.home.links) > 0 {
		return min(all, most)
	}
	return all
}

// mirrorAck takes in a mirror's answer to a write.
func (e *Entry) mirrorAck(from core.Node, a core.ReplicaAck) {
	s := e.slot(a.Slot)
	if s == nil || s.home == nil {
		return
	}
	if s.home.epoch.Less(a.Promised) {
		// A frozen home has asked for the promise itself.
		if !s.frozen() || s.promised.Less(a.Promised) {
			e.stepDown(s, a.Promised)
		}
		return
	}
	if a.Epoch != s.home.epoch {
		return
	}
	i := slices.IndexFunc(s.home.links, func(l *link) bool { return l.member.Node == from })
	if i < 0 {
		return
	}
	l := s.home.links[i]
	switch {
	case a.OK && a.Index > l.acked:
		l.acked = a.Index
		l.sentAt = e.now
		e.advance(s)
	case a.NeedsSnapshot && a.Index > l.imageAt:
		e.sendImage(s, l)
	}
}

// tickLinks sends the image again to mirrors that owe an acknowledgement.
func (e *Entry) tickLinks(s *slot) {
	if s.frozen() {
		return
	}
	for _, l := range s.home.links {
		late := l.acked < s.image.index && e.now.Sub(l.sentAt) >= 2*e.times.heartbeat
		if late && !e.members.dead(l.member.Node) {
			e.sendImage(s, l)
		}
	}
	e.advance(s)
}

// mirrorWrite takes in a home's write. A write of an epoch below the promise is
// refused; a write that does not follow the kept ones needs the image.
func (e *Entry) mirrorWrite(from core.Node, w core.ReplicaWrite) {
	s := e.slot(w.Slot)
	if s == nil {
		return
	}
	ack := core.ReplicaAck{Slot: w.Slot, Epoch: w.Epoch, Index: w.Index}
	if w.Epoch.Less(s.promised) || s.home != nil && s.home.epoch == w.Epoch {
		ack.Promised = s.promised
		e.send(from, ack)
		return
	}
	s.promised = w.Epoch
	if s.home != nil {
		e.stepDown(s, w.Epoch)
	}
	ack.Promised = s.promised
	e.keep(s, w, &ack)
	if ack.OK && w.At != 0 {
		s.image.skew = e.now.Sub(w.At)
	}
	e.send(from, ack)
}

// keep applies a write of the promised epoch to the image and fills in the
// acknowledgement.
func (e *Entry) keep(s *slot, w core.ReplicaWrite, ack *core.ReplicaAck) {
	im := &s.image
	current := im.valid && im.epoch == w.Epoch
	switch {
	case current && w.Index <= im.index:
		ack.OK = true
		ack.Index = im.index
	case w.Snapshot != nil:
		im.load(w.Snapshot)
		im.epoch = w.Epoch
		ack.OK = true
	case current && w.Index == im.index+1:
		im.apply(w)
		ack.OK = true
	default:
		ack.NeedsSnapshot = true
	}
}

// becomeHome makes this entry the home in the epoch of its owner entry. The
// first write of the epoch takes the whole image to every mirror.
func (e *Entry) becomeHome(s *slot) {
	old := s.home
	h := newHome(s.owner.Epoch)
	for _, m := range s.owner.Replicas {
		if m.Node != e.self {
			h.links = append(h.links, &link{member: m})
		}
	}
	s.home = h
	e.walk.stale = true
	s.promised = s.owner.Epoch
	s.image.epoch = s.owner.Epoch
	s.image.remembers = max(s.image.remembers, s.owner.CompleteSince)
	if old != nil {
		h.since = old.since
		h.ready = old.ready
		h.early = old.early
		h.fencing = old.fencing
		h.deciding = old.deciding
		h.lanes = old.lanes
		h.after = old.after
		h.grants = old.grants
		h.attempts = old.attempts
	}
	h.force = true
	e.mark(s)
	if s.image.remembers > 1 && s.forgotAt == 0 {
		s.forgotAt = e.now
	}
	if old == nil {
		s.image.rebase()
		e.useTargets(s)
		e.durable(s, func() { e.serve(s) })
	}
}

// serve begins to serve the slot once the first write of a new home is complete:
// only then it is certain that no other home can write. A home without the
// slot's memory also waits for the sidecars' fences.
func (e *Entry) serve(s *slot) {
	h := s.home
	if h.fencing != nil {
		h.fencing.written = true
		return
	}
	h.ready = true
	e.reopen(s)
	early := h.early
	h.early = nil
	for _, m := range early {
		e.receive(m.From, m.Msg)
	}
}

// stepDown ends this entry's time as home: a higher epoch was promised, so no
// write of its epoch can be acknowledged any more.
func (e *Entry) stepDown(s *slot, by core.Epoch) {
	s.home = nil
	s.changedAt = e.now
	if s.promised.Less(by) {
		s.promised = by
	}
}
