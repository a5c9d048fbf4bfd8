package fleet_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

const (
	shortageTurn  = 350 * time.Millisecond
	shortagePause = 250 * time.Millisecond
	// shortageBegin and shortageEnd are when engines slow down and recover.
	shortageBegin, shortageEnd = 10 * time.Second, 24 * time.Second
)

// shortage plays programs of two routes, of many accounts, while seven in ten engines turn slow
// and all accounts want half as much again.
type shortage struct {
	*simulation
	// Programs are those that asked to start. Late are also those that were given up after twice
	// their objective.
	programs, inTime, late, refused int
}

// simProgram is a program of turns that follow each other.
type simProgram struct {
	route      string
	turns      int
	begun      time.Duration
	objective  time.Duration
	lastTarget string
}

func runShortage(seed uint64, slow float64, disabled ...string) *shortage {
	set, err := mechanism.Parse(disabled)
	if err != nil {
		panic(err)
	}
	const targets, slots = 20, 24
	s := &shortage{simulation: newSimulation(6, targets, slots, true, 50*time.Millisecond, set)}
	s.random = rand.New(rand.NewPCG(seed, 3))
	for i := range targets * 7 / 10 {
		s.targets[i].pace = func(now time.Duration) float64 {
			if now >= shortageBegin && now < shortageEnd {
				return slow
			}
			return 1
		}
	}
	s.demand("short", 3, 40)
	s.demand("long", 7, 35)
	s.run(time.Minute)
	return s
}

// demand adds programs of a route with that many turns on average.
func (s *shortage) demand(route string, turns int, perSecond float64) {
	for at := time.Duration(0); at < 34*time.Second; {
		rate := perSecond
		if at >= shortageBegin && at < shortageBegin+8*time.Second {
			rate *= 1.5
		}
		at += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		s.programs++
		n := turns - 1 + s.random.IntN(3)
		p := &simProgram{route: route, turns: n, begun: at,
			objective: time.Duration(1.85*float64(n)*float64(shortageTurn+shortagePause)) + 250*time.Millisecond}
		account := 1 + s.random.Uint64N(70)
		s.at(at, func() { s.begin(p, account) })
	}
}

func (s *shortage) begin(p *simProgram, account uint64) {
	f := s.entries[s.random.IntN(len(s.entries))]
	program := fleet.Program{Service: "s", Account: account, Priority: 1}
	if f.Admit(program, s.time()).Admission != fleet.Admitted {
		s.refused++
		return
	}
	s.turn(p, account)
}

func (s *shortage) turn(p *simProgram, account uint64) {
	arrived := s.now
	c := &simCall{route: p.route, work: time.Duration((0.5 + s.random.Float64()) * float64(shortageTurn)), events: 12, lastTarget: p.lastTarget}
	c.after = func(hasEnded bool) {
		f := s.entries[c.entry]
		if !hasEnded {
			outcome := fleet.FirstEventMet
			if s.now-arrived > latencyTarget {
				outcome = fleet.FirstEventMissed
			}
			f.RecordObjective("s", outcome, s.time())
			return
		}
		f.RecordAccountEnd("s", account, s.time())
		p.lastTarget = c.target.target.ID
		s.afterTurn(p, account, arrived, f)
	}
	s.arrive(c)
	s.entries[c.entry].RecordAccountStart("s", account, s.time())
}

func (s *shortage) afterTurn(p *simProgram, account uint64, arrived time.Duration, f *fleet.Fleet) {
	end := p.begun + p.objective
	f.RecordTurn("s", s.now-arrived, end-arrived, s.time())
	p.turns--
	switch {
	case s.now > end+p.objective:
		s.late++
	case p.turns > 0:
		s.at(s.now+time.Duration((0.5+s.random.Float64())*float64(shortagePause)), func() { s.turn(p, account) })
	case s.now > end:
		s.late++
	default:
		s.inTime++
	}
}

// Load: a general shortage, seven in ten engines at a quarter of their speed and all accounts
// with half as many programs again (storm-on-slow-engines). First events came in time, so the
// limit fell only when the objectives of programs had passed, and one in six of the admitted
// ended late.
func TestProgramsThatWouldEndLateDoNotStart(t *testing.T) {
	for seed := range uint64(3) {
		s := runShortage(seed, 4)
		t.Logf("seed %d: of %d programs in time %d, late %d, refused %d", seed, s.programs, s.inTime, s.late, s.refused)
		assert.Less(t, 10*s.late, s.programs-s.refused, "seed %d", seed)
		assert.Greater(t, 10*s.inTime, 7*s.programs, "seed %d", seed)
	}
}

// While engines have their usual speed, a demand that grows by half refuses nobody.
func TestProgramsThatEndInTimeStart(t *testing.T) {
	s := runShortage(0, 1)
	assert.Zero(t, s.refused)
	assert.Equal(t, s.programs, s.inTime)
}
