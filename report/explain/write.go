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
		r.Program, len(r.Calls), span(r.SpanSeconds), r.Start.Format(time.RFC3339), span(r.OutsideSeconds))
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CALL\tTOTAL\tHOME\tQUEUE\tPREFILL\tDECODE\tTOOL\tRETRY\tOTHER\tTARGET AND WHY")
	for i := range r.Calls {
		c := &r.Calls[i]
		fmt.Fprintf(table, "%s#%d\t%s\t%s\t%s\n", c.Program, c.Seq, span(c.TotalSeconds), c.Parts.cells(), c.Explanation())
	}
	fmt.Fprintf(table, "sum\t\t%s\t\n", r.Parts.cells())
	return table.Flush()
}

// cells returns the parts as cells of a table.
func (p *Parts) cells() string {
	parts := []float64{p.Owner, p.Queue, p.Prefill, p.Decode, p.Tool, p.Retry, p.Other}
	cells := make([]string, 0, len(parts))
	for _, part := range parts {
		cells = append(cells, span(part))
	}
	return strings.Join(cells, "\t")
}

// incarnationStart separates a VM from its process's incarnation in a target.
const incarnationStart = "#"

// Explanation says which targets were chosen, at which estimated cost, and what became
// of each.
func (c *Call) Explanation() string {
	if len(c.Choices) == 0 {
		return "no target was chosen" + c.failure()
	}
	var parts []string
	for _, choice := range c.Choices {
		vm, _, _ := strings.Cut(choice.Target, incarnationStart)
		text := fmt.Sprintf("%s at the least cost, %s", vm, span(choice.CostSeconds))
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

// failure returns why the call failed, if it did.
func (c *Call) failure() string {
	if c.Reason == "" {
		return ""
	}
	return "; failed: " + string(c.Reason)
}

// span returns a time in seconds for a table, a dash for none.
func span(seconds float64) string {
	if seconds == 0 {
		return "-"
	}
	return time.Duration(seconds * float64(time.Second)).Round(100 * time.Microsecond).String()
}
