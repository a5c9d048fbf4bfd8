package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rhubarbsaddle/rhubarbsaddle/observe"
	"github.com/rhubarbsaddle/rhubarbsaddle/standin/engine"
)

// Result is the result of one deployment.
type Result struct {
	Deployment string
	Programs   int
	Finished   int
	P50        time.Duration
	P95        time.Duration
	P99        time.Duration
	// RecomputedTokens are prompt tokens that were computed again after their
	// eviction from an engine's cache, ReusedTokens those found in it.
	RecomputedTokens uint64
	ReusedTokens     uint64
	IdleTokenSeconds float64
	// WithinBudget counts the programs that spent at most their budget,
	// OverBudget those that spent more, and Exhausted those that got the error
	// budget_exhausted as scripted.
	WithinBudget int
	OverBudget   int
	Exhausted    int
	// ExecutionCounts counts the non-idempotent calls that were executed 0 times,
	// once, and more often, UnknownOutcomes those with an unknown outcome.
	ExecutionCounts [3]int
	UnknownOutcomes int
	// CompleteAnswers counts the model answers that were as expected,
	// WrongAnswers those that were incomplete or belonged to another request.
	CompleteAnswers int
	WrongAnswers    int
	Retries         int64
	// Violations describes the violated invariants and the failed programs.
	// Observations holds the measurements.
	Violations     []string
	InjectedFaults []string
	Observations   []observe.Observation
}

// result collects the results of the callers, the targets and the daemons.
func (r *run) result(ctx context.Context) *Result {
	sorted := r.stats.sorted()
	out := &Result{
		Deployment: r.scenario.dir,
		Programs:   r.options.Programs,
		Finished:   len(sorted),
		P50:        percentile(sorted, 0.50),
		P95:        percentile(sorted, 0.95),
		P99:        percentile(sorted, 0.99),
		Retries:    r.stats.retries.Load(),
	}
	r.addCallerStats(out)
	r.addToolExecutions(out)
	r.addWaste(ctx, out)
	for _, vm := range slices.Concat(r.deployment.Entries(), r.deployment.Sidecars()) {
		r.faults.collectViolations(ctx, vm)
	}
	var daemonViolations []string
	out.InjectedFaults, daemonViolations = r.faults.list()
	out.Violations = append(out.Violations, daemonViolations...)
	return out
}

func (r *run) addCallerStats(out *Result) {
	s := r.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	out.CompleteAnswers, out.WrongAnswers = s.completeAnswers, s.wrongAnswers
	out.WithinBudget, out.OverBudget, out.Exhausted = s.withinBudget, s.overBudget, s.exhausted
	out.Observations = s.observations
	out.Violations = append(out.Violations, s.violations...)
	if s.wrongAnswers > 0 {
		out.Violations = append(out.Violations, fmt.Sprintf("%d answers were incomplete or belonged to another request", s.wrongAnswers))
	}
	if n := s.wrongToolAnswers.Load(); n > 0 {
		out.Violations = append(out.Violations, fmt.Sprintf("%d tool answers belonged to another request", n))
	}
}

// addToolExecutions compares the outcomes that the callers got with the
// executions that the services counted.
func (r *run) addToolExecutions(out *Result) {
	executions := map[string]int{}
	for _, t := range r.deployment.Tools() {
		for key, n := range t.Server.AllExecutions() {
			executions[key] += n
		}
	}
	for _, call := range r.stats.tools {
		n := executions[call.key]
		if call.nonIdempotent {
			out.ExecutionCounts[min(n, 2)]++
			if call.outcome == "unknown_outcome" {
				out.UnknownOutcomes++
			}
		}
		if violation := toolCallViolation(call, n); violation != "" {
			out.Violations = append(out.Violations, violation)
		}
	}
}

// toolCallViolation describes the violation if the number of executions
// contradicts the outcome of a call or its idempotency. It returns "" if there
// is none.
func toolCallViolation(call toolCall, executions int) string {
	switch {
	case call.nonIdempotent && executions > 1:
		return fmt.Sprintf("non-idempotent call %s was executed %d times", call.key, executions)
	case call.outcome == "ran" && executions == 0:
		return fmt.Sprintf("call %s was answered but not executed", call.key)
	case call.outcome == "not_run" && executions > 0:
		return fmt.Sprintf("call %s was reported as not executed but was executed %d times", call.key, executions)
	}
	return ""
}

// addWaste adds the waste counters of the engines.
func (r *run) addWaste(ctx context.Context, out *Result) {
	for _, m := range r.deployment.Models() {
		waste, err := fetchWaste(ctx, m.Addr)
		if err != nil {
			out.Violations = append(out.Violations, fmt.Sprintf("waste counters of engine %s are not available: %v", m.Addr, err))
			continue
		}
		out.RecomputedTokens += waste.RecomputedTokens
		out.ReusedTokens += waste.ReusedTokens
		out.IdleTokenSeconds += waste.IdleTokenSeconds
	}
}

func fetchWaste(ctx context.Context, addr string) (engine.Waste, error) {
	var waste engine.Waste
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/engine/waste", nil)
	if err != nil {
		return waste, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return waste, err
	}
	defer resp.Body.Close()
	return waste, json.NewDecoder(resp.Body).Decode(&waste)
}

// recomputedShare returns the percentage of recomputed tokens among recomputed
// and reused tokens.
func (r *Result) recomputedShare() float64 {
	sum := r.RecomputedTokens + r.ReusedTokens
	if sum == 0 {
		return 0
	}
	return 100 * float64(r.RecomputedTokens) / float64(sum)
}

// printTable prints one line per deployment, then the injected faults and the
// violations.
func printTable(out io.Writer, results []*Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DEPLOYMENT\tPROGRAMS\tP50\tP95\tP99\tRECOMPUTED\tIDLE TOKEN-S\tBUDGET KEPT\tEXHAUSTED\tNON-IDEMPOTENT 0/1/MORE\tUNKNOWN\tANSWERS WHOLE\tRETRIES")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d/%d\t%s\t%s\t%s\t%.1f%%\t%.0f\t%d/%d\t%d\t%d/%d/%d\t%d\t%d/%d\t%d\n",
			r.Deployment, r.Finished, r.Programs, rounded(r.P50), rounded(r.P95), rounded(r.P99),
			r.recomputedShare(), r.IdleTokenSeconds,
			r.WithinBudget, r.WithinBudget+r.OverBudget, r.Exhausted,
			r.ExecutionCounts[0], r.ExecutionCounts[1], r.ExecutionCounts[2], r.UnknownOutcomes,
			r.CompleteAnswers, r.CompleteAnswers+r.WrongAnswers, r.Retries)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range results {
		fmt.Fprintf(out, "%s: %s\n", r.Deployment, strings.Join(r.InjectedFaults, ", "))
		for _, text := range r.Violations {
			fmt.Fprintf(out, "%s: VIOLATION: %s\n", r.Deployment, text)
		}
	}
	return nil
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
