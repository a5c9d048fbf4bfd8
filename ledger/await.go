package ledger

import (
	"slices"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
)

// RecordsAwaited requests a reply as soon as the records with these keys are stored.
type RecordsAwaited struct {
	RequestID uint64
	Keys      []uint64
}

// AwaitEnded ends the wait of a request whose records have not arrived. If all of them are
// being written, the request waits for the outcome.
type AwaitEnded struct{ RequestID uint64 }

func (RecordsAwaited) event() {}
func (AwaitEnded) event()     {}

// wait is a request that waits until records are stored.
type wait struct {
	requestID uint64
	// keys are those of all records asked for, missing those that are not stored yet.
	keys    []uint64
	missing []Key
	// hasEnded means that the request waits only for writes under way.
	hasEnded bool
}

// awaits are the waiting requests and the writes under way.
type awaits struct {
	byRequest map[uint64]*wait
	byKey     map[Key][]*wait
	// writes counts the writes under way by record.
	writes map[Key]int
}

func newAwaits() awaits {
	return awaits{byRequest: make(map[uint64]*wait), byKey: make(map[Key][]*wait), writes: make(map[Key]int)}
}

func (a *awaits) add(w *wait) {
	a.byRequest[w.requestID] = w
	for _, key := range w.missing {
		a.byKey[key] = append(a.byKey[key], w)
	}
}

func (a *awaits) remove(w *wait) {
	delete(a.byRequest, w.requestID)
	for _, key := range w.missing {
		rest := slices.DeleteFunc(a.byKey[key], func(other *wait) bool { return other == w })
		if len(rest) == 0 {
			delete(a.byKey, key)
		} else {
			a.byKey[key] = rest
		}
	}
}

// isWriting reports whether all records that a request lacks are being written.
func (a *awaits) isWriting(w *wait) bool {
	return !slices.ContainsFunc(w.missing, func(key Key) bool { return a.writes[key] == 0 })
}

// endWrite ends a write of a record and returns the waits that end with it.
func (a *awaits) endWrite(key Key, stored bool) (ended []*wait) {
	if a.writes[key]--; a.writes[key] <= 0 {
		delete(a.writes, key)
	}
	for _, w := range slices.Clone(a.byKey[key]) {
		if !stored {
			if w.hasEnded && !a.isWriting(w) {
				a.remove(w)
				ended = append(ended, w)
			}
			continue
		}
		w.missing = slices.DeleteFunc(w.missing, func(other Key) bool { return other == key })
		if len(w.missing) == 0 {
			a.remove(w)
			ended = append(ended, w)
		}
	}
	if stored {
		delete(a.byKey, key)
	}
	return ended
}

// awaitRecords replies at once if the records are stored.
func (r *Replica) awaitRecords(e RecordsAwaited) []Effect {
	w := &wait{requestID: e.RequestID, keys: e.Keys}
	for _, key := range e.Keys {
		if !r.HasRecord(Key(key)) && !slices.Contains(w.missing, Key(key)) {
			w.missing = append(w.missing, Key(key))
		}
	}
	if len(w.missing) == 0 {
		return r.awaitReply(w)
	}
	r.awaits.add(w)
	return nil
}

func (r *Replica) endAwait(e AwaitEnded) []Effect {
	w := r.awaits.byRequest[e.RequestID]
	if w == nil {
		return nil
	}
	if r.awaits.isWriting(w) {
		w.hasEnded = true
		return nil
	}
	r.awaits.remove(w)
	return r.awaitReply(w)
}

// endWrites ends the writes of records and replies to the requests that waited for them.
func (r *Replica) endWrites(summaries []Summary, stored bool) []Effect {
	var effects []Effect
	for i := range summaries {
		for _, w := range r.awaits.endWrite(summaries[i].Key, stored) {
			effects = append(effects, r.awaitReply(w)...)
		}
	}
	return effects
}

// awaitReply responds like replyAppend to records that were forwarded.
func (r *Replica) awaitReply(w *wait) []Effect {
	response := &ledgerpb.Response{Status: ledgerpb.Status_STATUS_NOT_FOUND}
	effects := []Effect{Reply{RequestID: w.requestID, Response: response}}
	if len(w.missing) > 0 {
		return effects
	}
	response.Status = r.status()
	for _, key := range w.keys {
		turn, isPartial := r.partial[Key(key)]
		if !isPartial {
			continue
		}
		if missing := r.missingTurn(turn); missing != "" {
			response.Status = ledgerpb.Status_STATUS_RECOVERING
			effects = append(effects, ChainNeeded{Turn: missing})
			continue
		}
		delete(r.partial, Key(key))
	}
	return effects
}
