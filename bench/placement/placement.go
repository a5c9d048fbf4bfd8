package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// Knowledge is how entries learn the load that others cause.
type Knowledge string

// Kinds of knowledge.
const (
	// Answers uses the load that engines report with their answers only.
	Answers Knowledge = "answers"
	// TwoChoices considers two random engines and that of the previous turn, with the load
	// that engines report with their answers.
	TwoChoices Knowledge = "two_choices"
	// DomainBoards exchanges the calls in flight among the entries of a failure domain.
	DomainBoards Knowledge = "domain_boards"
	// OneBoard exchanges the calls in flight among all entries.
	OneBoard Knowledge = "one_board"
)

// All lists the kinds of knowledge.
var All = []Knowledge{Answers, TwoChoices, DomainBoards, OneBoard}

const (
	service = "llm"
	domains = 5
	slots   = 8
	// cacheTokens is the memory of an engine, partTokens the size of a program's own part
	// and prefixTokens that of a shared prefix.
	cacheTokens    = 209_000
	prefixTokens   = 12_600
	partTokens     = 1_300
	sharedPrefixes = 6
	// turnTime is the duration of a turn on an idle engine, without prefill.
	// contentionTime is added for each other turn that runs there.
	turnTime       = 180 * time.Millisecond
	contentionTime = 12 * time.Millisecond
	// prefillPerMS is how many prompt tokens an idle engine processes in a millisecond.
	prefillPerMS    = 170
	turnsPerProgram = 4
	// pauseTime is the pause of a program between two turns.
	pauseTime = 60 * time.Millisecond
	// objective is the time to a turn's first event beyond which it is late.
	objective = 200 * time.Millisecond
	// exchangePeriod and exchangeDelay are the time between two exchanges of load and the
	// time until the response arrives.
	exchangePeriod = 60 * time.Millisecond
	exchangeDelay  = 2 * time.Millisecond
)

// Config describes one run.
type Config struct {
	// Entries is the number of entries, and of engines.
	Entries   int
	Knowledge Knowledge
	// Utilization is the share of the engines' slots that are used on average.
	Utilization float64
	Duration    time.Duration
	Seed        uint64
}

// Result is the outcome of one run. BusiestOverMean relates the turns of the busiest engine
// to those of the average one. LateShare is the share of turns whose first event missed the
// objective, WaitedShare that of turns that waited for a slot.
type Result struct {
	Entries         int       `json:"entries"`
	Knowledge       Knowledge `json:"knowledge"`
	Turns           int       `json:"turns"`
	BusiestOverMean float64   `json:"busiest_over_mean"`
	MostAtOnce      int       `json:"most_at_once"`
	LateShare       float64   `json:"late_share"`
	WaitedShare     float64   `json:"waited_share"`
}

// engine is a modelled model engine that serves in order of arrival.
type engine struct {
	key              catalog.TargetKey
	running          int
	queue            []func(now time.Time)
	turns, mostCalls int
	cached           map[string]bool
}

type run struct {
	config  Config
	random  *rand.Rand
	events  eventQueue
	end     time.Time
	entries []*fleet.Fleet
	boards  []*loadboard.Board
	engines map[catalog.TargetKey]*engine
	keys    []catalog.TargetKey
	result  Result
}

type program struct {
	entry      int
	prompt     []fleet.Part
	lastTarget string
	turnsLeft  int
}

// Run plays one configuration.
func Run(c Config) Result {
	r := &run{config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), engines: make(map[catalog.TargetKey]*engine)}
	r.result = Result{Entries: c.Entries, Knowledge: c.Knowledge}
	start := time.Unix(0, 0)
	r.end = start.Add(c.Duration)
	r.addProcesses()
	r.schedulePrograms(start)
	if c.Knowledge == DomainBoards || c.Knowledge == OneBoard {
		for i := range c.Entries {
			first := start.Add(time.Duration(r.random.Int64N(int64(exchangePeriod))))
			r.events.add(first, func(now time.Time) { r.exchange(i, now) })
		}
	}
	r.events.drain()
	return r.finish()
}

func (r *run) addProcesses() {
	var targets []catalog.Target
	for i := range r.config.Entries {
		key := catalog.TargetKey{ID: fmt.Sprintf("engine-%d", i)}
		r.engines[key] = &engine{key: key, cached: make(map[string]bool)}
		r.keys = append(r.keys, key)
		targets = append(targets, catalog.Target{TargetKey: key, Service: service, Domain: domainOf(i), Slots: slots})
	}
	services := map[string]catalog.Service{service: {Name: service, Engine: &catalog.Engine{Slots: slots, CacheTokens: cacheTokens, TokensPerEvent: 20}}}
	for i := range r.config.Entries {
		f := fleet.New(r.config.Seed*1000+uint64(i)*7919, 0)
		f.Update(targets, services)
		r.entries = append(r.entries, f)
	}
	for range domains {
		r.boards = append(r.boards, loadboard.New())
	}
}

func domainOf(i int) string { return fmt.Sprintf("d%d", i%domains) }

// schedulePrograms schedules the starts of programs at random times, at a rate that uses
// the given share of the slots.
func (r *run) schedulePrograms(start time.Time) {
	const fullTurn = turnTime + contentionTime*slots/2
	perSecond := r.config.Utilization * float64(r.config.Entries*slots) / (fullTurn.Seconds() * turnsPerProgram)
	for at := start; at.Before(r.end); {
		at = at.Add(time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)))
		p := &program{
			entry:     r.random.IntN(r.config.Entries),
			turnsLeft: 1 + r.random.IntN(2*turnsPerProgram-1),
			prompt: []fleet.Part{
				{ID: fmt.Sprintf("shared-%d", r.random.IntN(sharedPrefixes)), Tokens: prefixTokens},
				{ID: fmt.Sprintf("program-%d", r.random.Uint64()), Tokens: partTokens},
			},
		}
		r.events.add(at, func(now time.Time) { r.sendTurn(p, now) })
	}
}

// sendTurn places the program's next turn.
func (r *run) sendTurn(p *program, now time.Time) {
	f := r.entries[p.entry]
	query := fleet.Query{Service: service, Domain: domainOf(p.entry), Prompt: p.prompt, LastTarget: p.lastTarget, AllowFull: true}
	if r.config.Knowledge == TwoChoices {
		query.Exclude = r.allButTwo(p.lastTarget)
	}
	choice, ok := f.Pick(query, now)
	if !ok {
		return
	}
	e := r.engines[choice.Target.TargetKey]
	f.RecordStart(e.key, p.prompt, now)
	r.result.Turns++
	e.turns++
	begin := func(started time.Time) { r.beginTurn(p, e, now, started) }
	if e.running < slots {
		begin(now)
	} else {
		r.result.WaitedShare++
		e.queue = append(e.queue, begin)
	}
	e.mostCalls = max(e.mostCalls, e.running+len(e.queue))
}

// allButTwo returns all engines except two random ones and the one named last.
func (r *run) allButTwo(last string) []catalog.TargetKey {
	one, two := r.random.IntN(len(r.keys)), r.random.IntN(len(r.keys))
	var others []catalog.TargetKey
	for i, key := range r.keys {
		if i != one && i != two && key.ID != last {
			others = append(others, key)
		}
	}
	return others
}

// beginTurn runs a turn in a slot of its engine.
func (r *run) beginTurn(p *program, e *engine, sent, now time.Time) {
	f := r.entries[p.entry]
	prefill := r.prefillTime(p, e)
	first := now.Add(prefill)
	if first.Sub(sent) > objective {
		r.result.LateShare++
	}
	e.running++
	duration := prefill + turnTime + time.Duration(e.running-1)*contentionTime
	r.events.add(first, func(now time.Time) {
		f.RecordLoad(e.key, fleet.Load{Running: e.running, Waiting: len(e.queue), Slots: slots}, now)
	})
	r.events.add(now.Add(duration), func(now time.Time) {
		e.running--
		f.RecordEnd(e.key, fleet.Answered, now.Sub(sent), now)
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next(now)
		}
		p.lastTarget = e.key.ID
		if p.turnsLeft--; p.turnsLeft > 0 {
			r.events.add(now.Add(pauseTime), func(now time.Time) { r.sendTurn(p, now) })
		}
	})
}

// prefillTime returns how long the engine processes the part of the prompt that it has not
// cached, and records that it has cached it.
func (r *run) prefillTime(p *program, e *engine) time.Duration {
	uncached := 0
	for _, part := range p.prompt {
		if !e.cached[part.ID] {
			uncached += part.Tokens
			e.cached[part.ID] = true
		}
	}
	return time.Duration(float64(uncached) / prefillPerMS * float64(1+e.running) * float64(time.Millisecond))
}

// exchange reports an entry's calls in flight and schedules its next report.
func (r *run) exchange(i int, now time.Time) {
	f := r.entries[i]
	board := r.boards[0]
	if r.config.Knowledge == DomainBoards {
		board = r.boards[i%domains]
	}
	others := board.Exchange(fmt.Sprintf("entry-%d", i), f.LoadReport(now), now)
	r.events.add(now.Add(exchangeDelay), func(now time.Time) { f.RecordOthers(others, now) })
	if now.Before(r.end) {
		r.events.add(now.Add(exchangePeriod), func(now time.Time) { r.exchange(i, now) })
	}
}

func (r *run) finish() Result {
	result := r.result
	var turns []int
	for _, e := range r.engines {
		turns = append(turns, e.turns)
		result.MostAtOnce = max(result.MostAtOnce, e.mostCalls)
	}
	if total := float64(result.Turns); total > 0 {
		result.BusiestOverMean = float64(slices.Max(turns)) * float64(len(turns)) / total
		result.LateShare /= total
		result.WaitedShare /= total
	}
	return result
}
