package ledger

import (
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// EncodeLoadReport returns a process's report as a protobuf message.
func EncodeLoadReport(r loadboard.Report) *ledgerpb.Load {
	load := &ledgerpb.Load{
		FailingTargets: r.Failing, SuspectTargets: r.Suspects, Limits: encodeLimits(r.Limits),
		Facts: encodeFacts(r.Facts), Accounts: encodeAccounts(r.Accounts), HasAccounts: r.HasAccounts, Board: r.Position.Board, NextFact: r.Position.Next,
	}
	load.Targets, load.Calls = encodeCounts(r.Calls)
	load.Work = encodeWork(r.Calls)
	return load
}

// DecodeLoadReport is the inverse of EncodeLoadReport.
func DecodeLoadReport(load *ledgerpb.Load) loadboard.Report {
	return loadboard.Report{
		Calls: decodeCalls(load), Failing: load.GetFailingTargets(), Suspects: load.GetSuspectTargets(),
		Limits: decodeLimits(load.GetLimits()), Facts: decodeFacts(load.GetFacts()), Position: decodePosition(load),
		Accounts: decodeAccounts(load.GetAccounts()), HasAccounts: load.GetHasAccounts(),
	}
}

// EncodeLoadSummary returns the state of other processes as a protobuf message.
func EncodeLoadSummary(s loadboard.Summary) *ledgerpb.Load {
	load := &ledgerpb.Load{
		Processes: uint32(s.Processes), Limits: encodeLimits(s.Limits),
		Facts: encodeFacts(s.Facts), Accounts: encodeAccounts(s.Accounts), HasAccounts: s.HasAccounts, Board: s.Position.Board, NextFact: s.Position.Next,
	}
	load.Targets, load.Calls = encodeCounts(s.Calls)
	load.Work = encodeWork(s.Calls)
	load.FailingTargets, load.FailingReports = encodeCounts(s.Failing)
	load.SuspectTargets, load.SuspectReports = encodeCounts(s.Suspects)
	return load
}

// DecodeLoadSummary is the inverse of EncodeLoadSummary.
func DecodeLoadSummary(load *ledgerpb.Load) loadboard.Summary {
	return loadboard.Summary{
		Calls:    decodeCalls(load),
		Failing:  decodeCounts(load.GetFailingTargets(), load.GetFailingReports()),
		Suspects: decodeCounts(load.GetSuspectTargets(), load.GetSuspectReports()),
		Limits:   decodeLimits(load.GetLimits()),
		Facts:    decodeFacts(load.GetFacts()),
		Accounts: decodeAccounts(load.GetAccounts()), HasAccounts: load.GetHasAccounts(),
		Position:  decodePosition(load),
		Processes: int(load.GetProcesses()),
	}
}

func encodeLimits(list []loadboard.Limit) []*ledgerpb.Limit {
	var limits []*ledgerpb.Limit
	for _, l := range list {
		encoded := &ledgerpb.Limit{Target: l.Target, AgeUs: uint64(max(0, l.Age.Microseconds())), WaitUs: uint64(max(0, l.Wait.Microseconds()))}
		if l.IsLimited {
			encoded.PerSecond = &l.PerSecond
		}
		limits = append(limits, encoded)
	}
	return limits
}

func decodeLimits(list []*ledgerpb.Limit) []loadboard.Limit {
	var limits []loadboard.Limit
	for _, l := range list {
		limits = append(limits, loadboard.Limit{
			Target: l.GetTarget(), PerSecond: l.GetPerSecond(), IsLimited: l.PerSecond != nil,
			Age: time.Duration(l.GetAgeUs()) * time.Microsecond, Wait: time.Duration(l.GetWaitUs()) * time.Microsecond,
		})
	}
	return limits
}

func encodeAccounts(list []loadboard.AccountLoad) []*ledgerpb.AccountLoad {
	var accounts []*ledgerpb.AccountLoad
	for _, a := range list {
		accounts = append(accounts, &ledgerpb.AccountLoad{Service: a.Service, Account: a.Account, Calls: a.Calls, Refused: a.Refused})
	}
	return accounts
}

func decodeAccounts(list []*ledgerpb.AccountLoad) []loadboard.AccountLoad {
	var accounts []loadboard.AccountLoad
	for _, a := range list {
		accounts = append(accounts, loadboard.AccountLoad{
			AccountKey: loadboard.AccountKey{Service: a.GetService(), Account: a.GetAccount()},
			Calls:      a.GetCalls(), Refused: a.GetRefused(),
		})
	}
	return accounts
}

func encodeFacts(list []loadboard.Fact) []*ledgerpb.Fact {
	var facts []*ledgerpb.Fact
	for _, f := range list {
		facts = append(facts, &ledgerpb.Fact{
			Kind: ledgerpb.Fact_Kind(f.Kind), Subject: f.Subject, Target: f.Target, TargetId: f.TargetID,
			BeforeFirstEvent: f.BeforeFirstEvent, AgeUs: uint64(max(0, f.Age.Microseconds())),
			RanUs: uint64(max(0, f.Ran.Microseconds())),
		})
	}
	return facts
}

// decodeFacts ignores facts of kinds that this version does not know.
func decodeFacts(list []*ledgerpb.Fact) []loadboard.Fact {
	var facts []loadboard.Fact
	for _, f := range list {
		kind := loadboard.FactKind(f.GetKind())
		if kind < loadboard.Crash || kind > loadboard.Confirmation {
			continue
		}
		facts = append(facts, loadboard.Fact{
			Kind: kind, Subject: f.GetSubject(), Target: f.GetTarget(), TargetID: f.GetTargetId(),
			BeforeFirstEvent: f.GetBeforeFirstEvent(), Age: time.Duration(f.GetAgeUs()) * time.Microsecond,
			Ran: time.Duration(f.GetRanUs()) * time.Microsecond,
		})
	}
	return facts
}

func decodePosition(load *ledgerpb.Load) loadboard.FactPosition {
	return loadboard.FactPosition{Board: load.GetBoard(), Next: load.GetNextFact()}
}

// EncodePermit returns a permit as a protobuf message.
func EncodePermit(p loadboard.Permit) *ledgerpb.Permit {
	return &ledgerpb.Permit{Granted: p.Granted, WaitUs: uint64(max(0, p.Wait.Microseconds())), NextUs: uint64(max(0, p.Next.Microseconds()))}
}

// DecodePermit is the inverse of EncodePermit.
func DecodePermit(p *ledgerpb.Permit) loadboard.Permit {
	return loadboard.Permit{Granted: p.GetGranted(), Wait: time.Duration(p.GetWaitUs()) * time.Microsecond, Next: time.Duration(p.GetNextUs()) * time.Microsecond}
}

// EncodeQuotaAsk returns an ask for requests out of a quota as a protobuf message.
func EncodeQuotaAsk(a loadboard.QuotaAsk) *ledgerpb.AcquireQuota {
	return &ledgerpb.AcquireQuota{
		Account: a.Account, PerSecond: a.PerSecond, Burst: a.Burst, Version: a.Version, Want: uint32(a.Want), Need: uint32(a.Need),
		Unused: uint32(a.Unused), Spent: uint32(a.Spent), Refused: uint32(a.Refused), Started: uint32(a.Started), Processes: uint32(a.Processes),
		Vm: a.Process,
	}
}

// DecodeQuotaAsk is the inverse of EncodeQuotaAsk.
func DecodeQuotaAsk(a *ledgerpb.AcquireQuota) loadboard.QuotaAsk {
	return loadboard.QuotaAsk{
		Account: a.GetAccount(), PerSecond: a.GetPerSecond(), Burst: a.GetBurst(), Version: a.GetVersion(), Want: int(a.GetWant()), Need: int(a.GetNeed()),
		Unused: int(a.GetUnused()), Spent: int(a.GetSpent()), Refused: int(a.GetRefused()), Started: int(a.GetStarted()), Processes: int(a.GetProcesses()),
		Process: a.GetVm(),
	}
}

// EncodeQuotaGrant returns a grant as a protobuf message.
func EncodeQuotaGrant(g loadboard.QuotaGrant) *ledgerpb.QuotaGrant {
	return &ledgerpb.QuotaGrant{
		Granted: uint32(g.Granted), WaitUs: uint64(max(0, g.Wait.Microseconds())), Partial: g.IsPartial,
		StartWaitUs: uint64(max(0, g.StartWait.Microseconds())),
	}
}

// DecodeQuotaGrant is the inverse of EncodeQuotaGrant.
func DecodeQuotaGrant(g *ledgerpb.QuotaGrant) loadboard.QuotaGrant {
	return loadboard.QuotaGrant{
		Granted: int(g.GetGranted()), Wait: time.Duration(g.GetWaitUs()) * time.Microsecond, IsPartial: g.GetPartial(),
		StartWait: time.Duration(g.GetStartWaitUs()) * time.Microsecond,
	}
}

func encodeCounts(list []loadboard.Count) (targets []uint64, counts []uint32) {
	for _, c := range list {
		targets = append(targets, c.Target)
		counts = append(counts, c.Count)
	}
	return targets, counts
}

// decodeCounts joins two columns. It ignores targets without a count.
func decodeCounts(targets []uint64, counts []uint32) []loadboard.Count {
	n := min(len(targets), len(counts))
	list := make([]loadboard.Count, 0, n)
	for i := range n {
		list = append(list, loadboard.Count{Target: targets[i], Count: counts[i]})
	}
	return list
}

func encodeWork(list []loadboard.Count) []uint32 {
	work := make([]uint32, 0, len(list))
	for _, c := range list {
		work = append(work, c.WorkMS)
	}
	return work
}

// decodeCalls joins the columns of the calls. Earlier versions send none for the work.
func decodeCalls(load *ledgerpb.Load) []loadboard.Count {
	calls := decodeCounts(load.GetTargets(), load.GetCalls())
	if work := load.GetWork(); len(work) == len(calls) {
		for i := range calls {
			calls[i].WorkMS = work[i]
		}
	}
	return calls
}
