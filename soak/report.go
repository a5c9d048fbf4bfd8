package soak

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/invariant"
)

// FaultCount is the number of injections of one kind of fault.
type FaultCount struct {
	Kind  string `json:"kind"`
	Count uint64 `json:"count"`
}

// InvariantCount counts the checks of one invariant, by the reducers and by the
// observer, and its violations.
type InvariantCount struct {
	Invariant  string `json:"promise"`
	Reducers   uint64 `json:"reducer_checks"`
	Observer   uint64 `json:"observer_checks"`
	Violations uint64 `json:"violations"`
}

// Report is the result of a run.
type Report struct {
	Seed           uint64           `json:"seed"`
	Events         uint64           `json:"events"`
	VirtualSeconds float64          `json:"virtual_seconds"`
	Programs       uint64           `json:"programs"`
	Calls          uint64           `json:"calls"`
	Executions     uint64           `json:"executions"`
	Outcomes       OutcomeCounts    `json:"outcomes"`
	Reasons        []ReasonCount    `json:"reasons"`
	Faults         []FaultCount     `json:"faults"`
	Invariants     []InvariantCount `json:"promises"`
	// SlotStateLosses counts how often a slot lost its state with all replicas.
	SlotStateLosses uint64   `json:"slots_forgotten"`
	Violations      uint64   `json:"violations"`
	ViolationTexts  []string `json:"texts,omitempty"`
	Digest          string   `json:"digest"`
}

// OutcomeCounts counts requests by how they ended.
type OutcomeCounts struct {
	Ran            uint64 `json:"ran"`
	NotRun         uint64 `json:"not_run"`
	Unknown        uint64 `json:"unknown_outcome"`
	ConnectionLost uint64 `json:"connection_broken"`
	AnswerLost     uint64 `json:"answer_lost"`
}

// ReasonCount counts the requests that ended without an answer, for one outcome
// and reason.
type ReasonCount struct {
	Outcome string      `json:"outcome"`
	Reason  core.Reason `json:"reason"`
	Count   uint64      `json:"count"`
}

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "seed\t%d\nevents\t%d\nvirtual time\t%.0f s\n", r.Seed, r.Events, r.VirtualSeconds)
	fmt.Fprintf(tw, "programs\t%d\ncalls\t%d\nexecutions\t%d\n", r.Programs, r.Calls, r.Executions)
	o := r.Outcomes
	fmt.Fprintf(tw, "outcomes\tran %d, not_run %d, unknown_outcome %d, connection broken %d, answer lost %d\n",
		o.Ran, o.NotRun, o.Unknown, o.ConnectionLost, o.AnswerLost)
	fmt.Fprintf(tw, "slot state losses\t%d\n\nFAULT\tINJECTED\n", r.SlotStateLosses)
	for _, f := range r.Faults {
		fmt.Fprintf(tw, "%s\t%d\n", f.Kind, f.Count)
	}
	fmt.Fprint(tw, "\nREFUSAL\tREASON\tCOUNT\n")
	for _, c := range r.Reasons {
		fmt.Fprintf(tw, "%s\t%s\t%d\n", c.Outcome, c.Reason, c.Count)
	}
	fmt.Fprint(tw, "\nPROMISE\tREDUCER CHECKS\tOBSERVER CHECKS\tVIOLATIONS\n")
	for _, p := range r.Invariants {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\n", p.Invariant, p.Reducers, p.Observer, p.Violations)
	}
	fmt.Fprintf(tw, "\nviolations\t%d\ndigest\t%s\n", r.Violations, r.Digest)
	for _, t := range r.ViolationTexts {
		fmt.Fprintf(tw, "  %s\n", t)
	}
	return tw.Flush()
}

// invariantCounts combines the counts of the reducers and of the observer.
func invariantCounts(reducers, observer *invariant.Recorder) []InvariantCount {
	var counts []InvariantCount
	for p := invariant.ID(0); p < invariant.Count; p++ {
		counts = append(counts, InvariantCount{
			Invariant:  p.String(),
			Reducers:   reducers.Checks(p),
			Observer:   observer.Checks(p),
			Violations: reducers.Violations(p) + observer.Violations(p),
		})
	}
	return counts
}
