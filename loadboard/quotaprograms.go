package loadboard

import (
	"math"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/tokenbucket"
)

const (
	// programTime is about how long after its first request a program makes the others, on
	// average.
	programTime = 2 * time.Second
	// dueTime is the same for programs under way: many are near their end.
	dueTime = 1200 * time.Millisecond
	// startsUnknown is the time in which a board that takes over gets requests of many programs
	// whose starts it does not know. It does not learn the size of programs from them.
	startsUnknown = 3 * programTime
	// sizeTime is the time constant with which the size of programs is forgotten.
	sizeTime = time.Minute
	// initialProgramSize is the size of a program, in requests, before any is known, and
	// initialPrograms the number of programs that it counts as. maxProgramSize is the greatest
	// size that is assumed.
	initialProgramSize = 10.0
	initialPrograms    = 10.0
	maxProgramSize     = 60.0
	// unpressedShare is the part of an account's bucket above which its programs count in their
	// size. Those of others end early.
	unpressedShare = 0.5
	// minStartWait is the shortest time after which a refused program is told to return.
	minStartWait = 50 * time.Millisecond
)

// startHorizons are the times from now until which a quota must have room for what is due.
var startHorizons = [...]time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, quotaWindow}

// programSize estimates how many requests a program makes, over the programs of all accounts.
type programSize struct {
	// requests and programs are decaying counts as of at.
	requests, programs float64
	at                 time.Time
}

// record counts requests, and the programs that have made them.
func (p *programSize) record(requests, programs float64, now time.Time) {
	if p.at.IsZero() {
		p.requests, p.programs, p.at = initialProgramSize*initialPrograms, initialPrograms, now
	}
	kept := remaining(now.Sub(p.at), sizeTime)
	p.requests, p.programs, p.at = p.requests*kept+requests, p.programs*kept+programs, now
}

// mean returns the mean number of requests.
func (p *programSize) mean() float64 {
	if p.programs <= 0 {
		return initialProgramSize
	}
	return min(maxProgramSize, max(1, p.requests/p.programs))
}

// remaining returns what is left of a quantity that decays with a time constant.
func remaining(elapsed, constant time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / constant.Seconds())
}

// startedPrograms are the programs of one account that have started, each counted by the part of
// its requests that it is expected to make still.
type startedPrograms struct {
	underWay float64
	at       time.Time
}

func (p *startedPrograms) left(now time.Time) float64 {
	return p.underWay * remaining(now.Sub(p.at), programTime)
}

// add counts programs that have started. It returns how many programs the requests made since
// the last call amount to.
func (p *startedPrograms) add(started int, now time.Time) (done float64) {
	left := p.left(now)
	done = p.underWay - left
	p.underWay, p.at = left+float64(started), now
	return done
}

// recordPrograms records requests of an account, and programs that it has started.
func (b *Board) recordPrograms(q *quotaState, requests, started int, now time.Time) {
	done := q.programs.add(started, now)
	if q.level(now) >= unpressedShare*q.capacity() && now.Sub(b.coverage.since) >= startsUnknown {
		b.programSize.record(float64(requests), done, now)
	}
}

// startWait returns the time until an account's quota has room for a whole program besides
// those under way; 0 if it has now. A quota counts requests, but a program that is refused one
// of its requests has wasted all others.
func (b *Board) startWait(q *quotaState, now time.Time) time.Duration {
	size := b.programSize.mean()
	underWay := q.programs.left(now) * (size - 1)
	// A quota that never has room for a whole program must not refuse all of them.
	need := min(size, q.capacity()/2)
	wait := time.Duration(0)
	for _, d := range startHorizons {
		left := underWay * remaining(d, dueTime)
		if excess := underWay - left + need - q.room(d, now); excess > 0 {
			// The quota gains the rate, and what is under way gets less.
			wait = max(wait, minStartWait, tokenbucket.Period(excess, q.refill()+left/dueTime.Seconds()))
		}
	}
	return min(wait, maxReturnWait)
}
