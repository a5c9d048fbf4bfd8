package burn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed report.html
var pageText string

// pageTemplate is the template of the HTML page.
var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{"percent": percent}).Parse(pageText))

// Size of a plot on the HTML page.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

// Colors of a plot.
var (
	burnColor    = color.RGBA{R: 0x1f, G: 0x5f, B: 0xa8, A: 0xff}
	fastColor    = color.RGBA{R: 0xc0, G: 0x2f, B: 0x2f, A: 0xff}
	rateOneColor = color.RGBA{R: 0x70, G: 0x70, B: 0x70, A: 0xff}
	dashedLine   = []vg.Length{vg.Points(4), vg.Points(3)}
)

// pageObjective is an objective with its plot.
type pageObjective struct {
	*Objective
	Plot template.HTML
}

// WriteHTML writes the report as a self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	data := struct {
		*Report
		StartText, EndText string
		Raised             int
		Items              []pageObjective
	}{
		Report:    r,
		StartText: r.Start.Format(time.RFC3339),
		EndText:   r.End.Format(time.RFC3339),
	}
	for i := range r.Objectives {
		o := &r.Objectives[i]
		svg, err := o.svg()
		if err != nil {
			return fmt.Errorf("plot %s of %s: %w", o.Measure, o.Kind, err)
		}
		if o.Raised() {
			data.Raised++
		}
		data.Items = append(data.Items, pageObjective{Objective: o, Plot: svg})
	}
	return pageTemplate.Execute(w, data)
}

// plot returns a plot of the burn rate over time.
func (o *Objective) plot() (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02 15:04:05"}
	p.Add(plotter.NewGrid())
	rates := make(plotter.XYs, 0, len(o.Points))
	for _, point := range o.Points {
		rates = append(rates, plotter.XY{X: float64(point.Time.UnixMilli()) / 1e3, Y: point.Rate})
	}
	line, err := plotter.NewLine(rates)
	if err != nil {
		return nil, err
	}
	line.StepStyle = plotter.PreStep
	line.Color = burnColor
	line.Width = vg.Points(1.5)
	p.Add(line, horizontalLine(rates, 1, rateOneColor))
	if fast := o.Alerts[0].ThresholdRate; p.Y.Max >= fast/2 {
		p.Add(horizontalLine(rates, fast, fastColor))
	}
	p.Y.Max = max(p.Y.Max*1.1, 1.2)
	return p, nil
}

// horizontalLine returns a dashed line at a burn rate, over the time span of rates.
func horizontalLine(rates plotter.XYs, rate float64, c color.Color) *plotter.Line {
	line := &plotter.Line{XYs: plotter.XYs{{X: rates[0].X, Y: rate}, {X: rates[len(rates)-1].X, Y: rate}}}
	line.LineStyle = plotter.DefaultLineStyle
	line.Color = c
	line.Dashes = dashedLine
	return line
}

// svg returns the plot as an SVG element without the XML declaration.
func (o *Objective) svg() (template.HTML, error) {
	p, err := o.plot()
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:]
	}
	// The element needs no escaping: it contains only numbers and labels of this
	// package.
	return template.HTML(text), nil
}
