// Package fleet knows the targets and chooses one for each call. It is pure: it
// has no clock and no network, and is not safe for concurrent use.
package fleet

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
)

const (
	// loadHalfLife is the time in which what others have running at a target is
	// taken as half over since it was last told. A turn takes about half a second.
	loadHalfLife = 400 * time.Millisecond
	// tokensPerMS is how many prompt tokens an engine reads in a millisecond.
	tokensPerMS = 170.0
	// engineNeighbourMS is what one more running request costs a turn and those
	// beside it, in milliseconds: a step of a batch slows by some hundredths of a
	// millisecond a request, for the some hundred tokens of a turn.
	engineNeighbourMS = 12.0
	// serviceNeighbourMS spreads calls of plain services over idle targets.
	serviceNeighbourMS = 2.0
	// otherDomainMS is the way to another failure domain and back.
	otherDomainMS = 2.0
	// initialRunMS is the expected duration of a run before any was seen.
	initialRunMS = 300.0
	// runWeight is the weight of a new duration in the average.
	runWeight = 0.05
	// queuePerSlot is how many calls may wait at a target for each of its slots
	// before it counts as full. Targets queue about three times their slots.
	queuePerSlot = 1.5
)

// Load is what a target tells of its load with an answer.
type Load struct{ Running, Waiting, Slots int }

// Outcome is how an attempt at a target ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// Answered means that the target answered, whatever it said.
	Answered Outcome = iota
	// Refused means that the target did not run the call.
	Refused
	// Unreachable means that no connection could be made.
	Unreachable
	// ConnectionLost means that the connection or the answer failed under way.
	ConnectionLost
	// Canceled means that the caller or this process gave up; it says nothing
	// about the target.
	Canceled
	// TimedOut means that the target did not answer in the time expected of it.
	TimedOut
	// ServerError means that the target answered with an error of its own.
	ServerError
)

// Query asks for a target for a call.
type Query struct {
	Service string
	// Domain is the failure domain of the caller's entry.
	Domain string
	Prompt []Part
	// LastTarget is the id of the target that ran the program's turn before, if that is
	// known. It keeps the prompt up to there.
	LastTarget string
	// AtMostOnce calls must not run twice: they are lost with their target.
	AtMostOnce bool
	// Exclude names targets that were tried or are not wanted.
	Exclude []catalog.TargetKey
	// AllowFull also takes full targets.
	AllowFull bool
}

// target is what is known of one life of a target.
type target struct {
	catalog.Target
	// own is the calls outstanding from this process.
	own int
	// others is what other processes had outstanding when the target last told.
	others   float64
	othersAt time.Time
	cache    *cacheModel
	health   health
}

// service is what is known of one service's targets together.
type service struct {
	engine bool
	// runMS is the average duration of a run, in milliseconds.
	runMS float64
	// pressure is the average of calls per slot that targets told of late, as of
	// pressureAt.
	pressure   float64
	pressureAt time.Time
	homes      *homes
	targets    []*target
}

// Fleet is the table of all targets.
type Fleet struct {
	targets  map[catalog.TargetKey]*target
	services map[string]*service
	// turn breaks ties between equal targets.
	turn uint64
}

// New returns an empty fleet. Seed sets the order among equal targets.
func New(seed uint64) *Fleet {
	return &Fleet{targets: make(map[catalog.TargetKey]*target), services: make(map[string]*service), turn: seed}
}

// Update takes the targets that count now. A target that stays keeps what is
// known of it.
func (f *Fleet) Update(targets []catalog.Target, services map[string]catalog.Service) {
	known := f.targets
	old := f.services
	f.targets = make(map[catalog.TargetKey]*target, len(targets))
	f.services = make(map[string]*service)
	for _, declared := range targets {
		t := known[declared.TargetKey]
		if t == nil {
			t = &target{}
		}
		t.Target = declared
		s := f.services[declared.Service]
		if s == nil {
			s = &service{runMS: initialRunMS, homes: newHomes()}
			if before := old[declared.Service]; before != nil {
				s.runMS, s.pressure, s.pressureAt, s.homes = before.runMS, before.pressure, before.pressureAt, before.homes
				s.homes.division = nil
			}
			f.services[declared.Service] = s
		}
		if engine := services[declared.Service].Engine; engine != nil {
			s.engine = true
			if t.cache == nil || t.cache.capacity != engine.CacheTokens {
				t.cache = newCacheModel(engine.CacheTokens)
			}
		}
		f.targets[declared.TargetKey] = t
		s.targets = append(s.targets, t)
	}
}

// Has says whether a target still counts and takes new work.
func (f *Fleet) Has(key catalog.TargetKey) bool {
	t := f.targets[key]
	return t != nil && !t.Draining
}

// load returns how many calls are expected at the target.
func (t *target) load(now time.Time) float64 {
	age := now.Sub(t.othersAt)
	if t.others <= 0 || age >= 8*loadHalfLife {
		return float64(t.own)
	}
	return float64(t.own) + t.others*halved(age)
}

// halved returns the share that is left of a load after an age.
func halved(age time.Duration) float64 {
	share := 1.0
	for ; age >= loadHalfLife; age -= loadHalfLife {
		share /= 2
	}
	return share * (1 - 0.5*float64(age)/float64(loadHalfLife))
}

// full says whether a target should not be given more work.
func (t *target) full(now time.Time) bool {
	return t.load(now) >= float64(t.Slots)*(1+queuePerSlot)
}

// Choice is the answer to a Query.
type Choice struct {
	Target catalog.Target
	// CostMS is the expected cost of the choice, in milliseconds.
	CostMS float64
	// Load is the number of calls expected at the target, Kept the prompt's
	// tokens that it is expected to keep.
	Load         float64
	CachedTokens int
}

// Pick returns the target with the lowest expected cost, or false if none takes
// work.
func (f *Fleet) Pick(q Query, now time.Time) (choice Choice, ok bool) {
	s := f.services[q.Service]
	if s == nil {
		return Choice{}, false
	}
	choice, ok = f.pick(s, q, now)
	if !ok && q.AtMostOnce {
		// Better at a target that failed of late than nowhere.
		q.AtMostOnce = false
		choice, ok = f.pick(s, q, now)
	}
	return choice, ok
}

func (f *Fleet) pick(s *service, q Query, now time.Time) (choice Choice, ok bool) {
	f.turn++
	best := -1.0
	n := uint64(len(s.targets))
	trusting := s.tooManyOut(now)
	prompt := tokensOf(q.Prompt)
	for i := range n {
		t := s.targets[(f.turn+i)%n]
		if t.Draining || excluded(q.Exclude, t.TargetKey) || !trusting && !t.health.usable(q.AtMostOnce, now) || !q.AllowFull && t.full(now) {
			continue
		}
		cost, kept := s.cost(t, q, prompt, now)
		if best < 0 || cost < best {
			best = cost
			choice = Choice{Target: t.Target, CostMS: cost, Load: t.load(now), CachedTokens: kept}
		}
	}
	return choice, best >= 0
}

// tooManyOut says whether more targets are out of use for their failures than may
// be. Failures then only make a target a second choice.
func (s *service) tooManyOut(now time.Time) bool {
	serving, out := 0, 0
	for _, t := range s.targets {
		if t.Draining {
			continue
		}
		serving++
		if !t.health.usable(false, now) {
			out++
		}
	}
	return float64(out) > ejectShare*float64(serving)
}

func excluded(without []catalog.TargetKey, key catalog.TargetKey) bool {
	for _, k := range without {
		if k == key {
			return true
		}
	}
	return false
}

// tokensOf returns the size of a prompt.
func tokensOf(prompt []Part) int {
	total := 0
	for _, p := range prompt {
		total += p.Tokens
	}
	return total
}

// cost estimates what a call with a prompt of that many tokens costs at a target, in
// milliseconds: the wait for a slot, the reading of what is not kept, the slowing of
// the batch and the way.
func (s *service) cost(t *target, q Query, prompt int, now time.Time) (ms float64, kept int) {
	load := t.load(now)
	slots := float64(t.Slots)
	running := min(load, slots)
	neighbour := serviceNeighbourMS
	if s.engine {
		neighbour = engineNeighbourMS
	}
	ms = running * neighbour
	if load >= slots {
		ms += (load - slots + 1) * s.runMS / slots
	}
	if t.cache != nil {
		kept = t.cache.kept(q.Prompt)
		if q.LastTarget == t.ID {
			kept = prompt
		}
		// The steps in which a prompt is read delay all that run beside it.
		ms += float64(prompt-kept) / tokensPerMS * (1 + running)
		if s.homes.isStranger(t.ID, q.Prompt, s.targets, now) {
			ms += strangerMS
		}
	}
	if t.Domain != q.Domain {
		ms += otherDomainMS
	}
	return ms + t.health.penaltyMS(q.AtMostOnce, now), kept
}

// RecordStart records that an attempt is sent to a target.
func (f *Fleet) RecordStart(key catalog.TargetKey, prompt []Part, now time.Time) {
	t := f.targets[key]
	if t == nil {
		return
	}
	t.own++
	t.health.begin()
	if t.cache != nil {
		t.cache.read(prompt)
	}
	if s := f.services[t.Service]; s != nil {
		s.homes.used(prompt, now)
	}
}

// RecordLoad records a target's load as it tells it. Its count includes the calls of
// this process.
func (f *Fleet) RecordLoad(key catalog.TargetKey, load Load, now time.Time) {
	t := f.targets[key]
	if t == nil {
		return
	}
	t.others = max(0, float64(load.Running+load.Waiting-t.own))
	t.othersAt = now
	if load.Slots <= 0 {
		return
	}
	t.Slots = load.Slots
	if s := f.services[t.Service]; s != nil {
		s.told(float64(load.Running+load.Waiting)/float64(load.Slots), now)
	}
}

// RecordEnd records how an attempt ended and how long it ran.
func (f *Fleet) RecordEnd(key catalog.TargetKey, outcome Outcome, ran time.Duration, now time.Time) {
	t := f.targets[key]
	if t == nil {
		return
	}
	t.own = max(0, t.own-1)
	t.health.record(outcome, now)
	if outcome != Answered {
		return
	}
	if s := f.services[t.Service]; s != nil {
		s.runMS += runWeight * (float64(ran.Milliseconds()) - s.runMS)
	}
}

// RetryAfter estimates when a slot of a service is free again.
func (f *Fleet) RetryAfter(name string, now time.Time) time.Duration {
	s := f.services[name]
	if s == nil {
		return unknownServiceRetry
	}
	slots, excess := 0.0, 0.0
	for _, t := range s.targets {
		if t.Draining {
			continue
		}
		slots += float64(t.Slots)
		excess += max(0, t.load(now)-float64(t.Slots))
	}
	if slots == 0 {
		return unknownServiceRetry
	}
	wait := time.Duration((excess + 1) / slots * s.runMS * float64(time.Millisecond))
	return min(max(wait, minRetry), maxRetry)
}

const (
	// unknownServiceRetry is told when a service has no target: targets register
	// within a heartbeat, about a second, of their start.
	unknownServiceRetry = time.Second
	// minRetry and maxRetry bound what callers are told, so that they neither come
	// back before anything can have changed nor stay away past their deadlines.
	minRetry = 50 * time.Millisecond
	maxRetry = time.Second
)
