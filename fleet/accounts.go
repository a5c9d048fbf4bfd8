package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
	"github.com/rhubarbsaddle/rhubarbsaddle/mechanism"
)

const (
	// withinShareFactor is the limit of accounts within their share as a multiple of that of
	// other accounts.
	withinShareFactor = 1.2
	// maxShareLimit is the limit, in calls per slot, of accounts within their share while
	// others are to blame for the load. Engines queue a call for every second slot then; they
	// refuse calls at several times as many.
	maxShareLimit = 1.5
	// urgentBeyondShareFactor is the limit of urgent programs of accounts beyond their share
	// as a multiple of the limit of other programs.
	urgentBeyondShareFactor = 1.05
	// steadyLimitPerSecond is how fast the limit rises again for accounts that use far more
	// than normal, in calls per slot and second.
	steadyLimitPerSecond = 0.02
)

// decideByShare decides on a program of a client account. From the admission limit on, only
// accounts within their share of the room may start programs, up to a limit that keeps the
// engines from queueing calls. The limits are in the order of what they admit: urgent programs
// of accounts within their share, other programs of those, urgent programs of accounts beyond
// it, and all others. For accounts that use far more than normal, the admission limit rises
// slowly after pressure.
func (f *Fleet) decideByShare(s *service, p Program, limit float64, now time.Time) Decision {
	load, steady, isPressed := f.observePressure(s, now)
	if !isPressed {
		return Decision{}
	}
	usage := s.accounts.Usage(p.Account, now)
	lower, upper := s.admitLimit, limit/s.admitLimit*maxShareLimit
	// Refusing those to blame brings the load back; a shortage that is everybody's does not end
	// while more is admitted.
	if load >= limit+usage.Blame*(upper-limit) {
		return Decision{Admission: Overloaded}
	}
	if usage.IsUnusual() {
		lower = steady
	}
	if p.Priority == 0 {
		lower *= urgentBeyondShareFactor
	}
	if load < lower {
		return Decision{Usage: usage}
	}
	relative := limit * withinShareFactor
	left := min(1, max(0, (relative-load)/(relative-s.admitLimit)))
	if usage.IsWithin(left) {
		return Decision{Usage: usage}
	}
	return Decision{Admission: OverShare, Usage: usage}
}

// observePressure returns the load and the steady limit, in calls per slot, and updates the
// shares of accounts if the load is at the limit. The load includes what this process knows of,
// which does not depend on how often it calls the targets.
func (f *Fleet) observePressure(s *service, now time.Time) (load, limit float64, isPressed bool) {
	known := s.room(now, !f.disabled.Disables(mechanism.PermitRoom))
	load, limit = max(s.currentLoadPerSlot(now), known.perSlot()), s.updateSteadyLimit(now)
	if load < limit {
		return load, limit, false
	}
	s.accounts.Observe(limit/load, now)
	return load, limit, true
}

// updateSteadyLimit returns the admission limit without its fast increases. An account with a
// large demand would fill the room of each of them at once, and the limit would swing.
func (s *service) updateSteadyLimit(now time.Time) float64 {
	if s.steadyLimitAt.IsZero() {
		s.steadyLimit = s.admitLimit
	}
	rise := max(0, now.Sub(s.steadyLimitAt).Seconds()) * steadyLimitPerSecond
	s.steadyLimit, s.steadyLimitAt = min(s.admitLimit, s.steadyLimit+rise), now
	return s.steadyLimit
}

// recordRefused records that a program was refused.
func (s *service) recordRefused(account uint64, now time.Time) {
	if account != 0 {
		s.accounts.Refuse(account, now)
	}
}

// RecordAccountStart and RecordAccountEnd record that a call of an account to a service begins
// and ends. The call counts also while it waits for a target.
func (f *Fleet) RecordAccountStart(service string, account uint64, now time.Time) {
	if s := f.services[service]; s != nil && s.isEngine && account != 0 {
		s.accounts.Begin(account, now)
	}
}

// RecordAccountEnd is the end of what RecordAccountStart begins.
func (f *Fleet) RecordAccountEnd(service string, account uint64, now time.Time) {
	if s := f.services[service]; s != nil && account != 0 {
		s.accounts.End(account, now)
	}
}

// AccountRetryAfter returns the time after which a refused program of an account should be tried
// again. Usable is the longest time that its caller can use.
func (f *Fleet) AccountRetryAfter(service string, account uint64, usable time.Duration, now time.Time) time.Duration {
	s := f.services[service]
	if s == nil {
		return min(noTargetRetryAfter, usable)
	}
	return s.accounts.ReturnAfter(account, s.starts.perSecond(now), usable, now)
}

// startRate is a moving average of the programs that start per second.
type startRate struct {
	count float64
	at    time.Time
}

// startRateTime is the time constant of the average.
const startRateTime = 2 * time.Second

func (r *startRate) add(now time.Time) { r.count, r.at = r.decayed(now)+1, now }

func (r *startRate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-now.Sub(r.at).Seconds()/startRateTime.Seconds())
}

func (r *startRate) perSecond(now time.Time) float64 { return r.decayed(now) / startRateTime.Seconds() }

const (
	// accountPeriod is the time between two exchanges of the work of accounts, and
	// pressedAccountPeriod the time while there is too little room. Both are shorter than the
	// time for which a report counts.
	accountPeriod        = 400 * time.Millisecond
	pressedAccountPeriod = 100 * time.Millisecond
)

// accountReport returns the work of accounts at engines if it is due, also if there is none.
func (f *Fleet) accountReport(now time.Time) (list []loadboard.AccountLoad, isDue bool) {
	period, hasAccounts := accountPeriod, false
	for _, s := range f.services {
		hasAccounts = hasAccounts || s.accounts.HasAccounts()
		if s.accounts.IsPressed(now) {
			period = pressedAccountPeriod
		}
	}
	if !hasAccounts || now.Sub(f.accountsAt) < period {
		return nil, false
	}
	for name, s := range f.services {
		service := xxhash.Sum64String(name)
		for _, l := range s.accounts.Report(now) {
			l.Service = service
			list = append(list, l)
		}
	}
	return loadboard.BusiestAccounts(list), true
}

// recordOthersAccounts records the work of accounts at other processes, if they told it, and
// updates the shares with the load of other processes.
func (f *Fleet) recordOthersAccounts(others loadboard.Summary, now time.Time) {
	if others.HasAccounts {
		f.accountsAt = now
	}
	byService := make(map[uint64][]loadboard.AccountLoad)
	for _, l := range others.Accounts {
		byService[l.Service] = append(byService[l.Service], l)
	}
	for name, s := range f.services {
		if others.HasAccounts {
			s.accounts.RecordOthers(byService[xxhash.Sum64String(name)], now)
		}
		if s.accounts.HasAccounts() {
			f.observePressure(s, now)
		}
	}
}
