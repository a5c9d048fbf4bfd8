package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a table for a terminal.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s: %s to %s, error budgets for %s\n\n", r.Deployment,
		r.Start.Format(time.RFC3339), r.End.Format(time.RFC3339), r.Period)
	if len(r.Objectives) == 0 {
		_, err := fmt.Fprintln(w, "no observation belongs to an objective")
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROGRAM\tACCOUNT\tOBJECTIVE\tEVENTS\tGOOD\tP95\tBUDGET LEFT\tFAST BURN\tSLOW BURN\tTOP TARGET\tTOP DOMAIN")
	for i := range r.Objectives {
		o := &r.Objectives[i]
		cells := []string{
			o.Kind, o.AccountText(), o.Goal(), fmt.Sprint(o.Events), percent(o.GoodShare), o.P95Text(),
			percent(o.BudgetLeft), o.Alerts[0].Text(), o.Alerts[1].Text(), topContributor(o.Targets), topContributor(o.Domains),
		}
		fmt.Fprintln(table, strings.Join(cells, "\t"))
	}
	return table.Flush()
}

// AccountText returns the account, or "(all)" in the summary of all accounts.
func (o *Objective) AccountText() string {
	if o.Account == "" {
		return "(all)"
	}
	return string(o.Account)
}

// Goal returns the objective as text, such as "first_token < 860ms for 95%".
func (o *Objective) Goal() string {
	if o.BelowSeconds > 0 {
		below := time.Duration(o.BelowSeconds * float64(time.Second))
		return fmt.Sprintf("%s < %s for %s", o.Measure, below, percent(o.Share))
	}
	return fmt.Sprintf("%s: %s good", o.Measure, percent(o.Share))
}

// P95Text returns the 95th percentile, or a dash for measures without a time.
func (o *Objective) P95Text() string {
	if !o.Measure.IsDuration() {
		return "-"
	}
	return time.Duration(o.P95Seconds * float64(time.Second)).Round(time.Millisecond / 10).String()
}

// Text returns the burn rates of the long and the short window, and "ALERT" if the
// alert is raised.
func (a Alert) Text() string {
	text := fmt.Sprintf("%.1f/%.1f", a.LongRate, a.ShortRate)
	if a.Raised {
		text += " ALERT"
	}
	return text
}

// topContributor returns the first contributor and its share, or a dash.
func topContributor(c []Contributor) string {
	if len(c) == 0 {
		return "-"
	}
	return fmt.Sprintf("%s %s", c[0].Name, percent(c[0].BadShare))
}

// percent formats a share as a percentage.
func percent(share float64) string {
	return strings.TrimSuffix(fmt.Sprintf("%.1f", share*100), ".0") + "%"
}
