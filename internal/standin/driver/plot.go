package driver

import (
	"fmt"
	"image/color"
	"io"
	"math"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Size and resolution of a plot.
const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 24 * vg.Centimeter
	plotDPI    = 110
	margin     = 0.4 * vg.Centimeter
)

// Colours of a plot: distinct also in grey.
var (
	stallColour  = color.RGBA{R: 0xc4, G: 0x3a, B: 0x2b, A: 0xff}
	queueColour  = color.RGBA{R: 0xf2, G: 0xb7, B: 0x4b, A: 0xff}
	fillColour   = color.RGBA{R: 0x1f, G: 0x5f, B: 0x8b, A: 0xff}
	loadColour   = color.RGBA{R: 0x6b, G: 0x6b, B: 0x6b, A: 0xff}
	medianColour = color.RGBA{R: 0x9e, G: 0xca, B: 0xe1, A: 0xff}
	tailColour   = color.RGBA{R: 0x2c, G: 0x6f, B: 0xa6, A: 0xff}
	rushColour   = color.RGBA{R: 0xe0, G: 0x7b, B: 0x39, A: 0xff}
	bandColour   = color.RGBA{R: 0xe0, G: 0x7b, B: 0x39, A: 0x28}
)

// WritePlot writes the report as a PNG: stalls and batch fill over time, latency by
// workspace.
func (r *Report) WritePlot(w io.Writer) error {
	panels := []func() (*plot.Plot, error){r.waitPanel, r.fillPanel, r.latencyPanel}
	plots := make([][]*plot.Plot, len(panels))
	for i, panel := range panels {
		p, err := panel()
		if err != nil {
			return errors.Annotate(err, "plot")
		}
		plots[i] = []*plot.Plot{p}
	}
	canvas := vgimg.PngCanvas{Canvas: vgimg.NewWith(vgimg.UseWH(plotWidth, plotHeight), vgimg.UseDPI(plotDPI))}
	tiles := draw.Tiles{
		Rows: len(panels), Cols: 1, PadX: margin, PadY: margin,
		PadTop: margin, PadBottom: margin, PadLeft: margin, PadRight: margin,
	}
	for i, row := range plot.Align(plots, tiles, draw.New(canvas)) {
		plots[i][0].Draw(row[0])
	}
	_, err := canvas.WriteTo(w)
	return errors.Annotate(err, "plot")
}

// title names the run over the first panel.
func (r *Report) title() string {
	name := r.Workload
	if r.Label != "" {
		name += ", " + r.Label
	}
	return fmt.Sprintf("%s: %d calls in %.0f s, %d adapters, seed %d: %d not run, %d broken promises",
		name, r.All.Endings.Calls, r.Seconds, r.Sizes.Adapters, r.Parameters.Seed, r.All.Endings.NotRun, r.Broken())
}

// interval returns the length of a point, in seconds.
func (r *Report) interval() float64 {
	if len(r.Series) < 2 {
		return 1
	}
	return r.Series[1].Seconds - r.Series[0].Seconds
}

// line returns the known values of a figure over time, cut where it is unknown.
func (r *Report) line(value func(*Point) *float64) []plotter.XYs {
	var lines []plotter.XYs
	open := false
	for i := range r.Series {
		v := value(&r.Series[i])
		if v == nil || math.IsNaN(*v) {
			open = false
			continue
		}
		if !open {
			lines = append(lines, nil)
			open = true
		}
		last := len(lines) - 1
		lines[last] = append(lines[last], plotter.XY{X: r.Series[i].Seconds + r.interval()/2, Y: *v})
	}
	return lines
}

// addLine draws a figure over time and names it in the legend.
func addLine(p *plot.Plot, name string, lines []plotter.XYs, style draw.LineStyle) error {
	if len(lines) == 0 {
		name += " (not observed)"
	}
	for _, points := range lines {
		l, err := plotter.NewLine(points)
		if err != nil {
			return errors.Trace(err)
		}
		l.LineStyle = style
		p.Add(l)
	}
	p.Legend.Add(name, &plotter.Line{LineStyle: style})
	return nil
}

func solid(c color.Color, width vg.Length) draw.LineStyle {
	return draw.LineStyle{Color: c, Width: width}
}

// timePanel returns an empty panel over the time of the run, with the shift and the
// rush marked.
func (r *Report) timePanel(label string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = label
	p.X.Min, p.X.Max = 0, math.Max(r.Parameters.DurationSeconds, r.interval())
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.Padding = vg.Millimeter
	p.Add(plotter.NewGrid())
	return p
}

// mark draws the shift and the rush, up to the panel's final height.
func (r *Report) mark(p *plot.Plot) error {
	end := r.Parameters.DurationSeconds
	if r.Parameters.RushWorkspace != "" {
		from, to := r.Parameters.RushFrom*end, r.Parameters.RushTo*end
		band, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max}})
		if err != nil {
			return errors.Trace(err)
		}
		band.Color = bandColour
		band.Width = 0
		p.Add(band)
		p.Legend.Add("rush of "+r.Parameters.RushWorkspace, band)
	}
	if at := r.Parameters.ShiftAt * end; at > 0 {
		l, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: p.Y.Max}})
		if err != nil {
			return errors.Trace(err)
		}
		l.LineStyle = draw.LineStyle{Color: color.Black, Width: vg.Points(1.2), Dashes: []vg.Length{vg.Points(6), vg.Points(4)}}
		p.Add(l)
		p.Legend.Add("popularity shifts", l)
	}
	return nil
}

// waitPanel shows how long the calls of each second waited in all.
func (r *Report) waitPanel() (*plot.Plot, error) {
	p := r.timePanel("seconds waited per second")
	p.Title.Text = r.title()
	p.Title.Padding = margin
	per := r.interval()
	rate := func(v *float64) *float64 {
		if v == nil {
			return nil
		}
		scaled := *v / per
		return &scaled
	}
	if err := addLine(p, "load stall", r.line(func(t *Point) *float64 { return rate(t.StallSeconds) }), solid(stallColour, vg.Points(2))); err != nil {
		return nil, err
	}
	if err := addLine(p, "queue", r.line(func(t *Point) *float64 { return rate(t.QueueSeconds) }), solid(queueColour, vg.Points(2))); err != nil {
		return nil, err
	}
	loads := r.line(func(t *Point) *float64 {
		if t.Loads == nil {
			return nil
		}
		count := float64(*t.Loads) / per
		return &count
	})
	if err := addLine(p, "loads per second", loads, solid(loadColour, vg.Points(1))); err != nil {
		return nil, err
	}
	p.Y.Max = math.Max(p.Y.Max*1.05, 0.1)
	return p, r.mark(p)
}

// fillPanel shows how full the batches ran.
func (r *Report) fillPanel() (*plot.Plot, error) {
	p := r.timePanel("batch fill, %")
	p.X.Label.Text = "seconds since the start"
	fill := r.line(func(t *Point) *float64 {
		if t.BatchFill == nil {
			return nil
		}
		percent := *t.BatchFill * 100
		return &percent
	})
	name := "batch fill of busy steps"
	if r.Engines != nil && r.Engines.BatchFill != nil {
		name = fmt.Sprintf("%s, mean %.1f %%", name, *r.Engines.BatchFill*100)
	}
	if err := addLine(p, name, fill, solid(fillColour, vg.Points(2))); err != nil {
		return nil, err
	}
	p.Y.Max = 100
	return p, r.mark(p)
}

// latencyPanel shows the latency of each workspace.
func (r *Report) latencyPanel() (*plot.Plot, error) {
	p := plot.New()
	p.Y.Label.Text = "total latency, ms"
	p.Legend.Top = true
	p.Legend.Padding = vg.Millimeter
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	width := vg.Points(18)
	bars := []struct {
		name   string
		colour color.Color
		value  func(*WorkspaceFigures) *float64
	}{
		{"median", medianColour, func(w *WorkspaceFigures) *float64 {
			return quantile(w.TotalMillis, func(q *Quantiles) float64 { return q.P50 })
		}},
		{"99th percentile", tailColour, func(w *WorkspaceFigures) *float64 {
			return quantile(w.OutsideRush, func(q *Quantiles) float64 { return q.P99 })
		}},
		{"99th percentile during the rush", rushColour, func(w *WorkspaceFigures) *float64 {
			return quantile(w.DuringRush, func(q *Quantiles) float64 { return q.P99 })
		}},
	}
	names := make([]string, len(r.Workspaces))
	for i := range r.Workspaces {
		names[i] = r.Workspaces[i].Name
	}
	for i, b := range bars {
		values := make(plotter.Values, len(r.Workspaces))
		for j := range r.Workspaces {
			if v := b.value(&r.Workspaces[j]); v != nil {
				values[j] = *v
			}
		}
		if len(values) == 0 {
			continue
		}
		chart, err := plotter.NewBarChart(values, width)
		if err != nil {
			return nil, errors.Trace(err)
		}
		chart.Color = b.colour
		chart.LineStyle.Width = 0
		chart.Offset = width * vg.Length(i-1)
		p.Add(chart)
		p.Legend.Add(b.name, chart)
	}
	p.NominalX(names...)
	p.Y.Max *= 1.25
	return p, nil
}

func quantile(q *Quantiles, of func(*Quantiles) float64) *float64 {
	if q == nil {
		return nil
	}
	v := of(q)
	return &v
}
