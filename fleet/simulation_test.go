package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fleet"
	"github.com/rhubarbsaddle/rhubarbsaddle/forecast"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

// simTarget executes calls in order of arrival, slots at a time.
type simTarget struct {
	target catalog.Target
	// pace returns how long work takes at a time, as a multiple of the usual time.
	pace func(time.Duration) float64
	// lies makes the target report that it is idle.
	lies    bool
	running int
	queue   []*simCall
	// started counts the calls.
	started int
}

// simCall is a call of a class with a number of events of equal work. Plain calls have none.
type simCall struct {
	route     string
	domain    string
	work      time.Duration
	events    int
	entry     int
	arrivedAt time.Duration
	choice    fleet.Choice
	target    *simTarget
}

// simulation plays calls in virtual time.
type simulation struct {
	random  *rand.Rand
	targets []*simTarget
	entries []*fleet.Fleet
	board   *loadboard.Board
	now     time.Duration
	events  simEvents
	// waits are the times in queues by route, and took those from arrival to end, in
	// milliseconds; crossings counts the calls that went to another domain.
	waits, took map[string][]float64
	crossings   int
}

func newSimulation(entries, targetCount, slots int, isEngine bool, exchange time.Duration, disabled mechanism.Set) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), board: loadboard.New(), waits: map[string][]float64{}, took: map[string][]float64{}}
	var declared []catalog.Target
	for i := range targetCount {
		target := catalog.Target{TargetKey: key(i), Service: "s", Domain: fmt.Sprintf("d%d", i%3), Slots: slots}
		declared = append(declared, target)
		s.targets = append(s.targets, &simTarget{target: target, pace: func(time.Duration) float64 { return 1 }})
	}
	services := map[string]catalog.Service{"s": {}}
	if isEngine {
		services["s"] = catalog.Service{Engine: &catalog.Engine{Slots: slots, CacheTokens: 300_000, TokensPerEvent: 20}}
	}
	for i := range entries {
		f := fleet.New(uint64(i)*7919, disabled)
		f.Update(declared, services)
		s.entries = append(s.entries, f)
		s.at(time.Duration(s.random.Int64N(int64(exchange))), func() { s.exchange(i, exchange) })
	}
	return s
}

func (s *simulation) at(at time.Duration, do func()) { heap.Push(&s.events, simEvent{at, do}) }
func (s *simulation) time() time.Time                { return start.Add(s.now) }

func (s *simulation) run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *simulation) exchange(entry int, period time.Duration) {
	f := s.entries[entry]
	f.RecordOthers(s.board.Exchange(fmt.Sprint(entry), f.LoadReport(s.time()), s.time()), s.time())
	s.at(s.now+period, func() { s.exchange(entry, period) })
}

// arrivals adds random calls at a rate from one time to another. Next returns a call.
func (s *simulation) arrivals(from, to time.Duration, perSecond float64, next func() *simCall) {
	for at := from; at < to; {
		at += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		s.at(at, func() { s.arrive(next()) })
	}
}

// arrive sends a call from a random entry or, if it has a domain, from a random one there.
func (s *simulation) arrive(c *simCall) {
	c.arrivedAt, c.entry = s.now, s.random.IntN(len(s.entries))
	if c.domain != "" {
		c.entry -= c.entry % 3
		c.entry = min(c.entry+int(c.domain[1]-'0'), len(s.entries)-1)
	}
	f := s.entries[c.entry]
	q := fleet.Query{Service: "s", Domain: c.domain, AllowFull: true, Class: forecast.Class{Route: c.route}}
	choice, _ := f.Pick(q, s.time())
	f.RecordStart(choice.Target.TargetKey, nil, s.time())
	choice.Call = f.StartCall(choice, q, s.time())
	c.choice, c.target = choice, s.targets[slices.IndexFunc(s.targets, func(t *simTarget) bool { return t.target.ID == choice.Target.ID })]
	if c.domain != "" && c.domain != choice.Target.Domain {
		s.crossings++
	}
	c.target.queue = append(c.target.queue, c)
	s.startNext(c.target)
}

func (s *simulation) startNext(t *simTarget) {
	for t.running < t.target.Slots && len(t.queue) > 0 {
		c := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		t.started++
		s.waits[c.route] = append(s.waits[c.route], milliseconds(s.now-c.arrivedAt))
		s.step(c, c.events)
	}
}

// step executes the next event of a call, of which left events are left.
func (s *simulation) step(c *simCall, left int) {
	t := c.target
	work := float64(c.work) * t.pace(s.now)
	if c.events > 0 {
		// Each call in a batch slows down the others.
		work *= (1 + 0.025*float64(t.running-1)) / float64(c.events)
	}
	s.at(s.now+time.Duration(work), func() {
		f := s.entries[c.entry]
		if left == c.events {
			f.RecordLoad(t.target.TargetKey, t.load(s.now), s.time())
		}
		if c.events > 0 {
			f.RecordEvent(c.choice.Call, s.time())
		}
		if left > 1 {
			s.step(c, left-1)
			return
		}
		t.running--
		s.took[c.route] = append(s.took[c.route], milliseconds(s.now-c.arrivedAt))
		f.EndCall(c.choice.Call, fleet.Answered, s.time())
		f.RecordEnd(t.target.TargetKey, fleet.Answered, s.now-c.arrivedAt, s.time())
		s.startNext(t)
	})
}

func (t *simTarget) load(now time.Duration) fleet.Load {
	if t.lies {
		return fleet.Load{Slots: t.target.Slots}
	}
	return fleet.Load{Running: t.running, Waiting: len(t.queue), Slots: t.target.Slots, Slowdown: t.pace(now)}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

type simEvent struct {
	at time.Duration
	do func()
}

// simEvents is a heap of events by their time.
type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
