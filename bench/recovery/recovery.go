package recovery

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"github.com/rhubarbsaddle/rhubarbsaddle/core"
	"github.com/rhubarbsaddle/rhubarbsaddle/sim"
	"github.com/rhubarbsaddle/rhubarbsaddle/soak"
)

// DefaultTrials is the number of runs of each failure.
const DefaultTrials = 10

// warmUp is the time under load before the failure.
const warmUp = 25 * core.Second

// Result is the result of all trials of one failure.
type Result struct {
	Failure string `json:"failure"`
	Trials  int    `json:"trials"`
	// Affected is the number of programs that the failure affected. Unrecovered
	// is the number of affected programs that got no answer within the time of
	// observation.
	Affected    int `json:"programs_hit"`
	Unrecovered int `json:"programs_stopped"`
	// P50 and Max are times in milliseconds from the failure to an affected
	// program's next answer.
	P50 float64 `json:"p50_ms"`
	Max float64 `json:"max_ms"`
	// Refused, Unknown, ConnectionsLost and AnswerLost count the calls of all
	// programs with these outcomes since the failure.
	Refused         int `json:"calls_refused"`
	Unknown         int `json:"calls_unknown_outcome"`
	ConnectionsLost int `json:"connections_broken"`
	AnswerLost      int `json:"answers_lost"`
	// InvariantViolations counts the violations that the soak observer found.
	InvariantViolations uint64   `json:"promises_broken"`
	ViolationTexts      []string `json:"texts,omitempty"`
}

// maxParallel bounds the failures that are measured concurrently.
const maxParallel = 3

// Run measures every failure. The results don't depend on the concurrency: each
// trial has its own cluster and its own seed.
func Run(seed uint64, trials int) []Result {
	all := failures()
	results := make([]Result, len(all))
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, f := range all {
		group.Go(func() error {
			results[i] = measure(f, seed, trials)
			return nil
		})
	}
	_ = group.Wait()
	return results
}

func measure(f failure, seed uint64, trials int) Result {
	res := Result{Failure: f.name, Trials: trials}
	var times []core.Duration
	for i := range trials {
		t := newTrial(seed+uint64(i), &res)
		times = append(times, t.run(f)...)
	}
	if len(times) == 0 {
		return res
	}
	slices.Sort(times)
	res.P50 = milliseconds(times[len(times)/2])
	res.Max = milliseconds(times[len(times)-1])
	return res
}

func milliseconds(d core.Duration) float64 { return float64(d) / float64(core.Millisecond) }

// trial is one run with one failure.
type trial struct {
	cluster  *soak.Cluster
	res      *Result
	failedAt core.Instant
	// active is true for the programs in progress.
	active     map[core.ProgramID]bool
	affected   map[core.ProgramID]bool
	nextAnswer map[core.ProgramID]core.Instant
}

func newTrial(seed uint64, res *Result) *trial {
	t := &trial{
		res:        res,
		active:     map[core.ProgramID]bool{},
		affected:   map[core.ProgramID]bool{},
		nextAnswer: map[core.ProgramID]core.Instant{},
	}
	t.cluster = soak.NewCluster(soak.Options{Seed: seed, NoFaults: true, NoCallerErrors: true, Response: t.handleResponse})
	return t
}

// handleResponse tracks the programs in progress and, after the failure, their
// next answers and the outcomes of calls.
func (t *trial) handleResponse(r *sim.Response) {
	id := r.Call.Program.Root()
	ran := !r.ConnectionLost && !r.AnswerLost && r.Finish.Outcome == core.OutcomeRan
	t.active[id] = !(r.IsEnd && ran)
	if t.failedAt == 0 {
		return
	}
	if ran && t.nextAnswer[id] == 0 {
		t.nextAnswer[id] = t.cluster.Sim().Now()
	}
	t.countOutcome(r)
}

func (t *trial) countOutcome(r *sim.Response) {
	switch {
	case r.ConnectionLost:
		t.res.ConnectionsLost++
	case r.AnswerLost:
		t.res.AnswerLost++
	case r.Finish.Outcome == core.OutcomeNotRun:
		t.res.Refused++
	case r.Finish.Outcome == core.OutcomeUnknown:
		t.res.Unknown++
	}
}

// run injects the failure and returns the recovery times of the affected programs.
func (t *trial) run(f failure) []core.Duration {
	s := t.cluster.Sim()
	t.cluster.Start()
	s.Run(s.Now().Add(warmUp))
	s.Run(s.Now().Add(f.prepare(t)))
	t.failedAt = s.Now()
	f.inject(t)
	s.Run(s.Now().Add(f.watchTime))
	report := t.cluster.Report()
	t.res.InvariantViolations += report.Violations
	t.res.ViolationTexts = append(t.res.ViolationTexts, report.ViolationTexts...)
	return t.recoveryTimes()
}

func (t *trial) recoveryTimes() []core.Duration {
	var times []core.Duration
	for id := range t.affected {
		t.res.Affected++
		if t.nextAnswer[id] == 0 {
			t.res.Unrecovered++
			continue
		}
		times = append(times, t.nextAnswer[id].Sub(t.failedAt))
	}
	return times
}

// markAffected marks the programs in progress whose slot has an owner that
// matches.
func (t *trial) markAffected(match func(core.VM) bool) {
	owners := t.cluster.Owners()
	for id, active := range t.active {
		if active && match(owners[t.cluster.Slot(id)]) {
			t.affected[id] = true
		}
	}
}

// Print writes the results as a table.
func Print(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "failure\tprograms hit\tstopped\tp50 ms\tmax ms\trefused\tunknown\tconnections broken\tanswers lost\tpromises broken\t")
	for _, r := range results {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%d\t\n", r.Failure, r.Affected, r.Unrecovered, r.P50, r.Max,
			r.Refused, r.Unknown, r.ConnectionsLost, r.AnswerLost, r.InvariantViolations)
	}
	return tw.Flush()
}
