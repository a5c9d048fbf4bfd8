// Package fleet tracks the load and health of the targets and chooses one for each
// call. It uses no clock and no network, and is not safe for concurrent use.
package fleet

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/fairshare"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

const (
	// loadHalfLife is the time after which half of the calls that other processes had
	// in flight at the target's last load report are assumed to have ended. A turn
	// takes about half a second.
	loadHalfLife = 400 * time.Millisecond
	// prefillTokensPerMS is how many prompt tokens an engine processes in a
	// millisecond.
	prefillTokensPerMS = 170.0
	// engineContentionMS is the cost of each request that already runs at an engine,
	// in milliseconds: each request makes a step of the batch a few hundredths of a
	// millisecond slower, and a turn has a few hundred tokens.
	engineContentionMS = 12.0
	// plainContentionMS is the cost of each request that already runs at a
	// target that is not a model engine, in milliseconds. It spreads calls over
	// idle targets.
	plainContentionMS = 2.0
	// coldCostFactor is the cost of a call at a target that has just started and is still
	// slow, as a multiple of the average duration of a call.
	coldCostFactor = 1.5
	// crossDomainMS is the network round trip to another failure domain.
	crossDomainMS = 2.0
	// initialDurationMS is the expected duration of a call before any has ended.
	initialDurationMS = 300.0
	// durationWeight is the weight of a new duration in the moving average.
	durationWeight = 0.05
	// maxQueuedPerSlot is how many calls may wait at a target, per slot, before the
	// target counts as full. The targets' own queues hold about three calls for
	// each slot.
	maxQueuedPerSlot = 1.5
)

// Load is the load that a target reports with a response. Slots is how many
// calls the target can execute at once.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the target's machine at this moment, as a multiple of
	// the usual time; 0 if the target does not tell.
	Slowdown float64
}

// Outcome is how an attempt at a target ended.
type Outcome uint8

// Outcomes of attempts.
const (
	// Answered means that the target answered, with a status below 500.
	Answered Outcome = iota
	// Refused means that the target did not execute the call.
	Refused
	// Unreachable means that no connection could be made.
	Unreachable
	// ConnectionLost means that the connection failed before the complete answer had
	// arrived.
	ConnectionLost
	// Canceled means that the caller or this process canceled the attempt; it does not
	// count as a failure of the target.
	Canceled
	// TimedOut means that the target did not answer within the time expected of it.
	TimedOut
	// ServerError means that the target answered with a status of 500 or above.
	ServerError
	// Ended means that nothing listens at the target's address: its process has ended.
	Ended
)

// target is the state of one incarnation of a target.
type target struct {
	catalog.Target
	// software is catalog.Target.Software.
	software uint64
	// inFlight counts the calls of this process in flight at the target.
	inFlight int
	// othersInFlight is the number of calls that other processes had in flight at the
	// target when it last reported its load, at othersAt.
	othersInFlight float64
	othersAt       time.Time
	// othersWorkMS is the work that is left of one of those calls on average, in milliseconds;
	// 0 if it is not known.
	othersWorkMS float64
	// calls are the calls of this process in flight whose work was predicted.
	calls []*Call
	pace  pace
	// rank is the target's place, from 0 to 1, in an order on which all processes agree.
	rank float64
	// callsSeen counts the calls of this process and the exchanges in which others had calls
	// at the target.
	callsSeen int
	cache     *cacheModel
	// assignedPrefix is the id of the shared prefix that is assigned to the engine; empty if
	// there is none.
	assignedPrefix string
	health         health
	limit          rateLimit
	suspects       suspects
}

// service is the state shared by one service's targets.
type service struct {
	isEngine bool
	// durationMS is the moving average of the duration of a call, in milliseconds. Until a
	// call has ended, it is initialDurationMS and hasDuration is not set.
	durationMS  float64
	hasDuration bool
	// shortest is the duration that few calls stay below.
	shortest lowQuantile
	// firstEvent is the delay of the first event of streams.
	firstEvent delayEstimate
	// loadPerSlot is the moving average of the calls per slot that the targets
	// reported. It was last updated at loadPerSlotAt.
	loadPerSlot   float64
	loadPerSlotAt time.Time
	// admitLimit is the average number of calls per slot below which new programs may
	// start.
	admitLimit float64
	// steadyLimit is the admission limit, of steadyLimitAt, without its fast increases.
	steadyLimit   float64
	steadyLimitAt time.Time
	// otherShare is the moving average of the share of admitted programs that are not
	// urgent.
	otherShare float64
	// accounts tracks the calls of client accounts.
	accounts *fairshare.Tracker
	// starts is the rate of admitted programs.
	starts   startRate
	affinity *affinity
	// othersInFlight is the number of calls that other processes had in flight at the last
	// exchange.
	othersInFlight float64
	// cacheTokens is the size of an engine's prompt cache.
	cacheTokens int
	work        *workModel
	long        *longCalls
	targets     []*target
	// byID holds the latest incarnation of each target.
	byID map[string]*target
	// hasTooManyEjected is the result of the count of ejected targets at ejectionsCountedAt.
	hasTooManyEjected  bool
	ejectionsCountedAt time.Time
}

// Fleet holds the state of all targets and services.
type Fleet struct {
	targets  map[catalog.TargetKey]*target
	byHash   map[uint64]*target
	services map[string]*service
	// leaving holds the incarnations that announced their shutdown, also those that are no
	// longer registered, whose registration may return after an outage of the store.
	leaving map[catalog.TargetKey]bool
	// rotation advances with each choice and breaks ties between equal targets.
	rotation uint64
	random   *rand.Rand
	// candidates is reused by all choices.
	candidates []candidate
	exchange   exchangeAge
	// accountsAt is when the work of accounts was last exchanged.
	accountsAt time.Time
	disabled   mechanism.Set
}

// New returns an empty fleet. The seed determines the order among equal targets. Disabled
// is empty except in experiments.
func New(seed uint64, disabled mechanism.Set) *Fleet {
	return &Fleet{
		targets: make(map[catalog.TargetKey]*target), services: make(map[string]*service),
		leaving: make(map[catalog.TargetKey]bool), rotation: seed, random: rand.New(rand.NewPCG(seed, 0)), disabled: disabled,
	}
}

// Update replaces the registered targets and services. Targets that remain keep their
// state.
func (f *Fleet) Update(targets []catalog.Target, services map[string]catalog.Service) {
	known := f.targets
	old := f.services
	f.targets = make(map[catalog.TargetKey]*target, len(targets))
	f.byHash = make(map[uint64]*target, len(targets))
	f.services = make(map[string]*service)
	for _, declared := range targets {
		t := known[declared.TargetKey]
		if t == nil {
			t = &target{}
		}
		t.Target, t.software = declared, declared.Software()
		t.Draining = declared.Draining || f.leaving[declared.TargetKey]
		s := f.services[declared.Service]
		if s == nil {
			s = &service{durationMS: initialDurationMS, admitLimit: maxAdmitLimit, otherShare: 1, accounts: fairshare.NewTracker(), affinity: newAffinity(), work: newWorkModel(), long: &longCalls{}}
			if before := old[declared.Service]; before != nil {
				*s = *before
				s.isEngine, s.targets, s.affinity.assignedAt = false, nil, time.Time{}
			}
			s.byID = make(map[string]*target)
			f.services[declared.Service] = s
		}
		if engine := services[declared.Service].Engine; engine != nil {
			s.isEngine, s.cacheTokens = true, engine.CacheTokens
			if t.cache == nil || t.cache.capacity != engine.CacheTokens {
				t.cache = newCacheModel(engine.CacheTokens)
			}
		}
		f.targets[declared.TargetKey] = t
		f.byHash[declared.Hash()] = t
		s.targets = append(s.targets, t)
		if other := s.byID[t.ID]; other == nil || other.Started < t.Started {
			s.byID[t.ID] = t
		}
	}
	for _, s := range f.services {
		if !s.isEngine {
			s.rankTargets()
		}
	}
}

// maxLeaving bounds the incarnations that are remembered as leaving.
const maxLeaving = 4096

// RecordLeaving records that a target announced its shutdown in a response, and reports
// whether this was not known before. The target gets no further calls, whatever its
// registration says; only a new incarnation does.
func (f *Fleet) RecordLeaving(key catalog.TargetKey) (isNew bool) {
	if f.leaving[key] {
		return false
	}
	if len(f.leaving) >= maxLeaving {
		f.forgetUnregisteredLeaving()
	}
	f.leaving[key] = true
	if t := f.targets[key]; t != nil {
		t.Draining = true
	}
	return true
}

func (f *Fleet) forgetUnregisteredLeaving() {
	for key := range f.leaving {
		if f.targets[key] == nil {
			delete(f.leaving, key)
		}
	}
}

// IsServing reports whether a target is registered and not draining.
func (f *Fleet) IsServing(key catalog.TargetKey) bool {
	t := f.targets[key]
	return t != nil && !t.Draining
}

// load estimates how many calls are at the target.
func (t *target) load(now time.Time) float64 {
	age := now.Sub(t.othersAt)
	if t.othersInFlight <= 0 || age >= 8*loadHalfLife {
		return float64(t.inFlight)
	}
	return float64(t.inFlight) + t.othersInFlight*decay(age)
}

// decay returns the share of a reported load that is assumed to remain after age. It
// halves every loadHalfLife and is linear in between.
func decay(age time.Duration) float64 {
	share := 1.0
	for ; age >= loadHalfLife; age -= loadHalfLife {
		share /= 2
	}
	return share * (1 - 0.5*float64(age)/float64(loadHalfLife))
}

// isFullAt reports whether a target with an estimated load should get no more calls.
func (t *target) isFullAt(load float64) bool {
	return load >= float64(t.Slots)*(1+maxQueuedPerSlot)
}

// RecordStart records that an attempt is sent to a target.
func (f *Fleet) RecordStart(key catalog.TargetKey, prompt []Part, now time.Time) {
	t := f.targets[key]
	if t == nil {
		return
	}
	t.inFlight++
	t.callsSeen++
	t.health.recordStart()
	if t.cache != nil {
		t.cache.recordPrompt(prompt)
	}
	if s := f.services[t.Service]; s != nil {
		s.affinity.recordUse(prompt, now)
	}
}

// RecordLoad records a target's load report, which includes the calls of this
// process.
func (f *Fleet) RecordLoad(key catalog.TargetKey, load Load, now time.Time) {
	t := f.targets[key]
	if t == nil {
		return
	}
	if !f.disabled.Disables(mechanism.OthersLoad) {
		t.othersInFlight = max(0, float64(load.Running+load.Waiting-t.inFlight))
		t.othersAt = now
	}
	t.pace.recordSlowdown(load.Slowdown, now)
	if load.Slots <= 0 {
		return
	}
	t.Slots = load.Slots
	if s := f.services[t.Service]; s != nil {
		s.recordLoad(float64(load.Running+load.Waiting)/float64(load.Slots), now)
	}
}

// RecordEnd records how an attempt ended and how long it took.
func (f *Fleet) RecordEnd(key catalog.TargetKey, outcome Outcome, duration time.Duration, now time.Time) {
	t := f.targets[key]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	t.health.recordEnd(outcome, now)
	if outcome == Ended {
		t.health.recordEnded(now)
	}
	if outcome != Answered {
		return
	}
	if s := f.services[t.Service]; s != nil {
		s.recordDuration(float64(duration) / float64(time.Millisecond))
	}
}

func (s *service) recordDuration(ms float64) {
	s.shortest.add(ms)
	if !s.hasDuration {
		s.durationMS, s.hasDuration = ms, true
		return
	}
	s.durationMS += durationWeight * (ms - s.durationMS)
}

// ExpectedDuration returns the average duration of a service's calls; zero if none has
// ended yet.
func (f *Fleet) ExpectedDuration(name string) time.Duration {
	s := f.services[name]
	if s == nil || !s.hasDuration {
		return 0
	}
	return time.Duration(s.durationMS * float64(time.Millisecond))
}

// ShortestDuration returns the duration that few of a service's calls stay below; zero if not
// enough have ended yet.
func (f *Fleet) ShortestDuration(name string) time.Duration {
	s := f.services[name]
	if s == nil {
		return 0
	}
	return time.Duration(s.shortest.value() * float64(time.Millisecond))
}

// RecordEnded records that a target's process has ended. Its registration may remain for
// several heartbeats.
func (f *Fleet) RecordEnded(key catalog.TargetKey, now time.Time) {
	if t := f.targets[key]; t != nil {
		t.health.recordEnded(now)
	}
}

// RetryAfter estimates how long it takes until a slot of a service is free.
func (f *Fleet) RetryAfter(name string, now time.Time) time.Duration {
	s := f.services[name]
	if s == nil {
		return noTargetRetryAfter
	}
	r := s.room(now, !f.disabled.Disables(mechanism.PermitRoom))
	if r.slots == 0 {
		return noTargetRetryAfter
	}
	wait := time.Duration((r.excess + 1) / r.slots * s.durationMS * float64(time.Millisecond))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

const (
	// noTargetRetryAfter is returned for a service without targets. Targets register
	// within one heartbeat period of their start, about a second.
	noTargetRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter bound the estimate, so that callers neither
	// retry before the load can have changed nor wait past their deadlines.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
)
