package entry

import (
	"maps"
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// ownerState is an owner's state of a slot in addition to the snapshot. It is
// not replicated; a new owner rebuilds what it needs from the snapshot.
type ownerState struct {
	epoch core.Epoch
	// ownedSince is the first epoch of this entry's uninterrupted ownership.
	ownedSince core.Epoch
	replicas   []*replicaProgress
	// changedPrograms, removedPrograms and changedEscrows name what the next write
	// contains.
	changedPrograms map[core.ProgramID]bool
	removedPrograms map[core.ProgramID]bool
	changedEscrows  map[core.Account]bool
	// forceWrite requests a write even if nothing changed.
	forceWrite bool
	// ready is set once the first write of this owner is replicated. pending holds
	// the requests that arrive before then.
	ready   bool
	pending []core.Recv
	// fencing is set while the owner waits for sidecars to confirm its fence.
	fencing *fencing
	// awaitingReplication holds the results that are sent after the next
	// replicated write.
	awaitingReplication []*refusedRequest
	callbacks           []replicationCallback
	queues              map[core.ProgramID]*programQueue
	// grants holds the escrow grants that are being requested.
	grants map[core.Account]*grant
	// attempts maps attempts to their open calls.
	attempts map[core.AttemptID]*openCall
}

// replicaProgress is the owner's view of one replica in the current epoch.
type replicaProgress struct {
	member     core.Member
	ackedIndex uint64
	// snapshotIndex is the index of the last snapshot sent; zero for none.
	snapshotIndex uint64
	sentAt        core.Instant
}

// replicationCallback is run once the write with the given index is replicated;
// it was queued at the instant at.
type replicationCallback struct {
	index uint64
	at    core.Instant
	run   func()
}

func newOwnerState(epoch core.Epoch) *ownerState {
	return &ownerState{
		epoch:           epoch,
		ownedSince:      epoch,
		changedPrograms: map[core.ProgramID]bool{},
		removedPrograms: map[core.ProgramID]bool{},
		changedEscrows:  map[core.Account]bool{},
		queues:          map[core.ProgramID]*programQueue{},
		grants:          map[core.Account]*grant{},
		attempts:        map[core.AttemptID]*openCall{},
	}
}

// afterReplication runs a callback once every replica has acknowledged the
// changes made so far in this step. Effects that depend on the changes must wait
// for it.
func (e *Entry) afterReplication(s *slot, run func()) {
	s.ownerState.callbacks = append(s.ownerState.callbacks, replicationCallback{s.snapshot.index + 1, e.now, run})
	s.ownerState.forceWrite = true
	e.markDirty(s)
}

// flush sends one write with all changes of the step to every replica.
func (e *Entry) flush(s *slot) {
	st := s.ownerState
	if st == nil || s.isFenced() {
		return
	}
	if !st.forceWrite && len(st.changedPrograms)+len(st.removedPrograms)+len(st.changedEscrows) == 0 {
		e.runReplicated(s)
		return
	}
	s.snapshot.index++
	w := core.ReplicaWrite{
		Slot:        s.id,
		Epoch:       st.epoch,
		Index:       s.snapshot.index,
		Removed:     slices.Sorted(maps.Keys(st.removedPrograms)),
		NextAttempt: s.snapshot.nextAttempt,
		At:          e.now,
	}
	for _, id := range slices.Sorted(maps.Keys(st.changedPrograms)) {
		w.Programs = append(w.Programs, s.snapshot.programs[id])
	}
	for _, a := range slices.Sorted(maps.Keys(st.changedEscrows)) {
		w.Escrows = append(w.Escrows, s.snapshot.escrows[a])
	}
	st.forceWrite = false
	clear(st.changedPrograms)
	clear(st.removedPrograms)
	clear(st.changedEscrows)
	for _, r := range st.replicas {
		e.sendWrite(s, r, w)
	}
	e.runReplicated(s)
}

// isFenced reports whether the owner has promised a higher epoch for an
// assignment that it proposes itself. It resumes writing in the new epoch.
func (s *slot) isFenced() bool { return s.ownerState.epoch.Less(s.promisedEpoch) }

// sendWrite sends a write, or the complete snapshot if the replica got none in
// this epoch.
func (e *Entry) sendWrite(s *slot, r *replicaProgress, w core.ReplicaWrite) {
	if e.members.confirmedDead(r.member.Node) {
		return
	}
	if r.snapshotIndex == 0 {
		e.sendSnapshot(s, r)
		return
	}
	if r.ackedIndex+1 == w.Index {
		r.sentAt = e.now
	}
	e.send(r.member.Node, w)
}

// sendSnapshot sends the complete snapshot to a replica.
func (e *Entry) sendSnapshot(s *slot, r *replicaProgress) {
	r.snapshotIndex = s.snapshot.index
	r.sentAt = e.now
	e.send(r.member.Node, core.ReplicaWrite{
		Slot:        s.id,
		Epoch:       s.ownerState.epoch,
		Index:       s.snapshot.index,
		Snapshot:    s.snapshot.message(s.id),
		NextAttempt: s.snapshot.nextAttempt,
		At:          e.now,
	})
}

// runReplicated runs the callbacks whose write is replicated.
func (e *Entry) runReplicated(s *slot) {
	st := s.ownerState
	if s.isFenced() {
		return
	}
	acked := e.replicatedIndex(s)
	for len(st.callbacks) > 0 && st.callbacks[0].index <= acked {
		next := st.callbacks[0]
		st.callbacks = st.callbacks[1:]
		next.run()
		if s.ownerState != st || s.isFenced() {
			return
		}
	}
}

// replicatedIndex returns the index of the last replicated write: every replica
// that is not confirmed dead has acknowledged it, and at least one replica if
// there are any. The second condition keeps a single member from continuing
// alone with an outdated member set.
func (e *Entry) replicatedIndex(s *slot) uint64 {
	lowest, highest := s.snapshot.index, uint64(0)
	for _, r := range s.ownerState.replicas {
		highest = max(highest, r.ackedIndex)
		if !e.members.confirmedDead(r.member.Node) {
			lowest = min(lowest, r.ackedIndex)
		}
	}
	if len(s.ownerState.replicas) > 0 {
		return min(lowest, highest)
	}
	return lowest
}

// handleReplicaAck handles a replica's response to a write.
func (e *Entry) handleReplicaAck(from core.Node, a core.ReplicaAck) {
	s := e.slot(a.Slot)
	if s == nil || s.ownerState == nil {
		return
	}
	if s.ownerState.epoch.Less(a.Promised) {
		// A fenced owner has requested the promise itself.
		if !s.isFenced() || s.promisedEpoch.Less(a.Promised) {
			e.stepDown(s, a.Promised)
		}
		return
	}
	if a.Epoch != s.ownerState.epoch {
		return
	}
	i := slices.IndexFunc(s.ownerState.replicas, func(r *replicaProgress) bool { return r.member.Node == from })
	if i < 0 {
		return
	}
	r := s.ownerState.replicas[i]
	switch {
	case a.OK && a.Index > r.ackedIndex:
		r.ackedIndex = a.Index
		r.sentAt = e.now
		e.runReplicated(s)
	case a.NeedsSnapshot && a.Index > r.snapshotIndex:
		e.sendSnapshot(s, r)
	}
}

// tickReplicas sends the snapshot again to replicas whose acknowledgement is
// late.
func (e *Entry) tickReplicas(s *slot) {
	if s.isFenced() {
		return
	}
	for _, r := range s.ownerState.replicas {
		late := r.ackedIndex < s.snapshot.index && e.now.Sub(r.sentAt) >= 2*e.times.heartbeat
		if late && !e.members.confirmedDead(r.member.Node) {
			e.sendSnapshot(s, r)
		}
	}
	e.runReplicated(s)
}

// handleReplicaWrite handles an owner's write. It rejects a write of an epoch
// below the promised one. If a write does not directly follow the last one
// applied, it requests a snapshot.
func (e *Entry) handleReplicaWrite(from core.Node, w core.ReplicaWrite) {
	s := e.slot(w.Slot)
	if s == nil {
		return
	}
	ack := core.ReplicaAck{Slot: w.Slot, Epoch: w.Epoch, Index: w.Index}
	if w.Epoch.Less(s.promisedEpoch) || s.ownerState != nil && s.ownerState.epoch == w.Epoch {
		ack.Promised = s.promisedEpoch
		e.send(from, ack)
		return
	}
	s.promisedEpoch = w.Epoch
	if s.ownerState != nil {
		e.stepDown(s, w.Epoch)
	}
	ack.Promised = s.promisedEpoch
	e.applyWrite(s, w, &ack)
	if ack.OK && w.At != 0 {
		s.snapshot.clockSkew = e.now.Sub(w.At)
	}
	e.send(from, ack)
}

// applyWrite applies a write of the promised epoch to the snapshot and fills in
// the acknowledgement.
func (e *Entry) applyWrite(s *slot, w core.ReplicaWrite, ack *core.ReplicaAck) {
	sn := &s.snapshot
	sameEpoch := sn.valid && sn.epoch == w.Epoch
	switch {
	case sameEpoch && w.Index <= sn.index:
		ack.OK = true
		ack.Index = sn.index
	case w.Snapshot != nil:
		sn.replace(w.Snapshot)
		sn.epoch = w.Epoch
		ack.OK = true
	case sameEpoch && w.Index == sn.index+1:
		sn.apply(w)
		ack.OK = true
	default:
		ack.NeedsSnapshot = true
	}
}

// becomeOwner makes this entry the owner in the epoch of its assignment. The
// first write of the epoch sends the complete snapshot to every replica.
func (e *Entry) becomeOwner(s *slot) {
	old := s.ownerState
	st := newOwnerState(s.assignment.Epoch)
	for _, m := range s.assignment.Replicas {
		if m.Node != e.self {
			st.replicas = append(st.replicas, &replicaProgress{member: m})
		}
	}
	s.ownerState = st
	e.scan.stale = true
	s.promisedEpoch = s.assignment.Epoch
	s.snapshot.epoch = s.assignment.Epoch
	s.snapshot.completeSince = max(s.snapshot.completeSince, s.assignment.CompleteSince)
	if old != nil {
		st.ownedSince = old.ownedSince
		st.ready = old.ready
		st.pending = old.pending
		st.fencing = old.fencing
		st.awaitingReplication = old.awaitingReplication
		st.queues = old.queues
		st.callbacks = old.callbacks
		st.grants = old.grants
		st.attempts = old.attempts
	}
	st.forceWrite = true
	e.markDirty(s)
	if s.snapshot.completeSince > 1 && s.stateLostAt == 0 {
		s.stateLostAt = e.now
	}
	if old == nil {
		s.snapshot.adjustClock()
		e.markLastTargetsUsed(s)
		e.afterReplication(s, func() { e.startServing(s) })
	}
}

// startServing starts to serve the slot once the first write of a new owner is
// replicated: only then is it certain that no other owner can write. An owner
// without the slot's state also waits for the sidecars' fences.
func (e *Entry) startServing(s *slot) {
	st := s.ownerState
	if st.fencing != nil {
		st.fencing.writeReplicated = true
		return
	}
	st.ready = true
	e.reopen(s)
	pending := st.pending
	st.pending = nil
	for _, m := range pending {
		e.handleMessage(m.From, m.Msg)
	}
}

// stepDown ends this entry's ownership: a higher epoch was promised, so no write
// of its epoch can be acknowledged any more.
func (e *Entry) stepDown(s *slot, by core.Epoch) {
	s.ownerState = nil
	s.ownerChangedAt = e.now
	if s.promisedEpoch.Less(by) {
		s.promisedEpoch = by
	}
}
