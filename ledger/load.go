package ledger

import (
	"github.com/rhubarbsaddle/rhubarbsaddle/ledger/ledgerpb"
	"github.com/rhubarbsaddle/rhubarbsaddle/loadboard"
)

// EncodeLoadReport returns a process's report as a protobuf message.
func EncodeLoadReport(r loadboard.Report) *ledgerpb.Load {
	load := &ledgerpb.Load{FailingTargets: r.Failing}
	load.Targets, load.Calls = encodeCounts(r.Calls)
	return load
}

// DecodeLoadReport is the inverse of EncodeLoadReport.
func DecodeLoadReport(load *ledgerpb.Load) loadboard.Report {
	return loadboard.Report{Calls: decodeCounts(load.GetTargets(), load.GetCalls()), Failing: load.GetFailingTargets()}
}

// EncodeLoadSummary returns the state of other processes as a protobuf message.
func EncodeLoadSummary(s loadboard.Summary) *ledgerpb.Load {
	load := &ledgerpb.Load{Processes: uint32(s.Processes)}
	load.Targets, load.Calls = encodeCounts(s.Calls)
	load.FailingTargets, load.FailingReports = encodeCounts(s.Failing)
	return load
}

// DecodeLoadSummary is the inverse of EncodeLoadSummary.
func DecodeLoadSummary(load *ledgerpb.Load) loadboard.Summary {
	return loadboard.Summary{
		Calls:     decodeCounts(load.GetTargets(), load.GetCalls()),
		Failing:   decodeCounts(load.GetFailingTargets(), load.GetFailingReports()),
		Processes: int(load.GetProcesses()),
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
