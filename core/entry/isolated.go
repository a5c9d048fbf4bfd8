package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// probe is the question whether the key-value service answers, which an entry
// asks while it hears no other entry.
type probe struct {
	askedAt core.Instant
	busy    bool
}

// lonely reports whether this entry has other entries and has heard none for the
// suspicion time. A sole entry is not lonely.
func (e *Entry) lonely() bool {
	if len(e.members.peers) == 0 || e.now.Sub(e.started) < e.times.suspect {
		return false
	}
	for _, p := range e.members.peers {
		if p.heard > 0 && e.now.Sub(p.heard) < e.times.suspect {
			return false
		}
	}
	return true
}

// isolated reports whether this entry hears no other entry and its key-value
// service fails or is silent, so that it cannot learn of any other home.
func (e *Entry) isolated() bool {
	silent := e.probe.busy && e.now.Sub(e.probe.askedAt) >= e.times.suspect
	return (e.store.failed || silent) && e.lonely()
}

// Isolated reports whether a balancer should leave this entry out.
func (e *Entry) Isolated() bool { return e.isolated() }

// servesItself reports whether this entry is the slot's home and can complete
// writes.
func (e *Entry) servesItself(s *slot) bool {
	return s.home != nil && s.home.ready && !e.stalled(s)
}

// tickProbe asks the service while this entry is lonely.
func (e *Entry) tickProbe() {
	if e.probe.busy || e.now.Sub(e.probe.askedAt) < e.times.suspect || !e.lonely() {
		return
	}
	e.probe = probe{askedAt: e.now, busy: true}
	e.emit(core.StoreGet{Op: e.newOp(storeOp{kind: opProbe}), Key: core.SlotKey(0)})
}
