package placement

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the results as a table.
func Print(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "entries\tknowledge\tturns\tbusiest/mean\tmost at once\tlate\twaited\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%s\t%d\t%.2f\t%d\t%.1f%%\t%.1f%%\t\n", r.Entries, r.Knowledge, r.Turns, r.BusiestOverMean, r.MostAtOnce, 100*r.LateShare, 100*r.WaitedShare)
	}
	return t.Flush()
}
