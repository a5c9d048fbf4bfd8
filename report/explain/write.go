package explain

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

// WriteTable writes the report as tables for a terminal.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s: %d calls in %s from %s, %s of it outside of calls\n\n",
		r.Program, len(r.Calls), formatSeconds(r.SpanSeconds), r.Start.Format(time.RFC3339), formatSeconds(r.OutsideSeconds))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CALL\tTOTAL\tHOME\tQUEUE\tPREFILL\tDECODE\tTOOL\tRETRY\tOTHER\tTARGET AND WHY")
	for i := range r.Calls {
		c := &r.Calls[i]
		fmt.Fprintf(table, "%s#%d\t%s\t%s\t%s\n", c.Program, c.Seq, formatSeconds(c.TotalSeconds), c.Parts.cells(), c.Explanation())
	}
	fmt.Fprintf(table, "sum\t\t%s\t\n", r.Parts.cells())
	return table.Flush()
}

// cells returns the parts as the cells of a table row.
func (p *Parts) cells() string {
	parts := []float64{p.Owner, p.Queue, p.Prefill, p.Decode, p.Tool, p.Retry, p.Other}
	cells := make([]string, 0, len(parts))
	for _, part := range parts {
		cells = append(cells, formatSeconds(part))
	}
	return strings.Join(cells, "\t")
}

// incarnationSeparator separates VM and incarnation in the id of a target.
const incarnationSeparator = "#"

// Explanation returns a text that lists the chosen targets with their estimated costs,
// and says why attempts were refused or the call failed.
func (c *Call) Explanation() string {
	if len(c.Choices) == 0 {
		return "no target was chosen" + c.failure()
	}
	var parts []string
	for _, choice := range c.Choices {
		vm, _, _ := strings.Cut(choice.Target, incarnationSeparator)
		text := fmt.Sprintf("%s at the least cost, %s", vm, formatSeconds(choice.CostSeconds))
		if choice.Refused != "" {
			text += ", refused: " + string(choice.Refused)
		}
		parts = append(parts, text)
	}
	text := strings.Join(parts, "; then ")
	if c.PromptTokens > 0 {
		text += fmt.Sprintf("; %d of %d prompt tokens cached", c.CachedTokens, c.PromptTokens)
	}
	return text + c.failure()
}

// failure returns the end of the explanation of a call that failed, else "".
func (c *Call) failure() string {
	if c.Reason == "" {
		return ""
	}
	return "; failed: " + string(c.Reason)
}

// formatSeconds formats a duration in seconds for a table; zero is a dash.
func formatSeconds(seconds float64) string {
	if seconds == 0 {
		return "-"
	}
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Microsecond).String()
}
