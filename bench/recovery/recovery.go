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

// warmUp is the time before the failure.
const warmUp = 25 * core.Second

// Result is the outcome of all trials of one failure.
type Result struct {
	Failure string `json:"failure"`
	Trials  int    `json:"trials"`
	// Affected is the number of programs that the failure hit; Stopped of them got
	// no answer any more within the time watched.
	Affected    int `json:"programs_hit"`
	Unrecovered int `json:"programs_stopped"`
	// P50 and Max are times from the failure to a program's next answer.
	P50 float64 `json:"p50_ms"`
	Max float64 `json:"max_ms"`
	// Refused, Unknown, Broken and AnswerLost count the calls of all programs
	// that ended so from the failure on.
	Refused         int `json:"calls_refused"`
	Unknown         int `json:"calls_unknown_outcome"`
	ConnectionsLost int `json:"connections_broken"`
	AnswerLost      int `json:"answers_lost"`
	// InvariantViolations counts the violations that the observer found.
	InvariantViolations uint64   `json:"promises_broken"`
	Texts               []string `json:"texts,omitempty"`
}

// parallel bounds the failures that are measured at once.
const parallel = 3

// Run measures every failure. The results do not depend on how many run at
// once: each trial has its own cluster and its own seed.
func Run(seed uint64, trials int) []Result {
	all := failures()
	results := make([]Result, len(all))
	var group errgroup.Group
	group.SetLimit(parallel)
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

// trial is one run of one failure.
type trial struct {
	cluster *soak.Cluster
	res     *Result
	failed  core.Instant
	// active holds the programs under way, by the number of their open calls.
	active map[core.ProgramID]bool
	hit    map[core.ProgramID]bool
	next   map[core.ProgramID]core.Instant
}

func newTrial(seed uint64, res *Result) *trial {
	t := &trial{
		res:    res,
		active: map[core.ProgramID]bool{},
		hit:    map[core.ProgramID]bool{},
		next:   map[core.ProgramID]core.Instant{},
	}
	t.cluster = soak.NewCluster(soak.Options{Seed: seed, NoFaults: true, NoCallerErrors: true, Response: t.response})
	return t
}

// response follows the programs and counts the ends of calls.
func (t *trial) response(r *sim.Response) {
	id := r.Call.Program.Root()
	ran := !r.ConnectionLost && !r.AnswerLost && r.Finish.Outcome == core.OutcomeRan
	t.active[id] = !(r.End && ran)
	if t.failed == 0 {
		return
	}
	if ran && t.next[id] == 0 {
		t.next[id] = t.cluster.Sim().Now()
	}
	t.count(r)
}

func (t *trial) count(r *sim.Response) {
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

// run injects the failure and returns the times until the programs went on.
func (t *trial) run(f failure) []core.Duration {
	s := t.cluster.Sim()
	t.cluster.Start()
	s.Run(s.Now().Add(warmUp))
	s.Run(s.Now().Add(f.prepare(t)))
	t.failed = s.Now()
	f.inject(t)
	s.Run(s.Now().Add(f.watch))
	report := t.cluster.Report()
	t.res.InvariantViolations += report.Violations
	t.res.Texts = append(t.res.Texts, report.ViolationTexts...)
	return t.times()
}

func (t *trial) times() []core.Duration {
	var times []core.Duration
	for id := range t.hit {
		t.res.Affected++
		if t.next[id] == 0 {
			t.res.Unrecovered++
			continue
		}
		times = append(times, t.next[id].Sub(t.failed))
	}
	return times
}

// hitSlots marks the programs of the slots whose home matches.
func (t *trial) hitSlots(match func(core.VM) bool) {
	homes := t.cluster.Owners()
	for id, active := range t.active {
		if active && match(homes[t.cluster.Slot(id)]) {
			t.hit[id] = true
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
