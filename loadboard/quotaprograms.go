package loadboard

import (
	"math"
	"time"
)

const (
	// programTime is about how long a program makes requests after its first one.
	programTime = 3 * time.Second
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

// programSize estimates how many requests a program makes, over the programs of all accounts.
type programSize struct {
	// requests and programs are decaying counts, and young is the number of programs that have
	// just started and still make most of their requests; all as of at.
	requests, programs, young float64
	at                        time.Time
}

// record counts requests and programs that have started.
func (p *programSize) record(requests, started int, now time.Time) {
	if p.at.IsZero() {
		p.requests, p.programs, p.at = initialProgramSize*initialPrograms, initialPrograms, now
	}
	elapsed := now.Sub(p.at)
	grown := p.young * (1 - remaining(elapsed, programTime))
	p.young += float64(started) - grown
	p.requests = p.requests*remaining(elapsed, sizeTime) + float64(requests)
	p.programs = p.programs*remaining(elapsed, sizeTime) + grown
	p.at = now
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

// committed is the number of requests that the programs of one account which have started are
// expected to make still.
type committed struct {
	requests float64
	at       time.Time
}

func (c *committed) add(requests float64, now time.Time) {
	c.requests, c.at = c.left(now)+requests, now
}

func (c *committed) left(now time.Time) float64 {
	return c.requests * remaining(now.Sub(c.at), programTime)
}

// recordPrograms records requests of an account, and programs that it has started.
func (b *Board) recordPrograms(q *quotaState, requests, started int, now time.Time) {
	if q.level(now) >= unpressedShare*q.capacity() {
		b.programSize.record(requests, started, now)
	}
	q.committed.add(float64(started)*(b.programSize.mean()-1), now)
}

// startWait returns the time until an account's quota has room for a whole program besides
// those under way; 0 if it has now. A quota counts requests, but a program that is refused one
// of its requests has wasted all others.
func (b *Board) startWait(q *quotaState, now time.Time) time.Duration {
	underWay, refill := q.committed.left(now), q.perSecond*programTime.Seconds()
	// A quota that never has room for a whole program must not refuse all of them.
	need := min(b.programSize.mean(), q.capacity()+refill)
	excess := underWay + need - q.level(now) - refill
	if excess <= 0 {
		return 0
	}
	seconds := excess / (q.perSecond + underWay/programTime.Seconds())
	return min(maxReturnWait, max(minStartWait, time.Duration(seconds*float64(time.Second))))
}
