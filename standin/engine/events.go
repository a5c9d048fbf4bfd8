package engine

import (
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/engine/openai"
)

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 10_000

// eventLog keeps the latest cache events for readers that lag behind.
type eventLog struct {
	// gapEvery loses each event whose number is a multiple of it; zero: none.
	gapEvery uint64
	last     uint64
	kept     []keptEvent
	changed  chan struct{}
}

// keptEvent is a cache event and when it happened.
type keptEvent struct {
	event openai.WireEvent
	at    time.Time
}

// add numbers an event and keeps it, unless it is one to lose.
func (l *eventLog) add(stored, evicted []uint64, at time.Time) {
	l.last++
	if l.gapEvery > 0 && l.last%l.gapEvery == 0 {
		return
	}
	e := openai.WireEvent{Sequence: l.last, Stored: stored, Evicted: evicted}
	l.kept = append(l.kept, keptEvent{event: e, at: at})
	if len(l.kept) > maxEvents {
		l.kept = slices.Delete(l.kept, 0, len(l.kept)-maxEvents)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns the events with a higher number that are older than cutoff, and
// when the next one will be.
func (l *eventLog) after(sequence uint64, cutoff time.Time) (due []openai.WireEvent, wait time.Duration) {
	for _, k := range l.kept {
		if k.event.Sequence <= sequence {
			continue
		}
		if k.at.After(cutoff) {
			return due, k.at.Sub(cutoff)
		}
		due = append(due, k.event)
	}
	return due, 0
}
