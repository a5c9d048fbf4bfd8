// Package quota decides at one process which requests of a client account are within the
// account's quota, which counts the requests of all processes. It holds what the load board has
// granted in advance, says when to ask for more, and decides alone while no board answers. It
// uses no clock and no network.
package quota

import (
	"cmp"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/catalog"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/tokenbucket"
)

const (
	// grantTTL is how long a grant may be used. Together with batchTime it bounds what is used
	// in a span of time beyond what is granted in it.
	grantTTL = 500 * time.Millisecond
	// batchTime is the time whose requests one ask covers.
	batchTime = 200 * time.Millisecond
	// minSteadyBatch is the smallest batch of an account with a steady demand, which is asked
	// for in advance.
	minSteadyBatch = 2
	// demandTime is the time over which the demand is averaged.
	demandTime = time.Second
	// probeDelay is the time between two asks for an account while no board answers.
	probeDelay = 100 * time.Millisecond
	// holdPerProcess and maxHold bound the time in which an account that was refused is refused
	// without an ask, so that the board is not asked for each request over a quota.
	holdPerProcess = 2 * time.Millisecond
	maxHold        = 200 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused request is told to return.
	maxRetryAfter = 5 * time.Second
	// fallbackShare is the part of a process's equal share of a quota that it uses while no
	// board answers: other processes may be using the whole quota.
	fallbackShare = 0.6
	// fallbackBurst is the part of its share of the burst that a process has left when it begins
	// to decide alone: the burst may just have been used.
	fallbackBurst = 0.25
	// fallbackStart is how many processes together may use one request at once when they begin to
	// decide alone. The others have their first one later, each at another time.
	fallbackStart = 8
	// fallbackRetryAfter bounds the Retry-After while no board answers.
	fallbackRetryAfter = 400 * time.Millisecond
	// phases is the number of different phases of processes.
	phases = 1 << 20
	// unknownProcesses stands for the number of processes before the first exchange of load.
	unknownProcesses = 100
	// processesTTL is how long the greatest known number of processes counts, at least.
	processesTTL = time.Minute
	// refusalPause is the time without refusals after which an account counts as within its
	// quota again.
	refusalPause = 5 * time.Second
	// accountTTL is how long an account without requests is remembered.
	accountTTL = time.Minute
)

// Outcome is how a decision was made.
type Outcome uint8

// Outcomes of decisions. The zero value means that the decision needs the answer to an ask.
const (
	Pending Outcome = iota
	// InHand means that the request was admitted by a grant in hand, Asked that it was after an
	// ask, and Fallback that the process decided alone.
	InHand
	Asked
	Fallback
	// Refused means that the account is over its quota, and Unknown that it may be: the
	// process, or the board, does not know what others use.
	Refused
	Unknown
)

// String returns the name of the outcome in metrics.
func (o Outcome) String() string {
	return [...]string{"pending", "in_hand", "asked", "fallback", "refused", "unknown"}[o]
}

// IsAdmitted reports whether the request may run.
func (o Outcome) IsAdmitted() bool { return o == InHand || o == Asked || o == Fallback }

// Decision says whether a request may run.
type Decision struct {
	Outcome Outcome
	// RetryAfter is the time after which there is room for a refused request.
	RetryAfter time.Duration
	// Begins is set for the first refusal after a time without any.
	Begins bool
	// Ask, if not nil, is to be sent to the board, and its answer to be recorded.
	Ask *Ask
	// Answered is closed when the ask that a pending decision waits for has been answered.
	Answered <-chan struct{}
}

// Ask is one ask for an account.
type Ask struct {
	loadboard.QuotaAsk
	Name string
	// spentAlone is the part of Spent that was admitted alone.
	spentAlone int
}

// Episode is a time in which requests of an account were refused.
type Episode struct {
	Name    string
	Refused int
}

// account is the state of one account at this process.
type account struct {
	name    string
	quota   catalog.Quota
	version int64
	// inHand is the number of granted requests that may be used until expiry, and unused the
	// number of those to be returned.
	inHand, unused int
	expiry         time.Time
	batch          int
	// recent is the number of requests within about demandTime.
	recent       float64
	lastDemandAt time.Time
	// answered is not nil while an ask is in flight. waiting is the number of requests that
	// wait for its answer, and need the number of those that it left without a grant.
	answered      chan struct{}
	waiting, need int
	// spent is the number of further executions since the last ask, and spentAlone that of the
	// requests admitted alone, up to what could be missing from a bucket that is full again.
	spent, spentAlone int
	// started is the number of programs started since the last ask, and startsAt when the next
	// one may start.
	started  int
	startsAt time.Time
	probeAt  time.Time

	// refusedUntil is when the board is asked again, roomAt when there is room for the next
	// request.
	refusedUntil, roomAt time.Time
	isPartial            bool
	// unreported is the number of refusals since the last ask.
	unreported int
	episode    int
	refusedAt  time.Time
	fallback   tokenbucket.Bucket
	aloneSince time.Time
}

// Holder holds the grants of all accounts at one process. It is not safe for concurrent use.
type Holder struct {
	accounts map[string]*account
	// isAlone is set while no board answers, since aloneSince.
	isAlone    bool
	aloneSince time.Time
	// seed distinguishes processes.
	seed uint64
	// processes and earlier are the greatest numbers of processes in this period and the one
	// before.
	processes, earlier int
	periodEnd          time.Time
}

// New returns an empty holder. The seeds of processes should differ.
func New(seed uint64) *Holder { return &Holder{accounts: make(map[string]*account), seed: seed} }

// RecordProcesses records the number of processes that exchange load.
func (h *Holder) RecordProcesses(n int, now time.Time) {
	if now.After(h.periodEnd) {
		h.earlier, h.processes, h.periodEnd = h.processes, 0, now.Add(processesTTL)
	}
	h.processes = max(h.processes, n)
}

func (h *Holder) knownProcesses() int { return max(h.processes, h.earlier) }

// Arrive decides on a new request of an account with a quota.
func (h *Holder) Arrive(name string, q catalog.Quota, version int64, now time.Time) Decision {
	a := h.accountOf(name, q, version)
	a.countDemand(now)
	d := h.decide(a, now)
	if d.Outcome == Asked {
		d.Outcome = InHand
	}
	return d
}

// Resume decides on a request again after the ask that it waited for has been answered.
func (h *Holder) Resume(name string, q catalog.Quota, version int64, now time.Time) Decision {
	return h.decide(h.accountOf(name, q, version), now)
}

func (h *Holder) decide(a *account, now time.Time) Decision {
	a.expire(now)
	switch {
	case a.inHand > 0:
		a.inHand--
		return Decision{Outcome: Asked, Ask: h.prefetch(a, now)}
	case h.isAlone:
		return h.decideAlone(a, now)
	case now.Before(a.refusedUntil):
		return a.refuse(now)
	}
	d := Decision{}
	if a.answered == nil {
		a.need = max(1, a.need)
		d.Ask = h.newAsk(a, now)
	}
	a.waiting++
	d.Answered = a.answered
	return d
}

// decideAlone decides by the process's own share of the quota.
func (h *Holder) decideAlone(a *account, now time.Time) Decision {
	d := Decision{Outcome: Fallback}
	if a.answered == nil && !now.Before(a.probeAt) {
		a.probeAt = now.Add(probeDelay)
		d.Ask = h.newAsk(a, now)
	}
	share := h.aloneShare()
	perSecond := a.quota.PerSecond * share
	if a.aloneSince != h.aloneSince {
		a.aloneSince = h.aloneSince
		delay := tokenbucket.Period(max(h.phase(a.name)-fallbackStart*share/fallbackShare, (1-fallbackBurst)*(a.quota.Burst*share-1)), perSecond)
		a.fallback.SetUsed(max(a.fallback.Used(now), delay), now)
	}
	if wait := a.fallback.Wait(tokenbucket.Period(a.quota.Burst*share-1, perSecond), now); wait > 0 {
		d.Outcome, d.RetryAfter = Unknown, min(wait, fallbackRetryAfter)
		return d
	}
	a.fallback.Take(tokenbucket.Period(1, perSecond), now)
	a.addSpentAlone(1, share)
	return d
}

// aloneShare returns the part of a quota that the process uses while no board answers.
func (h *Holder) aloneShare() float64 {
	return fallbackShare / float64(cmp.Or(h.knownProcesses(), unknownProcesses))
}

// addSpentAlone counts requests that the board is to charge later. What is beyond the process's
// share of a full bucket has been refilled meanwhile.
func (a *account) addSpentAlone(n int, share float64) {
	limit := math.Ceil(share * loadboard.QuotaCapacity(a.quota.PerSecond, a.quota.Burst))
	a.spentAlone = min(a.spentAlone+n, int(limit))
}

// phase returns a number in [0, 1) that differs among processes.
func (h *Holder) phase(name string) float64 {
	return float64(xxhash.Sum64String(name+strconv.FormatUint(h.seed, 16))%phases) / phases
}

// prefetch returns an ask if the account has a steady demand and half of the grant is used.
func (h *Holder) prefetch(a *account, now time.Time) *Ask {
	if a.answered != nil || a.batch < minSteadyBatch || 2*a.inHand > a.batch || now.Before(a.refusedUntil) || h.isAlone {
		return nil
	}
	return h.newAsk(a, now)
}

// newAsk returns the next ask of an account that has none in flight.
func (h *Holder) newAsk(a *account, now time.Time) *Ask {
	perSecond := min(a.demand(now), a.quota.PerSecond)
	a.batch = max(1, a.need, int(perSecond*batchTime.Seconds()))
	ask := &Ask{Name: a.name, spentAlone: a.spentAlone, QuotaAsk: loadboard.QuotaAsk{
		Account: catalog.HashAccount(a.name), PerSecond: a.quota.PerSecond, Burst: a.quota.Burst, Version: a.version,
		Want: a.batch, Need: a.need, Unused: a.unused, Spent: a.spent + a.spentAlone, Refused: a.unreported, Started: a.started, Processes: h.knownProcesses(),
	}}
	a.need, a.unused, a.spent, a.spentAlone, a.unreported, a.started = 0, 0, 0, 0, 0, 0
	a.answered = make(chan struct{})
	return ask
}

// RecordGrant records the board's answer to an ask.
func (h *Holder) RecordGrant(ask *Ask, grant loadboard.QuotaGrant, now time.Time) {
	h.isAlone = false
	a := h.accounts[ask.Name]
	if a == nil {
		return
	}
	a.expire(now)
	a.startsAt = now.Add(grant.StartWait)
	if grant.Granted > 0 {
		a.inHand += grant.Granted
		a.expiry = now.Add(grantTTL)
	} else if ask.Want > 0 {
		hold := min(maxHold, max(grant.Wait, time.Duration(h.knownProcesses())*holdPerProcess))
		a.refusedUntil, a.roomAt, a.isPartial = now.Add(hold), now.Add(grant.Wait), grant.IsPartial
	}
	a.endAsk()
}

// RecordFailure records that no board has answered an ask.
func (h *Holder) RecordFailure(ask *Ask, now time.Time) {
	if !h.isAlone {
		h.isAlone, h.aloneSince = true, now
	}
	a := h.accounts[ask.Name]
	if a == nil {
		return
	}
	a.spent += ask.Spent - ask.spentAlone
	a.addSpentAlone(ask.spentAlone, h.aloneShare())
	a.started += ask.Started
	a.startsAt = time.Time{}
	// Returned later, these would add to what is used in that time.
	a.unused = 0
	a.probeAt = now.Add(probeDelay)
	a.endAsk()
}

// Start decides on a program whose first request has been admitted. Programs under way go before
// new ones, since a program that is refused one of its requests has wasted the others.
func (h *Holder) Start(name string, now time.Time) Decision {
	a := h.accounts[name]
	if a == nil || h.isAlone || !now.Before(a.startsAt) {
		return Decision{Outcome: InHand}
	}
	a.roomAt = a.startsAt
	return a.refuse(now)
}

// RecordStart records that a program whose first request has been admitted starts.
func (h *Holder) RecordStart(name string) {
	if a := h.accounts[name]; a != nil {
		a.started++
	}
}

// Refund takes back the charge for a request that no target can have run. If the account has
// no steady demand here, it returns an ask that gives the charge to other processes at once.
func (h *Holder) Refund(name string, now time.Time) *Ask {
	a := h.accounts[name]
	if a == nil {
		return nil
	}
	a.expire(now)
	if a.batch >= minSteadyBatch && now.Before(a.expiry) {
		a.inHand++
		return nil
	}
	a.unused++
	return h.returnUnused(a, now)
}

// returnUnused returns the ask that returns unused grants, if there are any.
func (h *Holder) returnUnused(a *account, now time.Time) *Ask {
	if a.unused == 0 || a.answered != nil || h.isAlone {
		return nil
	}
	ask := h.newAsk(a, now)
	ask.Want = 0
	return ask
}

// Charge charges a further execution of an admitted request.
func (h *Holder) Charge(name string, now time.Time) {
	a := h.accounts[name]
	if a == nil {
		return
	}
	a.expire(now)
	if a.inHand > 0 {
		a.inHand--
	} else {
		a.spent++
	}
}

// Sweep returns the asks that return unused grants, and the accounts that are within their
// quotas again. It forgets accounts without requests.
func (h *Holder) Sweep(now time.Time) (asks []*Ask, ended []Episode) {
	for name, a := range h.accounts {
		a.expire(now)
		if a.episode > 0 && now.Sub(a.refusedAt) > refusalPause {
			ended = append(ended, Episode{Name: name, Refused: a.episode})
			a.episode = 0
		}
		if ask := h.returnUnused(a, now); ask != nil {
			asks = append(asks, ask)
		}
		if now.Sub(a.lastDemandAt) > accountTTL && a.answered == nil && a.waiting == 0 {
			delete(h.accounts, name)
		}
	}
	return asks, ended
}

// accountOf returns the state of an account, which it creates or adapts to a changed quota.
func (h *Holder) accountOf(name string, q catalog.Quota, version int64) *account {
	a := h.accounts[name]
	if a == nil {
		a = &account{name: name, quota: q, version: version}
		h.accounts[name] = a
	}
	if version > a.version {
		a.version = version
		if q != a.quota {
			a.quota = q
			a.refusedUntil = time.Time{}
			keep := min(a.inHand, int(math.Ceil(q.PerSecond*batchTime.Seconds())))
			a.unused += a.inHand - keep
			a.inHand = keep
		}
	}
	return a
}

// expire sets the grants aside that may not be used any more.
func (a *account) expire(now time.Time) {
	if a.inHand > 0 && !now.Before(a.expiry) {
		a.unused += a.inHand
		a.inHand = 0
	}
}

func (a *account) countDemand(now time.Time) {
	a.recent = a.demand(now)*demandTime.Seconds() + 1
	a.lastDemandAt = now
}

// demand returns the recent requests per second.
func (a *account) demand(now time.Time) float64 {
	return a.recent * math.Exp(-now.Sub(a.lastDemandAt).Seconds()/demandTime.Seconds()) / demandTime.Seconds()
}

// endAsk ends the ask in flight. The requests that wait for it decide anew.
func (a *account) endAsk() {
	a.need = max(0, a.waiting-a.inHand)
	a.waiting = 0
	close(a.answered)
	a.answered = nil
}

// refuse refuses a request. Its time to return is after those that were refused before.
func (a *account) refuse(now time.Time) Decision {
	wait := max(0, a.roomAt.Sub(now)) + tokenbucket.Period(float64(a.unreported), a.quota.PerSecond)
	a.unreported++
	a.need = 0
	d := Decision{Outcome: Refused, RetryAfter: min(wait, maxRetryAfter)}
	if a.isPartial {
		d.Outcome = Unknown
		return d
	}
	d.Begins = a.episode == 0
	a.episode++
	a.refusedAt = now
	return d
}
