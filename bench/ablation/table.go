package ablation

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/stat"

	"github.com/rhubarbsaddle/rhubarbsaddle/platform/journal"
)

const (
	// commentPrefix begins the comment of each play of an experiment.
	commentPrefix = "ablation:"
	// nothing is the name in comments if no mechanism is disabled.
	nothing = "nothing"
)

// Comment returns the comment of a play with which Table finds it again.
func Comment(experiment, without string, seed int) string {
	return fmt.Sprintf("%s experiment=%s without=%s seed=%d", commentPrefix, experiment, cmp.Or(without, nothing), seed)
}

// parseComment returns the disabled mechanism and the seed of a play, or false if the
// comment is not of the experiment.
func parseComment(comment, experiment string) (without string, seed int, ok bool) {
	rest, isPlay := strings.CutPrefix(comment, commentPrefix+" experiment="+experiment+" ")
	n, err := fmt.Sscanf(rest, "without=%s seed=%d", &without, &seed)
	return without, seed, isPlay && err == nil && n == 2
}

// Row is what the plays without one mechanism show on one deployment.
type Row struct {
	Deployment string
	// Without is the disabled mechanism.
	Without string
	// Plays is the number of plays that have a counterpart with all mechanisms.
	Plays int
	// Change is the mean change of worth against plays of the same days and seeds with all
	// mechanisms. Min and Max are the smallest and greatest change of a play.
	Change, Min, Max float64
	// Spread is the mean distance between plays of the same day and seed with all
	// mechanisms. A smaller change says nothing. It is NaN if no day was played twice.
	Spread float64
	// Refused and Failed are mean shares of programs; BaseRefused and BaseFailed are those
	// with all mechanisms.
	Refused, Failed, BaseRefused, BaseFailed float64
}

// playKey identifies the plays that are compared with each other.
type playKey struct {
	deployment, day string
	seed            int
}

// results holds the plays of one set of mechanisms, by what was played.
type results map[playKey][]journal.Play

// Table compares the plays of one experiment. The rows of a deployment are in the order of
// their change, the most harmful first.
func Table(plays []journal.Play, experiment string) []Row {
	byMechanism := make(map[string]results)
	for _, p := range plays {
		without, seed, ok := parseComment(p.Comment, experiment)
		if !ok {
			continue
		}
		if byMechanism[without] == nil {
			byMechanism[without] = make(results)
		}
		key := playKey{p.Deployment, p.Day, seed}
		byMechanism[without][key] = append(byMechanism[without][key], p)
	}
	base := byMechanism[nothing]
	delete(byMechanism, nothing)
	var rows []Row
	for without, found := range byMechanism {
		for _, deployment := range found.deployments() {
			if row, ok := compare(base.of(deployment), found.of(deployment)); ok {
				row.Deployment, row.Without = deployment, without
				rows = append(rows, row)
			}
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.Change, b.Change), cmp.Compare(a.Without, b.Without))
	})
	return rows
}

func (r results) deployments() []string {
	names := make(map[string]bool)
	for key := range r {
		names[key.deployment] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func (r results) of(deployment string) results {
	found := maps.Clone(r)
	maps.DeleteFunc(found, func(key playKey, _ []journal.Play) bool { return key.deployment != deployment })
	return found
}

// compare compares plays without a mechanism with those of the same days and seeds with
// all mechanisms. It returns false if there are none.
func compare(base, without results) (row Row, ok bool) {
	var changes, refused, failed, baseRefused, baseFailed []float64
	for key, plays := range without {
		if len(base[key]) == 0 {
			continue
		}
		expected := stat.Mean(values(base[key], worth), nil)
		for _, p := range plays {
			changes = append(changes, p.Worth-expected)
			refused, failed = append(refused, p.Refused), append(failed, p.Failed)
		}
		baseRefused = append(baseRefused, values(base[key], func(p journal.Play) float64 { return p.Refused })...)
		baseFailed = append(baseFailed, values(base[key], func(p journal.Play) float64 { return p.Failed })...)
	}
	if len(changes) == 0 {
		return Row{}, false
	}
	return Row{
		Plays: len(changes), Change: stat.Mean(changes, nil), Min: floats.Min(changes), Max: floats.Max(changes), Spread: base.spread(),
		Refused: stat.Mean(refused, nil), Failed: stat.Mean(failed, nil),
		BaseRefused: stat.Mean(baseRefused, nil), BaseFailed: stat.Mean(baseFailed, nil),
	}, true
}

// spread returns the mean distance between the lowest and the highest worth of plays of
// the same day and seed, or NaN if nothing was played twice.
func (r results) spread() float64 {
	var distances []float64
	for _, plays := range r {
		if len(plays) > 1 {
			worths := values(plays, worth)
			distances = append(distances, floats.Max(worths)-floats.Min(worths))
		}
	}
	return stat.Mean(distances, nil)
}

func worth(p journal.Play) float64 { return p.Worth }

func values(plays []journal.Play, value func(journal.Play) float64) []float64 {
	out := make([]float64, len(plays))
	for i, p := range plays {
		out[i] = value(p)
	}
	return out
}

func spreadText(spread float64) string {
	if math.IsNaN(spread) {
		return "spread of worth not measured"
	}
	return fmt.Sprintf("spread of worth %.3f", spread)
}

// WriteTable writes the rows as a table in Markdown.
func WriteTable(w io.Writer, rows []Row) error {
	var text strings.Builder
	out := tabwriter.NewWriter(&text, 0, 0, 1, ' ', 0)
	deployment := ""
	for _, r := range rows {
		if r.Deployment != deployment {
			deployment = r.Deployment
			fmt.Fprintf(out, "\n%s (with all: %.4f refused, %.4f failed; %s)\n\n", deployment, r.BaseRefused, r.BaseFailed, spreadText(r.Spread))
			fmt.Fprintf(out, "| without\t| plays\t| change of worth\t| smallest\t| greatest\t| refused\t| failed\t|\n|---\t|---\t|---\t|---\t|---\t|---\t|---\t|\n")
		}
		fmt.Fprintf(out, "| %s\t| %d\t| %+.3f\t| %+.3f\t| %+.3f\t| %.4f\t| %.4f\t|\n", r.Without, r.Plays, r.Change, r.Min, r.Max, r.Refused, r.Failed)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, strings.TrimPrefix(text.String(), "\n"))
	return err
}
