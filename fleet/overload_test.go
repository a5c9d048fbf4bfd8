package fleet_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

// The simulated load: programs of several turns on a few slow engines, two and a half
// times as many as these can serve. Each turn holds a slot and slows the others of its
// engine; a caller gives up after turnTimeout, by then the work is wasted, and the program
// sends the turn again.
const (
	overloadEngines  = 6
	overloadSlots    = 4
	turnTime         = 800 * time.Millisecond
	fullSlowdown     = 0.8
	turnTimeout      = 3 * time.Second
	turnsPerProgram  = 6
	maxTurnAttempts  = 3
	programPause     = 60 * time.Millisecond
	objectiveFactor  = 1.6
	latencyTarget    = 250 * time.Millisecond
	overloadDuration = 60 * time.Second
	overloadFactor   = 2.5
)

// overloadProgram is a program under way.
type overloadProgram struct {
	urgent         bool
	account        uint64
	entry          *fleet.Fleet
	begun          time.Time
	turn, attempts int
	// late is set once the objective has passed.
	late bool
}

// overloadEvent is a step of the simulation.
type overloadEvent struct {
	at   time.Time
	step func(now time.Time)
}

type overloadQueue []overloadEvent

func (q overloadQueue) Len() int           { return len(q) }
func (q overloadQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q overloadQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *overloadQueue) Push(x any)        { *q = append(*q, x.(overloadEvent)) }
func (q *overloadQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// overloadSim runs the programs on engines that serve in order of arrival. Each program is
// served by one entry.
type overloadSim struct {
	entries []*fleet.Fleet
	events  overloadQueue
	random  *rand.Rand
	running map[catalog.TargetKey]int
	waiting map[catalog.TargetKey][]func(now time.Time)

	admitted, inTime, cutTurns int
	urgentAsked, urgentInTime  int
	otherAsked, otherInTime    int
	byAccount                  map[uint64]*accountOutcome
	// permits grants the permits for engines with a rate limit.
	permits *loadboard.Board
}

// accountOutcome counts the programs of an account. Those that ended did so within twice their
// objective.
type accountOutcome struct{ asked, admitted, inTime, ended int }

func newOverloadSim(seed uint64, entryCount, engineCount int, disabled ...string) *overloadSim {
	set, err := mechanism.Parse(disabled)
	if err != nil {
		panic(err)
	}
	s := &overloadSim{
		random: rand.New(rand.NewPCG(seed, 1)), byAccount: map[uint64]*accountOutcome{}, permits: loadboard.New(),
		running: map[catalog.TargetKey]int{}, waiting: map[catalog.TargetKey][]func(time.Time){},
	}
	for i := range entryCount {
		f := fleet.New(seed+uint64(i), set)
		f.Update(engines(engineCount), services)
		s.entries = append(s.entries, f)
	}
	return s
}

// run runs all events.
func (s *overloadSim) run() {
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(overloadEvent)
		next.step(next.at)
	}
}

func (s *overloadSim) outcome(account uint64) *accountOutcome {
	if s.byAccount[account] == nil {
		s.byAccount[account] = &accountOutcome{}
	}
	return s.byAccount[account]
}

func runOverload(seed uint64, disabled ...string) *overloadSim {
	s := newOverloadSim(seed, 1, overloadEngines, disabled...)
	capacity := float64(overloadEngines*overloadSlots) / (turnTime.Seconds() * turnsPerProgram)
	for at := start; at.Before(start.Add(overloadDuration)); {
		at = at.Add(time.Duration(s.random.ExpFloat64() / (capacity * overloadFactor) * float64(time.Second)))
		s.at(at, func(now time.Time) { s.begin(&overloadProgram{urgent: s.random.IntN(3) == 0, begun: now}, now) })
	}
	s.run()
	return s
}

func (s *overloadSim) at(at time.Time, step func(time.Time)) {
	heap.Push(&s.events, overloadEvent{at, step})
}

func (s *overloadSim) begin(p *overloadProgram, now time.Time) {
	priority := 1
	if p.urgent {
		priority = 0
		s.urgentAsked++
	} else {
		s.otherAsked++
	}
	if p.entry == nil {
		p.entry = s.entries[0]
	}
	s.outcome(p.account).asked++
	if p.entry.Admit(fleet.Program{Service: "llm", Account: p.account, Priority: priority}, now).Admission == fleet.Admitted {
		s.admitted++
		s.outcome(p.account).admitted++
		s.sendTurn(p, now)
	}
}

// sendTurn places a turn at an engine, where it waits for a slot. Before that, it waits for a
// permit if the engine has a rate limit.
func (s *overloadSim) sendTurn(p *overloadProgram, now time.Time) {
	s.place(p, now, now.Add(turnTimeout), now)
}

func (s *overloadSim) place(p *overloadProgram, sent, deadline, now time.Time) {
	choice, ok := p.entry.Pick(fleet.Query{Service: "llm", Domain: "d0", AllowFull: true, MaxWait: loadboard.MaxPermitWait}, now)
	again := now.Add(loadboard.MaxPermitWait)
	if ok {
		wait, granted := s.permit(p, choice, now)
		if granted {
			s.at(now.Add(wait), func(now time.Time) { s.startTurn(p, choice.Target.TargetKey, sent, deadline, now) })
			return
		}
		again = now.Add(time.Millisecond)
	}
	if again.After(deadline) {
		s.cutTurns++
		return
	}
	s.at(again, func(now time.Time) { s.place(p, sent, deadline, now) })
}

func (s *overloadSim) permit(p *overloadProgram, choice fleet.Choice, now time.Time) (time.Duration, bool) {
	if !choice.Limit.IsLimited {
		return 0, true
	}
	permit := s.permits.Acquire(choice.Target.Hash(), choice.Limit.PerSecond, choice.PermitWait+30*time.Millisecond, now)
	p.entry.RecordPermitWait(choice.Target.TargetKey, permit.Next, now)
	return permit.Wait, permit.Granted
}

func (s *overloadSim) startTurn(p *overloadProgram, target catalog.TargetKey, sent, deadline, now time.Time) {
	p.entry.RecordStart(target, nil, now)
	p.entry.RecordAccountStart("llm", p.account, now)
	run := func(now time.Time) {
		s.running[target]++
		if now.Sub(sent) <= latencyTarget {
			p.entry.RecordObjective("llm", fleet.FirstEventMet, now)
		} else {
			p.entry.RecordObjective("llm", fleet.FirstEventMissed, now)
		}
		slowdown := 1 + fullSlowdown*float64(s.running[target])/overloadSlots
		end := now.Add(time.Duration((0.5 + s.random.Float64()) * slowdown * float64(turnTime)))
		if end.After(deadline) {
			end = deadline
		}
		s.at(end, func(now time.Time) { s.endTurn(p, target, now.Before(deadline), now) })
	}
	s.waiting[target] = append(s.waiting[target], func(now time.Time) {
		if now.Before(deadline) {
			run(now)
			return
		}
		p.entry.RecordEnd(target, fleet.Refused, turnTimeout, now)
		p.entry.RecordAccountEnd("llm", p.account, now)
		s.turnFailed(p, now)
	})
	s.startWaiting(p.entry, target, now)
}

// startWaiting fills the slots of an engine, which reports its load to an entry.
func (s *overloadSim) startWaiting(entry *fleet.Fleet, target catalog.TargetKey, now time.Time) {
	for s.running[target] < overloadSlots && len(s.waiting[target]) > 0 {
		next := s.waiting[target][0]
		s.waiting[target] = s.waiting[target][1:]
		next(now)
	}
	entry.RecordLoad(target, fleet.Load{Running: s.running[target], Waiting: len(s.waiting[target]), Slots: overloadSlots}, now)
}

func (s *overloadSim) endTurn(p *overloadProgram, target catalog.TargetKey, complete bool, now time.Time) {
	s.running[target]--
	p.entry.RecordEnd(target, fleet.Answered, turnTime, now)
	p.entry.RecordAccountEnd("llm", p.account, now)
	s.startWaiting(p.entry, target, now)
	objective := p.begun.Add(time.Duration(objectiveFactor * turnsPerProgram * float64(turnTime+programPause)))
	if !complete || now.After(objective) && !p.late {
		p.late = now.After(objective)
		p.entry.RecordObjective("llm", fleet.ProgramMissed, now)
	}
	if !complete {
		s.turnFailed(p, now)
		return
	}
	p.attempts = 0
	if p.turn++; p.turn < turnsPerProgram {
		s.at(now.Add(programPause), func(now time.Time) { s.sendTurn(p, now) })
		return
	}
	if now.Before(objective.Add(objective.Sub(p.begun))) {
		s.outcome(p.account).ended++
	}
	if now.After(objective) {
		return
	}
	s.inTime++
	s.outcome(p.account).inTime++
	if p.urgent {
		s.urgentInTime++
	} else {
		s.otherInTime++
	}
}

func (s *overloadSim) turnFailed(p *overloadProgram, now time.Time) {
	s.cutTurns++
	if p.attempts++; p.attempts < maxTurnAttempts {
		s.at(now.Add(programPause), func(now time.Time) { s.sendTurn(p, now) })
	}
}

// Engines that are slower than their load needs must not lose their capacity to turns
// that callers give up (further scale-1 with engines at three tenths of their speed).
// With the limit that adapts to missed objectives, more programs end in time, fewer turns
// are wasted, and urgent programs still go before others.
func TestAdmissionLimitAdaptsToOverload(t *testing.T) {
	for seed := range uint64(5) {
		constant, adaptive := runOverload(seed, "adaptive_admission"), runOverload(seed)
		assert.Greater(t, adaptive.inTime, constant.inTime, "seed %d", seed)
		assert.LessOrEqual(t, adaptive.cutTurns, constant.cutTurns, "seed %d", seed)
		assert.Greater(t, adaptive.inTime*constant.admitted, constant.inTime*adaptive.admitted, "share of the admitted, seed %d", seed)
		urgent := float64(adaptive.urgentInTime) / float64(adaptive.urgentAsked)
		other := float64(adaptive.otherInTime) / float64(adaptive.otherAsked)
		assert.Greater(t, urgent, other, "seed %d", seed)
		assert.Positive(t, adaptive.otherInTime, "no kind is starved")
	}
}

// Turns that miss their objective on idle engines, as after a restart of all processes,
// must not keep new programs out.
func TestMissedObjectivesOnIdleEnginesRefuseNobody(t *testing.T) {
	f := newFleet(6)
	for range 200 {
		f.RecordLoad(key(0), fleet.Load{Running: 1, Slots: 4}, start)
		f.RecordObjective("llm", fleet.ProgramMissed, start)
	}
	for range 50 {
		f.RecordLoad(key(0), fleet.Load{Running: 3, Slots: 4}, start)
	}
	assert.Equal(t, fleet.Admitted, f.Admit(fleet.Program{Service: "llm", Priority: 1}, start).Admission)
}
