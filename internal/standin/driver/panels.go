package driver

import (
	"fmt"
	"image/color"
	"strconv"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// headline returns the title of the plot: the run and its main figures.
func (r *Report) headline() string {
	name := r.Workload
	if r.Label != "" {
		name += ", " + r.Label
	}
	e := &r.All.Endings
	return fmt.Sprintf("%s: %d calls to %d adapters in %.0f s, %d completed, %d not run, %d promises broken",
		name, e.Calls, r.Sizes.Adapters, r.Seconds, e.Completed, e.NotRun, r.Broken())
}

// waitsPanel shows the total waiting time of the calls of each second.
func (r *Report) waitsPanel() (*plot.Plot, error) {
	p := newPanel(r.headline(), "seconds per second")
	err := r.addLines(p, 0, []line{
		{
			name:  withTotal("queue", r.All.Queue.TotalSeconds),
			style: draw.LineStyle{Color: queueColour, Width: lineWidth},
			value: func(t *Point) *float64 { return r.perSecond(t.QueueSeconds) },
		},
		{
			name:  withTotal("load stall", r.All.Stall.TotalSeconds),
			style: draw.LineStyle{Color: stallColour, Width: lineWidth},
			value: func(t *Point) *float64 { return r.perSecond(t.StallSeconds) },
		},
	})
	return p, err
}

func withTotal(name string, total *float64) string {
	if total == nil {
		return name
	}
	return fmt.Sprintf("%s, %.1f s in all", name, *total)
}

// perSecond converts the sum over a point to a rate per second.
func (r *Report) perSecond(sum *float64) *float64 {
	if sum == nil {
		return nil
	}
	v := *sum / r.pointSeconds()
	return &v
}

// fillPanel shows the batch fill and the loads.
func (r *Report) fillPanel() (*plot.Plot, error) {
	p := newPanel("Batch fill of the steps that ran, and loads", "%, or loads per second")
	p.X.Label.Text = fmt.Sprintf("seconds since the start; calls are sent until second %.0f", r.Parameters.DurationSeconds)
	name := "batch fill"
	if r.Engines != nil && r.Engines.BatchFill != nil {
		name = fmt.Sprintf("batch fill, mean %.1f %%", *r.Engines.BatchFill*100)
	}
	loads := line{name: "loads", fill: loadColour, style: draw.LineStyle{Color: loadColour}, value: func(t *Point) *float64 {
		if t.Loads == nil {
			return nil
		}
		count := float64(*t.Loads)
		return r.perSecond(&count)
	}}
	fill := line{name: name, style: draw.LineStyle{Color: fillColour, Width: lineWidth}, value: func(t *Point) *float64 {
		if t.BatchFill == nil {
			return nil
		}
		percent := *t.BatchFill * 100
		return &percent
	}}
	err := r.addLines(p, 100, []line{loads, fill})
	return p, err
}

// bars is one figure of all workspaces.
type bars struct {
	name   string
	colour color.Color
	value  func(*WorkspaceFigures) *float64
}

// latencyPanel shows the latency of each workspace.
func (r *Report) latencyPanel() (*plot.Plot, error) {
	p := newPanel("Total latency of completed calls from the intended send time", "ms")
	addGrid(p)
	p99 := func(q *Quantiles) float64 { return q.P99 }
	all := []bars{
		{"median", medianColour, func(w *WorkspaceFigures) *float64 {
			return quantile(w.TotalMillis, func(q *Quantiles) float64 { return q.P50 })
		}},
		{"99th percentile", tailColour, func(w *WorkspaceFigures) *float64 { return quantile(w.OutsideRush, p99) }},
	}
	if r.Parameters.RushWorkspace != "" {
		all[1].name += ", no rush"
		all = append(all, bars{"99th percentile, rush", rushColour, func(w *WorkspaceFigures) *float64 {
			return quantile(w.DuringRush, p99)
		}})
	}
	names := make([]string, len(r.Workspaces))
	for i := range r.Workspaces {
		names[i] = r.Workspaces[i].Name
	}
	width := vg.Points(26)
	for i := range all {
		if err := r.addBars(p, &all[i], width, width*vg.Length(i-1)); err != nil {
			return nil, err
		}
	}
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(names))-0.5
	p.Y.Min = 0
	p.Y.Max *= 1.12
	return p, nil
}

// addBars draws one figure of all workspaces, with its values above the bars.
func (r *Report) addBars(p *plot.Plot, b *bars, width, offset vg.Length) error {
	values := make(plotter.Values, len(r.Workspaces))
	labels := plotter.XYLabels{XYs: make(plotter.XYs, len(values)), Labels: make([]string, len(values))}
	for i := range r.Workspaces {
		v := b.value(&r.Workspaces[i])
		if v == nil {
			labels.Labels[i] = "-"
		} else {
			values[i] = *v
			labels.Labels[i] = strconv.FormatFloat(*v, 'f', 0, 64)
		}
		labels.XYs[i] = plotter.XY{X: float64(i), Y: values[i]}
	}
	chart, err := plotter.NewBarChart(values, width)
	if err != nil {
		return errors.Trace(err)
	}
	chart.Color, chart.Offset = b.colour, offset
	chart.LineStyle.Width = 0
	texts, err := plotter.NewLabels(labels)
	if err != nil {
		return errors.Trace(err)
	}
	for i := range texts.TextStyle {
		texts.TextStyle[i].Font.Variant = fontVariant
		texts.TextStyle[i].Font.Size = vg.Points(9)
		texts.TextStyle[i].XAlign = draw.XCenter
	}
	texts.Offset = vg.Point{X: offset, Y: vg.Points(2)}
	p.Add(chart, texts)
	p.Legend.Add(b.name, chart)
	return nil
}
