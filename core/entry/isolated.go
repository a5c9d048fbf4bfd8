package entry

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// storeProbe is the state of the read that checks whether the key-value service
// responds. The read is sent while this entry reaches no peer.
type storeProbe struct {
	sentAt   core.Instant
	inFlight bool
}

// reachesNoPeer reports whether there are other entries and no heartbeat of any
// of them has arrived within the suspicion time. It is false if this is the only
// entry, and until the suspicion time has passed since the start.
func (e *Entry) reachesNoPeer() bool {
	if len(e.members.peers) == 0 || e.now.Sub(e.started) < e.times.suspect {
		return false
	}
	for _, p := range e.members.peers {
		if p.lastHeard > 0 && e.now.Sub(p.lastHeard) < e.times.suspect {
			return false
		}
	}
	return true
}

// isolated reports whether this entry reaches no peer and its key-value service
// fails or does not respond, so that it cannot receive any other owner's
// assignment.
func (e *Entry) isolated() bool {
	timedOut := e.storeProbe.inFlight && e.now.Sub(e.storeProbe.sentAt) >= e.times.suspect
	return (e.store.failed || timedOut) && e.reachesNoPeer()
}

// Isolated reports whether a load balancer should send no requests to this
// entry.
func (e *Entry) Isolated() bool { return e.isolated() }

// canServe reports whether this entry is the slot's owner and can replicate
// writes.
func (e *Entry) canServe(s *slot) bool {
	return s.ownerState != nil && s.ownerState.ready && !e.isStalled(s)
}

// probeStore sends a read to the key-value service while this entry reaches no
// peer.
func (e *Entry) probeStore() {
	if e.storeProbe.inFlight || e.now.Sub(e.storeProbe.sentAt) < e.times.suspect || !e.reachesNoPeer() {
		return
	}
	e.storeProbe = storeProbe{sentAt: e.now, inFlight: true}
	e.emit(core.StoreGet{Op: e.newOp(storeOp{kind: opProbe}), Key: core.SlotKey(0)})
}
