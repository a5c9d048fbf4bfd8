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

// Result is what came out of one deployment.
type Result struct {
	Deployment string
	Programs   int
	Finished   int
	P50        time.Duration
	P95        time.Duration
	P99        time.Duration
	// RecomputedTokens were computed again after they had left a cache, out of
	// PromptTokens found in it or computed again.
	RecomputedTokens uint64
	ReusedTokens     uint64
	IdleTokenSeconds float64
	// WithinBudget, BudgetExceeded and Exhausted count programs.
	WithinBudget int
	OverBudget   int
	Exhausted    int
	// ExecutionCounts counts the non-idempotent calls that were executed 0, 1 or more
	// times.
	ExecutionCounts [3]int
	UnknownOutcomes int
	// CompleteAnswers and Cut count answers.
	CompleteAnswers int
	WrongAnswers    int
	Retries         int64
	// Violations are the broken promises, and Observations what was measured.
	Violations     []string
	InjectedFaults []string
	Observations   []observe.Observation
}

// result gathers what the callers, the targets and the daemons say.
func (r *run) result(ctx context.Context) *Result {
	sorted := r.stats.sorted()
	out := &Result{
		Deployment: r.scenario.folder,
		Programs:   r.options.Programs,
		Finished:   len(sorted),
		P50:        percentile(sorted, 0.50),
		P95:        percentile(sorted, 0.95),
		P99:        percentile(sorted, 0.99),
		Retries:    r.stats.retries.Load(),
	}
	r.addCallers(out)
	r.addTools(out)
	r.addWaste(ctx, out)
	for _, vm := range slices.Concat(r.deployment.Entries(), r.deployment.Sidecars()) {
		r.faults.collect(ctx, vm)
	}
	var violations []string
	out.InjectedFaults, violations = r.faults.list()
	out.Violations = append(out.Violations, violations...)
	return out
}

func (r *run) addCallers(out *Result) {
	s := r.stats
	s.mu.Lock()
	defer s.mu.Unlock()
	out.CompleteAnswers, out.WrongAnswers = s.whole, s.cut
	out.WithinBudget, out.OverBudget, out.Exhausted = s.kept, s.exceeded, s.exhausted
	out.Observations = s.observed
	out.Violations = append(out.Violations, s.faults...)
	if s.cut > 0 {
		out.Violations = append(out.Violations, fmt.Sprintf("%d answers were cut or belonged to another request", s.cut))
	}
	if n := s.foreign.Load(); n > 0 {
		out.Violations = append(out.Violations, fmt.Sprintf("%d tool answers belonged to another request", n))
	}
}

// addTools compares what the callers were told with the executions counted at
// the services.
func (r *run) addTools(out *Result) {
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
		if fault := judge(call, n); fault != "" {
			out.Violations = append(out.Violations, fault)
		}
	}
}

// judge returns what is wrong with the executions of a call, or "".
func judge(call toolCall, executions int) string {
	switch {
	case call.nonIdempotent && executions > 1:
		return fmt.Sprintf("non-idempotent call %s was executed %d times", call.key, executions)
	case call.outcome == "ran" && executions == 0:
		return fmt.Sprintf("call %s was answered and not executed", call.key)
	case call.outcome == "not_run" && executions > 0:
		return fmt.Sprintf("call %s was refused as not run and executed %d times", call.key, executions)
	}
	return ""
}

// addWaste adds the engines' own accounts of wasted cache.
func (r *run) addWaste(ctx context.Context, out *Result) {
	for _, m := range r.deployment.Models() {
		waste, err := wasteOf(ctx, m.Addr)
		if err != nil {
			out.Violations = append(out.Violations, fmt.Sprintf("engine %s shows no account of waste: %v", m.Addr, err))
			continue
		}
		out.RecomputedTokens += waste.RecomputedTokens
		out.ReusedTokens += waste.ReusedTokens
		out.IdleTokenSeconds += waste.IdleTokenSeconds
	}
}

func wasteOf(ctx context.Context, addr string) (engine.Waste, error) {
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

// recomputedShare is the share of repeated prompt tokens that were computed
// again, in percent.
func (r *Result) recomputedShare() float64 {
	sum := r.RecomputedTokens + r.ReusedTokens
	if sum == 0 {
		return 0
	}
	return 100 * float64(r.RecomputedTokens) / float64(sum)
}

// printTable prints one line a deployment, and what was broken.
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
			fmt.Fprintf(out, "%s: BROKEN: %s\n", r.Deployment, text)
		}
	}
	return nil
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
