package loadboard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// factTTL is how long a fact is kept.
	factTTL = 10 * time.Minute
	// maxFacts bounds the facts of a board. Beyond it, the oldest are dropped.
	maxFacts = 8192
	// MaxFactsPerExchange bounds the facts of one report or summary. The rest follow in the
	// next exchange.
	MaxFactsPerExchange = 256
)

// FactKind is the kind of a fact.
type FactKind uint8

// Kinds of facts.
const (
	// Crash means that a target's process ended while it had a request.
	Crash FactKind = iota + 1
	// Completion means that a target has executed a request to its end, after crashes.
	Completion
	// Confirmation means that the targets did not crash by themselves.
	Confirmation
)

// Fact is an observation that each process learns once and remembers for a limited time. Its
// identity is kind, subject and target; of equal facts a board keeps the first Crash and the
// last of the others.
type Fact struct {
	Kind FactKind
	// Subject is the fingerprint of the request, or of what it has in common with others.
	Subject uint64
	// Target is the hash of the target's catalog.TargetKey and TargetID its id; only for a
	// Crash.
	Target   uint64
	TargetID string
	// BeforeFirstEvent means that the request had no answer yet; only for a Crash.
	BeforeFirstEvent bool
	// Age is the time since the observation.
	Age time.Duration
	// Ran is how long the target had had the request at its crash; only for a Crash.
	Ran time.Duration
}

// FactPosition is how far a process has read the facts of a board. The zero value is the
// beginning of any board.
type FactPosition struct {
	// Board identifies the board. Another board has none of the process's facts.
	Board uint64
	Next  uint64
}

type factKey struct {
	kind            FactKind
	subject, target uint64
}

type storedFact struct {
	Fact
	at     time.Time
	number uint64
}

// factLog holds the facts of a board in the order in which they arrived. Invariant: list is
// ordered by number, and byKey contains the number of each fact in it.
type factLog struct {
	list  []storedFact
	byKey map[factKey]uint64
	next  uint64
}

// add adds a fact unless it is known already.
func (l *factLog) add(f Fact, now time.Time) {
	key := factKey{f.Kind, f.Subject, f.Target}
	at := now.Add(-f.Age)
	if number, known := l.byKey[key]; known {
		i := l.index(number)
		if f.Kind == Crash || !at.After(l.list[i].at) {
			return
		}
		l.list = slices.Delete(l.list, i, i+1)
	}
	if len(l.list) >= maxFacts {
		l.dropOldest(1)
	}
	l.byKey[key] = l.next
	l.list = append(l.list, storedFact{Fact: f, at: at, number: l.next})
	l.next++
}

// index returns the index of the first fact with the number or a higher one.
func (l *factLog) index(number uint64) int {
	i, _ := slices.BinarySearchFunc(l.list, number, func(f storedFact, n uint64) int { return cmp.Compare(f.number, n) })
	return i
}

func (l *factLog) dropOldest(n int) {
	for _, f := range l.list[:n] {
		delete(l.byKey, factKey{f.Kind, f.Subject, f.Target})
	}
	l.list = slices.Delete(l.list, 0, n)
}

// since returns the facts from a number on, at most MaxFactsPerExchange, and the number after
// the last of them.
func (l *factLog) since(number uint64, now time.Time) ([]Fact, uint64) {
	var facts []Fact
	for _, f := range l.list[l.index(number):] {
		if len(facts) == MaxFactsPerExchange {
			return facts, f.number
		}
		fact := f.Fact
		fact.Age = max(0, now.Sub(f.at))
		facts = append(facts, fact)
	}
	return facts, l.next
}

// expire drops the oldest facts once their time is over.
func (l *factLog) expire(now time.Time) {
	n := 0
	for n < len(l.list) && now.Sub(l.list[n].at) > factTTL {
		n++
	}
	l.dropOldest(n)
}
