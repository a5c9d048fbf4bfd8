package engine

import (
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/engine/openai"
)

// maxEvents limits the cache events that are stored for slow readers.
const maxEvents = 10_000

// cacheEventLog stores the latest cache events for slow readers.
type cacheEventLog struct {
	// gapEvery drops each event whose number is a multiple of it; zero drops none.
	gapEvery     uint64
	lastSequence uint64
	logged       []loggedEvent
	changed      chan struct{}
}

// loggedEvent is a cache event and its time.
type loggedEvent struct {
	event openai.WireEvent
	at    time.Time
}

// add numbers an event and stores it, unless its number is a multiple of
// gapEvery.
func (l *cacheEventLog) add(stored, evicted []uint64, at time.Time) {
	l.lastSequence++
	if l.gapEvery > 0 && l.lastSequence%l.gapEvery == 0 {
		return
	}
	e := openai.WireEvent{Sequence: l.lastSequence, Stored: stored, Evicted: evicted}
	l.logged = append(l.logged, loggedEvent{event: e, at: at})
	if len(l.logged) > maxEvents {
		l.logged = slices.Delete(l.logged, 0, len(l.logged)-maxEvents)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// dueAfter returns the due events with a number above sequence, and the time
// until the next event is due. The time is zero if no event is waiting. An
// event is due if it is not newer than cutoff.
func (l *cacheEventLog) dueAfter(sequence uint64, cutoff time.Time) (due []openai.WireEvent, wait time.Duration) {
	for _, e := range l.logged {
		if e.event.Sequence <= sequence {
			continue
		}
		if e.at.After(cutoff) {
			return due, e.at.Sub(cutoff)
		}
		due = append(due, e.event)
	}
	return due, 0
}
