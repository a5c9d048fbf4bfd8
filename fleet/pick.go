package fleet

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/forecast"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

// Query describes a call that needs a target.
type Query struct {
	Service string
	// Domain is the failure domain of the entry that serves the caller.
	Domain string
	Prompt []Part
	// Class is the class of calls by which the work of this one is predicted. MaxEvents bounds
	// the events of a stream; 0 if there is no bound.
	Class     forecast.Class
	MaxEvents int
	// BodyBytes is the size of the body that is sent to the target.
	BodyBytes int
	// LastTarget is the id of the target that executed the program's previous turn, if
	// known. That target has the conversation so far cached.
	LastTarget string
	// AffinityKey names the object that the call concerns, or is empty. Calls with the same
	// key prefer the same target, which is faster for an object that it knows.
	AffinityKey string
	// AtMostOnce calls must not be executed twice, so they fail if their target fails.
	AtMostOnce bool
	// Exclude lists targets that must not be chosen, such as those already tried.
	Exclude []catalog.TargetKey
	// AllowFull permits choosing a target that is full.
	AllowFull bool
	// MaxWait is the longest time that the call can wait for a permit of a target with a
	// rate limit.
	MaxWait time.Duration
	// Unlimited excludes targets with a rate limit.
	Unlimited bool
	// Software restricts the choice to targets with that catalog.Target.Software; 0 allows all.
	Software uint64
	// CrashRisk is the estimated probability that the call crashes its target.
	CrashRisk float64
}

// Choice is the target chosen for a Query.
type Choice struct {
	Target catalog.Target
	// CostMS is the expected cost of the choice, in milliseconds.
	CostMS float64
	// Load is the estimated number of calls at the target. CachedTokens is how many
	// of the prompt's tokens the target is expected to have cached.
	Load         float64
	CachedTokens int
	// Limit is the target's rate limit. If there is one, the call needs a permit, which is
	// expected to be had after PermitWait.
	Limit      Limit
	PermitWait time.Duration
	// Call is the attempt at the target once it has been started with StartCall.
	Call *Call
	work predictedWork
}

// Pick returns the target with the lowest expected cost, or false if none is
// available.
func (f *Fleet) Pick(q Query, now time.Time) (choice Choice, ok bool) {
	s := f.services[q.Service]
	if s == nil {
		return Choice{}, false
	}
	choice, ok = f.pickFrom(s, q, now)
	if !ok && q.AtMostOnce {
		// A target that failed recently is better than none.
		q.AtMostOnce = false
		choice, ok = f.pickFrom(s, q, now)
	}
	return choice, ok
}

// pickFrom returns the usable target with the lowest expected cost.
func (f *Fleet) pickFrom(s *service, q Query, now time.Time) (choice Choice, ok bool) {
	f.rotation++
	p := f.newPlacement(s, f.withoutDisabled(q), now)
	f.collectCandidates(&p)
	level, drawn := f.fillUnseen(s, now)
	tie := 0.0
	if p.usesWork {
		tie = tieMS
	}
	var best candidate
	for i, c := range f.candidates {
		c = p.filled(c, level)
		cost := p.cost(c)
		if i == drawn {
			cost -= p.drawnMS(c)
		}
		if !ok || cost < choice.CostMS-tie {
			ok = true
			best, choice.CostMS = c, cost
		}
	}
	if ok {
		p.describe(&choice, best)
	}
	return choice, ok
}

// drawnMS returns what one call more costs the next one at a candidate. The drawn one is
// preferred by as much.
func (p *placement) drawnMS(c candidate) float64 {
	ms := p.service.contentionMS()
	if p.usesWork && c.load > float64(c.target.Slots)-1 {
		ms += p.meanWorkMS / float64(max(1, c.target.Slots))
	}
	return ms
}

// describe completes a choice with the estimates that it was based on.
func (p *placement) describe(choice *Choice, c candidate) {
	t := c.target
	choice.Target, choice.Load, choice.Limit, choice.PermitWait = t.Target, t.load(p.now), t.limit.Limit, t.limit.wait(p.now)
	if t.cache != nil {
		choice.CachedTokens = p.cachedTokens(t)
	}
	choice.work = p.predictWork(c, choice.CachedTokens)
}

// maxCandidates bounds the targets that are compared for one call, so that the time of a choice
// does not grow with the service.
const maxCandidates = 96

// collectCandidates sets f.candidates to the targets that may get the call, starting with a
// different one each time. Of many targets, it stops after maxCandidates, and adds the one that
// executed the previous turn and the one preferred for the object.
func (f *Fleet) collectCandidates(p *placement) {
	f.candidates = f.candidates[:0]
	targets := p.service.targets
	ignoreEjections := f.disabled.Disables(mechanism.Ejection) || p.service.tooManyEjected(p.now)
	n := uint64(len(targets))
	first, limit := f.rotation, len(targets)
	if p.usesWork && limit > maxCandidates {
		first, limit = f.rotation*maxCandidates, maxCandidates
		for _, t := range []*target{p.service.byID[p.query.LastTarget], p.preferred} {
			if t != nil {
				f.addCandidate(p, t, ignoreEjections)
			}
		}
	}
	for i := uint64(0); i < n && len(f.candidates) < limit; i++ {
		f.addCandidate(p, targets[(first+i)%n], ignoreEjections)
	}
}

// addCandidate adds a target to f.candidates if it may get the call.
func (f *Fleet) addCandidate(p *placement, t *target, ignoreEjections bool) {
	if t.Draining || t.health.hasEnded(p.now) || excluded(p.query.Exclude, t.TargetKey) || !ignoreEjections && !t.health.usable(p.query.AtMostOnce, p.now) {
		return
	}
	if p.query.Software != 0 && t.software != p.query.Software {
		return
	}
	load := t.load(p.now)
	if !p.query.AllowFull && t.isFullAt(load) {
		return
	}
	if t.limit.IsLimited && p.query.Unlimited || t.limit.wait(p.now) > p.query.MaxWait {
		return
	}
	f.candidates = append(f.candidates, p.newCandidate(t, load))
}

// placement is what all targets' costs for one call depend on.
type placement struct {
	service    *service
	query      Query
	now        time.Time
	promptSize int
	// keptEverywhere means that warm engines are expected to have the prompt's shared prefix
	// cached. Otherwise, sharedPrefix is that prefix if prefixes are assigned to engines.
	keptEverywhere bool
	sharedPrefix   string
	// preferred is the target preferred for the call's object, or nil.
	preferred *target
	// output and meanWorkMS are the predicted output of the call, and the work that is left of
	// a call of which nothing is known.
	output     forecast.Estimate
	meanWorkMS float64
	// stalenessMS is the average age of what is known of others' work.
	stalenessMS float64
	// longShare is the share of the targets that long calls prefer, and isLong is set if this
	// call is one.
	longShare float64
	isLong    bool
	// freeShare is the share of the service's slots that are free on average.
	freeShare float64
	// crossingMS is the cost of a target in another failure domain.
	crossingMS float64
	usesWork   bool
	disabled   mechanism.Set
}

func (f *Fleet) newPlacement(s *service, q Query, now time.Time) placement {
	p := placement{
		service: s, query: q, now: now, promptSize: promptTokens(q.Prompt), disabled: f.disabled,
		keptEverywhere: s.isEngine && s.affinity.isKeptEverywhere(q.Prompt, s.cacheTokens),
		preferred:      s.preferredFor(q.AffinityKey),
		output:         s.expectedOutput(&q), meanWorkMS: s.meanWorkMS(), usesWork: f.usesWork(), crossingMS: crossDomainMS,
	}
	if p.usesWork {
		p.crossingMS += s.work.crossingMS(&q)
		p.longShare = s.long.share()
		p.stalenessMS = milliseconds(f.exchange.staleness(now))
		p.freeShare = max(0, 1-s.currentLoadPerSlot(now))
		p.isLong = !s.isEngine && p.output.Mean >= longFactor*p.meanWorkMS
	}
	if !p.keptEverywhere && !f.disabled.Disables(mechanism.PrefixAssignment) {
		p.sharedPrefix = s.affinity.sharedPrefix(q.Prompt, s.targets, now)
	}
	return p
}

// cost estimates the cost of the call at a candidate, in milliseconds: the
// time that it takes there and by which it delays others, the wait for a permit, the network
// round trip, a penalty for recent failures, and what the call costs others if the target is
// not the one assigned to its prefix or object.
func (p *placement) cost(c candidate) float64 {
	s, t, load := p.service, c.target, c.load
	ms := 0.0
	if p.usesWork {
		ms = p.workCostMS(c)
	} else {
		ms = p.countCostMS(t, load)
	}
	ms += milliseconds(t.limit.wait(p.now)) + p.strayMS(t)
	if p.now.Before(t.WarmAt) {
		ms += coldCostFactor * s.durationMS
	}
	if t.Domain != p.query.Domain && !p.disabled.Disables(mechanism.DomainPreference) {
		ms += p.crossingMS
	}
	if p.sharedPrefix != "" && t.assignedPrefix != p.sharedPrefix {
		ms += misplacedPrefixMS
	}
	if p.preferred != nil && t != p.preferred {
		ms += affinityMissShare * s.durationMS
	}
	ms += t.health.penaltyMS(p.query.AtMostOnce, p.now)
	return p.withCrashRisk(t, load, ms)
}

// workCostMS estimates the time of the call at a candidate from the predicted work of all calls
// there and from the target's pace.
func (p *placement) workCostMS(c candidate) float64 {
	cachedTokens := 0
	if c.target.cache != nil {
		cachedTokens = p.cachedTokens(c.target)
	}
	work := p.predictWork(c, cachedTokens)
	return work.costMS(p.service, min(c.load, float64(c.target.Slots)), p.freeShare)
}

// countCostMS estimates the time of the call at a target from the number of calls there: the
// wait for a slot, the processing of prompt tokens that are not cached, and the delay by the
// other calls in the batch.
func (p *placement) countCostMS(t *target, load float64) float64 {
	s := p.service
	slots := float64(t.Slots)
	running := min(load, slots)
	ms := running * s.contentionMS()
	if load >= slots {
		ms += (load - slots + 1) * s.durationMS / slots
	}
	if t.cache != nil {
		// The processing of a prompt also delays the calls that run at the engine.
		ms += float64(p.promptSize-p.cachedTokens(t)) / prefillTokensPerMS * (1 + running)
	}
	return ms
}

// cachedTokens returns how many of the prompt's tokens an engine is expected to have cached.
func (p *placement) cachedTokens(t *target) int {
	if p.query.LastTarget == t.ID {
		return p.promptSize
	}
	cached := 0
	if !p.disabled.Disables(mechanism.CacheModel) {
		cached = t.cache.cachedTokens(p.query.Prompt)
	}
	if p.keptEverywhere && t.isWarm(len(p.service.affinity.tokens)) {
		cached = max(cached, p.query.Prompt[0].Tokens)
	}
	return cached
}

// withoutDisabled returns the query without what disabled mechanisms would use.
func (f *Fleet) withoutDisabled(q Query) Query {
	if f.disabled == 0 {
		return q
	}
	if f.disabled.Disables(mechanism.SessionAffinity) {
		q.LastTarget = ""
	}
	if f.disabled.Disables(mechanism.ObjectAffinity) {
		q.AffinityKey = ""
	}
	q.AllowFull = q.AllowFull || f.disabled.Disables(mechanism.QueueLimit)
	q.AtMostOnce = q.AtMostOnce && !f.disabled.Disables(mechanism.AtMostOncePenalty)
	return q
}

// ejectionCheckPeriod is the time after which the ejected targets are counted again.
const ejectionCheckPeriod = 5 * time.Millisecond

// tooManyEjected reports whether more than maxEjectedShare of the targets are ejected
// because of failures. Ejections are then ignored, and failures only add to a target's
// cost.
func (s *service) tooManyEjected(now time.Time) bool {
	if len(s.targets) > maxCandidates && now.Sub(s.ejectionsCountedAt) < ejectionCheckPeriod {
		return s.hasTooManyEjected
	}
	s.ejectionsCountedAt = now
	serving, ejected := 0, 0
	for _, t := range s.targets {
		if t.Draining || t.health.hasEnded(now) {
			continue
		}
		serving++
		if !t.health.usable(false, now) {
			ejected++
		}
	}
	s.hasTooManyEjected = float64(ejected) > maxEjectedShare*float64(serving)
	return s.hasTooManyEjected
}

func excluded(exclude []catalog.TargetKey, key catalog.TargetKey) bool {
	for _, k := range exclude {
		if k == key {
			return true
		}
	}
	return false
}

// promptTokens returns the size of a prompt.
func promptTokens(prompt []Part) int {
	total := 0
	for _, p := range prompt {
		total += p.Tokens
	}
	return total
}

// contentionMS returns the cost of each call that already runs at a target.
func (s *service) contentionMS() float64 {
	if s.isEngine {
		return engineContentionMS
	}
	return plainContentionMS
}
