package policy

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// Plot writes a plot of every variant's p95 latency over the load to a file. The
// file's suffix determines the format.
func (r Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = r.Deployment + ": program latency, 95th percentile"
	p.X.Label.Text = "load over capacity"
	p.Y.Label.Text = "seconds"
	p.Y.Min = 0
	var lines []any
	for _, name := range r.variants() {
		lines = append(lines, name, r.points(name))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(plotWidth, plotHeight, file)
}

// variants returns the variants' names in the order of the rows.
func (r Report) variants() []string {
	var names []string
	known := map[string]bool{}
	for _, row := range r.Rows {
		if !known[row.Variant] {
			known[row.Variant] = true
			names = append(names, row.Variant)
		}
	}
	return names
}

func (r Report) points(variant string) plotter.XYs {
	var xys plotter.XYs
	for _, row := range r.Rows {
		if row.Variant == variant && !row.Faults {
			xys = append(xys, plotter.XY{X: row.Load, Y: row.P95})
		}
	}
	return xys
}
