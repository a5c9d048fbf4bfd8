package policy

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Report is the result of a sweep.
type Report struct {
	Deployment string `json:"deployment"`
	// CapacityPerS is the arrival rate of load 1, in programs per second.
	CapacityPerS float64  `json:"capacity_programs_per_s"`
	Seeds        []uint64 `json:"seeds"`
	// Rows are means over the seeds.
	Rows []Row `json:"rows"`
	// Goals compare the product with the best baseline of each figure.
	Goals []Goal   `json:"targets"`
	Runs  []Result `json:"runs"`
}

// Row is the mean of a variant's figures over the seeds at one load.
type Row struct {
	Variant            string  `json:"variant"`
	Load               float64 `json:"load"`
	Faults             bool    `json:"faults"`
	P50                float64 `json:"p50_s"`
	P95                float64 `json:"p95_s"`
	P99                float64 `json:"p99_s"`
	WastedTokenSeconds float64 `json:"wasted_token_seconds_per_s"`
	Recomputed         float64 `json:"recomputed_share"`
	RefusedShare       float64 `json:"refused_share"`
	FailedShare        float64 `json:"failed_programs_share"`
	Goodput            float64 `json:"goodput_per_s"`
	UnloadedP95        float64 `json:"alone_p95_s"`
}

// Goal is one comparison with its bound.
type Goal struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Bound float64 `json:"bound"`
	// AtLeast means that the bound is a lower bound; else it is an upper bound.
	AtLeast bool   `json:"at_least"`
	Met     bool   `json:"met"`
	Against string `json:"against"`
}

// NewReport computes the report of a sweep from its results.
func NewReport(s Sweep, results []Result) Report {
	r := Report{Deployment: s.Deployment.Name, CapacityPerS: s.Deployment.Capacity(), Seeds: s.Seeds, Runs: results}
	r.Rows = rows(results)
	r.Goals = goals(s.Deployment, s.Variants, r.Rows)
	return r
}

type rowKey struct {
	variant string
	load    float64
	faults  bool
}

func rows(results []Result) []Row {
	var keys []rowKey
	byKey := map[rowKey][]Result{}
	for _, r := range results {
		k := rowKey{r.Variant, r.Load, r.Faults}
		if byKey[k] == nil {
			keys = append(keys, k)
		}
		byKey[k] = append(byKey[k], r)
	}
	slices.SortStableFunc(keys, func(a, b rowKey) int {
		return cmp.Or(compareBool(a.faults, b.faults), cmp.Compare(a.load, b.load))
	})
	var all []Row
	for _, k := range keys {
		all = append(all, meanRow(k, byKey[k]))
	}
	return all
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if b {
		return -1
	}
	return 1
}

func meanRow(k rowKey, results []Result) Row {
	row := Row{Variant: k.variant, Load: k.load, Faults: k.faults}
	n := float64(len(results))
	for _, r := range results {
		row.P50 += r.P50 / n
		row.P95 += r.P95 / n
		row.P99 += r.P99 / n
		row.WastedTokenSeconds += r.WastedTokenSeconds / n
		row.Recomputed += r.Recomputed / n
		row.RefusedShare += share(r.Refused, r.Calls) / n
		row.FailedShare += share(r.Failed, r.Programs) / n
		row.Goodput += r.Goodput / n
		row.UnloadedP95 += r.UnloadedP95 / n
	}
	return row
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// WriteTable writes the rows and the goals as text.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "deployment %s, load 1.0 = %.1f programs/s, seeds %v\n\n", r.Deployment, r.CapacityPerS, r.Seeds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "load\tfaults\tpolicy\tp50 s\tp95 s\tp99 s\twasted tok·s/s\trecomputed\trefused\tfailed\tgoodput/s\t")
	for _, row := range r.Rows {
		fmt.Fprintf(t, "%.2f\t%t\t%s\t%.1f\t%.1f\t%.1f\t%.0f\t%.1f%%\t%.1f%%\t%.1f%%\t%.2f\t\n",
			row.Load, row.Faults, row.Variant, row.P50, row.P95, row.P99, row.WastedTokenSeconds,
			100*row.Recomputed, 100*row.RefusedShare, 100*row.FailedShare, row.Goodput)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	for _, g := range r.Goals {
		fmt.Fprintln(w, g)
	}
	return nil
}

// String returns the goal as a line of text.
func (t Goal) String() string {
	relation, verdict := "at most", "missed"
	if t.AtLeast {
		relation = "at least"
	}
	if t.Met {
		verdict = "met"
	}
	return fmt.Sprintf("%-7s %s: %.2f (%s %.2f) against %s", verdict, t.Name, t.Value, relation, t.Bound, t.Against)
}
