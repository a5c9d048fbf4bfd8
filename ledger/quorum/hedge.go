package quorum

import (
	"sync"
	"time"
)

const (
	// hedgeDelay is how long to wait for one member before the request is sent to the next
	// as well. A quorum responds in about ten milliseconds, and somewhat later with slow
	// disks. Members are not all asked at once, because chains are long, entries' network
	// links are slow, and each member that relays records sends them to all others.
	hedgeDelay = 60 * time.Millisecond
	// lateHedgeDelay is how long to wait for a silent member without hedge budget. It is
	// shorter than the time in which a turn needs the ledger, so that such a member does not
	// fail the turn.
	lateHedgeDelay = 450 * time.Millisecond
	// hedgeShare is the share of calls that may be hedged after hedgeDelay, on average, and
	// hedgeBurst the number of hedges that can be saved up.
	hedgeShare = 0.1
	hedgeBurst = 20.0
)

// hedgeBudget limits early hedges. If all members become slow, hedging every call would
// multiply their load and keep them slow. It is safe for concurrent use.
type hedgeBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newHedgeBudget() *hedgeBudget { return &hedgeBudget{tokens: hedgeBurst} }

// recordCall adds a call's share to the budget.
func (b *hedgeBudget) recordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+hedgeShare, hedgeBurst)
}

// take reports whether a call may be hedged early, and takes it from the budget if so.
func (b *hedgeBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// hedgeTimer determines when a call is sent to one more member.
type hedgeTimer struct {
	*time.Timer
	budget *hedgeBudget
	// sentAt is when the call was last sent to a member, link the link to it.
	sentAt time.Time
	link   *link
}

// startHedgeTimer starts the timer of a call that is about to be sent for the first time.
func (b *hedgeBudget) startHedgeTimer() *hedgeTimer {
	b.recordCall()
	return &hedgeTimer{Timer: time.NewTimer(hedgeDelay), budget: b, sentAt: time.Now()}
}

// sent restarts the timer after the call was sent to a member.
func (t *hedgeTimer) sent(l *link) {
	t.sentAt, t.link = time.Now(), l
	t.Reset(hedgeDelay)
}

// mayHedge reports whether the call may be sent to one more member after the timer has fired,
// and otherwise restarts the timer. A member that completes other calls is slow, not silent:
// sending its calls to others as well would make those slow too.
func (t *hedgeTimer) mayHedge() bool {
	waited := time.Since(t.sentAt)
	if waited >= lateHedgeDelay && !t.link.completedSince(t.sentAt) || t.budget.take() {
		return true
	}
	t.Reset(max(lateHedgeDelay-waited, hedgeDelay))
	return false
}
