// Package loadboard combines what processes know of the targets: the calls that they have in
// flight and the targets that fail. Each process reports its own state and gets that of all
// others, so that what it knows of a target does not depend on how often it calls that target
// itself.
package loadboard

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// reportTTL is how long a process's report counts. Processes with calls in flight
	// report several times within that time; the calls of one that has ended end too.
	reportTTL = time.Second
	// expirePeriod is the time between two checks for expired reports.
	expirePeriod = 100 * time.Millisecond
	// MaxTargets bounds the targets in each list of a summary. Beyond it, those with the
	// greatest counts are listed.
	MaxTargets = 512
)

// Count is a number of calls or of processes for a target. Target is the hash of the
// target's catalog.TargetKey.
type Count struct {
	Target uint64
	Count  uint32
	// WorkMS is the work that is expected to be left of calls, in milliseconds; 0 if it is not
	// known.
	WorkMS uint32
}

// Report is the state of one process.
type Report struct {
	// Calls are the calls in flight by target.
	Calls []Count
	// Failing are the targets whose last call failed recently.
	Failing []uint64
	// Suspects are the targets at which the process has a request in flight that may crash
	// them.
	Suspects []uint64
	// Limits are the rate limits that targets have named or lifted.
	Limits []Limit
	// Accounts is the work of client accounts, at most MaxAccounts. A report without
	// HasAccounts leaves those of the process's last one in force for as long as a report
	// counts.
	Accounts    []AccountLoad
	HasAccounts bool
	// Facts are those that the board has not received from this process, and Position is how
	// far the process has read those of the board.
	Facts    []Fact
	Position FactPosition
}

// Summary is the state of all other processes.
type Summary struct {
	// Calls are the sums of the calls in flight by target.
	Calls []Count
	// Failing are the numbers of processes at which a target fails.
	Failing []Count
	// Limits are the latest known rate limits, including those that the asking process has
	// reported.
	Limits []Limit
	// Suspects are the numbers of processes that have a request in flight at a target that
	// may crash it.
	Suspects []Count
	// Accounts are the sums of the work by client account; only if the report had HasAccounts.
	Accounts    []AccountLoad
	HasAccounts bool
	// Facts are those from the process's position on, and Position is the one after them.
	Facts    []Fact
	Position FactPosition
	// Processes is the number of processes with a report, including the one that asks.
	Processes int
}

// report is what one process has reported last.
type report struct {
	Report
	at time.Time
	// accountsAt is when the process last reported accounts.
	accountsAt time.Time
}

// Board holds the latest report of each process, grants the permits for requests to targets
// with a rate limit, and grants processes their requests out of the quotas of accounts.
// Invariant: calls, failing, suspects, work and accounts are the sums over all reports. It uses no
// clock and is not safe for concurrent use.
type Board struct {
	// id distinguishes the board from those of other members and of earlier processes.
	id                       uint64
	reports                  map[string]report
	calls, failing, suspects map[uint64]uint32
	accounts                 accountSums
	// work is the work left of the calls by target.
	work     map[uint64]workSum
	limits   map[uint64]*limit
	facts    factLog
	quotas   map[uint64]*quotaState
	coverage coverage
	// programSize is that of the programs of accounts with a quota.
	programSize programSize
	nextExpiry  time.Time
}

// New returns an empty board.
func New() *Board {
	return &Board{
		id: rand.Uint64(), reports: make(map[string]report), calls: make(map[uint64]uint32), work: make(map[uint64]workSum), failing: make(map[uint64]uint32),
		quotas: make(map[uint64]*quotaState), coverage: coverage{reportedAt: make(map[string]time.Time)},
		suspects: make(map[uint64]uint32), accounts: make(accountSums), limits: make(map[uint64]*limit), facts: factLog{byKey: make(map[factKey]uint64)},
	}
}

// Exchange replaces a process's report and returns the state of all others.
func (b *Board) Exchange(process string, own Report, now time.Time) Summary {
	b.expire(now)
	before := b.reports[process]
	b.remove(process)
	b.coverage.report(process, now)
	b.recordLimits(own.Limits, now)
	others := Summary{Calls: b.withWork(greatest(b.calls)), Failing: greatest(b.failing), Suspects: greatest(b.suspects), Limits: b.knownLimits(now)}
	others.Facts, others.Position = b.exchangeFacts(own, now)
	// Facts are kept in the log only.
	own.Facts = nil
	accountsAt := now
	if own.HasAccounts {
		others.Accounts, others.HasAccounts = b.accounts.list(), true
		own.Accounts = own.Accounts[:min(len(own.Accounts), MaxAccounts)]
	} else if accountsAt = before.accountsAt; now.Sub(accountsAt) <= reportTTL {
		own.Accounts = before.Accounts
	}
	b.reports[process] = report{Report: own, at: now, accountsAt: accountsAt}
	for _, c := range own.Calls {
		if c.Count > 0 {
			b.calls[c.Target] += c.Count
			b.work[c.Target] = b.work[c.Target].plus(c, 1)
		}
	}
	for _, target := range own.Failing {
		b.failing[target]++
	}
	for _, target := range own.Suspects {
		b.suspects[target]++
	}
	b.accounts.add(own.Accounts)
	others.Processes = len(b.reports)
	return others
}

// exchangeFacts adds a process's facts and returns those that it has not read yet, which
// include its own.
func (b *Board) exchangeFacts(own Report, now time.Time) ([]Fact, FactPosition) {
	for _, f := range own.Facts {
		b.facts.add(f, now)
	}
	from := uint64(0)
	if own.Position.Board == b.id {
		from = own.Position.Next
	}
	facts, next := b.facts.since(from, now)
	return facts, FactPosition{Board: b.id, Next: next}
}

// greatest returns the MaxTargets targets with the greatest counts.
func greatest(counts map[uint64]uint32) []Count {
	list := make([]Count, 0, len(counts))
	for target, count := range counts {
		list = append(list, Count{Target: target, Count: count})
	}
	if len(list) <= MaxTargets {
		return list
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Target, b.Target))
	})
	return list[:MaxTargets]
}

func (b *Board) expire(now time.Time) {
	if now.Before(b.nextExpiry) {
		return
	}
	b.nextExpiry = now.Add(expirePeriod)
	b.expireLimits(now)
	b.coverage.update(now)
	b.expireQuotas(now)
	b.facts.expire(now)
	for process, r := range b.reports {
		if now.Sub(r.at) > reportTTL {
			b.remove(process)
		}
	}
}

func (b *Board) remove(process string) {
	old := b.reports[process]
	for _, c := range old.Calls {
		subtract(b.calls, c.Target, c.Count)
		if b.calls[c.Target] == 0 {
			delete(b.work, c.Target)
			continue
		}
		b.work[c.Target] = b.work[c.Target].plus(c, -1)
	}
	for _, target := range old.Failing {
		subtract(b.failing, target, 1)
	}
	for _, target := range old.Suspects {
		subtract(b.suspects, target, 1)
	}
	b.accounts.subtract(old.Accounts)
	delete(b.reports, process)
}

func subtract(counts map[uint64]uint32, target uint64, n uint32) {
	if left := counts[target] - n; left > 0 {
		counts[target] = left
	} else {
		delete(counts, target)
	}
}
